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

/// What a sub-query requires of its replica.
#[derive(Clone, Copy, Debug)]
pub struct PickCriteria<'a> {
    /// Service group to which the sub-query goes.
    pub group: &'a GroupName,
    /// Keys that the sub-query asks for.
    pub span: KeySpan,
    /// Snapshot that the replica must hold; 0 accepts any.
    pub snapshot: SnapshotId,
    /// Replicas that must not be chosen.
    pub avoid: &'a [VmName],
    /// Time by which the answer must have been sent to the caller.
    pub deadline: TimePoint,
    /// Fingerprint of a query that no replica is known to have survived; `None` for any other
    /// query. Such a query may only run on the two replicas that its fingerprint designates.
    pub unproven: Option<QueryPrint>,
}

/// Result of the choice of a replica.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PickResult {
    /// The sub-query may be sent to this replica.
    Picked(PickedReplica),
    /// Every suitable replica is at its limit; one may be free after an attempt has finished.
    Busy,
    /// No replica is suitable, for this reason.
    Missing(QueryReason),
}
