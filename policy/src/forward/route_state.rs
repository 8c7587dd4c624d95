//! What is learned of a route.

use std::time::Duration;

use super::{
    LatencySketch,
    SplitWheel, //
};

/// Quantile of the latency from which a hedge delay is worked out: below the share of replies
/// that a paused replica delays, about one in 24.
const HEDGE_QUANTILE: f32 = 0.9;
/// Multiple of that latency after which a reply is late.
const HEDGE_FACTOR: f64 = 1.3;
/// Shortest hedge delay.
const HEDGE_MIN: Duration = Duration::from_millis(4);
/// Part of the route's goal that a hedge waits at most: the rest is for the second reply.
const HEDGE_GOAL_SHARE: f64 = 0.35;
/// Hedge delay of a route without a goal and without a reply so far.
const HEDGE_UNKNOWN: Duration = Duration::from_millis(50);

/// What is learned of a route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteState {
    /// Latencies of its replies without the link's part.
    pub(super) latency: LatencySketch,
    /// Turn of its weighted parts.
    pub(super) wheel: SplitWheel,
    /// Longest time that a caller has said it will wait: that of a first try.
    pub(super) patience: Duration,
}

impl RouteState {
    /// Time from sending to a replica beside this daemon until its reply is late.
    pub(super) fn hedge_delay(&self, goal: Duration) -> Duration {
        let latest = match goal.is_zero() {
            true => Duration::MAX,
            false => goal.mul_f64(HEDGE_GOAL_SHARE),
        };
        match self.latency.quantile(HEDGE_QUANTILE) {
            Some(latency) => latency.mul_f64(HEDGE_FACTOR).max(HEDGE_MIN).min(latest),
            None => HEDGE_UNKNOWN.min(latest),
        }
    }

    /// How long ago the caller made its first try, which its remaining `patience` tells.
    pub(super) fn age(&mut self, patience: Option<Duration>) -> Duration {
        let Some(patience) = patience else {
            return Duration::ZERO;
        };
        self.patience = self.patience.max(patience);
        self.patience - patience
    }
}
