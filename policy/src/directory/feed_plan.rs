//! Who reads the directory's store, and whom the others ask.
//!
//! Each call to the store has its price, and each daemon would make as many as any other. A few
//! daemons, chosen by rendezvous hash among the live ones, read it; the others ask one of those. A
//! daemon whose readers don't answer, or have lost the store, reads it itself.

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

/// Daemons that read the store: one may fail without a gap.
const READERS: usize = 2;
/// Time for which a reader is not asked after it failed to answer.
const PEER_AVOID: Duration = Duration::from_secs(2);
/// Longest pause of a daemon that is no reader and does not reach the store, for each daemon: together
/// they make a few calls a second. A single call may be lost by chance, so that the pause doubles up to it.
const STORE_AVOID_EACH: Duration = Duration::from_millis(60);
/// Longest pause whatever their number: within the time after a fault in which nothing is promised.
const STORE_AVOID_MAX: Duration = Duration::from_secs(4);
/// Shortest such pause, and that of a reader.
const STORE_AVOID_MIN: Duration = Duration::from_millis(600);

/// Where to read the directory.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum FeedSource {
    /// The store.
    Store,
    /// A reader.
    Peer(FeedPeer),
    /// Nobody before this time.
    Nobody(TimePoint),
}

/// Chooses where to read.
#[derive(Clone, Debug)]
pub(super) struct FeedPlan {
    own: FeedPeer,
    regions: BTreeMap<ZoneName, RegionName>,
    peers: Vec<FeedPeer>,
    avoided: BTreeMap<DaemonName, TimePoint>,
    store_from: TimePoint,
    /// Calls in a row that the store did not answer.
    store_failures: u32,
}

impl FeedPlan {
    /// A plan of the daemon `own`, which knows no other yet.
    pub(super) fn new(own: FeedPeer, regions: BTreeMap<ZoneName, RegionName>) -> Self {
        Self {
            own,
            regions,
            peers: Vec::new(),
            avoided: BTreeMap::new(),
            store_from: TimePoint(0),
            store_failures: 0,
        }
    }

    /// Takes the other live daemons over.
    pub(super) fn set_peers(&mut self, peers: Vec<FeedPeer>) {
        self.peers = peers;
    }

    /// Whether this daemon is one of the readers.
    pub(super) fn is_reader(&self) -> bool {
        let own = rank(&self.own.daemon);
        let ahead = self.peers.iter().filter(|peer| rank(&peer.daemon) > own);
        ahead.count() < READERS
    }

    /// Notes that a reader did not answer, or has lost the store.
    pub(super) fn peer_failed(&mut self, now: TimePoint, daemon: &DaemonName) {
        self.avoided.insert(daemon.clone(), now + PEER_AVOID);
    }

    /// Notes that the store did not answer.
    pub(super) fn store_failed(&mut self, now: TimePoint) {
        let daemons = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let most = match self.is_reader() {
            true => STORE_AVOID_MIN,
            false => STORE_AVOID_EACH
                .saturating_mul(daemons)
                .min(STORE_AVOID_MAX),
        };
        let doubled = STORE_AVOID_MIN * (1 << self.store_failures.min(8));
        self.store_failures += 1;
        self.store_from = now + doubled.min(most).max(STORE_AVOID_MIN);
    }

    /// Notes that the store answered.
    pub(super) fn store_answered(&mut self) {
        self.store_failures = 0;
    }

    /// Where to read next.
    pub(super) fn source(&mut self, now: TimePoint) -> FeedSource {
        // A reader that is not served by the store asks the other one meanwhile.
        if self.is_reader() && now >= self.store_from {
            return FeedSource::Store;
        }
        self.avoided.retain(|_, until| now < *until);
        let mut readers: Vec<&FeedPeer> = self.peers.iter().collect();
        readers.sort_by_key(|peer| std::cmp::Reverse(rank(&peer.daemon)));
        readers.truncate(READERS);
        readers.retain(|peer| !self.avoided.contains_key(&peer.daemon));
        if let Some(peer) = readers.iter().min_by_key(|peer| self.distance(&peer.zone)) {
            return FeedSource::Peer((*peer).clone());
        }
        if now >= self.store_from {
            return FeedSource::Store;
        }
        let first = self.avoided.values().min().copied();
        FeedSource::Nobody(self.store_from.min(first.unwrap_or(TimePoint::NEVER)))
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
