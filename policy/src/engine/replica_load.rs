//! Load reports of upstreams.

use schema::{
    SnapshotId,
    SpanSet, //
};
use smallvec::SmallVec;

/// Load of an upstream, as reported with each reply and refusal.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReplicaLoad {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait for a free slot.
    pub queued: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it refuses new requests because it is draining.
    pub draining: bool,
    /// Snapshots that it holds, oldest first.
    pub snapshots: SmallVec<[SnapshotId; 4]>,
    /// Keys that it serves.
    pub serves: SpanSet,
}
