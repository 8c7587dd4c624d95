//! A rate and how far it may be exceeded.

use std::time::Duration;

use schema::RateBounds;

/// A rate that all daemons together keep, with the bound that it must not exceed in any window:
/// (`per_second` x `window` + `burst`) x (1 + `overage`) + `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Requests a second.
    pub per_second: f64,
    /// Requests in addition to the rate.
    pub burst: f64,
    /// Length of the window in which requests are counted.
    pub window: Duration,
    /// Part of what the rate allows in a window that may be used in addition.
    pub overage: f64,
    /// Requests in a window that may be used in addition.
    pub slack: f64,
}

impl RateLimit {
    /// The limit of a rate with these bounds.
    pub fn bounded(per_second: f64, burst: f64, bounds: &RateBounds) -> Self {
        Self {
            per_second,
            burst,
            window: bounds.window,
            overage: bounds.overage,
            slack: bounds.slack,
        }
    }
}
