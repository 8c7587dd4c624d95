//! Requirements for the choice of a replica, and the result.

use schema::{
    GroupName,
    KeySpan,
    QueryPrint,
    SnapshotId,
    TimePoint,
    VmName, //
};

use super::PickedReplica;
use crate::engine::QueryReason;

/// What a sub-query needs of a replica.
#[derive(Clone, Copy, Debug)]
pub struct PickCriteria<'a> {
    /// Service group.
    pub group: &'a GroupName,
    /// Keys asked for.
    pub span: KeySpan,
    /// Snapshot that the replica must hold; 0 takes any.
    pub snapshot: SnapshotId,
    /// Replicas that must not be chosen.
    pub avoid: &'a [VmName],
    /// Time by which the answer must have been sent to the caller.
    pub deadline: TimePoint,
    /// Fingerprint of a query that no replica is known to have run without crashing: only the two
    /// replicas designated by the fingerprint may run it.
    pub unproven: Option<QueryPrint>,
}

/// The outcome of asking for a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PickResult {
    /// Send to this replica.
    Picked(PickedReplica),
    /// Every suitable replica is at its limit: ask again after an attempt has finished.
    Busy,
    /// No replica is suitable, for this reason.
    NoReplica(QueryReason),
}
