//! What this daemon takes over from daemons that have lost their links to the replicas.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    BundleVersion,
    DaemonName,
    TimePoint, //
};

use super::{
    pending_request::PendingRequest,
    ForwardEngine,
    RelayOffer,
    RelayRefusal, //
};

/// Relayed requests that a daemon has at once at most, from all daemons.
const RELAYED_MAX: u32 = 64;
/// Time after its last question for which another daemon counts as leaning on this one.
const LEANING_PERIOD: Duration = Duration::from_millis(1_500);

/// The daemons that lean on this one and their requests here.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayIntake {
    /// When each daemon last asked, and among how many helpers it divides its requests.
    leaning: BTreeMap<DaemonName, (TimePoint, u32)>,
    /// Relayed requests that have no answer.
    pub(super) in_flight: u32,
}

impl RelayIntake {
    /// Records the question of a daemon that divides its requests among `helpers`.
    pub(super) fn record_ask(&mut self, now: TimePoint, daemon: DaemonName, helpers: u32) {
        self.leaning.insert(daemon, (now, helpers.max(1)));
    }

    /// Requests that may come beside those in flight.
    pub(super) fn free(&self) -> u32 {
        RELAYED_MAX.saturating_sub(self.in_flight)
    }

    /// Daemons whose requests this one forwards, each counted by the share that it sends here. Their own
    /// share of what all daemons divide among themselves is unused meanwhile.
    pub(super) fn borrowed_shares(&mut self, now: TimePoint) -> f64 {
        self.leaning
            .retain(|_, (at, _)| now.since(*at) < LEANING_PERIOD);
        let shares = self.leaning.values();
        shares.map(|(_, helpers)| 1.0 / f64::from(*helpers)).sum()
    }
}

impl ForwardEngine {
    /// The answer to a daemon which asks how many requests this one takes.
    pub fn offer(
        &mut self,
        now: TimePoint,
        from: &DaemonName,
        helpers: u32,
        tables: (BundleVersion, BundleVersion),
    ) -> RelayOffer {
        let (own_table, their_table) = tables;
        if !self.reach.is_connected() {
            return Err(RelayRefusal::Stranded);
        }
        if own_table < their_table {
            return Err(RelayRefusal::OldTable);
        }
        // A daemon that names no helpers only wants a sign of life.
        if helpers > 0 {
            self.intake.record_ask(now, from.clone(), helpers);
            self.update_borrowed(now);
        }
        match self.intake.free() {
            0 => Err(RelayRefusal::NoRoom),
            free => Ok(free),
        }
    }

    /// Whether a request of another daemon is not taken.
    pub(super) fn refuse_relayed(
        &self,
        now: TimePoint,
        request: &PendingRequest,
    ) -> Option<RelayRefusal> {
        request.terms?;
        if !self.reach.is_connected() {
            return Some(RelayRefusal::Stranded);
        }
        // A delegate refuses its own callers and those of others alike where the replicas are overloaded:
        // the other daemon would find the same queues.
        let overloaded =
            !request.is_delegated() && self.overload_retry_after(now, request).is_some();
        if self.intake.free() == 0 || overloaded {
            return Some(RelayRefusal::NoRoom);
        }
        None
    }

    /// Uses the part of the shared limits that stranded daemons leave unused here.
    pub(super) fn update_borrowed(&mut self, now: TimePoint) {
        self.registry.borrowed_shares = self.intake.borrowed_shares(now);
    }
}
