//! Addresses of the daemon's listening sockets.

use std::net::SocketAddr;

/// The addresses a daemon listens on. Port 0 in the settings is replaced by the port that the
/// kernel assigned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BoundAddresses {
    /// Port for callers, HTTP.
    pub caller: SocketAddr,
    /// Port for operators, HTTP.
    pub admin: SocketAddr,
    /// Port for other daemons, UDP and TCP on the same port number.
    pub peer: SocketAddr,
}
