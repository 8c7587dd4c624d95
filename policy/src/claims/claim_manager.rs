//! The state machine that takes, releases and records claims.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    DeploymentSpec,
    GroupName,
    IdempotencyKey,
    QueryId,
    TimePoint,
    UserName, //
};

use super::{
    claim_state::{
        ClaimGoal,
        ClaimHolder,
        ClaimState, //
    },
    lease_cache::LeaseCache,
    record_answer,
    ClaimAction,
    ClaimCounts,
    ClaimEvent,
    ClaimLocation,
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

/// Largest outcome that is recorded, in bytes of its items.
const RECORD_MAX_BYTES: usize = 512 * 1024;

/// Takes a claim before anything is sent, and ensures that each claim ends released or recorded.
///
/// Each claim is written with a holder that no other claim has, so that a lost reply is resolved by
/// reading the key back. No other daemon ever takes a claim over: only its holder releases it, by
/// compare-and-swap, and only if nothing was sent. A daemon that was paused for any length of time
/// can therefore send at most the one request that holds the claim.
#[derive(Clone, Debug)]
pub struct ClaimManager {
    pub(super) settings: ClaimSettings,
    key_windows: BTreeMap<GroupName, Duration>,
    /// Open claims by sequence number.
    pub(super) claims: BTreeMap<u64, ClaimState>,
    pub(super) query_sequences: BTreeMap<QueryId, u64>,
    /// Sequence numbers of the claims that wait for the reply to a call.
    pub(super) call_sequences: BTreeMap<u64, u64>,
    pub(super) leases: LeaseCache,
    pub(super) retry_delay: RetryDelay,
    next_retry: TimePoint,
    next_sequence: u64,
    next_call: u64,
    pub(super) counts: ClaimCounts,
}

impl ClaimManager {
    /// Starts without any claim; windows come with the first bundle.
    pub fn new(settings: ClaimSettings) -> Self {
        let retry_delay = RetryDelay::new(
            settings.first_retry_delay,
            settings.max_retry_delay,
            settings.seed,
        );
        Self {
            settings,
            key_windows: BTreeMap::new(),
            claims: BTreeMap::new(),
            query_sequences: BTreeMap::new(),
            call_sequences: BTreeMap::new(),
            leases: LeaseCache::default(),
            retry_delay,
            next_retry: TimePoint(0),
            next_sequence: 0,
            next_call: 0,
            counts: ClaimCounts::default(),
        }
    }

    /// Replaces the idempotency windows of the groups by those of a bundle.
    pub fn apply_bundle(&mut self, spec: &DeploymentSpec) {
        let mut key_windows = BTreeMap::new();
        for group in &spec.groups {
            key_windows.insert(group.name.clone(), group.policy.once_window);
        }
        self.key_windows = key_windows;
    }

    /// Counters since the daemon started.
    pub fn counts(&self) -> &ClaimCounts {
        &self.counts
    }

    /// Claims that are still to be released or recorded in the store.
    pub fn open_count(&self) -> usize {
        let open = |state: &&ClaimState| state.goal != ClaimGoal::Take;
        self.claims.values().filter(open).count()
    }

    /// When `TimerFired` must be delivered at the latest.
    pub fn next_wakeup(&self) -> TimePoint {
        let due = self
            .claims
            .values()
            .filter_map(|state| state.retry_at)
            .min();
        due.map_or(TimePoint::NEVER, |due| due.max(self.next_retry))
    }

    /// Handles an event and appends the actions that follow from it.
    pub fn on_event(&mut self, now: TimePoint, event: ClaimEvent, actions: &mut Vec<ClaimAction>) {
        match event {
            ClaimEvent::Take {
                query,
                group,
                user,
                key,
            } => self.take(now, query, &group, &user, &key, actions),
            ClaimEvent::Release { query } => self.set_goal(now, query, ClaimGoal::Release, actions),
            ClaimEvent::Record { query, answer } => self.record(now, query, &answer, actions),
            ClaimEvent::StoreReplied { call, reply } => self.on_reply(now, call, reply, actions),
            ClaimEvent::TimerFired => self.retry_next(now, actions),
        }
    }

    fn take(
        &mut self,
        now: TimePoint,
        query: QueryId,
        group: &GroupName,
        user: &UserName,
        key: &IdempotencyKey,
        actions: &mut Vec<ClaimAction>,
    ) {
        let location = ClaimLocation::new(group, user, key);
        let window = self.key_windows.get(group).copied().unwrap_or_default();
        let verdict = if location.is_outside_window(now, window, self.settings.clock_skew) {
            self.counts.too_old += 1;
            Some(ClaimVerdict::TooOld)
        } else if self.claims.len() >= self.settings.max_claims {
            self.counts.store_down += 1;
            Some(ClaimVerdict::StoreDown)
        } else {
            None
        };
        if let Some(verdict) = verdict {
            actions.push(ClaimAction::Resolved { query, verdict });
            return;
        }
        let lease_end = location.lease_end(window, self.settings.lease_margin);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.claims
            .insert(sequence, ClaimState::new(query, location, lease_end));
        self.query_sequences.insert(query, sequence);
        self.start_write(now, sequence, actions);
    }

    fn record(
        &mut self,
        now: TimePoint,
        query: QueryId,
        answer: &QueryAnswer,
        actions: &mut Vec<ClaimAction>,
    ) {
        let size: usize = answer.items.iter().map(|item| item.body.len()).sum();
        if size > RECORD_MAX_BYTES {
            self.counts.dropped += 1;
            if let Some(sequence) = self.query_sequences.get(&query) {
                self.remove(*sequence);
            }
            return;
        }
        let record = Box::new(record_answer(answer));
        self.set_goal(now, query, ClaimGoal::Record(record), actions);
    }

    /// Sets the final goal of a granted claim.
    fn set_goal(
        &mut self,
        now: TimePoint,
        query: QueryId,
        goal: ClaimGoal,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(sequence) = self.query_sequences.get(&query).copied() else {
            return;
        };
        let Some(state) = self.claims.get_mut(&sequence) else {
            return;
        };
        state.goal = goal;
        state.expected_revision = state.revision.unwrap_or(0);
        if state.call.is_none() {
            self.start_write(now, sequence, actions);
        }
    }

    /// Writes the value for the goal of the claim, as soon as its lease is granted.
    pub(super) fn start_write(
        &mut self,
        now: TimePoint,
        sequence: u64,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(state) = self.claims.get(&sequence) else {
            return;
        };
        let Some(end) = state.lease_end else {
            self.write_with_lease(sequence, 0, actions);
            return;
        };
        let slot = self.leases.slot(now, end);
        if let Some(lease) = slot.lease {
            self.write_with_lease(sequence, lease, actions);
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

    pub(super) fn write_with_lease(
        &mut self,
        sequence: u64,
        lease: u64,
        actions: &mut Vec<ClaimAction>,
    ) {
        let holder = self.holder(sequence);
        let Some(state) = self.claims.get_mut(&sequence) else {
            return;
        };
        state.lease = lease;
        let request = StoreCall::Write {
            key: state.location.store_key.clone(),
            value: state.value(&holder),
            expect: state.expected_revision,
            lease,
        };
        self.call_store(sequence, true, request, actions);
    }

    pub(super) fn start_read(&mut self, sequence: u64, actions: &mut Vec<ClaimAction>) {
        let Some(state) = self.claims.get(&sequence) else {
            return;
        };
        let request = StoreCall::Get {
            key: state.location.store_key.clone(),
        };
        self.call_store(sequence, false, request, actions);
    }

    fn call_store(
        &mut self,
        sequence: u64,
        is_write: bool,
        request: StoreCall,
        actions: &mut Vec<ClaimAction>,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.call_sequences.insert(call, sequence);
        if let Some(state) = self.claims.get_mut(&sequence) {
            state.call = Some(call);
            state.is_write = is_write;
            state.retry_at = None;
            state.store_calls += 1;
        }
        actions.push(ClaimAction::Store { call, request });
    }

    pub(super) fn resolve(
        &mut self,
        sequence: u64,
        verdict: ClaimVerdict,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(state) = self.claims.get_mut(&sequence) else {
            return;
        };
        let query = state.query;
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
            self.remove(sequence);
        }
        actions.push(ClaimAction::Resolved { query, verdict });
    }

    pub(super) fn schedule_retry(&mut self, now: TimePoint, sequence: u64) {
        let due = now + self.retry_delay.next_delay();
        if let Some(state) = self.claims.get_mut(&sequence) {
            state.retry_at = Some(due);
        }
    }

    /// Retries the call that has been due for longest. The next retry waits for the interval, so
    /// that a store that has just recovered isn't flooded.
    fn retry_next(&mut self, now: TimePoint, actions: &mut Vec<ClaimAction>) {
        if now < self.next_retry {
            return;
        }
        let due_claims = self.claims.iter().filter_map(|(sequence, state)| {
            let due = state.retry_at.filter(|due| *due <= now)?;
            Some((due, *sequence))
        });
        let Some((_, sequence)) = due_claims.min() else {
            return;
        };
        self.next_retry = now + self.settings.retry_interval;
        // After a failure the value of the key is unknown.
        self.start_read(sequence, actions);
    }

    pub(super) fn remove(&mut self, sequence: u64) {
        if let Some(state) = self.claims.remove(&sequence) {
            self.query_sequences.remove(&state.query);
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
