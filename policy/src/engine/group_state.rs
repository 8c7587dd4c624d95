//! Measurements and queues of a service group.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use schema::{
    GroupName,
    GroupPolicy,
    GroupSpec,
    QueryId,
    TimePoint, //
};

use super::{
    latency_window::LatencyWindow,
    snapshot_choice::SnapshotChoice,
    GroupCounts, //
};
use crate::limits::AttemptBudget;

/// Time for which a chosen snapshot is reused.
const SNAPSHOT_CHOICE_TTL: Duration = Duration::from_millis(10);
/// Hedge delay before the first reply.
const FIRST_HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Shortest hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);
/// Weight of the moving average of request times: each new time counts for one in this many.
const EXPECTED_TIME_SAMPLES: u32 = 16;

/// Weight of the moving average of shed attempts: each attempt counts for one in this many.
const SHED_AVERAGE_ATTEMPTS: u32 = 128;
/// Share of shed attempts, in millionths, from which the whole group counts as overloaded.
const OVERLOADED_SHED_PPM: u32 = 100_000;
/// 100 %, in millionths.
const FULL_PPM: u32 = 1_000_000;

/// A part queued for a replica: deadline, request and index of the part.
pub(super) type WaitEntry = (TimePoint, QueryId, usize);

/// State of a service group.
#[derive(Clone, Debug)]
pub(super) struct GroupState {
    /// Name of the group.
    pub(super) name: GroupName,
    /// Counters since the start of the process.
    pub(super) counts: GroupCounts,
    /// Token bucket for hedges and retries.
    pub(super) budget: AttemptBudget,
    /// Recent latencies of sub-queries.
    pub(super) latency: LatencyWindow,
    /// Parts queued for a replica, by the first key of their declared shard.
    pub(super) waiting: BTreeMap<u32, BTreeSet<WaitEntry>>,
    shard_count: usize,
    budget_pct: u32,
    expected_time: Duration,
    shed_ppm: u32,
    admission_overloaded: bool,
    choice: SnapshotChoice,
    choice_expires: TimePoint,
}

impl GroupState {
    /// Creates the state of a group without measurements.
    pub(super) fn new(group: &GroupSpec) -> Self {
        let policy = &group.policy;
        Self {
            name: group.name.clone(),
            counts: GroupCounts::default(),
            budget: AttemptBudget::new(policy.budget_pct),
            latency: LatencyWindow::new(hedge_quantile(policy)),
            waiting: BTreeMap::new(),
            shard_count: group.shards.len(),
            budget_pct: policy.budget_pct,
            expected_time: Duration::ZERO,
            shed_ppm: 0,
            admission_overloaded: false,
            choice: SnapshotChoice::default(),
            choice_expires: TimePoint(0),
        }
    }

    /// Applies the settings of a new bundle.
    pub(super) fn apply(&mut self, group: &GroupSpec) {
        let policy = &group.policy;
        self.shard_count = group.shards.len();
        self.latency.set_quantile(hedge_quantile(policy));
        if self.budget_pct != policy.budget_pct {
            self.budget_pct = policy.budget_pct;
            self.budget = AttemptBudget::new(policy.budget_pct);
        }
    }

    /// Time after which a sub-query is hedged, without the round-trip time of the link.
    pub(super) fn hedge_delay(&self) -> Duration {
        let delay = self.latency.at_quantile().unwrap_or(FIRST_HEDGE_DELAY);
        delay.max(MIN_HEDGE_DELAY)
    }

    /// Records the latency of a sub-query, without the round-trip time of the link.
    pub(super) fn record_latency(&mut self, now: TimePoint, latency: Duration) {
        self.latency.record(now, latency);
        self.shed_ppm -= self.shed_ppm / SHED_AVERAGE_ATTEMPTS;
        self.budget.set_slow(self.is_slow());
    }

    /// Records an attempt that its upstream shed.
    pub(super) fn record_shed(&mut self) {
        self.shed_ppm += (FULL_PPM - self.shed_ppm) / SHED_AVERAGE_ATTEMPTS;
        self.budget.set_slow(self.is_slow());
    }

    /// Sets whether the admission controller refuses requests of the group because of overload.
    pub(super) fn set_admission_overloaded(&mut self, admission_overloaded: bool) {
        self.admission_overloaded = admission_overloaded;
        self.budget.set_slow(self.is_slow());
    }

    /// Whether the group as a whole, not just one replica, is slow or overloaded.
    pub(super) fn is_slow(&self) -> bool {
        let is_shedding = self.shed_ppm >= OVERLOADED_SHED_PPM;
        let is_congested = self.waiting.len() * 2 > self.shard_count;
        self.admission_overloaded || is_shedding || is_congested || self.latency.is_slow()
    }

    /// Expected time of a request; zero before the first answer.
    pub(super) fn expected_time(&self) -> Duration {
        self.expected_time
    }

    /// Updates the expected time with the time of an answered request.
    pub(super) fn record_query_time(&mut self, time: Duration) {
        if self.expected_time.is_zero() {
            self.expected_time = time;
            return;
        }
        let weighted = self.expected_time * (EXPECTED_TIME_SAMPLES - 1);
        self.expected_time = (weighted + time) / EXPECTED_TIME_SAMPLES;
    }

    /// Returns the cached snapshot choice unless it has expired.
    pub(super) fn cached_choice(&self, now: TimePoint) -> Option<SnapshotChoice> {
        (now < self.choice_expires).then_some(self.choice)
    }

    /// Caches a snapshot choice; an empty one expires at once.
    pub(super) fn cache_choice(&mut self, now: TimePoint, choice: SnapshotChoice) {
        self.choice = choice;
        self.choice_expires = now;
        if choice.snapshot.0 != 0 {
            self.choice_expires = now + SNAPSHOT_CHOICE_TTL;
        }
    }

    /// Discards the cached snapshot choice.
    pub(super) fn clear_choice(&mut self) {
        self.choice_expires = TimePoint(0);
    }

    /// Queues a part for a replica of its declared shard.
    pub(super) fn enqueue(&mut self, shard_start: u32, entry: WaitEntry) {
        self.waiting.entry(shard_start).or_default().insert(entry);
    }

    /// Removes a part from the queue of its declared shard.
    pub(super) fn dequeue(&mut self, shard_start: u32, entry: WaitEntry) {
        let Some(entries) = self.waiting.get_mut(&shard_start) else {
            return;
        };
        entries.remove(&entry);
        if entries.is_empty() {
            self.waiting.remove(&shard_start);
        }
    }

    /// Returns the queued part with the earliest deadline.
    pub(super) fn first_waiting(&self, shard_start: u32) -> Option<WaitEntry> {
        self.waiting.get(&shard_start)?.first().copied()
    }
}

/// The quantile of the latencies at which sub-queries are hedged: the configured one, or a higher
/// one where that would cause more hedges than the budget allows.
fn hedge_quantile(policy: &GroupPolicy) -> f64 {
    let configured = f64::from(policy.hedge_quantile_pct) / 100.0;
    let affordable = 1.0 - f64::from(policy.budget_pct) * 0.9 / 100.0;
    configured.max(affordable)
}
