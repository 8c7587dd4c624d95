//! Attempts: their sending, their ends, and what is learned from them.

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
    attempt_track::AttemptTrack,
    group_state::GroupState,
    query_run::QueryRun,
    silence_watch::SilenceWatch,
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
    limits::WorkUrgency,
    replicas::{
        AttemptOutcome,
        PickCriteria,
        PickResult,
        PickedReplica,
        ReplicaPool,
        DRAIN_PERIOD, //
    },
};

/// Age, in quarters of the hedge delay, at which a trial is hedged: its hedge may cost a second
/// replica.
const TRIAL_HEDGE: u32 = 5;

/// Sends attempts and keeps account of them.
pub(super) struct AttemptDesk {
    /// Replicas.
    pub(super) pool: ReplicaPool,
    /// Service groups, in order of first sight.
    pub(super) groups: Vec<GroupState>,
    /// Attempts that are out.
    pub(super) tracks: BTreeMap<AttemptId, AttemptTrack>,
    /// Notes of this event.
    pub(super) notes: Vec<EngineNote>,
    /// Declared shards with a replica that has come free: index of the group and first key.
    pub(super) freed: Vec<(usize, u32)>,
    silence: SilenceWatch,
    next_attempt: u64,
}

impl AttemptDesk {
    /// A desk with nothing out.
    pub(super) fn new(pool: ReplicaPool) -> Self {
        Self {
            pool,
            groups: Vec::new(),
            tracks: BTreeMap::new(),
            notes: Vec::new(),
            freed: Vec::new(),
            silence: SilenceWatch::default(),
            next_attempt: 1,
        }
    }

    /// Takes the VM list over.
    pub(super) fn place(&mut self, now: TimePoint, replicas: &[PlacedReplica]) {
        self.pool.apply_placement(now, replicas, &mut self.notes);
        let mut known: Vec<VmName> = replicas.iter().map(|placed| placed.vm.clone()).collect();
        known.sort_unstable();
        self.silence.keep(&known);
        for group in &mut self.groups {
            group.drop_choice();
        }
    }

    /// Asks for a replica for a part of `run`.
    pub(super) fn pick(&mut self, now: TimePoint, run: &QueryRun, index: usize) -> PickResult {
        let part = &run.parts[index];
        let criteria = PickCriteria {
            group: &run.call.group,
            span: part.span,
            snapshot: run.snapshot,
            avoid: &part.tried,
            deadline: run.close_at,
            unproven: run.paired.then_some(run.print),
        };
        self.pool.pick(now, &criteria)
    }

    /// Orders an attempt for a part of `run`.
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
        let home = part.home;
        let span = part.span;
        let delay = self.groups[run.slot].hedge_delay();
        let delay = if run.trial {
            delay * TRIAL_HEDGE / 4
        } else {
            delay
        };
        let due = now + delay + picked.round_trip;
        run.rest(index, PartState::Running, due);
        self.tracks.insert(
            attempt,
            AttemptTrack {
                query: run.query,
                part: index,
                home,
                vm: picked.vm.clone(),
                ordered: now,
                link: picked.round_trip,
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
            deadline: run.close_at,
            body: run.call.body.clone(),
            once_key: run.call.once_key.clone(),
            connections: picked.connections,
            extra: hedge || retry,
        }));
    }

    fn count_send(&mut self, run: &mut QueryRun, hedge: bool, retry: bool) {
        let group = &mut self.groups[run.slot];
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
        group.counts.firsts += 1;
        group.budget.earn();
    }

    /// Time since the oldest attempt that is out at a part of `run` was ordered.
    pub(super) fn part_age(&self, now: TimePoint, run: &QueryRun, index: usize) -> Duration {
        let attempts = run.parts[index].attempts.iter();
        let tracks = attempts.filter_map(|attempt| self.tracks.get(attempt));
        let ages = tracks.map(|track| now.since(track.ordered));
        ages.max().unwrap_or(Duration::ZERO)
    }

    /// Takes a token for a hedge or a retry of a group.
    pub(super) fn spend(&mut self, slot: usize, urgency: WorkUrgency) -> bool {
        let group = &mut self.groups[slot];
        let granted = group.budget.spend(urgency);
        group.counts.budget_refusals += u64::from(!granted);
        granted
    }

    /// Notes that the first byte of an attempt leaves; gives the request.
    pub(super) fn mark_sent(&mut self, attempt: AttemptId) -> Option<QueryId> {
        let track = self.tracks.get_mut(&attempt)?;
        track.sent = true;
        Some(track.query)
    }

    /// Ends an attempt by its reply.
    pub(super) fn close_replied(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        slot: usize,
        load: &ReplicaLoad,
        actions: &mut Vec<EngineAction>,
    ) -> Option<AttemptTrack> {
        let track = self.take(attempt, slot)?;
        let latency = now.since(track.ordered);
        let outcome = AttemptOutcome::Replied { latency };
        let notes = &mut self.notes;
        self.pool
            .finish_attempt(now, &track.vm, outcome, Some(load), notes);
        self.groups[slot].record_latency(now, latency.saturating_sub(track.link));
        self.silence.heard(&track.vm, now);
        self.note_drain(now, &track.vm, load.draining, actions);
        Some(track)
    }

    /// Ends an attempt by its failure.
    pub(super) fn close_failed(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        slot: usize,
        failure: AttemptFailure,
        load: Option<&ReplicaLoad>,
        actions: &mut Vec<EngineAction>,
    ) -> Option<AttemptTrack> {
        let track = self.take(attempt, slot)?;
        let latency = now.since(track.ordered);
        let outcome = AttemptOutcome::Failed { failure, latency };
        self.pool
            .finish_attempt(now, &track.vm, outcome, load, &mut self.notes);
        self.groups[slot].counts.failures += 1;
        if failure == AttemptFailure::Shed {
            self.groups[slot].record_shed();
        }
        if matches!(
            failure,
            AttemptFailure::SnapshotGone | AttemptFailure::RangeGone
        ) {
            self.groups[slot].drop_choice();
        }
        let drains = failure == AttemptFailure::Draining || load.is_some_and(|load| load.draining);
        self.note_drain(now, &track.vm, drains, actions);
        Some(track)
    }

    /// Gives an attempt up. `lost_race` says that another attempt at its part was heard first.
    pub(super) fn cancel(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        slot: usize,
        lost_race: bool,
        actions: &mut Vec<EngineAction>,
    ) -> Option<AttemptTrack> {
        let track = self.take(attempt, slot)?;
        let latency = now.since(track.ordered);
        let outcome = AttemptOutcome::Cancelled { latency };
        self.pool
            .finish_attempt(now, &track.vm, outcome, None, &mut self.notes);
        actions.push(EngineAction::Cancel { attempt });
        if !track.sent {
            return Some(track);
        }
        self.groups[slot].record_latency(now, latency.saturating_sub(track.link));
        if lost_race && !track.hedge && self.silence.lost(&track.vm, now, track.ordered) {
            self.notes.push(EngineNote::ConnectionSilent {
                vm: track.vm.clone(),
            });
            actions.push(EngineAction::CloseIdle {
                vm: track.vm.clone(),
            });
        }
        Some(track)
    }

    /// Gives up all that `run` has out or waiting.
    pub(super) fn clear(
        &mut self,
        now: TimePoint,
        run: &mut QueryRun,
        actions: &mut Vec<EngineAction>,
    ) {
        for index in 0..run.parts.len() {
            if run.parts[index].state == PartState::Busy {
                self.unwait(run, index);
            }
            for attempt in std::mem::take(&mut run.parts[index].attempts) {
                let track = self.cancel(now, attempt, run.slot, false, actions);
                run.may_have_run |= track.is_some_and(|track| track.sent);
            }
        }
    }

    /// Lets a part of `run` wait for a replica until `due`.
    pub(super) fn wait(&mut self, run: &mut QueryRun, index: usize, due: TimePoint) {
        run.rest(index, PartState::Busy, due);
        let entry = (run.close_at, run.query, index);
        run.parts[index].queued = run.close_at;
        self.groups[run.slot].wait(run.parts[index].home, entry);
    }

    /// Takes a part of `run` off the list of those that wait.
    pub(super) fn unwait(&mut self, run: &QueryRun, index: usize) {
        let part = &run.parts[index];
        let entry = (part.queued, run.query, index);
        self.groups[run.slot].unwait(part.home, entry);
    }

    /// Chooses the snapshot for a new answer of the group at `slot`.
    pub(super) fn choose(&mut self, now: TimePoint, slot: usize) -> SnapshotChoice {
        let group = &mut self.groups[slot];
        if let Some(choice) = group.choice(now) {
            return choice;
        }
        let views = self.pool.views(now, &group.name);
        let choice = SnapshotChoice::best(&views);
        group.set_choice(now, choice);
        choice
    }

    /// A snapshot that `run` has not left and that reaches more keys than its own.
    pub(super) fn better(&mut self, now: TimePoint, run: &QueryRun) -> Option<SnapshotId> {
        self.groups[run.slot].drop_choice();
        let choice = self.choose(now, run.slot);
        let left = run.left.contains(&choice.snapshot);
        let newer = choice.snapshot != run.snapshot && choice.snapshot.0 != 0 && !left;
        (newer && choice.keys > run.reachable_keys()).then_some(choice.snapshot)
    }

    fn take(&mut self, attempt: AttemptId, slot: usize) -> Option<AttemptTrack> {
        let track = self.tracks.remove(&attempt)?;
        if !self.groups[slot].waiting.is_empty() {
            self.freed.push((slot, track.home));
        }
        Some(track)
    }

    fn note_drain(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        drains: bool,
        actions: &mut Vec<EngineAction>,
    ) {
        if !drains {
            return;
        }
        let until = now + DRAIN_PERIOD;
        if self.pool.mark_draining(now, vm, until, &mut self.notes) {
            let vm = vm.clone();
            actions.push(EngineAction::SpreadDrain { vm, until });
        }
    }
}
