//! Attempts in flight, and the updates of replicas and groups when they end.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    AttemptId,
    QueryId,
    SnapshotId,
    TimePoint,
    VmName, //
};

use super::{
    attempt_record::AttemptRecord,
    group_state::GroupState,
    query_run::QueryRun,
    silence_detector::SilenceDetector,
    snapshot_choice::SnapshotChoice,
    span_part::PartState,
    AttemptFailure,
    EngineAction,
    EngineNote,
    PlacedReplica,
    ReplicaLoad,
    SendOrder, //
};
use crate::{
    limits::AttemptUrgency,
    replicas::{
        AttemptOutcome,
        PickCriteria,
        PickResult,
        PickedReplica,
        ReplicaPool,
        DRAIN_PERIOD, //
    },
};

/// Age, in quarters of the hedge delay, at which an unproven query is hedged. It is higher than for
/// other queries because the hedge may crash a second replica.
const UNPROVEN_HEDGE_QUARTERS: u32 = 5;

/// Sends attempts, tracks them until they end, and updates the replicas and groups.
pub(super) struct AttemptTracker {
    /// Replicas to choose from.
    pub(super) pool: ReplicaPool,
    /// Service groups, in the order in which bundles first named them. Indexes stay valid because
    /// groups are never removed.
    pub(super) groups: Vec<GroupState>,
    /// Attempts in flight.
    pub(super) records: BTreeMap<AttemptId, AttemptRecord>,
    /// Notes raised while the current event is handled.
    pub(super) notes: Vec<EngineNote>,
    /// Declared shards that have a free replica again: index of the group and first key of the
    /// shard.
    pub(super) freed_shards: Vec<(usize, u32)>,
    silence: SilenceDetector,
    next_attempt: u64,
}

impl AttemptTracker {
    /// Creates a tracker without attempts.
    pub(super) fn new(pool: ReplicaPool) -> Self {
        Self {
            pool,
            groups: Vec::new(),
            records: BTreeMap::new(),
            notes: Vec::new(),
            freed_shards: Vec::new(),
            silence: SilenceDetector::default(),
            next_attempt: 1,
        }
    }

    /// Applies a new VM list.
    pub(super) fn set_replicas(&mut self, now: TimePoint, replicas: &[PlacedReplica]) {
        self.pool.apply_placement(now, replicas, &mut self.notes);
        let mut known: Vec<VmName> = replicas.iter().map(|placed| placed.vm.clone()).collect();
        known.sort_unstable();
        self.silence.retain(&known);
        for group in &mut self.groups {
            group.clear_choice();
        }
    }

    /// Picks a replica for a part of `run`.
    pub(super) fn pick(&mut self, now: TimePoint, run: &QueryRun, index: usize) -> PickResult {
        let part = &run.parts[index];
        let request = PickCriteria {
            group: &run.call.group,
            span: part.span,
            snapshot: run.snapshot,
            avoid: &part.tried,
            deadline: run.answer_by,
            unproven: run.designated_only.then_some(run.fingerprint),
        };
        self.pool.pick(now, &request)
    }

    /// Sends an attempt at a part of `run` to the picked replica.
    pub(super) fn send(
        &mut self,
        now: TimePoint,
        run: &mut QueryRun,
        index: usize,
        picked: PickedReplica,
        hedge: bool,
        actions: &mut Vec<EngineAction>,
    ) {
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        self.pool.begin_attempt(now, &picked.vm);
        let retry = !hedge && run.parts[index].failures > 0;
        self.count_send(run, hedge, retry);
        run.add_attempt(index, attempt);
        let part = &mut run.parts[index];
        part.tried.push(picked.vm.clone());
        let shard_start = part.shard_start;
        let span = part.span;
        let delay = self.groups[run.group_index].hedge_delay();
        let delay = if run.unproven {
            delay * UNPROVEN_HEDGE_QUARTERS / 4
        } else {
            delay
        };
        let due = now + delay + picked.round_trip;
        run.schedule(index, PartState::Sent, due);
        self.records.insert(
            attempt,
            AttemptRecord {
                query: run.query,
                part: index,
                shard_start,
                vm: picked.vm.clone(),
                ordered_at: now,
                link_rtt: picked.round_trip,
                sent: false,
                hedge,
            },
        );
        actions.push(EngineAction::Send(SendOrder {
            attempt,
            query: run.query,
            vm: picked.vm,
            address: picked.address,
            group: run.call.group.clone(),
            shard: picked.shard,
            span,
            snapshot: run.snapshot,
            deadline: run.answer_by,
            body: run.call.body.clone(),
            once_key: run.call.once_key.clone(),
            connections: picked.connections,
            extra: hedge || retry,
        }));
    }

    fn count_send(&mut self, run: &mut QueryRun, hedge: bool, retry: bool) {
        let group = &mut self.groups[run.group_index];
        run.sent += 1;
        if hedge {
            group.counts.hedges += 1;
            run.extra += 1;
            return;
        }
        if retry {
            group.counts.retries += 1;
            run.extra += 1;
            return;
        }
        group.counts.first_attempts += 1;
        group.budget.earn();
    }

    /// Time since the oldest in-flight attempt at a part of `run` was sent.
    pub(super) fn part_age(&self, now: TimePoint, run: &QueryRun, index: usize) -> Duration {
        let attempts = run.parts[index].attempts.iter();
        let records = attempts.filter_map(|attempt| self.records.get(attempt));
        let ages = records.map(|record| now.since(record.ordered_at));
        ages.max().unwrap_or(Duration::ZERO)
    }

    /// Spends a token of the group's budget on a hedge or a retry; false if there is none.
    pub(super) fn spend_token(&mut self, group_index: usize, urgency: AttemptUrgency) -> bool {
        let group = &mut self.groups[group_index];
        let granted = group.budget.spend(urgency);
        group.counts.budget_refusals += u64::from(!granted);
        granted
    }

    /// Records that the first byte of an attempt is about to be written, and returns its request.
    pub(super) fn mark_sent(&mut self, attempt: AttemptId) -> Option<QueryId> {
        let record = self.records.get_mut(&attempt)?;
        record.sent = true;
        Some(record.query)
    }

    /// Ends an attempt that was answered and records its latency.
    pub(super) fn finish_replied(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        group_index: usize,
        load: &ReplicaLoad,
        actions: &mut Vec<EngineAction>,
    ) -> Option<AttemptRecord> {
        let record = self.remove_record(attempt, group_index)?;
        let latency = now.since(record.ordered_at);
        let outcome = AttemptOutcome::Replied { latency };
        let notes = &mut self.notes;
        self.pool
            .finish_attempt(now, &record.vm, outcome, Some(load), notes);
        self.groups[group_index].record_latency(now, latency.saturating_sub(record.link_rtt));
        self.silence.record_reply(&record.vm, now);
        self.report_drain(now, &record.vm, load.draining, actions);
        Some(record)
    }

    /// Ends an attempt that failed.
    pub(super) fn finish_failed(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        group_index: usize,
        failure: AttemptFailure,
        load: Option<&ReplicaLoad>,
        actions: &mut Vec<EngineAction>,
    ) -> Option<AttemptRecord> {
        let record = self.remove_record(attempt, group_index)?;
        let latency = now.since(record.ordered_at);
        let outcome = AttemptOutcome::Failed { failure, latency };
        self.pool
            .finish_attempt(now, &record.vm, outcome, load, &mut self.notes);
        self.groups[group_index].counts.failures += 1;
        if failure == AttemptFailure::Shed {
            self.groups[group_index].record_shed();
        }
        if matches!(
            failure,
            AttemptFailure::SnapshotGone | AttemptFailure::RangeGone
        ) {
            self.groups[group_index].clear_choice();
        }
        let draining =
            failure == AttemptFailure::Draining || load.is_some_and(|load| load.draining);
        self.report_drain(now, &record.vm, draining, actions);
        Some(record)
    }

    /// Cancels an attempt. `lost_race` means that another attempt at the same part replied first.
    pub(super) fn cancel(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        group_index: usize,
        lost_race: bool,
        actions: &mut Vec<EngineAction>,
    ) -> Option<AttemptRecord> {
        let record = self.remove_record(attempt, group_index)?;
        let latency = now.since(record.ordered_at);
        let outcome = AttemptOutcome::Cancelled { latency };
        self.pool
            .finish_attempt(now, &record.vm, outcome, None, &mut self.notes);
        actions.push(EngineAction::Cancel { attempt });
        if !record.sent {
            return Some(record);
        }
        self.groups[group_index].record_latency(now, latency.saturating_sub(record.link_rtt));
        if lost_race
            && !record.hedge
            && self
                .silence
                .record_lost_race(&record.vm, now, record.ordered_at)
        {
            self.notes.push(EngineNote::ConnectionSilent {
                vm: record.vm.clone(),
            });
            actions.push(EngineAction::CloseIdle {
                vm: record.vm.clone(),
            });
        }
        Some(record)
    }

    /// Cancels the in-flight attempts of `run` and dequeues its waiting parts.
    pub(super) fn cancel_all(
        &mut self,
        now: TimePoint,
        run: &mut QueryRun,
        actions: &mut Vec<EngineAction>,
    ) {
        for index in 0..run.parts.len() {
            if run.parts[index].state == PartState::Waiting {
                self.dequeue(run, index);
            }
            for attempt in std::mem::take(&mut run.parts[index].attempts) {
                let record = self.cancel(now, attempt, run.group_index, false, actions);
                run.may_have_run |= record.is_some_and(|record| record.sent);
            }
        }
    }

    /// Queues a part of `run` for a replica; it is tried again at `due` at the latest.
    pub(super) fn enqueue(&mut self, run: &mut QueryRun, index: usize, due: TimePoint) {
        run.schedule(index, PartState::Waiting, due);
        let entry = (run.answer_by, run.query, index);
        run.parts[index].queue_deadline = run.answer_by;
        self.groups[run.group_index].enqueue(run.parts[index].shard_start, entry);
    }

    /// Removes a part of `run` from the queue of its shard.
    pub(super) fn dequeue(&mut self, run: &QueryRun, index: usize) {
        let part = &run.parts[index];
        let entry = (part.queue_deadline, run.query, index);
        self.groups[run.group_index].dequeue(part.shard_start, entry);
    }

    /// Chooses the snapshot for a new answer of the group at `group_index`.
    pub(super) fn choose_snapshot(&mut self, now: TimePoint, group_index: usize) -> SnapshotChoice {
        let group = &mut self.groups[group_index];
        if let Some(choice) = group.cached_choice(now) {
            return choice;
        }
        let views = self.pool.views(now, &group.name);
        let choice = SnapshotChoice::best(&views);
        group.cache_choice(now, choice);
        choice
    }

    /// Returns a snapshot that reaches more keys than that of `run` and that `run` has not
    /// abandoned.
    pub(super) fn better_snapshot(&mut self, now: TimePoint, run: &QueryRun) -> Option<SnapshotId> {
        self.groups[run.group_index].clear_choice();
        let choice = self.choose_snapshot(now, run.group_index);
        let abandoned = run.abandoned_snapshots.contains(&choice.snapshot);
        let usable = choice.snapshot != run.snapshot && choice.snapshot.0 != 0 && !abandoned;
        (usable && choice.keys > run.reachable_keys()).then_some(choice.snapshot)
    }

    fn remove_record(&mut self, attempt: AttemptId, group_index: usize) -> Option<AttemptRecord> {
        let record = self.records.remove(&attempt)?;
        if !self.groups[group_index].waiting.is_empty() {
            self.freed_shards.push((group_index, record.shard_start));
        }
        Some(record)
    }

    fn report_drain(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        draining: bool,
        actions: &mut Vec<EngineAction>,
    ) {
        if !draining {
            return;
        }
        let until = now + DRAIN_PERIOD;
        if self.pool.mark_draining(now, vm, until, &mut self.notes) {
            let vm = vm.clone();
            actions.push(EngineAction::BroadcastDrain { vm, until });
        }
    }
}
