//! The replica chosen for a sub-query.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use schema::{
    KeySpan,
    ShardName,
    VmName, //
};

/// The replica to which a sub-query is sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PickedReplica {
    /// Name of its VM.
    pub vm: VmName,
    /// Address on which it takes requests.
    pub address: SocketAddr,
    /// Shard that it belongs to.
    pub shard: ShardName,
    /// First part of the requested span that the replica serves. Keys before it have no replica;
    /// keys after it need another pick.
    pub span: KeySpan,
    /// Connections to the replica that this daemon may hold.
    pub connections: u32,
    /// Round-trip time of the link to the replica.
    pub round_trip: Duration,
}
