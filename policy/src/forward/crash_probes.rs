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

/// Probes a second, and at once, of replicas that reset a new connection. Replicas that have too many
/// connections reset new ones by the hundred, for example after all daemons lost their power.
const NEW_CONNECTION_RATE: f64 = 2.0;
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

/// The broken attempts of replicas that are being probed.
#[derive(Clone, Debug)]
pub(super) struct CrashProbes {
    waiting: BTreeMap<ReplicaKey, Vec<BrokenAttempt>>,
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
    /// Adds a broken attempt. Returns whether a probe of the replica has to be started; none is
    /// while one runs, or shortly after the replica accepted one.
    pub(super) fn add(&mut self, now: TimePoint, key: ReplicaKey, broken: BrokenAttempt) -> bool {
        if let Some(attempts) = self.waiting.get_mut(&key) {
            attempts.push(broken);
            return false;
        }
        let accepted_at = self.accepted_at.get(&key);
        if accepted_at.is_some_and(|at| now.since(*at) < ACCEPTED_PERIOD) {
            return false;
        }
        self.waiting.insert(key, vec![broken]);
        true
    }

    /// Takes a token for a probe after the reset of a new connection; returns false if there is none.
    pub(super) fn try_take_token(&mut self, now: TimePoint) -> bool {
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
        let mut attempts = self.waiting.values().flatten();
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
        self.waiting.remove(&key).unwrap_or_default()
    }
}
