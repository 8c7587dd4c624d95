//! Token bucket whose tokens may be promised before they exist.

use std::time::Duration;

use schema::TimePoint;

/// Time at the full rate for which unused tokens are kept.
const BURST_PERIOD: Duration = Duration::from_millis(250);
/// Rate, in tokens a second, below which no unused token is kept: a daemon that has next to no share
/// of a limit must not use it up at once with all the others.
const SAVING_RATE_MIN: f64 = 0.02;

/// Part of a token by which a bucket may be short, for rounding.
const ROUNDING: f64 = 1e-6;
/// Shortest wait for a token; clocks count microseconds.
const WAIT_MIN: Duration = Duration::from_millis(1);

/// A token bucket in which one token allows one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Below zero if tokens have been promised.
    tokens: f64,
    refilled_at: TimePoint,
}

impl TokenBucket {
    /// Creates a bucket with one token.
    pub fn new(now: TimePoint) -> Self {
        Self {
            tokens: 1.0,
            refilled_at: now,
            ..Self::default()
        }
    }

    /// Sets the rate from now on.
    pub fn set_rate(&mut self, now: TimePoint, rate: f64) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.tokens_max());
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Time until a token is free that has not been promised; `None` if there will be none.
    pub fn time_to_token(&self, now: TimePoint) -> Option<Duration> {
        let missing = 1.0 - self.tokens_at(now);
        if missing <= ROUNDING {
            return Some(Duration::ZERO);
        }
        let wait = Duration::try_from_secs_f64(missing / self.rate).ok()?;
        Some(wait.max(WAIT_MIN))
    }

    /// Takes a token, or promises the next one.
    pub fn take(&mut self, now: TimePoint) {
        self.refill(now);
        self.tokens -= 1.0;
    }

    /// Gives a token back that was promised and not used.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.tokens_max());
    }

    fn tokens_at(&self, now: TimePoint) -> f64 {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.rate;
        (self.tokens + refill).min(self.tokens_max())
    }

    fn refill(&mut self, now: TimePoint) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = now;
    }

    fn tokens_max(&self) -> f64 {
        match self.rate < SAVING_RATE_MIN {
            true => 0.0,
            false => (self.rate * BURST_PERIOD.as_secs_f64()).max(1.0),
        }
    }
}
