//! Upstreams in the VM list.

use std::net::SocketAddr;

use schema::{
    GroupName,
    ShardName,
    VmName,
    ZoneName, //
};

/// An upstream VM and the shard that it is placed on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlacedReplica {
    /// Name of the VM.
    pub vm: VmName,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub zone: ZoneName,
    /// Service group that it belongs to.
    pub group: GroupName,
    /// Shard that it serves.
    pub shard: ShardName,
    /// Whether the VM list marks it as leaving.
    pub leaving: bool,
}
