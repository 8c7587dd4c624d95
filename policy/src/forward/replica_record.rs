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
    rates::RateLimit,
    work::{
        decay,
        ReplicaWork, //
    },
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
/// Ratio of the expected wait to the work ahead per slot, where all slots are taken. Chosen in the model
/// (docs/design/work.md): arrivals are random, so that a queue is longer than its mean suggests.
const WAIT_FACTOR: f64 = 3.0;
/// Random share of the mean work that is added to costs. More of it gave up speed in the model, where a
/// daemon's own figures differ from those of others anyway.
const RANDOM_SPREAD: f64 = 0.1;
/// Ratio of the wait for a connection in use to the mean work. With 1, a tenth of the requests of a loaded
/// service queued for one replica while others had room.
const SLOT_WAIT_FACTOR: f64 = 4.0;
/// Share of the expected work of an attempt that is assumed to be left, however long it has run.
const WORK_LEFT_MIN: f64 = 0.3;
/// Backoff after the first failed connection to a replica.
const BACKOFF_INITIAL: Duration = Duration::from_millis(250);
/// The backoff doubles with each further failed connection, at most this many times.
const BACKOFF_DOUBLINGS_MAX: u32 = 3;

/// An attempt in flight at a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAttempt {
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// When it was sent.
    pub(super) sent_at: TimePoint,
    /// Its expected work, in milliseconds; 0 if work is not estimated.
    pub(super) work_ms: f32,
    /// The time without the network after which a reply was expected, in milliseconds; 0 if work is not
    /// estimated.
    pub(super) expected_ms: f32,
}

/// What was expected of an attempt when it was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExpectedRun {
    /// How long it would wait for a slot of the replica.
    pub(super) wait: Duration,
    /// Its work, in milliseconds.
    pub(super) work_ms: f64,
    /// The slowness that the replica stated.
    pub(super) slowness: f64,
}

impl SentAttempt {
    /// Its work that is expected to be left, in milliseconds.
    fn work_left(&self, now: TimePoint) -> f64 {
        let work_ms = f64::from(self.work_ms);
        let elapsed = now.since(self.sent_at).as_secs_f64() * 1000.0;
        (work_ms - elapsed).max(work_ms * WORK_LEFT_MIN)
    }
}

/// The terms on which the replicas of a service are compared for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct CostTerms {
    /// Median latency of the service without the network round trip, in milliseconds.
    pub(super) median_ms: f64,
    /// Expected work of the request and mean work of all requests, in milliseconds; `None` if replicas are
    /// compared by their average latency.
    pub(super) work: Option<(f64, f64)>,
}

impl CostTerms {
    /// Range of the random cost that keeps daemons with the same figures from choosing the same replica,
    /// in milliseconds.
    pub(super) fn random_spread_ms(&self) -> f64 {
        self.work
            .map_or(0.0, |(_, mean_ms)| mean_ms * RANDOM_SPREAD)
    }

    /// Expected wait until a connection of a replica is free, in milliseconds.
    pub(super) fn slot_wait_ms(&self) -> f64 {
        let by_work = self
            .work
            .map_or(0.0, |(_, mean_ms)| mean_ms * SLOT_WAIT_FACTOR);
        by_work.max(self.median_ms)
    }
}

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
    /// Attempts in flight, oldest first.
    pub(super) in_flight: SmallVec<[SentAttempt; 4]>,
    /// The replica's load and speed.
    pub(super) work: ReplicaWork,
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
            work: ReplicaWork::default(),
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

    /// Forgets the failures of a time in which this daemon had lost its links to all replicas.
    pub(super) fn forgive(&mut self, now: TimePoint) {
        self.avoid_until = TimePoint(0);
        self.connect_failures = 0;
        self.failures = (now, 0.0);
        self.latency = None;
        self.cold.forgive();
        self.work.forgive(now);
    }

    /// Records the end of an attempt.
    pub(super) fn record_end(&mut self, attempt: AttemptId) {
        self.in_flight.retain(|sent| sent.attempt != attempt);
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

    /// Whether the replica has sent no reply for longer than one of its attempts is expected to take.
    pub(super) fn is_stalled(&self, now: TimePoint, terms: &CostTerms) -> bool {
        let is_overdue = |sent: &SentAttempt, expected_ms: f64| {
            let silent = now
                .since(sent.sent_at.max(self.last_reply_at))
                .as_secs_f64()
                * 1000.0;
            silent > self.round_trip_ms + expected_ms * STALL_FACTOR + STALL_MARGIN_MS
        };
        match terms.work {
            Some(_) => {
                let mut attempts = self.in_flight.iter();
                attempts.any(|sent| is_overdue(sent, f64::from(sent.expected_ms)))
            }
            None => {
                let oldest = self.in_flight.first();
                oldest.is_some_and(|oldest| is_overdue(oldest, terms.median_ms))
            }
        }
    }

    /// Expected latency of a new request in milliseconds, plus penalties for failures, stalls and
    /// distance.
    pub(super) fn cost(&self, now: TimePoint, terms: &CostTerms) -> f64 {
        let base = match terms.work {
            Some((work_ms, mean_ms)) => {
                let completion = self.completion_ms(now, work_ms, mean_ms);
                self.round_trip_ms + completion.0 + completion.1
            }
            None => self.average_cost(now, terms.median_ms),
        };
        let failing = self.failure_rate(now) * FAILURE_COST_MS;
        let stalled = if self.is_stalled(now, terms) {
            STALL_COST_MS
        } else {
            0.0
        };
        base + failing + stalled + self.distance_cost_ms
    }

    /// The same without what earlier latencies tell, for a replica that has none of this daemon's requests while
    /// others queue: only a further request shows whether it is still slow.
    pub(super) fn retrial_cost(&self, now: TimePoint, terms: &CostTerms) -> f64 {
        let failing = self.failure_rate(now) * FAILURE_COST_MS;
        self.round_trip_ms + terms.median_ms + failing + self.distance_cost_ms
    }

    /// Expected wait for a slot and expected time of execution of a request, in milliseconds. `work_ms`
    /// is the expected work of the request, `mean_ms` that of other requests.
    pub(super) fn completion_ms(&self, now: TimePoint, work_ms: f64, mean_ms: f64) -> (f64, f64) {
        let own: f64 = self.in_flight.iter().map(|sent| sent.work_left(now)).sum();
        let ahead = own + self.work.others(now, self.in_flight.len()) * mean_ms;
        let slots = self.work.slots(self.entry.slots);
        let slowness = self.work.slowness(now);
        let cold = if now < self.cold_until { work_ms } else { 0.0 };
        // Little work ahead finds a free slot; much of it waits for the slots in turn.
        let filled = ahead / (ahead + slots * mean_ms).max(f64::MIN_POSITIVE);
        let wait_ms = WAIT_FACTOR * ahead * filled * slowness / slots;
        (wait_ms, work_ms * slowness + cold)
    }

    /// Expected latency of a new request in milliseconds by the average latency of the replica.
    /// `median_ms` is the median latency of the service without the network round trip.
    fn average_cost(&self, now: TimePoint, median_ms: f64) -> f64 {
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
        base + queued + cold
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
    decay(age, LATENCY_FRESH, LATENCY_DECAY)
}
