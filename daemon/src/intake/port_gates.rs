//! The gates of the ports for callers and other daemons.

use policy::intake::IntakeSettings;
use prometheus_client::registry::Registry;
use slog::Logger;

use super::{
    IntakeGate,
    IntakeMetrics, //
};
use crate::{
    daemon_error::DaemonError,
    events,
    log_event, //
};

/// The gates of the ports for callers and other daemons, whose limits follow from the machine.
#[derive(Debug)]
pub(crate) struct PortGates {
    pub(crate) callers: IntakeGate,
    pub(crate) peers: IntakeGate,
}

impl PortGates {
    /// Sizes the gates for the memory and the descriptors of the process, those of the smallest machine
    /// if unknown, with at most `callers_max` connections of callers, and logs the limits.
    ///
    /// # Errors
    ///
    /// [`DaemonError::LimitsTooSmall`] if that leaves too little to serve.
    pub(crate) fn open(
        memory: Option<u64>,
        descriptors: Option<u32>,
        callers_max: usize,
        log: &Logger,
        registry: &mut Registry,
    ) -> Result<Self, DaemonError> {
        let callers = IntakeSettings::of_callers(memory, descriptors);
        let mut callers = callers.map_err(DaemonError::LimitsTooSmall)?;
        callers.connections_max = callers.connections_max.min(callers_max);
        let peers = IntakeSettings::of_peers(memory, descriptors);
        let peers = peers.map_err(DaemonError::LimitsTooSmall)?;
        log_event!(
            log, events::INTAKE_SIZED,
            "caller_connections" => callers.connections_max,
            "caller_bytes" => callers.bytes_max,
            "peer_connections" => peers.connections_max, "peer_bytes" => peers.bytes_max,
        );
        let metrics = IntakeMetrics::register(registry);
        let gate = |port, settings| IntakeGate::new(port, settings, log.clone(), metrics.clone());
        Ok(Self {
            callers: gate("callers", callers),
            peers: gate("peers", peers),
        })
    }
}
