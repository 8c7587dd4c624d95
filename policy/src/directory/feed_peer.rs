//! Daemons that may read the directory for others.

use std::net::SocketAddr;

use schema::{
    DaemonName,
    ZoneName, //
};

/// Another daemon, as the plan needs it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FeedPeer {
    /// Its name.
    pub daemon: DaemonName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Its data centre.
    pub zone: ZoneName,
}
