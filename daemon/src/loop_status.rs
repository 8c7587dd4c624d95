//! Builds the reply to `/status`.

use schema::TimePoint;

use crate::{
    daemon_core::DaemonCore,
    status_body::{
        GroupEntry,
        StatusBody, //
    },
};

impl DaemonCore {
    fn bundle_digest(&self) -> String {
        let active = self.chain.in_force();
        active
            .map(|active| active.digest.to_string())
            .unwrap_or_default()
    }

    /// The state of the daemon, for `/status`.
    pub(crate) fn status(&self, now: TimePoint) -> StatusBody {
        let engine = self.engine.status(now);
        let groups = engine.groups.iter().map(|group| GroupEntry {
            name: group.name.to_string(),
            hedge_delay_us: group
                .hedge_delay
                .map_or(0, |delay| delay.as_micros() as u64),
            slow: group.slow,
            replicas: group.replicas.len() as u64,
        });
        StatusBody {
            name: self.config.name.to_string(),
            deployment: self.config.deployment.to_string(),
            zone: self.config.zone.to_string(),
            cell: self.writer.cell.to_string(),
            incarnation: self.writer.incarnation.0,
            phase: self.phase().to_string(),
            bundle_version: engine.bundle.0,
            requests: self.calls.len() as u64,
            attempts: self.attempts.len() as u64,
            connections: self.pool.open_count().into(),
            groups: groups.collect(),
            peers: self.peer_entries(),
            draining: self
                .peers
                .drains()
                .keys()
                .map(|vm| vm.to_string())
                .collect(),
            quarantined: self
                .peers
                .quarantines()
                .map(|print| print.to_string())
                .collect(),
            bundle_digest: self.bundle_digest(),
            charges_waiting: self
                .ledger
                .as_ref()
                .map_or(0, |ledger| ledger.waiting_count()),
            store: store_label(self.store_up).into(),
            // Limits and rests of upstreams, relays between daemons and evacuations exist on the platform only.
            limits: Vec::new(),
            resting: Vec::new(),
            stranded: None,
            relayed: 0,
            evacuated: Vec::new(),
        }
    }
}

fn store_label(up: Option<bool>) -> &'static str {
    match up {
        None => "unknown",
        Some(true) => "up",
        Some(false) => "down",
    }
}
