//! Exponential backoff between retries.

use std::time::Duration;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

/// Exponential backoff with jitter: a delay is drawn uniformly between half of the current backoff
/// and all of it.
#[derive(Clone, Debug)]
pub struct RetryDelay {
    initial: Duration,
    max: Duration,
    failures: u32,
    random: Pcg64Mcg,
}

impl RetryDelay {
    /// Creates a backoff that starts at `initial` and doubles with each failure up to `max`; `seed`
    /// seeds the jitter.
    pub fn new(initial: Duration, max: Duration, seed: u64) -> Self {
        Self {
            initial,
            max,
            failures: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Counts a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = self.initial.saturating_mul(1 << self.failures.min(20));
        self.failures = self.failures.saturating_add(1);
        let backoff = doubled.min(self.max).max(Duration::from_micros(2));
        let micros = backoff.as_micros() as u64;
        Duration::from_micros(self.random.random_range(micros / 2..=micros))
    }

    /// Whether an attempt has failed since the last [`RetryDelay::reset`].
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Returns to the initial delay after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
