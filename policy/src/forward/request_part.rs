//! The parts of a request: one for each service to which it is sent.

use bytes::Bytes;
use compact_str::CompactString;
use schema::{
    AttemptId,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    QueuedPart,
    ReplicaKey, //
};

/// Progress of a part.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PartState {
    /// No usable reply yet.
    Open,
    /// A usable reply has arrived.
    Done {
        /// The signature of the reply, empty if it has none.
        stamp: CompactString,
        /// The shard's records; empty unless the request is a gather.
        records: Bytes,
    },
    /// No usable reply can arrive any more.
    Failed,
}

/// The part of a request that is sent to one service.
#[derive(Clone, Debug)]
pub(super) struct RequestPart {
    /// Index of the service.
    pub(super) service: usize,
    /// Progress of the part.
    pub(super) state: PartState,
    /// Replicas to which the part has been sent.
    pub(super) tried: SmallVec<[ReplicaKey; 3]>,
    /// Attempts in flight.
    pub(super) in_flight: SmallVec<[AttemptId; 2]>,
    /// The branch in which another daemon gathers the part, and the replicas on which that daemon may run
    /// it.
    pub(super) branch: Option<(AttemptId, u32)>,
    /// Number of ended attempts that a replica may have run.
    pub(super) executions: u32,
    /// Whether the part has been sent to any replica.
    pub(super) sent: bool,
    /// When the engine has to process the part again.
    pub(super) check_at: TimePoint,
    /// Whether a retry waits for the probe of the replica whose connection broke.
    pub(super) awaits_verdict: bool,
    /// The replica from whose limit a token is reserved for the part, which is sent at `check_at`.
    pub(super) reserved: Option<ReplicaKey>,
    /// The part's entry in the queue of its service, while it waits for a replica.
    pub(super) queued: Option<QueuedPart>,
    /// The attempt whose reply is passed on: one with a usable reply, else one with an error reply.
    pub(super) relayed: Option<AttemptId>,
}

impl RequestPart {
    /// Creates a part that has not been sent.
    pub(super) fn new(service: usize) -> Self {
        Self {
            service,
            state: PartState::Open,
            tried: SmallVec::new(),
            in_flight: SmallVec::new(),
            branch: None,
            executions: 0,
            sent: false,
            check_at: TimePoint::NEVER,
            awaits_verdict: false,
            reserved: None,
            queued: None,
            relayed: None,
        }
    }

    /// Whether a reply may still come that was asked for.
    pub(super) fn is_awaited(&self) -> bool {
        !self.in_flight.is_empty() || self.branch.is_some()
    }

    /// Replicas that may have run the part, or that may still run it.
    pub(super) fn attempts_used(&self) -> u32 {
        let in_flight = u32::try_from(self.in_flight.len()).unwrap_or(u32::MAX);
        let granted = self.branch.map_or(0, |(_, granted)| granted);
        self.executions + in_flight + granted
    }
}
