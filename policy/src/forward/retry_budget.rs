//! Limits the extra attempts (hedges and retries) at one service.
//!
//! In any sliding window, all daemons together may send extra attempts up to a ratio of the first
//! attempts at the service, plus a slack. Each daemon applies the ratio to the first attempts that
//! it sent itself, so the total holds for any number of daemons.

use std::time::Duration;

use schema::TimePoint;

/// Number of buckets in the window, not counting the current one.
const BUCKETS: usize = 20;

/// Counts first and extra attempts over a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    /// Extra attempts allowed in a window in addition to the ratio.
    slack: f64,
    bucket_width_us: u64,
    /// Number of the current bucket, counted from time zero.
    current_bucket: u64,
    /// Counts by bucket, in a ring: a bucket is stored at its number modulo the length.
    first_attempts: [u32; BUCKETS + 1],
    extra_attempts: [u32; BUCKETS + 1],
}

impl RetryBudget {
    /// Creates a budget of `ratio` extra attempts for each first attempt in any `window`.
    pub fn new(ratio: f64, window: Duration) -> Self {
        let micros = u64::try_from(window.as_micros()).unwrap_or(u64::MAX);
        Self {
            ratio,
            slack: 0.0,
            bucket_width_us: (micros / BUCKETS as u64).max(1),
            current_bucket: 0,
            first_attempts: [0; BUCKETS + 1],
            extra_attempts: [0; BUCKETS + 1],
        }
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: TimePoint) {
        let slot = self.advance(now);
        self.first_attempts[slot] += 1;
    }

    /// Takes an extra attempt out of the budget; returns false if none is left.
    pub fn try_spend(&mut self, now: TimePoint) -> bool {
        if !self.allows(now) {
            return false;
        }
        let slot = self.advance(now);
        self.extra_attempts[slot] += 1;
        true
    }

    /// Whether an extra attempt is left.
    pub fn allows(&mut self, now: TimePoint) -> bool {
        self.advance(now);
        self.remaining() >= 1.0
    }

    /// Sets the number of extra attempts that this daemon may send in a window in addition to the
    /// ratio.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Whether at least half of what the window allows is left.
    pub fn has_half_left(&self) -> bool {
        let extra_attempts: u32 = self.extra_attempts.iter().sum();
        self.remaining() >= f64::from(extra_attempts)
    }

    /// Extra attempts that the window still allows.
    pub fn remaining(&self) -> f64 {
        let first_attempts: u32 = self.first_attempts.iter().sum();
        let extra_attempts: u32 = self.extra_attempts.iter().sum();
        f64::from(first_attempts) * self.ratio + self.slack - f64::from(extra_attempts)
    }

    /// Clears the buckets that have left the window and returns the index of the current one.
    fn advance(&mut self, now: TimePoint) -> usize {
        let bucket = now.0 / self.bucket_width_us;
        let size = self.first_attempts.len() as u64;
        let from = self.current_bucket + 1;
        for expired in from.max(bucket.saturating_sub(size - 1))..=bucket {
            let slot = (expired % size) as usize;
            self.first_attempts[slot] = 0;
            self.extra_attempts[slot] = 0;
        }
        self.current_bucket = self.current_bucket.max(bucket);
        (self.current_bucket % size) as usize
    }
}
