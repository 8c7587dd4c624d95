//! The query engine: requests in, sub-queries and answers out.

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
    attempt_desk::AttemptDesk,
    death_watch::DeathWatch,
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
        AdmissionGate,
        GateSettings,
        QuarantineBook, //
    },
    replicas::{
        PoolSettings,
        ReplicaPool, //
    },
};

/// Decides what becomes of each request.
pub struct QueryEngine {
    pub(super) spec: Option<Arc<DeploymentSpec>>,
    pub(super) gate: AdmissionGate,
    pub(super) book: QuarantineBook,
    pub(super) desk: AttemptDesk,
    pub(super) runs: BTreeMap<QueryId, QueryRun>,
    pub(super) max_requests: usize,
    pub(super) deaths: DeathWatch,
    pub(super) timers: BTreeSet<(TimePoint, QueryId)>,
}

impl QueryEngine {
    /// An engine without a bundle.
    pub fn new(settings: EngineSettings) -> Self {
        let requests = usize::try_from(settings.max_requests).unwrap_or(usize::MAX);
        let pool = ReplicaPool::new(PoolSettings {
            zone: settings.zone,
            name: settings.name,
            seed: settings.seed,
        });
        Self {
            spec: None,
            gate: AdmissionGate::new(GateSettings { requests }),
            book: QuarantineBook::default(),
            desk: AttemptDesk::new(pool),
            runs: BTreeMap::new(),
            max_requests: requests,
            deaths: DeathWatch::default(),
            timers: BTreeSet::new(),
        }
    }

    /// Takes a bundle into force. Requests in flight end on the bundle they began with.
    pub fn apply_bundle(
        &mut self,
        now: TimePoint,
        spec: Arc<DeploymentSpec>,
        actions: &mut Vec<EngineAction>,
    ) {
        self.desk.pool.apply_spec(now, &spec);
        for group in &spec.groups {
            let known = self.desk.groups.iter_mut();
            match known.into_iter().find(|state| state.name == group.name) {
                Some(state) => state.apply(group),
                None => self.desk.groups.push(GroupState::new(group)),
            }
        }
        let version = spec.version;
        self.spec = Some(spec);
        actions.push(EngineAction::Note(EngineNote::BundleApplied { version }));
        self.pump(now, actions);
    }

    /// Handles an event. Reports about attempts and requests that have ended change nothing.
    pub fn on_event(
        &mut self,
        now: TimePoint,
        event: EngineEvent,
        actions: &mut Vec<EngineAction>,
    ) {
        match event {
            EngineEvent::QueryArrived { query, call } => self.arrive(now, query, call, actions),
            EngineEvent::CallerGone { query } => self.abandon(now, query, actions),
            EngineEvent::AttemptSent { attempt } => {
                self.desk.mark_sent(attempt);
            }
            EngineEvent::AttemptReplied { attempt, reply } => {
                self.take_reply(now, attempt, reply, actions);
            }
            EngineEvent::AttemptFailed {
                attempt,
                failure,
                load,
            } => self.take_failure(now, attempt, failure, load.as_ref(), actions),
            EngineEvent::ClaimSettled { query, verdict } => {
                self.settle_claim(now, query, verdict, actions);
            }
            EngineEvent::PlacementChanged { replicas } => self.desk.place(now, &replicas),
            EngineEvent::DrainHeard { vm, until } => {
                let notes = &mut self.desk.notes;
                self.desk.pool.mark_draining(now, &vm, until, notes);
            }
            EngineEvent::QuarantineHeard {
                print,
                deaths,
                until,
            } => {
                self.book.learn(now, print, &deaths, until);
                self.drop_refused(now, print, actions);
            }
            EngineEvent::DaemonsCounted { daemons } => self.desk.pool.set_daemons(now, daemons),
            EngineEvent::TimerFired => {}
        }
        self.pump(now, actions);
    }

    /// When `TimerFired` is due; [`TimePoint::NEVER`] where nothing is.
    pub fn next_wakeup(&self) -> TimePoint {
        let timer = self.timers.first().map_or(TimePoint::NEVER, |(at, _)| *at);
        let pool = self.desk.pool.next_wakeup();
        timer.min(pool).min(self.gate.next_wakeup())
    }

    /// Requests that have no answer yet.
    pub fn in_flight(&self) -> usize {
        self.runs.len()
    }

    /// What the engine reports of itself.
    pub fn status(&self, now: TimePoint) -> EngineStatus {
        let mut status = EngineStatus {
            in_flight: self.runs.len() as u64,
            attempts: self.desk.tracks.len() as u64,
            ..EngineStatus::default()
        };
        let Some(spec) = &self.spec else {
            return status;
        };
        status.bundle = spec.version;
        for state in &self.desk.groups {
            if spec.group(&state.name).is_none() {
                continue;
            }
            status.groups.push(GroupStatus {
                name: state.name.clone(),
                counts: state.counts,
                hedge_delay: state.latency.at_quantile(),
                slow: state.is_slow(),
                replicas: self.desk.pool.views(now, &state.name),
            });
        }
        status
    }

    /// Does what has come due or become possible.
    fn pump(&mut self, now: TimePoint, actions: &mut Vec<EngineAction>) {
        self.desk.pool.wake(now);
        self.fire(now, actions);
        self.release(now, actions);
        while let Some((slot, home)) = self.desk.freed.pop() {
            self.serve_waiting(now, slot, home, actions);
            self.release(now, actions);
        }
        for note in self.desk.notes.drain(..) {
            actions.push(EngineAction::Note(note));
        }
    }

    fn fire(&mut self, now: TimePoint, actions: &mut Vec<EngineAction>) {
        while let Some((at, query)) = self.timers.first().copied() {
            if at > now {
                return;
            }
            self.timers.remove(&(at, query));
            let Some(run) = self.runs.get_mut(&query) else {
                continue;
            };
            run.wake_at = TimePoint::NEVER;
            if run.stage == RunStage::Running && now < run.close_at {
                dispatch::wake(&mut self.desk, now, run, actions);
            }
            self.settle(now, query, actions);
        }
    }

    /// Starts the waiting requests that the gate lets in and refuses those it gives up.
    fn release(&mut self, now: TimePoint, actions: &mut Vec<EngineAction>) {
        let mut ready = Vec::new();
        let mut refused = Vec::new();
        self.gate.release(now, &mut ready, &mut refused);
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

    /// Gives replicas that have come free to the parts that wait for them.
    fn serve_waiting(
        &mut self,
        now: TimePoint,
        slot: usize,
        home: u32,
        actions: &mut Vec<EngineAction>,
    ) {
        while let Some(entry) = self.desk.groups[slot].first_waiting(home) {
            self.desk.groups[slot].unwait(home, entry);
            let (_, query, index) = entry;
            let Some(run) = self.runs.get_mut(&query) else {
                continue;
            };
            if !run.resume(index) {
                continue;
            }
            dispatch::launch(&mut self.desk, now, run, actions);
            let full = run.is_busy(index);
            self.settle(now, query, actions);
            if full {
                return;
            }
        }
    }
}
