//! Peers that can hold copies of charges.

use std::net::SocketAddr;

use schema::{
    DaemonName,
    Incarnation,
    ZoneName, //
};

use super::ChargeSettings;

/// A running daemon that can hold copies of charges.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CopyPeer {
    /// Name of the daemon.
    pub daemon: DaemonName,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Data centre of the daemon.
    pub zone: ZoneName,
    /// Address at which peers reach it.
    pub address: SocketAddr,
}

impl CopyPeer {
    /// Sort key for choosing holders; the lowest is preferred. A peer on another VM comes before
    /// one on this VM, then one in the same data centre before one elsewhere. Ties are broken by
    /// rendezvous hashing, so that different daemons choose different peers.
    pub(super) fn rank(&self, settings: &ChargeSettings) -> (bool, bool, u64) {
        let mut hash = blake3::Hasher::new();
        hash.update(settings.daemon.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(self.daemon.as_str().as_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.finalize().as_bytes()[..8]);
        (
            self.address.ip() == settings.address.ip(),
            self.zone != settings.zone,
            u64::from_be_bytes(bytes),
        )
    }
}
