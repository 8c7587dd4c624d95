//! Attempts in flight.

use std::time::Duration;

use schema::{
    QueryId,
    TimePoint,
    VmName, //
};

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct AttemptRecord {
    /// The request that it belongs to.
    pub(super) query: QueryId,
    /// Index of its part in the request.
    pub(super) part: usize,
    /// First key of the declared shard that its part lies in.
    pub(super) shard_start: u32,
    /// The upstream that it was sent to.
    pub(super) vm: VmName,
    /// When the engine ordered it; the first byte is written later.
    pub(super) ordered_at: TimePoint,
    /// Round-trip time of the link to the upstream.
    pub(super) link_rtt: Duration,
    /// Whether its first byte may have been written.
    pub(super) sent: bool,
    /// Whether it is a hedge.
    pub(super) hedge: bool,
}
