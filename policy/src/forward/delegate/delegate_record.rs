//! What is known of one daemon that may gather for this one.

use std::time::Duration;

use schema::{
    CpuCapacity,
    MemberBuild,
    TimePoint,
    ZoneName, //
};

/// Weight of a new sample in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.3;
/// Time after its first failure until a daemon is asked for a sign of life. It doubles with each further one.
const AVOID_INITIAL: Duration = Duration::from_secs(1);
/// Doublings of that time at most.
const AVOID_DOUBLINGS_MAX: u32 = 3;
/// Time for which a daemon gets no gathers after it took none.
const REFUSED_PERIOD: Duration = Duration::from_millis(300);

/// State of one daemon.
#[derive(Clone, Debug)]
pub(super) struct DelegateRecord {
    pub(super) zone: ZoneName,
    pub(super) capacity: CpuCapacity,
    /// What its build understands.
    pub(super) build: MemberBuild,
    /// Gathers of this daemon that it has.
    pub(super) in_flight: u32,
    /// Moving average of the time to its answers, in milliseconds.
    latency_ms: Option<f64>,
    /// Whether it has failed and given no sign of life since.
    in_doubt: bool,
    /// Failures since its latest answer to a gather.
    failures: u32,
    /// When it last answered anything.
    pub(super) answered_at: TimePoint,
    /// It gets no gathers before this time.
    avoid_until: TimePoint,
}

impl DelegateRecord {
    pub(super) fn new(zone: ZoneName, capacity: CpuCapacity, build: MemberBuild) -> Self {
        Self {
            zone,
            capacity,
            build,
            in_flight: 0,
            latency_ms: None,
            in_doubt: false,
            failures: 0,
            answered_at: TimePoint(0),
            avoid_until: TimePoint(0),
        }
    }

    pub(super) fn is_usable(&self, now: TimePoint) -> bool {
        !self.in_doubt && now >= self.avoid_until
    }

    /// Whether a sign of life is asked for now, since it has failed and gets no gather without one.
    pub(super) fn start_ask(&mut self, now: TimePoint) -> bool {
        let due = self.in_doubt && now >= self.avoid_until;
        if due {
            self.record_failure(now);
        }
        due
    }

    /// Records that it has answered something.
    pub(super) fn record_sign(&mut self, now: TimePoint) {
        self.answered_at = now;
        if self.in_doubt {
            self.in_doubt = false;
            self.avoid_until = TimePoint(0);
        }
    }

    /// Expected time that its choice costs, in milliseconds. `unknown_ms` is assumed before its first answer.
    pub(super) fn cost(&self, unknown_ms: f64) -> f64 {
        self.latency_ms.unwrap_or(unknown_ms) * f64::from(self.in_flight + 1)
    }

    /// Records an answer after `latency`.
    pub(super) fn record_answer(&mut self, latency: Duration) {
        let sample = latency.as_secs_f64() * 1000.0;
        let old = self.latency_ms.unwrap_or(sample);
        self.latency_ms = Some(old + LATENCY_WEIGHT * (sample - old));
        self.failures = 0;
        self.in_doubt = false;
        self.avoid_until = TimePoint(0);
    }

    /// Records that it did not answer in time, or not at all; returns for how long it is avoided.
    pub(super) fn record_failure(&mut self, now: TimePoint) -> Duration {
        let period = AVOID_INITIAL * (1 << self.failures.min(AVOID_DOUBLINGS_MAX));
        self.failures += 1;
        self.in_doubt = true;
        self.avoid_until = now + period;
        period
    }

    /// Records that it takes no gathers for now, or has another route table; returns for how long it is
    /// avoided.
    pub(super) fn record_refusal(&mut self, now: TimePoint) -> Duration {
        self.avoid_until = now + REFUSED_PERIOD;
        REFUSED_PERIOD
    }
}
