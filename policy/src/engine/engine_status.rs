//! Status of the query engine.

use std::time::Duration;

use schema::{
    BundleVersion,
    GroupName, //
};

use crate::replicas::ReplicaView;

/// State of the engine, for `/status` and metrics.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineStatus {
    /// Version of the bundle in force; 0 before the first.
    pub bundle: BundleVersion,
    /// Requests running and waiting for admission.
    pub in_flight: u64,
    /// Sub-queries in flight.
    pub attempts: u64,
    /// Service groups of the bundle in force.
    pub groups: Vec<GroupStatus>,
}

/// State of a service group. Counters run from the start of the process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupStatus {
    /// Name of the group.
    pub name: GroupName,
    /// Its counters.
    pub counts: super::GroupCounts,
    /// Time after which a sub-query is hedged; `None` before the first reply.
    pub hedge_delay: Option<Duration>,
    /// Whether the group as a whole is slow, which turns hedges off.
    pub slow: bool,
    /// Replicas that may be sent requests.
    pub replicas: Vec<ReplicaView>,
}
