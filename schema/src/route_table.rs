//! A version of the routes.

use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    BundleVersion,
    RouteSpec,
    ServiceName, //
};

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Largest header block, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for the headers of a request.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// All routes of a deployment at one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteTable {
    /// The version. Higher is newer.
    pub version: BundleVersion,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// Services with the connections that each of their replicas accepts from all callers together.
    pub services: Vec<(ServiceName, u32)>,
    /// Bounds of callers' requests.
    pub limits: CallerLimits,
}
