//! Messages received from peers.

use std::net::IpAddr;

use schema::peer::stream_body::Body;
use tokio::sync::oneshot;

/// A message received from a peer.
#[derive(Debug)]
pub enum PeerInput {
    /// A datagram, not yet authenticated.
    Datagram {
        /// Content of the datagram.
        bytes: Vec<u8>,
    },
    /// A call over TCP, authenticated.
    Called {
        /// Name of the calling daemon.
        from: String,
        /// Address from which it calls.
        address: IpAddr,
        /// Content of the call.
        body: Body,
        /// Takes the answer; dropping it closes the connection. It is closed itself when the peer
        /// closes the connection.
        reply: oneshot::Sender<Body>,
    },
}
