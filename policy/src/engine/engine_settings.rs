//! Settings of the query engine.

use schema::{
    DaemonName,
    ZoneName, //
};

/// Settings of the query engine, fixed for the life of the process.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Data centre of the daemon.
    pub zone: ZoneName,
    /// Name of the daemon.
    pub name: DaemonName,
    /// Seed of the engine's random choices.
    pub seed: u64,
    /// Upper bound of requests running and waiting for admission.
    pub max_requests: u32,
}
