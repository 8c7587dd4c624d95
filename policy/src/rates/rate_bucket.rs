//! The tokens of one rate that a daemon may issue.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use schema::TimePoint;

use super::rate_plan::{
    RatePlan,
    RateSupply, //
};

/// Time that is named where there will be no token unless the daemon's share grows.
const NO_TOKEN_WAIT: Duration = Duration::from_secs(1);
/// Shortest time that is named.
const WAIT_MIN: Duration = Duration::from_millis(50);
/// Rounding error of a level.
const TOKEN: f64 = 1.0 - 1e-9;

/// Tokens that are issued within this part of their validity are counted together.
const BATCHES: u32 = 16;

/// Tokens that were issued at about the same time.
#[derive(Clone, Copy, Debug)]
struct IssuedBatch {
    first_at: TimePoint,
    last_at: TimePoint,
    tokens: u32,
}

/// The tokens of one rate that a daemon may issue.
#[derive(Clone, Debug)]
pub(super) struct RateBucket {
    level: f64,
    settled_at: TimePoint,
    /// Tokens that were issued and may be valid, the oldest first.
    batches: VecDeque<IssuedBatch>,
    issued: u32,
}

impl RateBucket {
    /// An empty bucket.
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            level: 0.0,
            settled_at: now,
            batches: VecDeque::new(),
            issued: 0,
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

    /// Takes up to `wanted` tokens, of which part `kept` of what the bucket may hold and issue is left.
    pub(super) fn take(
        &mut self,
        now: TimePoint,
        plan: &RatePlan,
        supply: RateSupply,
        (wanted, kept): (u32, f64),
    ) -> u32 {
        self.expire(now, plan);
        let floor = kept * plan.depth_of(supply);
        let issued_max = plan.issued_max(supply) * (1.0 - kept);
        let free = (self.level - floor).min(issued_max - f64::from(self.issued));
        let taken = wanted.min((free + 1.0 - TOKEN).max(0.0) as u32);
        if taken == 0 {
            return 0;
        }
        self.level = (self.level - f64::from(taken)).max(0.0);
        self.issued += taken;
        let period = plan.validity / BATCHES;
        match self.batches.back_mut() {
            Some(batch) if now.since(batch.first_at) < period => {
                batch.last_at = now;
                batch.tokens += taken;
            }
            _ => self.batches.push_back(IssuedBatch {
                first_at: now,
                last_at: now,
                tokens: taken,
            }),
        }
        taken
    }

    /// Takes tokens back that were not used. Those that are no longer valid are dropped.
    pub(super) fn take_back(
        &mut self,
        now: TimePoint,
        plan: &RatePlan,
        supply: RateSupply,
        returned: u32,
    ) {
        self.expire(now, plan);
        let mut left = returned.min(self.issued);
        self.issued -= left;
        self.level += f64::from(left);
        self.clamp(plan, supply);
        // The oldest ones are counted as returned, since the others are counted for longer.
        while let Some(batch) = self.batches.front_mut().filter(|_| left > 0) {
            let taken = left.min(batch.tokens);
            batch.tokens -= taken;
            left -= taken;
            if batch.tokens == 0 {
                self.batches.pop_front();
            }
        }
    }

    fn expire(&mut self, now: TimePoint, plan: &RatePlan) {
        while let Some(batch) = self.batches.front() {
            if now.since(batch.last_at) < plan.validity {
                return;
            }
            self.issued -= batch.tokens;
            self.batches.pop_front();
        }
    }

    /// Time until there is a token.
    pub(super) fn wait(&self, plan: &RatePlan, supply: RateSupply) -> Duration {
        let rate = plan.rate_of(supply);
        if plan.depth_of(supply) < 1.0 || rate <= 0.0 {
            return NO_TOKEN_WAIT;
        }
        let seconds = (1.0 - self.level).max(0.0) / rate;
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(NO_TOKEN_WAIT);
        wait.max(WAIT_MIN)
    }

    /// Tokens that are there.
    pub(super) fn level(&self) -> f64 {
        self.level
    }
}
