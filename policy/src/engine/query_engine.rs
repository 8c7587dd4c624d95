//! The query engine: turns events into actions.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc, //
};

use schema::{
    DeploymentSpec,
    QueryId,
    TimePoint, //
};

use super::{
    attempt_tracker::AttemptTracker,
    crash_detector::CrashDetector,
    dispatch,
    group_state::GroupState,
    query_run::{
        QueryRun,
        RunStage, //
    },
    EngineAction,
    EngineEvent,
    EngineNote,
    EngineSettings,
    EngineStatus,
    GroupStatus,
    QueryAnswer, //
};
use crate::{
    limits::{
        AdmissionController,
        AdmissionSettings,
        QuarantineTable, //
    },
    replicas::{
        PoolSettings,
        ReplicaPool, //
    },
};

/// Admits requests, sends their sub-queries to replicas and answers them.
pub struct QueryEngine {
    pub(super) spec: Option<Arc<DeploymentSpec>>,
    pub(super) admission: AdmissionController,
    pub(super) quarantine: QuarantineTable,
    pub(super) tracker: AttemptTracker,
    pub(super) runs: BTreeMap<QueryId, QueryRun>,
    pub(super) max_requests: usize,
    pub(super) crashes: CrashDetector,
    pub(super) timers: BTreeSet<(TimePoint, QueryId)>,
}

impl QueryEngine {
    /// Creates an engine without a bundle; until [`Self::apply_bundle`] it refuses every request.
    pub fn new(settings: EngineSettings) -> Self {
        let requests = usize::try_from(settings.max_requests).unwrap_or(usize::MAX);
        let pool = ReplicaPool::new(PoolSettings {
            zone: settings.zone,
            name: settings.name,
            seed: settings.seed,
        });
        Self {
            spec: None,
            admission: AdmissionController::new(AdmissionSettings { requests }),
            quarantine: QuarantineTable::default(),
            tracker: AttemptTracker::new(pool),
            runs: BTreeMap::new(),
            max_requests: requests,
            crashes: CrashDetector::default(),
            timers: BTreeSet::new(),
        }
    }

    /// Puts a bundle into force. Requests in flight finish under the bundle they started with.
    pub fn apply_bundle(
        &mut self,
        now: TimePoint,
        spec: Arc<DeploymentSpec>,
        actions: &mut Vec<EngineAction>,
    ) {
        self.tracker.pool.apply_spec(now, &spec);
        for group in &spec.groups {
            let known = self.tracker.groups.iter_mut();
            match known.into_iter().find(|state| state.name == group.name) {
                Some(state) => state.apply(group),
                None => self.tracker.groups.push(GroupState::new(group)),
            }
        }
        let version = spec.version;
        self.spec = Some(spec);
        actions.push(EngineAction::Note(EngineNote::BundleApplied { version }));
        self.advance(now, actions);
    }

    /// Handles an event. Events for attempts and requests that have already ended are ignored.
    pub fn on_event(
        &mut self,
        now: TimePoint,
        event: EngineEvent,
        actions: &mut Vec<EngineAction>,
    ) {
        match event {
            EngineEvent::QueryArrived { query, call } => self.on_arrival(now, query, call, actions),
            EngineEvent::CallerGone { query } => self.on_caller_gone(now, query, actions),
            EngineEvent::AttemptSent { attempt } => {
                self.tracker.mark_sent(attempt);
            }
            EngineEvent::AttemptReplied { attempt, reply } => {
                self.on_reply(now, attempt, reply, actions);
            }
            EngineEvent::AttemptFailed {
                attempt,
                failure,
                load,
            } => self.on_failure(now, attempt, failure, load.as_ref(), actions),
            EngineEvent::ClaimResolved { query, verdict } => {
                self.on_claim_resolved(now, query, verdict, actions);
            }
            EngineEvent::PlacementChanged { replicas } => self.tracker.set_replicas(now, &replicas),
            EngineEvent::DrainReported { vm, until } => {
                let notes = &mut self.tracker.notes;
                self.tracker.pool.mark_draining(now, &vm, until, notes);
            }
            EngineEvent::QuarantineReported {
                print,
                deaths,
                until,
            } => {
                self.quarantine
                    .add_remote_deaths(now, print, &deaths, until);
                self.abort_refused(now, print, actions);
            }
            EngineEvent::DaemonsChanged { daemons } => self.tracker.pool.set_daemons(now, daemons),
            EngineEvent::TimerFired => {}
        }
        self.advance(now, actions);
    }

    /// Returns the time at which the next `TimerFired` is due, or [`TimePoint::NEVER`].
    pub fn next_wakeup(&self) -> TimePoint {
        let timer = self.timers.first().map_or(TimePoint::NEVER, |(at, _)| *at);
        let pool = self.tracker.pool.next_wakeup();
        timer.min(pool).min(self.admission.next_wakeup())
    }

    /// Returns the number of requests without an answer, those waiting for admission included.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }

    /// Returns the state of the engine for `/status` and metrics.
    pub fn status(&self, now: TimePoint) -> EngineStatus {
        let mut status = EngineStatus {
            in_flight: self.runs.len() as u64,
            attempts: self.tracker.records.len() as u64,
            ..EngineStatus::default()
        };
        let Some(spec) = &self.spec else {
            return status;
        };
        status.bundle = spec.version;
        for state in &self.tracker.groups {
            if spec.group(&state.name).is_none() {
                continue;
            }
            status.groups.push(GroupStatus {
                name: state.name.clone(),
                counts: state.counts,
                hedge_delay: state.latency.at_quantile(),
                slow: state.is_slow(),
                replicas: self.tracker.pool.views(now, &state.name),
            });
        }
        status
    }

    /// Handles due timers, admits waiting requests and dispatches parts that waited for a replica.
    fn advance(&mut self, now: TimePoint, actions: &mut Vec<EngineAction>) {
        self.tracker.pool.on_timer(now);
        self.fire_timers(now, actions);
        self.admit_waiting(now, actions);
        while let Some((group_index, shard_start)) = self.tracker.freed_shards.pop() {
            self.dispatch_waiting(now, group_index, shard_start, actions);
            self.admit_waiting(now, actions);
        }
        for note in self.tracker.notes.drain(..) {
            actions.push(EngineAction::Note(note));
        }
    }

    fn fire_timers(&mut self, now: TimePoint, actions: &mut Vec<EngineAction>) {
        while let Some((at, query)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, query));
            let Some(run) = self.runs.get_mut(&query) else {
                continue;
            };
            run.timer_at = TimePoint::NEVER;
            if run.stage == RunStage::Running && now < run.answer_by {
                dispatch::handle_due_parts(&mut self.tracker, now, run, actions);
            }
            self.finish_or_rearm(now, query, actions);
        }
    }

    /// Starts the waiting requests that the admission controller releases, and refuses those that
    /// it rejects.
    fn admit_waiting(&mut self, now: TimePoint, actions: &mut Vec<EngineAction>) {
        let mut ready = Vec::new();
        let mut refused = Vec::new();
        self.admission.release(now, &mut ready, &mut refused);
        for query in ready {
            self.start(now, query, actions);
        }
        for (query, reason, retry_after) in refused {
            let Some(run) = self.runs.get(&query) else {
                continue;
            };
            let bundle = run.spec.version;
            let answer = QueryAnswer::not_run(reason, Some(retry_after), bundle);
            self.finish_with(now, query, answer, actions);
        }
    }

    /// Dispatches waiting parts of the declared shard that starts at `shard_start`, earliest
    /// deadline first, until its replicas are at their limits again.
    fn dispatch_waiting(
        &mut self,
        now: TimePoint,
        group_index: usize,
        shard_start: u32,
        actions: &mut Vec<EngineAction>,
    ) {
        while let Some(entry) = self.tracker.groups[group_index].first_waiting(shard_start) {
            self.tracker.groups[group_index].dequeue(shard_start, entry);
            let (_, query, index) = entry;
            let Some(run) = self.runs.get_mut(&query) else {
                continue;
            };
            if !run.unblock(index) {
                continue;
            }
            dispatch::send_unsent(&mut self.tracker, now, run, actions);
            let full = run.is_waiting(index);
            self.finish_or_rearm(now, query, actions);
            if full {
                return;
            }
        }
    }
}
