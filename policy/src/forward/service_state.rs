//! What the engine knows about one service.

use schema::{
    ColdLimit,
    ServiceName, //
};

use super::{
    LatencySketch,
    PartQueue,
    ReplicaKey,
    RetryBudget, //
};
use crate::work::ServiceWork;

/// The state of a service, which all routes to it share.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    /// The service's name in the route table and the directory.
    pub(super) name: ServiceName,
    /// Whether the route table in force names it. Others may register what is no replica of this system.
    pub(super) configured: bool,
    /// Its replicas, including unlisted ones with attempts in flight.
    pub(super) replicas: Vec<ReplicaKey>,
    /// Limit on hedges and retries.
    pub(super) budget: RetryBudget,
    /// Parts of requests that wait for a replica.
    pub(super) queue: PartQueue,
    /// Latencies of the replies without the network round trip.
    pub(super) latency: LatencySketch,
    /// Expected work of its requests by route.
    pub(super) work: ServiceWork,
    /// Whether a replica of the service has reported its load.
    pub(super) reports_load: bool,
    /// Number of connections that each replica accepts from all daemons together.
    pub(super) max_connections: u32,
    /// What its replicas bear while they are cold; `None` if that is not limited.
    pub(super) cold_limit: Option<ColdLimit>,
    /// Number of daemons that share these connections, if this one is among the few that gather for the
    /// others.
    pub(super) sharers: Option<u32>,
    /// Whether other daemons gather from it for this one.
    pub(super) gathered_elsewhere: bool,
}

impl ServiceState {
    /// Sets which daemons gather from the service.
    pub(super) fn set_gathered(&mut self, sharers: Option<u32>, elsewhere: bool) {
        self.sharers = sharers;
        self.gathered_elsewhere = elsewhere;
    }
}
