//! Settings of the table of rates.

use schema::{
    CpuCapacity,
    DaemonName, //
};

/// Settings that are fixed when the table is created.
#[derive(Clone, Debug)]
pub struct RateSettings {
    /// Name of this daemon.
    pub daemon: DaemonName,
    /// Its processor capacity.
    pub capacity: CpuCapacity,
    /// Distinguishes this run of the daemon's process from earlier ones; later runs have greater numbers.
    pub incarnation: u64,
}

impl Default for RateSettings {
    fn default() -> Self {
        Self {
            daemon: DaemonName::from_static("daemon"),
            capacity: CpuCapacity::default(),
            incarnation: 0,
        }
    }
}

/// Another daemon that is alive and shares rates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RateMember {
    /// Its name.
    pub daemon: DaemonName,
    /// Its processor capacity.
    pub capacity: CpuCapacity,
}
