//! Delays between retries.

use std::time::Duration;

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

/// Exponential back-off with full jitter above half of the delay.
#[derive(Clone, Debug)]
pub struct RetryDelay {
    first: Duration,
    max: Duration,
    failures: u32,
    random: Pcg64Mcg,
}

impl RetryDelay {
    /// Delays that start at `first` and double up to `max`.
    pub fn new(first: Duration, max: Duration, seed: u64) -> Self {
        Self {
            first,
            max,
            failures: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// The delay after another failure.
    pub fn next_delay(&mut self) -> Duration {
        let doubled = self.first.saturating_mul(1 << self.failures.min(20));
        self.failures = self.failures.saturating_add(1);
        let span = doubled.min(self.max).max(Duration::from_micros(2));
        let micros = span.as_micros() as u64;
        Duration::from_micros(self.random.random_range(micros / 2..=micros))
    }

    /// Whether the last call failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Starts over after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
