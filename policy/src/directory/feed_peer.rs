//! Other daemons from which this one may read the directory.

use std::net::SocketAddr;

use schema::{
    DaemonName,
    ZoneName, //
};

/// Another live daemon, as needed to choose the source of the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedPeer {
    /// Name by which the daemons are ranked.
    pub daemon: DaemonName,
    /// Address on which it serves other daemons.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub zone: ZoneName,
}
