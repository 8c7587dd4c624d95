//! Events that the daemon reports to the query engine.

use schema::{
    AttemptId,
    QueryId,
    QueryPrint,
    TimePoint,
    VmName, //
};

use super::{
    AttemptFailure,
    ClaimVerdict,
    PlacedReplica,
    QueryCall,
    ReplicaReply, //
};

/// An event for the query engine.
#[derive(Clone, Debug)]
pub enum EngineEvent {
    /// A caller sent a request.
    QueryArrived {
        /// Identifier given by the daemon.
        query: QueryId,
        /// The request.
        call: QueryCall,
    },
    /// The caller closed its connection.
    CallerGone {
        /// The request.
        query: QueryId,
    },
    /// The first byte of an attempt is about to be written.
    AttemptSent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt was answered by a well-formed reply that echoes its identifier.
    AttemptReplied {
        /// The attempt.
        attempt: AttemptId,
        /// The reply.
        reply: ReplicaReply,
    },
    /// An attempt ended without a reply.
    AttemptFailed {
        /// The attempt.
        attempt: AttemptId,
        /// The cause.
        failure: AttemptFailure,
        /// The load report of an upstream that refused.
        load: Option<super::ReplicaLoad>,
    },
    /// The outcome of a claim is known.
    ClaimResolved {
        /// The request that made the claim.
        query: QueryId,
        /// The result of the claim.
        verdict: ClaimVerdict,
    },
    /// The VM list changed.
    PlacementChanged {
        /// All upstreams in the new list.
        replicas: Vec<PlacedReplica>,
    },
    /// A peer reports that an upstream is draining.
    DrainReported {
        /// The upstream.
        vm: VmName,
        /// When the drain mark expires.
        until: TimePoint,
    },
    /// A peer reports which upstreams have crashed while they ran a query.
    QuarantineReported {
        /// Fingerprint of the query.
        print: QueryPrint,
        /// Upstreams that crashed while they ran it.
        deaths: Vec<VmName>,
        /// When the notice expires.
        until: TimePoint,
    },
    /// The number of daemons that share the replicas' limits changed.
    DaemonsChanged {
        /// Daemons alive, suspected or leaving, this one included.
        daemons: u32,
    },
    /// The time returned by `next_wakeup` has come.
    TimerFired,
}
