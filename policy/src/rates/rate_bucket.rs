//! The tokens of one rate that a daemon may issue.

use std::time::Duration;

use schema::TimePoint;

use super::rate_plan::{
    RatePlan,
    RateSupply, //
};

/// Time that is named where there will be no token unless the daemon's share grows.
const NO_TOKEN_WAIT: Duration = Duration::from_secs(1);
/// Rounding error of a level.
const TOKEN: f64 = 1.0 - 1e-9;

/// The tokens of one rate that a daemon may issue.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateBucket {
    level: f64,
    settled_at: TimePoint,
}

impl RateBucket {
    /// An empty bucket.
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            level: 0.0,
            settled_at: now,
        }
    }

    /// Adds the tokens since the last call, through which the daemon had `supply`.
    pub(super) fn settle(&mut self, now: TimePoint, plan: &RatePlan, supply: RateSupply) {
        let elapsed = now.since(self.settled_at).as_secs_f64();
        self.settled_at = self.settled_at.max(now);
        self.level += elapsed * plan.rate_of(supply);
        self.clamp(plan, supply);
    }

    /// Drops what does not fit.
    pub(super) fn clamp(&mut self, plan: &RatePlan, supply: RateSupply) {
        self.level = self.level.min(plan.depth_of(supply));
    }

    /// Adds tokens.
    pub(super) fn add(&mut self, tokens: f64, plan: &RatePlan, supply: RateSupply) {
        self.level += tokens;
        self.clamp(plan, supply);
    }

    /// Takes up to `wanted` tokens of those above `floor`.
    pub(super) fn take(&mut self, wanted: u32, floor: f64) -> u32 {
        let free = (self.level - floor + 1.0 - TOKEN).max(0.0);
        let taken = wanted.min(free as u32);
        self.level = (self.level - f64::from(taken)).max(0.0);
        taken
    }

    /// Time until there is a token.
    pub(super) fn wait(&self, plan: &RatePlan, supply: RateSupply) -> Duration {
        let rate = plan.rate_of(supply);
        if plan.depth_of(supply) < 1.0 || rate <= 0.0 {
            return NO_TOKEN_WAIT;
        }
        let seconds = (1.0 - self.level).max(0.0) / rate;
        Duration::try_from_secs_f64(seconds).unwrap_or(NO_TOKEN_WAIT)
    }

    /// Tokens that are there.
    pub(super) fn level(&self) -> f64 {
        self.level
    }
}
