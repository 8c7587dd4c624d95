//! Settings and faults of the store.

use std::time::Duration;

/// Settings of a [`StoreServer`](crate::StoreServer).
#[derive(Clone, Debug)]
pub struct StoreSettings {
    /// Time that each call takes.
    pub latency: Duration,
    /// Share of successful writes whose reply is lost, in millionths.
    pub lost_reply_ppm: u32,
    /// Largest accepted value, in bytes before base64 encoding.
    pub value_max: usize,
    /// Seed of the choice of lost replies.
    pub seed: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            latency: Duration::from_millis(1),
            lost_reply_ppm: 0,
            value_max: 1 << 20,
            seed: 1,
        }
    }
}

/// A fault of the store at one port.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreFault {
    /// The store works normally.
    #[default]
    None,
    /// The port is closed and connections are refused.
    Down,
    /// Calls are accepted and neither carried out nor answered.
    Hang,
    /// Every call takes longer by this time.
    Slow(Duration),
}
