//! Settings of the charge ledger.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use schema::{
    DaemonName,
    Incarnation,
    ZoneName, //
};

/// Settings of the charge ledger.
#[derive(Clone, Debug)]
pub struct ChargeSettings {
    /// Name of this daemon.
    pub daemon: DaemonName,
    /// Data centre of this daemon.
    pub zone: ZoneName,
    /// Address at which peers reach this daemon.
    pub address: SocketAddr,
    /// Incarnation of this daemon, higher after each restart.
    pub incarnation: Incarnation,
    /// Seed of the retry jitter.
    pub seed: u64,
    /// Number of peers that hold a copy of each charge.
    pub copies: usize,
    /// Maximum time that an answer waits for its charge to be copied; after that it is delivered
    /// uncopied.
    pub copy_wait: Duration,
    /// Time after which a peer that has not acknowledged a copy is replaced by another.
    pub copy_timeout: Duration,
    /// Age at which the open segment is sealed, once no older segment waits for the store.
    pub seal_age: Duration,
    /// Encoded size at which a segment is sealed, in bytes.
    pub seal_bytes: usize,
    /// Memory limit for charges not written to the store yet, in bytes; at the limit, requests are
    /// refused.
    pub waiting_max_bytes: usize,
    /// Memory limit for the copies held for other daemons, in bytes.
    pub held_copies_max_bytes: usize,
    /// Minimum time between the starts of two segment writes.
    pub min_write_interval: Duration,
    /// Initial delay before a failed store call is retried.
    pub initial_retry_delay: Duration,
    /// Maximum delay between retries of a store call.
    pub max_retry_delay: Duration,
}

impl ChargeSettings {
    /// Creates settings with the default times and sizes; the seed is the incarnation.
    pub fn new(
        daemon: DaemonName,
        zone: ZoneName,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            daemon,
            zone,
            address,
            incarnation,
            seed: incarnation.0,
            copies: 2,
            copy_wait: Duration::from_millis(50),
            copy_timeout: Duration::from_millis(150),
            seal_age: Duration::from_secs(1),
            seal_bytes: 512 * 1024,
            waiting_max_bytes: 64 * 1024 * 1024,
            held_copies_max_bytes: 128 * 1024 * 1024,
            min_write_interval: Duration::from_millis(200),
            initial_retry_delay: Duration::from_millis(500),
            max_retry_delay: Duration::from_secs(20),
        }
    }
}
