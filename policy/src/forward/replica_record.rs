//! One replica as this daemon sees it.

use std::time::Duration;

use schema::{
    AttemptId,
    ReplicaEntry,
    TimePoint, //
};
use smallvec::SmallVec;

/// Number of a replica in this process; another start of a replica has another one.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaKey(pub u32);

/// Weight of a new sample in the average latency.
const LATENCY_WEIGHT: f64 = 0.3;
/// Age from which an average latency starts to lose its say.
const LATENCY_FRESH: Duration = Duration::from_millis(500);
/// Time in which an old average loses most of its say, so that the replica is tried again.
const LATENCY_FADE: Duration = Duration::from_secs(2);
/// Weight of a new failure in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time in which a failure rate loses most of its say.
const FAILURE_FADE: Duration = Duration::from_secs(3);
/// What a replica that always fails costs beside one that never does, in milliseconds.
const FAILURE_COST_MS: f64 = 300.0;
/// Multiple of the usual latency without a sign from the replica that shows a pause.
const STALL_FACTOR: f64 = 2.0;
/// Time beside it.
const STALL_SLACK_MS: f64 = 10.0;
/// What a paused replica costs beside one that works, in milliseconds.
const STALL_COST_MS: f64 = 150.0;
/// Silence that no pause explains: the longest one of the deployments lasts 250 ms.
const SILENT_PERIOD: Duration = Duration::from_millis(280);
/// Requests of other daemons that are assumed at a replica for each of this one.
const SHARED_LOAD: f64 = 2.0;
/// First time without work after a refused connection.
const AVOID_FIRST: Duration = Duration::from_millis(250);
/// Doublings of that time.
const AVOID_DOUBLINGS: u32 = 3;

/// One replica.
#[derive(Clone, Debug)]
pub(super) struct ReplicaRecord {
    /// What it says of itself.
    pub(super) entry: ReplicaEntry,
    /// Place of its service.
    pub(super) service: usize,
    /// Round trip to it.
    pub(super) link_ms: f64,
    /// What the use of a farther replica costs beside the time.
    pub(super) distance_cost_ms: f64,
    /// Whether the directory has it.
    pub(super) listed: bool,
    /// Attempts under way with the time of their sending, oldest first.
    pub(super) out: SmallVec<[(AttemptId, TimePoint); 4]>,
    /// No work before this time.
    pub(super) avoid_until: TimePoint,
    cold_until: TimePoint,
    heard: TimePoint,
    latency: Option<(TimePoint, f64)>,
    failures: (TimePoint, f64),
    refusals: u32,
}

impl ReplicaRecord {
    /// A replica that has just been listed.
    pub(super) fn new(now: TimePoint, entry: ReplicaEntry, service: usize) -> Self {
        Self {
            cold_until: now + entry.cold_left,
            entry,
            service,
            link_ms: 0.0,
            distance_cost_ms: 0.0,
            listed: true,
            out: SmallVec::new(),
            avoid_until: TimePoint(0),
            heard: TimePoint(0),
            latency: None,
            failures: (now, 0.0),
            refusals: 0,
        }
    }

    /// Takes a newer entry of the same replica over.
    pub(super) fn renew(&mut self, now: TimePoint, entry: ReplicaEntry) {
        self.cold_until = now + entry.cold_left;
        self.entry = entry;
        self.listed = true;
    }

    /// Whether it may get new work.
    pub(super) fn is_usable(&self, now: TimePoint) -> bool {
        self.listed && !self.entry.draining && now >= self.avoid_until
    }

    /// Records a sending.
    pub(super) fn begin(&mut self, now: TimePoint, attempt: AttemptId) {
        self.out.push((attempt, now));
    }

    /// Records the end of an attempt.
    pub(super) fn end(&mut self, attempt: AttemptId) {
        self.out.retain(|(known, _)| *known != attempt);
    }

    /// Records a reply after `latency`; true where the replica had been avoided.
    pub(super) fn replied(&mut self, now: TimePoint, latency: Duration) -> bool {
        self.heard = now;
        let back = self.refusals > 0;
        self.refusals = 0;
        self.avoid_until = TimePoint(0);
        self.take_latency(now, latency);
        self.failures = (now, self.failure_rate(now) * (1.0 - FAILURE_WEIGHT));
        back
    }

    /// Records an attempt given up after `latency` without a reply: a lower bound.
    pub(super) fn unheard(&mut self, now: TimePoint, latency: Duration) {
        let known = self.latency.map_or(0.0, |(_, average)| average);
        if latency.as_secs_f64() * 1000.0 > known {
            self.take_latency(now, latency);
        }
        if self.is_silent(now, latency) {
            self.failed(now);
        }
    }

    /// Records a failed attempt.
    pub(super) fn failed(&mut self, now: TimePoint) {
        let rate = self.failure_rate(now);
        self.failures = (now, rate + FAILURE_WEIGHT * (1.0 - rate));
    }

    /// Records a connection that could not be opened; gives the time for which it is avoided.
    pub(super) fn refused(&mut self, now: TimePoint) -> Duration {
        let period = AVOID_FIRST * (1 << self.refusals.min(AVOID_DOUBLINGS));
        self.refusals += 1;
        self.avoid_until = now + period;
        period
    }

    /// Whether it has sent nothing for an attempt's whole time of `waited`, longer than a pause.
    pub(super) fn is_silent(&self, now: TimePoint, waited: Duration) -> bool {
        waited >= SILENT_PERIOD && now.since(self.heard) >= waited
    }

    /// Whether nothing has come from it for longer than its work explains.
    pub(super) fn is_stalled(&self, now: TimePoint, usual_ms: f64) -> bool {
        let Some((_, oldest)) = self.out.first() else {
            return false;
        };
        let silent = now.since((*oldest).max(self.heard)).as_secs_f64() * 1000.0;
        silent > self.link_ms + usual_ms * STALL_FACTOR + STALL_SLACK_MS
    }

    /// Expected time of a new request in milliseconds, with what makes the replica less welcome.
    /// `usual_ms` is the service's median without the link.
    pub(super) fn cost(&self, now: TimePoint, usual_ms: f64) -> f64 {
        let expected = self.link_ms + usual_ms;
        let own = match self.latency {
            Some((at, average)) if average > expected => {
                expected + (average - expected) * fade(now.since(at))
            }
            Some((_, average)) => average,
            None => expected,
        };
        let slots = f64::from(self.entry.slots.max(1));
        let queued = self.out.len() as f64 * SHARED_LOAD / slots * usual_ms;
        let cold = if now < self.cold_until { usual_ms } else { 0.0 };
        let failing = self.failure_rate(now) * FAILURE_COST_MS;
        let stalled = if self.is_stalled(now, usual_ms) {
            STALL_COST_MS
        } else {
            0.0
        };
        own + queued + cold + failing + stalled + self.distance_cost_ms
    }

    fn take_latency(&mut self, now: TimePoint, latency: Duration) {
        let sample = latency.as_secs_f64() * 1000.0;
        let old = self.latency.map_or(sample, |(_, average)| average);
        self.latency = Some((now, old + LATENCY_WEIGHT * (sample - old)));
    }

    fn failure_rate(&self, now: TimePoint) -> f64 {
        let (at, rate) = self.failures;
        rate * (-now.since(at).as_secs_f64() / FAILURE_FADE.as_secs_f64()).exp()
    }
}

/// The say of an average of this age, from 1 to 0.
fn fade(age: Duration) -> f64 {
    let stale = age.saturating_sub(LATENCY_FRESH).as_secs_f64();
    (-stale / LATENCY_FADE.as_secs_f64()).exp()
}
