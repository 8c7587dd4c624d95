//! What a daemon knows of one rate.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use schema::{
    QueryId,
    TimePoint, //
};

use super::{
    rate_bucket::RateBucket,
    rate_plan::{
        RatePlan,
        RateSupply, //
    },
    token_stock::TokenStock, //
};

/// Time constant of the estimate of this daemon's demand, in seconds.
const DEMAND_PERIOD: f64 = 2.0;
/// Time without requests after which no tokens are kept.
const DEMAND_MEMORY: Duration = Duration::from_secs(10);
/// Demand of this period is covered by tokens.
const STOCK_PERIOD: f64 = 0.4;
/// Largest number of tokens that are kept.
const STOCK_MAX: f64 = 24.0;

/// A request that waits for a token.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingQuery {
    pub(super) query: QueryId,
    /// When it is decided without the authority.
    pub(super) decide_at: TimePoint,
    /// When its token is asked for again.
    pub(super) ask_at: TimePoint,
}

/// What a daemon knows of one rate.
#[derive(Clone, Debug)]
pub(super) struct KeyState {
    pub(super) plan: RatePlan,
    /// Tokens that this daemon issues.
    pub(super) bucket: RateBucket,
    /// Tokens that it has got.
    pub(super) stock: TokenStock,
    /// Requests that wait, in the order of their arrival.
    pub(super) waiting: VecDeque<WaitingQuery>,
    /// Whether a request that did not wait would have used a token, and when one is asked for again.
    pub(super) missed: bool,
    pub(super) ask_at: TimePoint,
    /// Until when the authority has none.
    pub(super) exhausted_until: TimePoint,
    /// When there is a token again, as the authority says.
    pub(super) token_at: TimePoint,
    /// Requests a second at this daemon.
    demand: f64,
    demanded_at: TimePoint,
}

impl KeyState {
    /// A rate without tokens.
    pub(super) fn new(now: TimePoint, plan: RatePlan) -> Self {
        Self {
            plan,
            bucket: RateBucket::new(now),
            stock: TokenStock::default(),
            waiting: VecDeque::new(),
            missed: false,
            ask_at: TimePoint(0),
            exhausted_until: TimePoint(0),
            token_at: TimePoint(0),
            demand: 0.0,
            demanded_at: TimePoint(0),
        }
    }

    /// Uses a token, or takes one from this daemon's own bucket; returns whether there was one. `incarnation` is
    /// the run of this process.
    pub(super) fn take(&mut self, now: TimePoint, supply: RateSupply, incarnation: u64) -> bool {
        if self.stock.take(now) {
            return true;
        }
        if supply.share <= 0.0 {
            return false;
        }
        self.bucket.settle(now, &self.plan, supply);
        if self.bucket.take(now, &self.plan, supply, (1, 0.0)) == 0 {
            return false;
        }
        let expires_at = now + self.plan.validity;
        self.stock.record_use(expires_at, incarnation);
        true
    }

    /// Counts a request.
    pub(super) fn record_demand(&mut self, now: TimePoint) {
        self.demand = self.demand(now) + 1.0 / DEMAND_PERIOD;
        self.demanded_at = now;
    }

    /// Requests a second at this daemon.
    pub(super) fn demand(&self, now: TimePoint) -> f64 {
        let age = now.since(self.demanded_at).as_secs_f64();
        self.demand * (-age / DEMAND_PERIOD).exp()
    }

    /// Whether tokens are kept.
    pub(super) fn is_active(&self, now: TimePoint) -> bool {
        now.since(self.demanded_at) < DEMAND_MEMORY
    }

    /// Tokens to keep, if they are valid for at least `period`.
    pub(super) fn stock_target(&self, now: TimePoint, period: Duration) -> usize {
        if !self.is_active(now) || self.plan.validity < period {
            return 0;
        }
        (self.demand(now) * STOCK_PERIOD)
            .ceil()
            .clamp(1.0, STOCK_MAX) as usize
    }

    /// Tokens that are asked for now.
    pub(super) fn due_needs(&self, now: TimePoint) -> u32 {
        let waiting = self.waiting.iter().filter(|waiting| waiting.ask_at <= now);
        let missed = self.missed && self.ask_at <= now;
        u32::try_from(waiting.count()).unwrap_or(u32::MAX) + u32::from(missed)
    }

    /// When something is due; `NEVER` if nothing waits.
    pub(super) fn next_due(&self) -> TimePoint {
        let mut next = match self.missed {
            true => self.ask_at,
            false => TimePoint::NEVER,
        };
        for waiting in &self.waiting {
            next = next.min(waiting.decide_at).min(waiting.ask_at);
        }
        next
    }

    /// Time until there is a token, as far as this daemon knows.
    pub(super) fn retry_after(&self, now: TimePoint) -> Duration {
        let wait = self.token_at.max(self.exhausted_until).since(now);
        wait.max(Duration::from_millis(50))
    }
}
