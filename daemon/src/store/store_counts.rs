//! Counters of store calls.

use std::cell::Cell;

/// Calls made to the store since the start.
#[derive(Debug, Default)]
pub struct StoreCounts {
    reads: Cell<u64>,
    writes: Cell<u64>,
    watches: Cell<u64>,
    failures: Cell<u64>,
}

impl StoreCounts {
    /// Reads.
    pub fn reads(&self) -> u64 {
        self.reads.get()
    }

    /// Writes, those of leases included.
    pub fn writes(&self) -> u64 {
        self.writes.get()
    }

    /// Watches.
    pub fn watches(&self) -> u64 {
        self.watches.get()
    }

    /// Calls of any kind that had no answer.
    pub fn failures(&self) -> u64 {
        self.failures.get()
    }

    pub(super) fn count_read(&self) {
        self.reads.set(self.reads.get() + 1);
    }

    pub(super) fn count_write(&self) {
        self.writes.set(self.writes.get() + 1);
    }

    pub(super) fn count_watch(&self) {
        self.watches.set(self.watches.get() + 1);
    }

    pub(super) fn count_failure(&self) {
        self.failures.set(self.failures.get() + 1);
    }
}
