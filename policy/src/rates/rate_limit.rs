//! A rate and how far it may be exceeded.

use std::time::Duration;

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

/// How far rates of one kind may be exceeded in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBounds {
    /// Length of the window.
    pub window: Duration,
    /// Part of what the rate allows in a window that is allowed in addition.
    pub overage: f64,
    /// Requests that are allowed in addition.
    pub slack: f64,
}

impl RateBounds {
    /// The limit of a rate with these bounds.
    pub fn limit(&self, per_second: f64, burst: f64) -> RateLimit {
        RateLimit {
            per_second,
            burst,
            window: self.window,
            overage: self.overage,
            slack: self.slack,
        }
    }
}
