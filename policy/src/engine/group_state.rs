//! What the engine has learned of a service group.

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

/// Time for which a choice of snapshot is kept.
const CHOICE_TTL: Duration = Duration::from_millis(10);
/// Hedge delay before the first reply.
const FIRST_HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Shortest hedge delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);
/// Share of a new query time in the expected one.
const EXPECTED_SHARE: u32 = 16;

/// Attempts over which the share of shed ones is averaged.
const SHED_ATTEMPTS: u32 = 128;
/// Share of attempts shed, in millionths, at which the group as a whole is overloaded.
const SHED_SHARE_SLOW: u32 = 100_000;
/// The whole, in millionths.
const WHOLE_PPM: u32 = 1_000_000;

/// A part that waits for a replica: deadline, request and index of the part.
pub(super) type WaitEntry = (TimePoint, QueryId, usize);

/// State of a service group.
#[derive(Clone, Debug)]
pub(super) struct GroupState {
    /// Name.
    pub(super) name: GroupName,
    /// Counters.
    pub(super) counts: GroupCounts,
    /// Hedges and retries.
    pub(super) budget: AttemptBudget,
    /// Latencies of sub-queries.
    pub(super) latency: LatencyWindow,
    /// Parts that wait for a replica, by the first key of their declared shard.
    pub(super) waiting: BTreeMap<u32, BTreeSet<WaitEntry>>,
    shards: usize,
    budget_pct: u32,
    expected: Duration,
    shed_ppm: u32,
    refusing: bool,
    choice: SnapshotChoice,
    chosen_until: TimePoint,
}

impl GroupState {
    /// The state of a group that has not been asked yet.
    pub(super) fn new(group: &GroupSpec) -> Self {
        let policy = &group.policy;
        Self {
            name: group.name.clone(),
            counts: GroupCounts::default(),
            budget: AttemptBudget::new(policy.budget_pct),
            latency: LatencyWindow::new(hedge_quantile(policy)),
            waiting: BTreeMap::new(),
            shards: group.shards.len(),
            budget_pct: policy.budget_pct,
            expected: Duration::ZERO,
            shed_ppm: 0,
            refusing: false,
            choice: SnapshotChoice::default(),
            chosen_until: TimePoint(0),
        }
    }

    /// Takes what a new bundle says of the group.
    pub(super) fn apply(&mut self, group: &GroupSpec) {
        let policy = &group.policy;
        self.shards = group.shards.len();
        self.latency.set_quantile(hedge_quantile(policy));
        if self.budget_pct != policy.budget_pct {
            self.budget_pct = policy.budget_pct;
            self.budget = AttemptBudget::new(policy.budget_pct);
        }
    }

    /// Age at which a sub-query is hedged, without its link.
    pub(super) fn hedge_delay(&self) -> Duration {
        let delay = self.latency.at_quantile().unwrap_or(FIRST_HEDGE_DELAY);
        delay.max(MIN_HEDGE_DELAY)
    }

    /// Counts the latency of a sub-query, without its link.
    pub(super) fn record_latency(&mut self, now: TimePoint, latency: Duration) {
        self.latency.record(now, latency);
        self.shed_ppm -= self.shed_ppm / SHED_ATTEMPTS;
        self.budget.set_slow(self.is_slow());
    }

    /// Counts an attempt that its upstream shed.
    pub(super) fn record_shed(&mut self) {
        self.shed_ppm += (WHOLE_PPM - self.shed_ppm) / SHED_ATTEMPTS;
        self.budget.set_slow(self.is_slow());
    }

    /// Says whether the gate refuses requests for lack of room.
    pub(super) fn set_refusing(&mut self, refusing: bool) {
        self.refusing = refusing;
        self.budget.set_slow(self.is_slow());
    }

    /// Whether the group as a whole, not one replica of it, is slow or overloaded.
    pub(super) fn is_slow(&self) -> bool {
        let shedding = self.shed_ppm >= SHED_SHARE_SLOW;
        let waiting = self.waiting.len() * 2 > self.shards;
        self.refusing || shedding || waiting || self.latency.is_slow()
    }

    /// Time that a query is expected to run for; zero before the first.
    pub(super) fn expected(&self) -> Duration {
        self.expected
    }

    /// Counts the time of a query that was heard.
    pub(super) fn record_query(&mut self, time: Duration) {
        if self.expected.is_zero() {
            self.expected = time;
            return;
        }
        let rest = self.expected * (EXPECTED_SHARE - 1);
        self.expected = (rest + time) / EXPECTED_SHARE;
    }

    /// The choice of snapshot, if it is fresh.
    pub(super) fn choice(&self, now: TimePoint) -> Option<SnapshotChoice> {
        (now < self.chosen_until).then_some(self.choice)
    }

    /// Keeps a choice of snapshot; one without a snapshot is not kept.
    pub(super) fn set_choice(&mut self, now: TimePoint, choice: SnapshotChoice) {
        self.choice = choice;
        self.chosen_until = now;
        if choice.snapshot.0 != 0 {
            self.chosen_until = now + CHOICE_TTL;
        }
    }

    /// Forgets the choice of snapshot.
    pub(super) fn drop_choice(&mut self) {
        self.chosen_until = TimePoint(0);
    }

    /// Adds a part that waits for a replica.
    pub(super) fn wait(&mut self, home: u32, entry: WaitEntry) {
        self.waiting.entry(home).or_default().insert(entry);
    }

    /// Takes a part that waits off the list.
    pub(super) fn unwait(&mut self, home: u32, entry: WaitEntry) {
        let Some(entries) = self.waiting.get_mut(&home) else {
            return;
        };
        entries.remove(&entry);
        if entries.is_empty() {
            self.waiting.remove(&home);
        }
    }

    /// The part of a declared shard with the nearest deadline.
    pub(super) fn first_waiting(&self, home: u32) -> Option<WaitEntry> {
        self.waiting.get(&home)?.first().copied()
    }
}

/// The quantile to hedge at: the bundle's, or a higher one where that would ask for more hedges
/// than the budget has.
fn hedge_quantile(policy: &GroupPolicy) -> f64 {
    let declared = f64::from(policy.hedge_quantile_pct) / 100.0;
    let affordable = 1.0 - f64::from(policy.budget_pct) * 0.9 / 100.0;
    declared.max(affordable)
}
