//! What the daemon tells the forwarding engine.

use std::{
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use compact_str::CompactString;
use schema::{
    AttemptId,
    QueryId,
    ReplicaEntry,
    ReplicaName, //
};

use super::RouteIndex;

/// A caller's request, as far as decisions need it.
#[derive(Clone, Debug)]
pub struct ForwardCall {
    /// The table in force at its arrival.
    pub index: Arc<RouteIndex>,
    /// Place of its route in the table.
    pub route: usize,
    /// Time that the caller will wait; `None` where it does not say.
    pub patience: Option<Duration>,
}

/// A whole reply of a replica.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ForwardReply {
    /// HTTP status.
    pub status: u16,
    /// Whether the replica says that it did not run the request.
    pub not_run: bool,
    /// Whether another replica answered than the one asked for.
    pub moved: bool,
    /// The replica's signature, where the reply has one.
    pub stamp: Option<CompactString>,
    /// The body.
    pub body: Bytes,
}

impl ForwardReply {
    /// Whether it is a signed success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.stamp.is_some()
    }
}

/// Why an attempt brought no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardFailure {
    /// No connection: nothing was sent.
    Unconnected,
    /// The connection ended before the reply was whole: it may have run.
    Broken,
    /// What came is no reply to this request: it may have run.
    Garbled,
}

impl ForwardFailure {
    /// The name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unconnected => "unconnected",
            Self::Broken => "broken",
            Self::Garbled => "garbled",
        }
    }
}

/// An event for the forwarding engine.
#[derive(Clone, Debug)]
pub enum ForwardEvent {
    /// A caller sent a request.
    Arrived {
        /// Number given by the daemon.
        query: QueryId,
        /// The request.
        call: ForwardCall,
    },
    /// The caller closed its connection.
    CallerGone {
        /// The request.
        query: QueryId,
    },
    /// A whole reply that belongs to the attempt.
    Replied {
        /// The attempt.
        attempt: AttemptId,
        /// The reply.
        reply: ForwardReply,
    },
    /// An attempt ended without a reply.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        failure: ForwardFailure,
    },
    /// The directory has a new or changed replica.
    ReplicaSeen(ReplicaEntry),
    /// The directory no longer has a replica.
    ReplicaGone(ReplicaName),
    /// A table came into force.
    TableApplied(Arc<RouteIndex>),
    /// The number of daemons that share the budgets changed.
    DaemonsCounted {
        /// All that may be at work, this one included.
        daemons: u32,
    },
    /// The time given by `next_wakeup` has come.
    TimerFired,
}
