//! Counters of the calls to the store.

/// Calls received by the store since it started, including those that a fault affected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads of a key.
    pub reads: u64,
    /// Writes of keys and leases.
    pub writes: u64,
    /// Watches of a key, counted when they begin.
    pub watches: u64,
}
