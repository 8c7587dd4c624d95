//! Settings of the claim manager.

use std::time::Duration;

use schema::{
    DaemonName,
    Incarnation, //
};

/// Settings of the claim manager.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Name of this daemon; part of the holder in the store.
    pub daemon: Option<DaemonName>,
    /// Identifies this start of the daemon, so that a restarted daemon does not treat earlier
    /// claims as its own.
    pub incarnation: Incarnation,
    /// Seed for the jitter of retry delays.
    pub seed: u64,
    /// Store calls that a claim may make before it is refused.
    pub max_store_calls: u32,
    /// First delay before a background retry.
    pub first_retry_delay: Duration,
    /// Longest delay before a background retry.
    pub max_retry_delay: Duration,
    /// Shortest time between two background retries, over all claims.
    pub retry_interval: Duration,
    /// Most claims that are held, or are still to be released or recorded.
    pub max_claims: usize,
    /// How far ahead of this daemon's clock a key may have been created.
    pub clock_skew: Duration,
    /// Time that a lease lasts beyond two windows.
    pub lease_margin: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            daemon: None,
            incarnation: Incarnation(0),
            seed: 0,
            max_store_calls: 6,
            first_retry_delay: Duration::from_millis(200),
            max_retry_delay: Duration::from_secs(20),
            retry_interval: Duration::from_millis(50),
            max_claims: 20_000,
            clock_skew: Duration::from_secs(5 * 60),
            lease_margin: Duration::from_secs(60 * 60),
        }
    }
}
