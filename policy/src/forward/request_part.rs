//! The parts of a request, one for each service that it goes to.

use bytes::Bytes;
use compact_str::CompactString;
use schema::{
    AttemptId,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    ReplicaKey,
    WaitingPart, //
};

/// How far one service of a request has come.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PartState {
    /// No reply yet.
    Open,
    /// Its reply is in.
    Done {
        /// The replica's signature.
        stamp: CompactString,
        /// The records.
        records: Bytes,
    },
    /// No reply will come.
    Lost,
}

/// A service's part in a request.
#[derive(Clone, Debug)]
pub(super) struct ForwardPart {
    /// Place of the service.
    pub(super) service: usize,
    /// How far it has come.
    pub(super) state: PartState,
    /// Replicas that have had the request.
    pub(super) tried: SmallVec<[ReplicaKey; 3]>,
    /// Attempts under way.
    pub(super) out: SmallVec<[AttemptId; 2]>,
    /// Replicas that may have run it.
    pub(super) ran: u32,
    /// Whether a request has left for the service.
    pub(super) sent: bool,
    /// When the part is looked at again.
    pub(super) due: TimePoint,
    /// Its place in the service's line, where it waits for a replica.
    pub(super) waiting: Option<WaitingPart>,
    /// The attempt whose reply is relayed: the good one, else a failing one.
    pub(super) relayed: Option<AttemptId>,
}

impl ForwardPart {
    /// A part that has not been sent.
    pub(super) fn new(service: usize) -> Self {
        Self {
            service,
            state: PartState::Open,
            tried: SmallVec::new(),
            out: SmallVec::new(),
            ran: 0,
            sent: false,
            due: TimePoint::NEVER,
            waiting: None,
            relayed: None,
        }
    }
}
