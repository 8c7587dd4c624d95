//! Routes, which assign requests to services and set how they are run.

use std::time::Duration;

use compact_str::CompactString;
use smallvec::SmallVec;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RegionName,
    RouteName,
    ServiceName, //
};

/// Services to which the requests of a route are sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouteTarget {
    /// One replica of a service.
    Single(ServiceName),
    /// One replica of one of several services, chosen in proportion to their weights.
    Split(SmallVec<[(ServiceName, f64); 2]>),
    /// One replica of each service. The answer consists of the greatest records of all replies.
    Gather {
        /// Services that each hold one shard.
        shards: Vec<ServiceName>,
        /// Maximum number of records in an answer.
        top: usize,
        /// Minimum share of the shards that must have replied, from 0 to 1.
        min_share: f64,
    },
}

/// One route of the route table.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteSpec {
    /// Name of the route.
    pub name: RouteName,
    /// Host that requests must name, in lower case.
    pub host: CompactString,
    /// Prefix that the path of requests must have; begins and ends with a slash.
    pub prefix: CompactString,
    /// Services to which requests are sent.
    pub target: RouteTarget,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time from the arrival of a request to its answer.
    pub timeout: Duration,
    /// Latency target: the time within which an answer counts in full; zero if the route has none.
    pub goal: Duration,
    /// Maximum number of replicas of one service on which a request may run.
    pub attempts: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u32,
    /// Whether requests need no API key.
    #[serde(skip)]
    pub public: bool,
    /// Regions in which requests may be served; empty for all.
    #[serde(skip)]
    pub homes: SmallVec<[RegionName; 2]>,
}

impl RouteSpec {
    /// All services to which requests of the route may be sent.
    pub fn services(&self) -> SmallVec<[&ServiceName; 4]> {
        match &self.target {
            RouteTarget::Single(service) => SmallVec::from_slice(&[service]),
            RouteTarget::Split(parts) => parts.iter().map(|(service, _)| service).collect(),
            RouteTarget::Gather { shards, .. } => shards.iter().collect(),
        }
    }
}
