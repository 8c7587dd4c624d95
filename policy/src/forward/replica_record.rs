//! What this daemon knows about one replica, and the estimated cost of sending it a request.

use std::time::Duration;

use schema::{
    AttemptId,
    RegionName,
    ReplicaEntry,
    TimePoint, //
};
use smallvec::SmallVec;

use super::statement_table::KeptStatements;
use crate::{
    places::ColdState,
    rates::RateLimit, //
};

/// Identifies a replica within this process. A replica that restarts under the same name gets a new
/// key.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaKey(pub u32);

/// Weight of a new sample in the exponential moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.3;
/// Age up to which an average latency keeps its full weight.
const LATENCY_FRESH: Duration = Duration::from_millis(500);
/// Time constant with which the weight of an older average decays, so that a replica that was slow
/// is tried again.
const LATENCY_DECAY: Duration = Duration::from_secs(2);
/// Weight of a new failure in the exponential moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time constant with which the failure rate decays.
const FAILURE_DECAY: Duration = Duration::from_secs(3);
/// Cost of a replica that always fails over one that never does, in milliseconds.
const FAILURE_COST_MS: f64 = 300.0;
/// A replica counts as stalled after it has sent no reply for this multiple of its service's median
/// latency, plus the round trip and [`STALL_MARGIN_MS`].
const STALL_FACTOR: f64 = 2.0;
/// Part of the stall threshold that does not depend on the median latency, in milliseconds.
const STALL_MARGIN_MS: f64 = 10.0;
/// Cost of a stalled replica over one that works, in milliseconds.
const STALL_COST_MS: f64 = 150.0;
/// A replica without a reply for this time is not just paused: the longest pause of a replica in
/// the deployments lasts 250 ms.
const SILENT_PERIOD: Duration = Duration::from_millis(280);
/// Assumed number of requests from other daemons at a replica for each request from this one.
const OTHER_DAEMONS_LOAD: f64 = 2.0;
/// Backoff after the first failed connection to a replica.
const BACKOFF_INITIAL: Duration = Duration::from_millis(250);
/// The backoff doubles with each further failed connection, at most this many times.
const BACKOFF_DOUBLINGS_MAX: u32 = 3;

/// State of one replica.
#[derive(Clone, Debug)]
pub(super) struct ReplicaRecord {
    /// The replica's latest directory entry.
    pub(super) entry: ReplicaEntry,
    /// Index of the replica's service.
    pub(super) service: usize,
    /// Round-trip time to the replica, estimated from its data centre.
    pub(super) round_trip_ms: f64,
    /// Cost of using a replica in another data centre, in addition to the round trip.
    pub(super) distance_cost_ms: f64,
    /// Region of the replica's data centre; `None` if it is unknown.
    pub(super) region: Option<RegionName>,
    /// Whether the directory lists the replica.
    pub(super) listed: bool,
    /// Whether the replica's data centre is evacuated.
    pub(super) evacuated: bool,
    /// Attempts in flight with the times when they were sent, oldest first.
    pub(super) in_flight: SmallVec<[(AttemptId, TimePoint); 4]>,
    /// What the replica has said of itself.
    pub(super) statements: KeptStatements,
    /// End of the backoff: the replica gets no new requests before this time.
    pub(super) avoid_until: TimePoint,
    /// End of the warm-up, in which the replica is assumed to need twice the median time.
    cold_until: TimePoint,
    /// Whether it bears less than usual.
    pub(super) cold: ColdState,
    /// The rate that all daemons keep for it because of that.
    pub(super) cold_rate: Option<RateLimit>,
    /// When the latest reply that did not count as a failure arrived.
    pub(super) last_reply_at: TimePoint,
    /// Moving average of the latency in milliseconds, with the time of its latest sample.
    latency: Option<(TimePoint, f64)>,
    /// Moving average of the failure rate, from 0 to 1, with the time of its latest sample.
    failures: (TimePoint, f64),
    /// Failed connections since the latest reply, which set the length of the backoff.
    connect_failures: u32,
}

impl ReplicaRecord {
    /// Creates the record of a replica that has just been listed.
    pub(super) fn new(now: TimePoint, entry: ReplicaEntry, service: usize) -> Self {
        let mut cold = ColdState::default();
        cold.record_listed(now, entry.cold_left);
        Self {
            cold_until: now + entry.cold_left,
            cold,
            cold_rate: None,
            entry,
            service,
            round_trip_ms: 0.0,
            distance_cost_ms: 0.0,
            region: None,
            listed: true,
            evacuated: false,
            in_flight: SmallVec::new(),
            statements: KeptStatements::default(),
            avoid_until: TimePoint(0),
            last_reply_at: TimePoint(0),
            latency: None,
            failures: (now, 0.0),
            connect_failures: 0,
        }
    }

    /// Replaces the directory entry by a newer one of the same replica.
    pub(super) fn update_entry(&mut self, now: TimePoint, entry: ReplicaEntry) {
        self.cold_until = now + entry.cold_left;
        self.cold.record_listed(now, entry.cold_left);
        self.entry = entry;
        self.listed = true;
    }

    /// Whether the replica may get new requests.
    pub(super) fn is_usable(&self, now: TimePoint) -> bool {
        self.is_wanted() && now >= self.avoid_until && now >= self.statements.rest_until
    }

    /// Whether the replica has to serve the request that it has before it gets another one, because it
    /// wanted a rest.
    pub(super) fn is_on_trial(&self) -> bool {
        self.statements.on_trial && !self.in_flight.is_empty()
    }

    /// Whether the replica is listed, is not evacuated and does not leave, by its registration or by its own
    /// replies.
    pub(super) fn is_wanted(&self) -> bool {
        let leaves = self.entry.draining || self.statements.leaving_since.is_some();
        self.listed && !self.evacuated && !leaves
    }

    /// Records that an attempt was sent.
    pub(super) fn record_send(&mut self, now: TimePoint, attempt: AttemptId) {
        self.in_flight.push((attempt, now));
    }

    /// Forgets the failures of a time in which this daemon had lost its links to all replicas.
    pub(super) fn forgive(&mut self, now: TimePoint) {
        self.avoid_until = TimePoint(0);
        self.connect_failures = 0;
        self.failures = (now, 0.0);
        self.latency = None;
        self.cold.forgive();
    }

    /// Records the end of an attempt.
    pub(super) fn record_end(&mut self, attempt: AttemptId) {
        self.in_flight.retain(|(known, _)| *known != attempt);
    }

    /// Records a reply after `latency`; returns whether a connection to the replica had failed
    /// since its previous reply.
    pub(super) fn record_reply(&mut self, now: TimePoint, latency: Duration) -> bool {
        self.last_reply_at = now;
        let recovered = self.connect_failures > 0;
        self.connect_failures = 0;
        self.avoid_until = TimePoint(0);
        self.record_latency(now, latency);
        self.failures = (now, self.failure_rate(now) * (1.0 - FAILURE_WEIGHT));
        recovered
    }

    /// Records an attempt that was cancelled after `latency` without a reply. The time is a lower
    /// bound of the true latency, so it counts only if it is above the average.
    pub(super) fn record_abandoned(&mut self, now: TimePoint, latency: Duration) {
        let previous = self.latency.map_or(0.0, |(_, average)| average);
        if latency.as_secs_f64() * 1000.0 > previous {
            self.record_latency(now, latency);
        }
        if self.is_silent(now, latency) {
            self.record_failure(now);
        }
    }

    /// Records a failed attempt.
    pub(super) fn record_failure(&mut self, now: TimePoint) {
        let rate = self.failure_rate(now);
        self.failures = (now, rate + FAILURE_WEIGHT * (1.0 - rate));
    }

    /// Records a connection that could not be opened; returns the length of the backoff.
    pub(super) fn record_connect_failure(&mut self, now: TimePoint) -> Duration {
        let period = BACKOFF_INITIAL * (1 << self.connect_failures.min(BACKOFF_DOUBLINGS_MAX));
        self.connect_failures += 1;
        self.avoid_until = now + period;
        period
    }

    /// Whether the replica has replied to nothing during the `waited` time of an attempt and that
    /// time is longer than a pause.
    pub(super) fn is_silent(&self, now: TimePoint, waited: Duration) -> bool {
        waited >= SILENT_PERIOD && now.since(self.last_reply_at) >= waited
    }

    /// Whether the replica has sent no reply for longer than its oldest attempt is expected to
    /// take.
    pub(super) fn is_stalled(&self, now: TimePoint, median_ms: f64) -> bool {
        let Some((_, oldest)) = self.in_flight.first() else {
            return false;
        };
        let silent = now.since((*oldest).max(self.last_reply_at)).as_secs_f64() * 1000.0;
        silent > self.round_trip_ms + median_ms * STALL_FACTOR + STALL_MARGIN_MS
    }

    /// Expected latency of a new request in milliseconds, plus penalties for failures, stalls and
    /// distance. `median_ms` is the median latency of the service without the network round trip.
    pub(super) fn cost(&self, now: TimePoint, median_ms: f64) -> f64 {
        let expected = self.round_trip_ms + median_ms;
        let base = match self.latency {
            Some((at, average)) if average > expected => {
                expected + (average - expected) * freshness(now.since(at))
            }
            Some((_, average)) => average,
            None => expected,
        };
        let slots = f64::from(self.entry.slots.max(1));
        let queued = self.in_flight.len() as f64 * OTHER_DAEMONS_LOAD / slots * median_ms;
        let cold = if now < self.cold_until {
            median_ms
        } else {
            0.0
        };
        let failing = self.failure_rate(now) * FAILURE_COST_MS;
        let stalled = if self.is_stalled(now, median_ms) {
            STALL_COST_MS
        } else {
            0.0
        };
        base + queued + cold + failing + stalled + self.distance_cost_ms
    }

    fn record_latency(&mut self, now: TimePoint, latency: Duration) {
        let sample = latency.as_secs_f64() * 1000.0;
        let old = self.latency.map_or(sample, |(_, average)| average);
        self.latency = Some((now, old + LATENCY_WEIGHT * (sample - old)));
    }

    fn failure_rate(&self, now: TimePoint) -> f64 {
        let (at, rate) = self.failures;
        rate * (-now.since(at).as_secs_f64() / FAILURE_DECAY.as_secs_f64()).exp()
    }
}

/// Weight of an average latency of this age, from 1 (recent) towards 0 (old).
fn freshness(age: Duration) -> f64 {
    let stale = age.saturating_sub(LATENCY_FRESH).as_secs_f64();
    (-stale / LATENCY_DECAY.as_secs_f64()).exp()
}
