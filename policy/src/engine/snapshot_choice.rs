//! Choice of the snapshot that an answer comes from.

use schema::{
    SnapshotId,
    SpanSet, //
};
use smallvec::SmallVec;

use crate::replicas::ReplicaView;

/// A snapshot and the number of keys that replicas can answer from it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SnapshotChoice {
    /// The snapshot; 0 while no replica has reported any.
    pub snapshot: SnapshotId,
    /// Number of keys served by the replicas that hold it.
    pub keys: u32,
}

impl SnapshotChoice {
    /// Chooses the snapshot that reaches the most keys, and the newest of equals. A replica that
    /// has not reported its snapshots counts as holding each.
    pub fn best(views: &[ReplicaView]) -> Self {
        let mut candidates: SmallVec<[SnapshotId; 8]> = SmallVec::new();
        for view in views {
            for snapshot in &view.snapshots {
                if !candidates.contains(snapshot) {
                    candidates.push(*snapshot);
                }
            }
        }
        candidates.sort_unstable();
        let mut best = Self::default();
        for snapshot in candidates {
            let keys = reachable_keys(views, snapshot);
            if keys >= best.keys {
                best = Self { snapshot, keys };
            }
        }
        best
    }
}

fn reachable_keys(views: &[ReplicaView], snapshot: SnapshotId) -> u32 {
    let mut keys = SpanSet::default();
    for view in views {
        if view.snapshots.is_empty() || view.snapshots.contains(&snapshot) {
            keys.union(&view.serves);
        }
    }
    keys.size()
}
