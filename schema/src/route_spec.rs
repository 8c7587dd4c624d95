//! Routes: which requests go to which services, and how.

use std::time::Duration;

use compact_str::CompactString;
use smallvec::SmallVec;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    RouteName,
    ServiceName, //
};

/// Where the requests of a route go.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RouteTarget {
    /// To one replica of a service.
    Single(ServiceName),
    /// To one replica of one of several services, in proportion to their weights.
    Split(SmallVec<[(ServiceName, f64); 2]>),
    /// To one replica of each service; the greatest records of all replies are the answer.
    Gather {
        /// The shards.
        shards: Vec<ServiceName>,
        /// Records in an answer at most.
        top: usize,
        /// Share of the shards, from 0 to 1, that an answer needs.
        min_share: f64,
    },
}

/// A route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RouteSpec {
    /// Its name.
    pub name: RouteName,
    /// Host of its requests, in lower case.
    pub host: CompactString,
    /// Start of the path of its requests; begins and ends with a slash.
    pub prefix: CompactString,
    /// Where its requests go.
    pub target: RouteTarget,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time from arrival to answer.
    pub timeout: Duration,
    /// Time within which an answer has its full worth; zero where the route has no such goal.
    pub goal: Duration,
    /// Replicas of one service on which a request may run.
    pub attempts: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
}

impl RouteSpec {
    /// The services that requests may go to.
    pub fn services(&self) -> SmallVec<[&ServiceName; 4]> {
        match &self.target {
            RouteTarget::Single(service) => SmallVec::from_slice(&[service]),
            RouteTarget::Split(parts) => parts.iter().map(|(service, _)| service).collect(),
            RouteTarget::Gather { shards, .. } => shards.iter().collect(),
        }
    }
}
