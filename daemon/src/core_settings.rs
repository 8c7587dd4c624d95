//! Converts the daemon's settings to those of the `policy` components.

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

/// An empty charge ledger whose waiting charges are limited by `limits.charge_bytes`.
pub(crate) fn new_ledger(
    config: &DaemonConfig,
    peer: SocketAddr,
    incarnation: Incarnation,
) -> ChargeLedger {
    ChargeLedger::new(ChargeSettings {
        waiting_max_bytes: config.limits.charge_bytes as usize,
        ..ChargeSettings::new(config.name.clone(), config.zone.clone(), peer, incarnation)
    })
}

/// Settings of the membership protocol between daemons.
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

/// The signers whose signatures the first bundle needs.
pub(crate) fn initial_signers(config: &DaemonConfig) -> SignerSet {
    SignerSet {
        signers: config.trust.signers.clone(),
        required: config.trust.required,
    }
}

/// Seed for random numbers; it differs between daemons and between starts of the same daemon.
pub(crate) fn rng_seed(config: &DaemonConfig, incarnation: Incarnation) -> u64 {
    let hash = blake3::hash(config.name.as_str().as_bytes());
    let (prefix, _) = hash.as_bytes().split_at(8);
    let name_seed = prefix
        .iter()
        .fold(0, |value, byte| value << 8 | u64::from(*byte));
    name_seed ^ incarnation.0
}
