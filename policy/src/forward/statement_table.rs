//! Statements of replicas that the directory no longer lists. A replica whose registration has only
//! expired comes back with the same start, and what it said still holds.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::TimePoint;

/// Time for which the statements of a replica that is not listed are kept.
const KEPT_PERIOD: Duration = Duration::from_secs(600);
/// Replicas that are kept at most; the oldest are dropped first.
const KEPT_MAX: usize = 4_096;

/// What holds for one start of a replica.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct KeptStatements {
    /// When it first said that it leaves.
    pub(super) leaving_since: Option<TimePoint>,
    /// When the rest ends that it wants from this daemon.
    pub(super) rest_until: TimePoint,
    /// Whether it has not served a request since it wanted a rest. Until then it gets one at a time.
    pub(super) on_trial: bool,
}

/// The statements by the number that identifies a replica and its start.
#[derive(Clone, Debug, Default)]
pub(super) struct StatementTable {
    kept: BTreeMap<u64, (TimePoint, KeptStatements)>,
}

impl StatementTable {
    /// Keeps the statements of a replica that is forgotten, unless it has made none.
    pub(super) fn keep(&mut self, now: TimePoint, instance: u64, statements: KeptStatements) {
        self.kept
            .retain(|_, (since, _)| now.since(*since) < KEPT_PERIOD);
        if statements == KeptStatements::default() {
            return;
        }
        if self.kept.len() >= KEPT_MAX {
            let oldest = self.kept.iter().min_by_key(|(_, (since, _))| *since);
            if let Some(oldest) = oldest.map(|(instance, _)| *instance) {
                self.kept.remove(&oldest);
            }
        }
        self.kept.insert(instance, (now, statements));
    }

    /// Takes the statements of a replica that is listed again.
    pub(super) fn take(&mut self, instance: u64) -> KeptStatements {
        let kept = self.kept.remove(&instance);
        kept.map_or_else(KeptStatements::default, |(_, statements)| statements)
    }
}
