//! How far a rate that several daemons share may be exceeded.

use std::time::Duration;

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
