//! How many requests a daemon would send a replica.

use std::time::Duration;

use schema::TimePoint;

/// Time constant of the average that follows a burst and its end.
const FAST_PERIOD: Duration = Duration::from_millis(250);
/// Time constant of the average that sees single requests.
const SLOW_PERIOD: Duration = Duration::from_millis(1_000);
/// Rate, in requests a second, up to which the slow average counts: a daemon with few requests keeps
/// a small share between two of them.
const SLOW_RATE_MAX: f64 = 0.5;

/// Exponentially decaying averages of a rate.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DemandMeter {
    fast: f64,
    slow: f64,
    updated_at: TimePoint,
}

impl DemandMeter {
    /// Counts a request.
    pub(super) fn record(&mut self, now: TimePoint) {
        (self.fast, self.slow) = self.averages(now);
        self.fast += 1.0 / FAST_PERIOD.as_secs_f64();
        self.slow += 1.0 / SLOW_PERIOD.as_secs_f64();
        self.updated_at = now;
    }

    /// Requests a second.
    pub(super) fn per_second(&self, now: TimePoint) -> f64 {
        let (fast, slow) = self.averages(now);
        fast.max(slow.min(SLOW_RATE_MAX))
    }

    fn averages(&self, now: TimePoint) -> (f64, f64) {
        let age = now.since(self.updated_at).as_secs_f64();
        let decay = |period: Duration| (-age / period.as_secs_f64()).exp();
        (
            self.fast * decay(FAST_PERIOD),
            self.slow * decay(SLOW_PERIOD),
        )
    }
}
