//! Finds out whether a replica that broke a connection has crashed.
//!
//! A reset, a lost reply and a crash look alike to the request: its connection ends before the
//! reply is complete. The daemon opens another connection to tell them apart. A replica whose
//! process has ended refuses it.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::TimePoint;

use super::ReplicaKey;

/// Time for which a replica that accepted a probe is not probed again. Replicas with too many
/// connections reset them by the hundred, and probes must not add to that.
const ACCEPTED_PERIOD: Duration = Duration::from_millis(250);

/// The broken attempts of replicas that are being probed.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashProbes {
    /// Number of broken attempts by replica.
    waiting: BTreeMap<ReplicaKey, usize>,
    accepted_at: BTreeMap<ReplicaKey, TimePoint>,
}

impl CrashProbes {
    /// Adds a broken attempt. Returns whether a probe of the replica has to be started; none is
    /// while one runs, or shortly after the replica accepted one.
    pub(super) fn add(&mut self, now: TimePoint, key: ReplicaKey) -> bool {
        if let Some(attempts) = self.waiting.get_mut(&key) {
            *attempts += 1;
            return false;
        }
        let accepted_at = self.accepted_at.get(&key);
        if accepted_at.is_some_and(|at| now.since(*at) < ACCEPTED_PERIOD) {
            return false;
        }
        self.waiting.insert(key, 1);
        true
    }

    /// Ends the probe of a replica; returns the number of attempts that waited for it.
    pub(super) fn finish(&mut self, now: TimePoint, key: ReplicaKey, accepted: bool) -> usize {
        self.accepted_at
            .retain(|_, at| now.since(*at) < ACCEPTED_PERIOD);
        if accepted {
            self.accepted_at.insert(key, now);
        }
        self.waiting.remove(&key).unwrap_or_default()
    }
}
