//! Choice of where this daemon reads the directory: from the store or from another daemon.
//!
//! Calls to the store are costly, and their number would grow with that of the daemons if each of
//! them read it. Only a few daemons, chosen among the live ones by rendezvous hashing, read the
//! store; the others ask one of these readers. A daemon reads the store itself while its readers
//! don't answer or have lost the store. In a large fleet two daemons of each data centre pass on what
//! the readers send, so that no reader has to serve all.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    DaemonName,
    RegionName,
    TimePoint,
    ZoneName, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::FeedPeer;

/// Number of daemons that read the store. With two, one may fail without a gap.
const READER_COUNT: usize = 2;
/// Number of daemons from which on data centres have relays.
const RELAYS_FROM: usize = 100;
/// Relays in each data centre. With two, one may fail without a gap.
const RELAY_COUNT: usize = 2;
/// Time for which a daemon that is neither reader nor relay leaves it to those to reach the store, and
/// by how much it differs between daemons.
const PATIENCE_MIN: Duration = Duration::from_secs(2);
const PATIENCE_SPREAD: Duration = Duration::from_secs(2);
/// Time for which a reader is not asked after it failed to answer.
const PEER_BACKOFF: Duration = Duration::from_secs(2);
/// Share of each daemon in the longest backoff of a daemon that is not a reader and can't reach the
/// store. The backoff grows with the number of daemons, so that all of them together make only a
/// few calls a second. A single call may fail by chance, so the backoff starts at the minimum and
/// doubles up to this limit.
const STORE_BACKOFF_PER_DAEMON: Duration = Duration::from_millis(60);
/// Upper bound of that backoff for any number of daemons. It lies within the time after a fault for
/// which nothing is guaranteed.
const STORE_BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Shortest backoff from the store, and the only one that a reader uses.
const STORE_BACKOFF_MIN: Duration = Duration::from_millis(600);

/// Where to read the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum FeedSource {
    /// Read it from the store.
    Store,
    /// Ask this reader.
    Peer(FeedPeer),
    /// No source may be asked before this time.
    Wait(TimePoint),
}

/// Chooses the source of the directory.
#[derive(Clone, Debug)]
pub(super) struct SourceSelector {
    own: FeedPeer,
    regions: BTreeMap<ZoneName, RegionName>,
    peers: Vec<FeedPeer>,
    /// Earliest time at which to ask each reader that failed.
    peer_retry_at: BTreeMap<DaemonName, TimePoint>,
    /// Earliest time at which to call the store again.
    store_retry_at: TimePoint,
    /// Calls in a row that the store did not answer.
    store_failures: u32,
    /// Since when readers or relays answer that they have lost the store.
    stale_since: Option<TimePoint>,
}

impl SourceSelector {
    /// Creates a selector for the daemon `own` that knows no other daemon yet.
    pub(super) fn new(own: FeedPeer, regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self {
            own,
            regions,
            peers: Vec::new(),
            peer_retry_at: BTreeMap::new(),
            store_retry_at: TimePoint(0),
            store_failures: 0,
            stale_since: None,
        }
    }

    /// Replaces the list of the other live daemons.
    pub(super) fn set_peers(&mut self, peers: Vec<FeedPeer>) {
        self.peers = peers;
    }

    /// Whether this daemon is one of the readers.
    pub(super) fn is_reader(&self) -> bool {
        let own = rank(&self.own.daemon);
        let higher_ranked = self.peers.iter().filter(|peer| rank(&peer.daemon) > own);
        higher_ranked.count() < READER_COUNT
    }

    /// Whether this daemon passes on what the readers send.
    pub(super) fn is_relay(&self) -> bool {
        let own = rank(&self.own.daemon);
        let zone = self.peers.iter().filter(|peer| peer.zone == self.own.zone);
        let higher_ranked = zone.filter(|peer| rank(&peer.daemon) > own);
        self.has_relays() && !self.is_reader() && higher_ranked.count() < RELAY_COUNT
    }

    /// Whether the fleet is so large that data centres have relays.
    pub(super) fn has_relays(&self) -> bool {
        self.peers.len() + 1 >= RELAYS_FROM
    }

    /// Records that a reader or relay has answered with a page.
    pub(super) fn peer_answered(&mut self) {
        self.stale_since = None;
    }

    /// Records that a reader or relay has lost the store.
    pub(super) fn peer_stale(&mut self, now: TimePoint, daemon: &DaemonName) {
        self.stale_since.get_or_insert(now);
        self.peer_failed(now, daemon);
    }

    /// Records that a reader or relay did not answer.
    pub(super) fn peer_failed(&mut self, now: TimePoint, daemon: &DaemonName) {
        self.peer_retry_at
            .insert(daemon.clone(), now + PEER_BACKOFF);
    }

    /// Records that the store did not answer.
    pub(super) fn store_failed(&mut self, now: TimePoint) {
        let daemons = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let limit = match self.is_reader() {
            true => STORE_BACKOFF_MIN,
            false => STORE_BACKOFF_PER_DAEMON
                .saturating_mul(daemons)
                .min(STORE_BACKOFF_MAX),
        };
        let backoff = STORE_BACKOFF_MIN * (1 << self.store_failures.min(8));
        self.store_failures += 1;
        self.store_retry_at = now + backoff.min(limit).max(STORE_BACKOFF_MIN);
    }

    /// Records that the store answered.
    pub(super) fn store_answered(&mut self) {
        self.store_failures = 0;
        self.stale_since = None;
    }

    /// Returns the source to read next.
    pub(super) fn source(&mut self, now: TimePoint) -> FeedSource {
        // A reader that has backed off from the store asks the other reader meanwhile.
        if self.is_reader() && now >= self.store_retry_at {
            return FeedSource::Store;
        }
        self.peer_retry_at.retain(|_, until| now < *until);
        if let Some(relay) = self.usable_relay() {
            return FeedSource::Peer(relay);
        }
        let mut readers: Vec<&FeedPeer> = self.peers.iter().collect();
        readers.sort_by_key(|peer| std::cmp::Reverse(rank(&peer.daemon)));
        readers.truncate(READER_COUNT);
        readers.retain(|peer| !self.peer_retry_at.contains_key(&peer.daemon));
        if let Some(peer) = readers.iter().min_by_key(|peer| self.distance(&peer.zone)) {
            return FeedSource::Peer((*peer).clone());
        }
        let store_at = self.store_retry_at.max(self.patient_until());
        if now >= store_at {
            return FeedSource::Store;
        }
        let next_peer = self.peer_retry_at.values().min().copied();
        FeedSource::Wait(store_at.min(next_peer.unwrap_or(TimePoint::NEVER)))
    }

    /// A relay of this data centre that may be asked, if this daemon asks relays.
    fn usable_relay(&self) -> Option<FeedPeer> {
        if !self.has_relays() || self.is_reader() || self.is_relay() {
            return None;
        }
        let zone = self.peers.iter().filter(|peer| peer.zone == self.own.zone);
        let mut relays: Vec<&FeedPeer> = zone.collect();
        relays.sort_by_key(|peer| std::cmp::Reverse(rank(&peer.daemon)));
        relays.truncate(RELAY_COUNT);
        relays.retain(|peer| !self.peer_retry_at.contains_key(&peer.daemon));
        // The followers are divided among the relays.
        let own = rank(&self.own.daemon).0 as usize;
        let count = relays.len().max(1);
        relays.get(own % count).map(|peer| (*peer).clone())
    }

    /// Until when a daemon that is neither reader nor relay leaves the store to those.
    fn patient_until(&self) -> TimePoint {
        let Some(since) = self.stale_since else {
            return TimePoint(0);
        };
        if !self.has_relays() || self.is_reader() || self.is_relay() {
            return TimePoint(0);
        }
        let spread = rank(&self.own.daemon).0 as f64 / u64::MAX as f64;
        since + PATIENCE_MIN + PATIENCE_SPREAD.mul_f64(spread)
    }

    fn distance(&self, zone: &ZoneName) -> u32 {
        let region = |zone: &ZoneName| self.regions.get(zone);
        if *zone == self.own.zone {
            0
        } else if region(zone) == region(&self.own.zone) {
            1
        } else {
            2
        }
    }
}

fn rank(daemon: &DaemonName) -> (u64, &DaemonName) {
    (xxh3_64(daemon.as_str().as_bytes()), daemon)
}
