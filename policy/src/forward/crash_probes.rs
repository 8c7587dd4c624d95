//! Finds out whether a replica that broke a connection has crashed.
//!
//! A reset, a lost reply and a crash look alike to the request: its connection ends before the
//! reply is complete. The daemon opens another connection to tell them apart. A replica whose
//! process has ended refuses it.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    QueryId,
    TimePoint, //
};

use super::{
    ReplicaKey,
    RequestIdentity, //
};

/// Time for which a replica that accepted a probe is not probed again.
const ACCEPTED_PERIOD: Duration = Duration::from_millis(250);

/// Probes a second, and at once, of replicas that reset a new connection and turn out to run. Replicas
/// that have too many connections reset new ones by the hundred, and each probe is one more.
const NEW_CONNECTION_RATE: f64 = 0.2;
const NEW_CONNECTION_BURST: f64 = 4.0;

/// An attempt whose connection broke before the reply was complete.
#[derive(Clone, Copy, Debug)]
pub(super) struct BrokenAttempt {
    /// The request to which the attempt belongs.
    pub(super) query: QueryId,
    /// Index of the part within the request.
    pub(super) part: usize,
    /// The identity of the request, which may have been answered by the time of the verdict.
    pub(super) identity: RequestIdentity,
    /// When the attempt was sent.
    pub(super) sent_at: TimePoint,
    /// When its connection broke.
    pub(super) broke_at: TimePoint,
}

/// A probe that has not ended.
#[derive(Clone, Debug)]
struct PendingProbe {
    attempts: Vec<BrokenAttempt>,
    /// Whether it took a token, which it gives back unless the replica accepts it.
    took_token: bool,
}

/// The broken attempts of replicas that are being probed.
#[derive(Clone, Debug)]
pub(super) struct CrashProbes {
    waiting: BTreeMap<ReplicaKey, PendingProbe>,
    accepted_at: BTreeMap<ReplicaKey, TimePoint>,
    /// Token bucket of the probes after the reset of a new connection.
    tokens: f64,
    refilled_at: TimePoint,
}

impl Default for CrashProbes {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            accepted_at: BTreeMap::new(),
            tokens: NEW_CONNECTION_BURST,
            refilled_at: TimePoint::default(),
        }
    }
}

impl CrashProbes {
    /// Adds a broken attempt. Returns whether a probe of the replica has to be started: not while one
    /// runs, nor shortly after the replica accepted one. A `rare` probe also needs a token.
    pub(super) fn add(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        broken: BrokenAttempt,
        rare: bool,
    ) -> bool {
        if let Some(probe) = self.waiting.get_mut(&key) {
            probe.attempts.push(broken);
            return false;
        }
        let accepted_at = self.accepted_at.get(&key);
        if accepted_at.is_some_and(|at| now.since(*at) < ACCEPTED_PERIOD) {
            return false;
        }
        if rare && !self.try_take_token(now) {
            return false;
        }
        let probe = PendingProbe {
            attempts: vec![broken],
            took_token: rare,
        };
        self.waiting.insert(key, probe);
        true
    }

    /// Takes a token for a probe after the reset of a new connection; returns false if there is none.
    fn try_take_token(&mut self, now: TimePoint) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * NEW_CONNECTION_RATE;
        self.tokens = (self.tokens + refill).min(NEW_CONNECTION_BURST);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Whether a probe has not ended that may show a crash under the request.
    pub(super) fn is_suspect(&self, identity: &RequestIdentity) -> bool {
        let mut attempts = self.waiting.values().flat_map(|probe| &probe.attempts);
        attempts.any(|attempt| attempt.identity == *identity)
    }

    /// Whether a probe of the replica has not ended.
    pub(super) fn is_pending(&self, key: ReplicaKey) -> bool {
        self.waiting.contains_key(&key)
    }

    /// Ends the probe of a replica; returns the attempts that waited for it.
    pub(super) fn finish(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        accepted: bool,
    ) -> Vec<BrokenAttempt> {
        self.accepted_at
            .retain(|_, at| now.since(*at) < ACCEPTED_PERIOD);
        if accepted {
            self.accepted_at.insert(key, now);
        }
        let probe = self.waiting.remove(&key);
        if !accepted && probe.as_ref().is_some_and(|probe| probe.took_token) {
            self.tokens += 1.0;
        }
        probe.map_or_else(Vec::new, |probe| probe.attempts)
    }
}
