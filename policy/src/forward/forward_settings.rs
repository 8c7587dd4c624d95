//! Settings of the forwarding engine.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    ColdBounds,
    CpuCapacity,
    DaemonName,
    RateBounds,
    RegionName,
    ZoneName, //
};

use crate::work::WorkSettings;

/// Settings that are fixed when the engine is created.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// Name of this daemon.
    pub daemon: DaemonName,
    /// The data centre of this daemon.
    pub zone: ZoneName,
    /// The region of each data centre.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Seed of the engine's random choices and of its preference among remote replicas.
    pub seed: u64,
    /// Hedges and retries allowed for each first attempt at a service.
    pub retry_budget_ratio: f64,
    /// Hedges and retries allowed for each service and window in addition to the ratio, over all
    /// daemons together.
    pub retry_budget_slack: f64,
    /// Length of the sliding window for which ratio and slack hold.
    pub retry_budget_window: Duration,
    /// Processor capacity of this daemon, as the other daemons know it.
    pub capacity: CpuCapacity,
    /// Distinguishes this run of the daemon's process from earlier ones; later runs have greater numbers.
    pub incarnation: u64,
    /// How far accounts may exceed their quotas; `None` if there are no quotas.
    pub quota_bounds: Option<RateBounds>,
    /// How far rates of cold replicas may be exceeded; `None` if the deployment has none.
    pub cold_bounds: Option<ColdBounds>,
    /// Parts of the work-aware forwarding that are in use.
    pub work: WorkSettings,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            daemon: DaemonName::from_static("daemon"),
            zone: ZoneName::from_static("zone"),
            regions: BTreeMap::new(),
            seed: 0,
            retry_budget_ratio: 0.2,
            retry_budget_slack: 0.0,
            retry_budget_window: Duration::from_secs(10),
            capacity: CpuCapacity::default(),
            incarnation: 0,
            quota_bounds: None,
            cold_bounds: None,
            work: WorkSettings::default(),
        }
    }
}
