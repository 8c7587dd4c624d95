//! Counters of store calls.

use std::cell::Cell;

/// Store calls since the start of the daemon.
#[derive(Debug, Default)]
pub struct StoreCounts {
    reads: Cell<u64>,
    writes: Cell<u64>,
    watches: Cell<u64>,
    failures: Cell<u64>,
}

impl StoreCounts {
    /// Number of reads.
    pub fn reads(&self) -> u64 {
        self.reads.get()
    }

    /// Number of writes, including those of leases.
    pub fn writes(&self) -> u64 {
        self.writes.get()
    }

    /// Number of watches.
    pub fn watches(&self) -> u64 {
        self.watches.get()
    }

    /// Number of calls of any kind that failed.
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
