//! Other daemons, as far as relays are concerned.

use schema::{
    DaemonName,
    ZoneName, //
};

/// Another live daemon, which may forward requests for this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayPeer {
    /// Its name.
    pub daemon: DaemonName,
    /// Its data centre.
    pub zone: ZoneName,
}
