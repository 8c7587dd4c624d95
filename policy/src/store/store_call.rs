//! Calls to the store and what came of them.

use std::time::Duration;

/// A call to the store. Values are raw bytes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Read a key.
    Get {
        /// The key.
        key: String,
    },
    /// Write a key whose revision is `expect`; 0 demands that it does not exist.
    Write {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// Revision that must still be current.
        expect: u64,
        /// Lease that the key lives by; 0 for none.
        lease: u64,
    },
    /// Wait for a revision of a key above `after`.
    Watch {
        /// The key.
        key: String,
        /// Revision already known.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Grant a lease.
    Grant {
        /// Its time to live.
        ttl: Duration,
    },
}

/// What came of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The key's value.
    Found {
        /// The value.
        value: Vec<u8>,
        /// Its revision.
        revision: u64,
    },
    /// The key does not exist.
    Missing,
    /// A watch ended without a newer revision.
    Unchanged,
    /// The write took effect.
    Written {
        /// Revision now current.
        revision: u64,
    },
    /// Another revision is current; nothing was written.
    Conflict {
        /// Revision now current; 0 where the key does not exist.
        revision: u64,
    },
    /// The lease is granted.
    Granted {
        /// Its number.
        lease: u64,
    },
    /// The call failed and surely took no effect.
    Failed,
    /// The call failed and may have taken effect, now or later.
    Unsure,
    /// The store refuses the call as it is; sending it again is of no use.
    Refused,
}

impl StoreReply {
    /// Whether the store could not be reached or did not answer in time.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Failed | Self::Unsure)
    }
}
