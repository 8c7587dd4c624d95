//! Settings of the loop's decisions, from those of the daemon.

use std::net::SocketAddr;

use policy::{
    bundle::SignerSet,
    charges::{
        ChargeLedger,
        ChargeSettings, //
    },
    peers::PeerSettings, //
};
use schema::Incarnation;

use crate::config::DaemonConfig;

/// An empty ledger.
pub(crate) fn ledger_of(
    config: &DaemonConfig,
    peer: SocketAddr,
    incarnation: Incarnation,
) -> ChargeLedger {
    ChargeLedger::new(ChargeSettings {
        waiting_max_bytes: config.limits.charge_bytes as usize,
        ..ChargeSettings::new(config.name.clone(), config.zone.clone(), peer, incarnation)
    })
}

/// Settings of membership.
pub(crate) fn peer_settings(
    config: &DaemonConfig,
    peer: SocketAddr,
    incarnation: Incarnation,
) -> PeerSettings {
    let cell = config.cell.as_ref().map_or("", |cell| cell.as_str());
    PeerSettings {
        cell: cell.into(),
        seeds: config.seeds.clone(),
        ..PeerSettings::new(
            config.name.clone(),
            peer,
            config.zone.clone(),
            incarnation,
            config.peer_key,
        )
    }
}

/// The signers that a daemon without state starts from.
pub(crate) fn trust_of(config: &DaemonConfig) -> SignerSet {
    SignerSet {
        signers: config.trust.signers.clone(),
        required: config.trust.required,
    }
}

/// A seed that differs between daemons and starts.
pub(crate) fn seed_of(config: &DaemonConfig, incarnation: Incarnation) -> u64 {
    let hash = blake3::hash(config.name.as_str().as_bytes());
    let (start, _) = hash.as_bytes().split_at(8);
    let name = start
        .iter()
        .fold(0, |sum, byte| sum << 8 | u64::from(*byte));
    name ^ incarnation.0
}
