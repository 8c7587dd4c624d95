//! The budget of second sends of one service.
//!
//! All daemons together may send a service a share of its requests a second time within any window.
//! Each daemon keeps to that share of the requests it sent itself in the same window, so that the
//! sum over daemons keeps to it whatever their number.

use std::time::Duration;

use schema::TimePoint;

/// Buckets of the window; the current one comes on top.
const BUCKETS: usize = 20;

/// Counts first and second sends over a sliding window.
#[derive(Clone, Debug)]
pub struct ExtraBudget {
    ratio: f64,
    slack: f64,
    width_us: u64,
    first_bucket: u64,
    firsts: [u32; BUCKETS + 1],
    extras: [u32; BUCKETS + 1],
}

impl ExtraBudget {
    /// A budget of `ratio` second sends to each first one in any `window`.
    pub fn new(ratio: f64, window: Duration) -> Self {
        let micros = u64::try_from(window.as_micros()).unwrap_or(u64::MAX);
        Self {
            ratio,
            slack: 0.0,
            width_us: (micros / BUCKETS as u64).max(1),
            first_bucket: 0,
            firsts: [0; BUCKETS + 1],
            extras: [0; BUCKETS + 1],
        }
    }

    /// Counts a first send.
    pub fn earn(&mut self, now: TimePoint) {
        let slot = self.turn(now);
        self.firsts[slot] += 1;
    }

    /// Takes a second send out of the budget; false where it is used up.
    pub fn spend(&mut self, now: TimePoint) -> bool {
        let slot = self.turn(now);
        if self.left() < 1.0 {
            return false;
        }
        self.extras[slot] += 1;
        true
    }

    /// Takes this daemon's part of what all may send beside the share.
    pub fn set_slack(&mut self, slack: f64) {
        self.slack = slack;
    }

    /// Whether at least half of what the window allows is left.
    pub fn is_half_left(&self) -> bool {
        let extras: u32 = self.extras.iter().sum();
        self.left() >= f64::from(extras)
    }

    /// Second sends that the window still allows.
    pub fn left(&self) -> f64 {
        let firsts: u32 = self.firsts.iter().sum();
        let extras: u32 = self.extras.iter().sum();
        f64::from(firsts) * self.ratio + self.slack - f64::from(extras)
    }

    /// Drops buckets that have left the window and gives the current one.
    fn turn(&mut self, now: TimePoint) -> usize {
        let bucket = now.0 / self.width_us;
        let size = self.firsts.len() as u64;
        let from = self.first_bucket + 1;
        for stale in from.max(bucket.saturating_sub(size - 1))..=bucket {
            let slot = (stale % size) as usize;
            self.firsts[slot] = 0;
            self.extras[slot] = 0;
        }
        self.first_bucket = self.first_bucket.max(bucket);
        (self.first_bucket % size) as usize
    }
}
