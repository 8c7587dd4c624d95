//! Counters of an upstream.

use std::time::Duration;

/// Counters of one upstream since it was created, or of several upstreams combined.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamCounts {
    /// Tasks that arrived.
    pub tasks: u64,
    /// Tasks whose run began.
    pub runs: u64,
    /// Tasks refused because the queue was full.
    pub shed: u64,
    /// Tasks refused while draining.
    pub drained: u64,
    /// Tasks cancelled because their connection closed.
    pub cancelled: u64,
    /// Tasks whose deadline passed before a slot became free.
    pub late: u64,
    /// Connections refused because the limit was reached.
    pub refused: u64,
    /// Connections accepted.
    pub accepted: u64,
    /// Connections that are open now.
    pub connections: u32,
    /// Peak of the connections open at once.
    pub connections_max: u32,
    /// Tasks that are running or queued now.
    pub outstanding: u32,
    /// Peak of the tasks running or queued at once.
    pub outstanding_max: u32,
    /// Crashes caused by a query with the crash marker.
    pub crashes: u64,
    /// Time from the start of the drain until the latest task that arrived after it; `None` if
    /// there was none.
    pub drain_tail: Option<Duration>,
}

impl UpstreamCounts {
    /// Adds the counters of another upstream; of peaks and the drain tail, the higher one is kept.
    pub(crate) fn add(&mut self, other: &Self) {
        self.tasks += other.tasks;
        self.runs += other.runs;
        self.shed += other.shed;
        self.drained += other.drained;
        self.cancelled += other.cancelled;
        self.late += other.late;
        self.refused += other.refused;
        self.accepted += other.accepted;
        self.connections += other.connections;
        self.connections_max = self.connections_max.max(other.connections_max);
        self.outstanding += other.outstanding;
        self.outstanding_max = self.outstanding_max.max(other.outstanding_max);
        self.crashes += other.crashes;
        self.drain_tail = self.drain_tail.max(other.drain_tail);
    }
}
