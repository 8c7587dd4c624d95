//! Keys and snapshots of the usable replicas.

use schema::{
    SnapshotId,
    SpanSet,
    VmName, //
};
use smallvec::SmallVec;

/// What a usable replica holds, as needed to choose the snapshot of a query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaView {
    /// Name of its VM.
    pub vm: VmName,
    /// Keys that it serves according to its last load report, or to the bundle before the first
    /// report.
    pub serves: SpanSet,
    /// Snapshots that it holds, oldest first; empty before its first load report.
    pub snapshots: SmallVec<[SnapshotId; 4]>,
}
