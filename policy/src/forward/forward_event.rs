//! What the daemon tells the forwarding engine.

use std::sync::Arc;

use schema::{
    AttemptId,
    QueryId,
    ReplicaEntry,
    ReplicaName, //
};

use super::{
    ForwardCall,
    ForwardFailure,
    ForwardReply,
    RouteIndex, //
};

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
