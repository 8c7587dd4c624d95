//! Settings of the pool of replicas.

use schema::{
    DaemonName,
    ZoneName, //
};

/// Identity of the daemon that the pool belongs to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolSettings {
    /// Data centre of this daemon.
    pub zone: ZoneName,
    /// Name of this daemon.
    pub name: DaemonName,
    /// Seed of the pool's random choices. It is combined with the name, so daemons with equal seeds
    /// choose differently.
    pub seed: u64,
}
