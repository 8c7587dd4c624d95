//! Replies of upstreams.

use compact_str::CompactString;
use schema::{
    SnapshotId,
    SpanSet, //
};

use super::ReplicaLoad;

/// One result of a query.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ResultItem {
    /// Position in the key space.
    pub key: u32,
    /// Identifier of the result.
    pub id: CompactString,
    /// Content of the result, as the upstream sent it.
    pub body: String,
}

/// The reply to one attempt, after its form and echoed identifier were checked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReplicaReply {
    /// Snapshot that the items come from.
    pub snapshot: SnapshotId,
    /// Keys that the reply covers.
    pub covered: SpanSet,
    /// Results in the covered keys.
    pub items: Vec<ResultItem>,
    /// Load of the upstream.
    pub load: ReplicaLoad,
}
