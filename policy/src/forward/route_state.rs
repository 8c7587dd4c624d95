//! Latency statistics and load balancing of one route.

use std::{
    rc::Rc,
    time::Duration, //
};

use schema::{
    BundleVersion,
    TimePoint, //
};

use super::{
    delegate::GatherPlan,
    LatencySketch,
    WeightedBalancer, //
};

/// Quantile of the latency from which the hedge delay is computed. It is low enough to leave out
/// the replies that a paused replica delays, about one in 24.
const HEDGE_QUANTILE: f32 = 0.9;
/// Ratio of the hedge delay to the latency at [`HEDGE_QUANTILE`].
const HEDGE_FACTOR: f64 = 1.3;
/// Shortest hedge delay.
const HEDGE_MIN: Duration = Duration::from_millis(4);
/// Upper limit of the hedge delay as a share of the route's latency goal; the rest is left for the
/// hedge's reply.
const HEDGE_GOAL_SHARE: f64 = 0.35;
/// Hedge delay of a route without replies so far, unless the limit by its goal is lower.
const HEDGE_DEFAULT: Duration = Duration::from_millis(50);

/// What the engine has learned about one route.
#[derive(Clone, Debug, Default)]
pub(super) struct RouteState {
    /// Latencies of the replies without the network round trip.
    pub(super) latency: LatencySketch,
    /// Latencies of the answers of other daemons that gather for this one.
    pub(super) delegated: LatencySketch,
    /// Which daemons gather for the route, when that was decided, and for which generation of members and
    /// which route table.
    pub(super) plan: Option<(TimePoint, (u64, BundleVersion), Rc<GatherPlan>)>,
    /// Distributes the requests of a split route over its services.
    pub(super) balancer: WeightedBalancer,
    /// Longest time until a deadline that a caller has sent. A request with this much time left is
    /// assumed to be no retry.
    pub(super) max_time_left: Duration,
}

impl RouteState {
    /// Time after which an attempt is hedged, not counting the network round trip to its replica.
    pub(super) fn hedge_delay(&self, goal: Duration) -> Duration {
        let max_delay = match goal.is_zero() {
            true => Duration::MAX,
            false => goal.mul_f64(HEDGE_GOAL_SHARE),
        };
        match self.latency.quantile(HEDGE_QUANTILE) {
            Some(latency) => latency.mul_f64(HEDGE_FACTOR).max(HEDGE_MIN).min(max_delay),
            None => HEDGE_DEFAULT.min(max_delay),
        }
    }

    /// Time since the caller first sent its request, possibly to another daemon: the difference
    /// between the longest time until a deadline seen so far and `time_left`.
    pub(super) fn elapsed(&mut self, time_left: Option<Duration>) -> Duration {
        let Some(time_left) = time_left else {
            return Duration::ZERO;
        };
        self.max_time_left = self.max_time_left.max(time_left);
        self.max_time_left - time_left
    }
}
