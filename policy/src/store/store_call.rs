//! Requests to the store and their replies.

use std::time::Duration;

/// A request to the store. Values are raw bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads the value of a key.
    Get {
        /// The key.
        key: String,
    },
    /// Writes a key by compare-and-swap: only if its revision is `expect`, where 0 means that the
    /// key must not exist.
    Write {
        /// The key.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// Revision that the key must have for the write to take effect.
        expect: u64,
        /// Lease whose expiry deletes the key; 0 for none.
        lease: u64,
    },
    /// Waits for a revision of a key above `after`.
    Watch {
        /// The key.
        key: String,
        /// Latest revision that the caller has read.
        after: u64,
        /// Maximum time to wait.
        wait: Duration,
    },
    /// Grants a lease.
    Grant {
        /// Time to live of the lease.
        ttl: Duration,
    },
}

/// The outcome of a request to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The key exists.
    Found {
        /// The key's value.
        value: Vec<u8>,
        /// Revision of the value.
        revision: u64,
    },
    /// The key does not exist.
    Missing,
    /// A watch timed out without a newer revision.
    Unchanged,
    /// The write took effect.
    Written {
        /// Revision after the write.
        revision: u64,
    },
    /// The key has another revision than expected; nothing was written.
    Conflict {
        /// Current revision of the key; 0 if it does not exist.
        revision: u64,
    },
    /// The lease was granted.
    Granted {
        /// Id of the lease.
        lease: u64,
    },
    /// The request failed and had no effect.
    Failed,
    /// The request failed, but may have taken effect or may still do so.
    Indeterminate,
    /// The store rejected the request as invalid; a retry would be rejected too.
    Refused,
}

impl StoreReply {
    /// Whether the store was unreachable or did not answer before the timeout.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Failed | Self::Indeterminate)
    }
}
