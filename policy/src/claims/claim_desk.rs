//! The desk that takes, gives back and records claims.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    DeploymentSpec,
    GroupName,
    OnceKey,
    QueryId,
    TimePoint,
    UserName, //
};

use super::{
    claim_run::{
        ClaimGoal,
        ClaimHolder,
        ClaimRun, //
    },
    lease_shelf::LeaseShelf,
    record_answer,
    ClaimAction,
    ClaimCounts,
    ClaimEvent,
    ClaimPlace,
    ClaimSettings, //
};
use crate::{
    engine::{
        ClaimVerdict,
        QueryAnswer, //
    },
    store::{
        RetryDelay,
        StoreCall, //
    },
};

/// Largest recorded outcome, in bytes of its items.
const RECORD_MAX: usize = 512 * 1024;

/// Takes claims before anything is sent, and sees to it that each ends released or recorded.
///
/// A claim is created under a name that no other claim has, so that a lost reply is settled by
/// reading the key back. It is never taken over: only its holder gives it back, by
/// compare-and-swap, and only where nothing was sent. A daemon that was paused for any time can
/// thus send at most the one request that its claim stands for.
#[derive(Clone, Debug)]
pub struct ClaimDesk {
    pub(super) settings: ClaimSettings,
    windows: BTreeMap<GroupName, Duration>,
    pub(super) runs: BTreeMap<u64, ClaimRun>,
    pub(super) queries: BTreeMap<QueryId, u64>,
    pub(super) calls: BTreeMap<u64, u64>,
    pub(super) leases: LeaseShelf,
    pub(super) delay: RetryDelay,
    next_retry: TimePoint,
    next_sequence: u64,
    next_call: u64,
    pub(super) counts: ClaimCounts,
}

impl ClaimDesk {
    /// A desk without claims.
    pub fn new(settings: ClaimSettings) -> Self {
        let delay = RetryDelay::new(settings.retry_first, settings.retry_max, settings.seed);
        Self {
            settings,
            windows: BTreeMap::new(),
            runs: BTreeMap::new(),
            queries: BTreeMap::new(),
            calls: BTreeMap::new(),
            leases: LeaseShelf::default(),
            delay,
            next_retry: TimePoint(0),
            next_sequence: 0,
            next_call: 0,
            counts: ClaimCounts::default(),
        }
    }

    /// Takes the groups' windows from a bundle.
    pub fn apply_bundle(&mut self, spec: &DeploymentSpec) {
        let mut windows = BTreeMap::new();
        for group in &spec.groups {
            windows.insert(group.name.clone(), group.policy.once_window);
        }
        self.windows = windows;
    }

    /// Counters.
    pub fn counts(&self) -> &ClaimCounts {
        &self.counts
    }

    /// Claims that are to be given back or recorded still.
    pub fn open_count(&self) -> usize {
        let open = |run: &&ClaimRun| run.goal != ClaimGoal::Take;
        self.runs.values().filter(open).count()
    }

    /// When `TimerFired` is wanted.
    pub fn next_wakeup(&self) -> TimePoint {
        let due = self.runs.values().filter_map(|run| run.due).min();
        due.map_or(TimePoint::NEVER, |due| due.max(self.next_retry))
    }

    /// Takes an event and asks for what follows from it.
    pub fn on_event(&mut self, now: TimePoint, event: ClaimEvent, actions: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Take {
                query,
                group,
                user,
                key,
            } => self.take(now, query, &group, &user, &key, actions),
            ClaimEvent::Release { query } => self.aim(now, query, ClaimGoal::Release, actions),
            ClaimEvent::Record { query, answer } => self.record(now, query, &answer, actions),
            ClaimEvent::StoreReplied { call, reply } => self.replied(now, call, reply, actions),
            ClaimEvent::TimerFired => self.retry_due(now, actions),
        }
    }

    fn take(
        &mut self,
        now: TimePoint,
        query: QueryId,
        group: &GroupName,
        user: &UserName,
        key: &OnceKey,
        actions: &mut Vec<ClaimAction>,
    ) {
        let place = ClaimPlace::of(group, user, key);
        let window = self.windows.get(group).copied().unwrap_or_default();
        let verdict = if place.is_outside(now, window, self.settings.clock_skew) {
            self.counts.too_old += 1;
            Some(ClaimVerdict::TooOld)
        } else if self.runs.len() >= self.settings.claims_max {
            self.counts.store_down += 1;
            Some(ClaimVerdict::StoreDown)
        } else {
            None
        };
        if let Some(verdict) = verdict {
            actions.push(ClaimAction::Settled { query, verdict });
            return;
        }
        let lease_end = place.lease_end(window, self.settings.margin);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.runs
            .insert(sequence, ClaimRun::new(query, place, lease_end));
        self.queries.insert(query, sequence);
        self.write(now, sequence, actions);
    }

    fn record(
        &mut self,
        now: TimePoint,
        query: QueryId,
        answer: &QueryAnswer,
        actions: &mut Vec<ClaimAction>,
    ) {
        let size: usize = answer.items.iter().map(|item| item.body.len()).sum();
        if size > RECORD_MAX {
            self.counts.dropped += 1;
            if let Some(sequence) = self.queries.get(&query) {
                self.end(*sequence);
            }
            return;
        }
        let record = Box::new(record_answer(answer));
        self.aim(now, query, ClaimGoal::Record(record), actions);
    }

    /// Gives a granted claim its last goal.
    fn aim(
        &mut self,
        now: TimePoint,
        query: QueryId,
        goal: ClaimGoal,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(sequence) = self.queries.get(&query).copied() else {
            return;
        };
        let Some(run) = self.runs.get_mut(&sequence) else {
            return;
        };
        run.goal = goal;
        run.expect = run.revision.unwrap_or(0);
        if run.call.is_none() {
            self.write(now, sequence, actions);
        }
    }

    /// Writes what the claim's key shall hold, once its lease is there.
    pub(super) fn write(&mut self, now: TimePoint, sequence: u64, actions: &mut Vec<ClaimAction>) {
        let Some(run) = self.runs.get(&sequence) else {
            return;
        };
        let Some(end) = run.lease_end else {
            self.write_under(sequence, 0, actions);
            return;
        };
        let slot = self.leases.slot(now, end);
        if let Some(lease) = slot.lease {
            self.write_under(sequence, lease, actions);
            return;
        }
        slot.waiting.push(sequence);
        if slot.call.is_none() {
            let call = self.next_call;
            self.next_call += 1;
            slot.call = Some(call);
            let request = StoreCall::Grant {
                ttl: end.since(now),
            };
            actions.push(ClaimAction::Store { call, request });
        }
    }

    pub(super) fn write_under(
        &mut self,
        sequence: u64,
        lease: u64,
        actions: &mut Vec<ClaimAction>,
    ) {
        let holder = self.holder(sequence);
        let Some(run) = self.runs.get_mut(&sequence) else {
            return;
        };
        run.lease = lease;
        let request = StoreCall::Write {
            key: run.place.store_key.clone(),
            value: run.value(&holder),
            expect: run.expect,
            lease,
        };
        self.call(sequence, true, request, actions);
    }

    pub(super) fn read(&mut self, sequence: u64, actions: &mut Vec<ClaimAction>) {
        let Some(run) = self.runs.get(&sequence) else {
            return;
        };
        let request = StoreCall::Get {
            key: run.place.store_key.clone(),
        };
        self.call(sequence, false, request, actions);
    }

    fn call(
        &mut self,
        sequence: u64,
        writing: bool,
        request: StoreCall,
        actions: &mut Vec<ClaimAction>,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, sequence);
        if let Some(run) = self.runs.get_mut(&sequence) {
            run.call = Some(call);
            run.writing = writing;
            run.due = None;
            run.tries += 1;
        }
        actions.push(ClaimAction::Store { call, request });
    }

    pub(super) fn settle(
        &mut self,
        sequence: u64,
        verdict: ClaimVerdict,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(run) = self.runs.get_mut(&sequence) else {
            return;
        };
        let query = run.query;
        let counts = &mut self.counts;
        let count = match verdict {
            ClaimVerdict::Granted => &mut counts.granted,
            ClaimVerdict::Recorded(_) => &mut counts.recorded,
            ClaimVerdict::Taken => &mut counts.taken,
            ClaimVerdict::StoreDown => &mut counts.store_down,
            ClaimVerdict::TooOld => &mut counts.too_old,
        };
        *count += 1;
        if !matches!(verdict, ClaimVerdict::Granted) {
            self.end(sequence);
        }
        actions.push(ClaimAction::Settled { query, verdict });
    }

    pub(super) fn retry_later(&mut self, now: TimePoint, sequence: u64) {
        let due = now + self.delay.next_delay();
        if let Some(run) = self.runs.get_mut(&sequence) {
            run.due = Some(due);
        }
    }

    /// Makes one call again that is due. The next one waits for the gap, so that a store that is
    /// back meets no herd.
    fn retry_due(&mut self, now: TimePoint, actions: &mut Vec<ClaimAction>) {
        if now < self.next_retry {
            return;
        }
        let waiting = self.runs.iter().filter_map(|(sequence, run)| {
            let due = run.due.filter(|due| *due <= now)?;
            Some((due, *sequence))
        });
        let Some((_, sequence)) = waiting.min() else {
            return;
        };
        self.next_retry = now + self.settings.retry_gap;
        // What the key holds is not known after a failure.
        self.read(sequence, actions);
    }

    pub(super) fn end(&mut self, sequence: u64) {
        if let Some(run) = self.runs.remove(&sequence) {
            self.queries.remove(&run.query);
        }
    }

    pub(super) fn holder(&self, sequence: u64) -> ClaimHolder {
        let daemon = self.settings.daemon.as_ref();
        ClaimHolder {
            daemon: daemon.map_or_else(String::new, ToString::to_string),
            incarnation: self.settings.incarnation.0,
            sequence,
        }
    }
}
