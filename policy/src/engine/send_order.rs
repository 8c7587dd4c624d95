//! Sub-queries to be sent.

use std::net::SocketAddr;

use bytes::Bytes;
use schema::{
    AttemptId,
    GroupName,
    IdempotencyKey,
    KeySpan,
    QueryId,
    ShardName,
    SnapshotId,
    TimePoint,
    VmName, //
};

/// A sub-query that the daemon is to send to one upstream.
#[derive(Clone, Debug)]
pub struct SendOrder {
    /// Identifier of the attempt. The daemon must report its reply or failure unless the engine
    /// cancels it first.
    pub attempt: AttemptId,
    /// The request that it belongs to.
    pub query: QueryId,
    /// Name of the upstream VM.
    pub vm: VmName,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Service group.
    pub group: GroupName,
    /// Shard that the upstream serves.
    pub shard: ShardName,
    /// Keys to search.
    pub span: KeySpan,
    /// Snapshot to search; 0 lets the upstream choose.
    pub snapshot: SnapshotId,
    /// Time by which the answer must be sent.
    pub deadline: TimePoint,
    /// The caller's query.
    pub body: Bytes,
    /// Idempotency key of a request that may run only once. Such a sub-query is sent on a
    /// connection that has just been opened or checked, and the daemon never sends it a second
    /// time.
    pub once_key: Option<IdempotencyKey>,
    /// Connections that this daemon may open to the upstream.
    pub connections: u32,
    /// Whether this is a hedge or a retry.
    pub extra: bool,
}
