//! Settings of the forwarding engine.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    RegionName,
    ZoneName, //
};

/// What the engine is told at its start.
#[derive(Clone, Debug)]
pub struct ForwardSettings {
    /// The daemon's data centre.
    pub zone: ZoneName,
    /// Region of each data centre.
    pub regions: BTreeMap<ZoneName, RegionName>,
    /// Seed of its random choices.
    pub seed: u64,
    /// Second sends to each first one of a service.
    pub extra_ratio: f64,
    /// Second sends to a service beside that share in each window, over all daemons.
    pub extra_slack: f64,
    /// Window in which the ratio holds.
    pub extra_window: Duration,
}

impl Default for ForwardSettings {
    fn default() -> Self {
        Self {
            zone: ZoneName::from_static("zone"),
            regions: BTreeMap::new(),
            seed: 0,
            extra_ratio: 0.2,
            extra_slack: 0.0,
            extra_window: Duration::from_secs(10),
        }
    }
}
