//! Counts of the queries that upstreams have run.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex, //
    },
};

use crate::lock;

/// Counts the runs that began on all upstreams that share the log. Clones refer to the same log.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    state: Arc<Mutex<LogState>>,
}

#[derive(Debug, Default)]
struct LogState {
    total: u64,
    by_body: BTreeMap<(String, String), u64>,
    by_key: BTreeMap<(String, String), u64>,
}

impl RunLog {
    /// Records that a run of `query` in `group` begins. `count_body` also counts it by its body.
    pub(crate) fn record_run(&self, group: &str, query: &str, once_key: &str, count_body: bool) {
        let state = &mut *lock(&self.state);
        state.total += 1;
        if !once_key.is_empty() {
            let entry_key = (group.into(), once_key.into());
            *state.by_key.entry(entry_key).or_default() += 1;
        }
        if count_body {
            let entry_key = (group.into(), query.into());
            *state.by_body.entry(entry_key).or_default() += 1;
        }
    }

    /// Number of runs in all groups.
    pub fn total(&self) -> u64 {
        lock(&self.state).total
    }

    /// Number of runs of a query body in a group; zero unless `log_bodies` is set.
    pub fn of_body(&self, group: &str, body: &str) -> u64 {
        let entry_key = (group.to_owned(), body.to_owned());
        lock(&self.state)
            .by_body
            .get(&entry_key)
            .copied()
            .unwrap_or(0)
    }

    /// Number of runs with an idempotency key in a group.
    pub fn of_key(&self, group: &str, key: &str) -> u64 {
        let entry_key = (group.to_owned(), key.to_owned());
        lock(&self.state)
            .by_key
            .get(&entry_key)
            .copied()
            .unwrap_or(0)
    }

    /// Idempotency keys that ran more than once, each as its group, key and number of runs.
    pub fn repeated_keys(&self) -> Vec<(String, String, u64)> {
        let state = lock(&self.state);
        let repeated = state.by_key.iter().filter(|(_, count)| **count > 1);
        repeated
            .map(|((group, key), count)| (group.clone(), key.clone(), *count))
            .collect()
    }
}
