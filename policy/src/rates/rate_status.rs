//! What operators see of the rates.

use std::time::Duration;

use schema::DaemonName;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RateCounts {
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that waited for the authority.
    pub waited: u64,
    /// Questions to other daemons.
    pub asks: u64,
    /// Answers to other daemons.
    pub answers: u64,
    /// Tokens issued to other daemons.
    pub granted: u64,
}

/// One rate as this daemon sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct RateStatus {
    /// Requests a second that the rate allows.
    pub per_second: f64,
    /// Requests in addition.
    pub burst: f64,
    /// Requests a second at this daemon.
    pub demand: f64,
    /// Tokens that this daemon holds or may issue.
    pub tokens: f64,
    /// The daemon that issues the tokens.
    pub authority: DaemonName,
    /// Time since its last answer; zero if it is this daemon.
    pub age: Duration,
    /// Share of all rates that this daemon may issue.
    pub share: f64,
}
