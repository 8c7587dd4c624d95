//! The route table, with the limits that apply to callers.

use std::time::Duration;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    AccountSpec,
    BundleVersion,
    ColdLimit,
    RouteSpec,
    ServiceName, //
};

/// Limits on the size of requests and on how long their connections may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of the header block, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which the headers of a request must arrive.
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

/// All routes of a deployment in one version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RouteTable {
    /// Version of the configuration. Higher versions are newer.
    pub version: BundleVersion,
    /// Routes in the order of the configuration.
    pub routes: Vec<RouteSpec>,
    /// Services, each with the number of connections that one of its replicas accepts from all
    /// callers together.
    pub services: Vec<(ServiceName, u32)>,
    /// Limits for requests of callers.
    pub limits: CallerLimits,
    /// Services, each with the path at which its replicas answer health checks, if it has one.
    pub health_paths: Vec<(ServiceName, CompactString)>,
    /// Client accounts that could be read.
    #[serde(skip)]
    pub accounts: Vec<AccountSpec>,
    /// Whether requests need an API key: the configuration names accounts, even if none could be read.
    #[serde(skip)]
    pub needs_keys: bool,
    /// Services whose replicas bear less while they are cold.
    #[serde(skip)]
    pub cold_limits: Vec<(ServiceName, ColdLimit)>,
}
