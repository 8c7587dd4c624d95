//! Choice of where this daemon reads the directory: from the store or from another daemon.
//!
//! Calls to the store are costly, and their number would grow with that of the daemons if each of
//! them read it. Only a few daemons, chosen among the live ones by rendezvous hashing, read the
//! store; the others ask one of these readers. In a large fleet two daemons of each data centre pass on
//! what the readers send, so that no reader has to serve all.
//!
//! A source that does not answer loses its rank on this daemon until it has answered a trial, so that the
//! next ones take its place. Whatever the sources do, a daemon reads the store itself before its copy is
//! older than allowed: first the daemons on which others rely, then the rest.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    DaemonName,
    RegionName,
    TimePoint,
    ZoneName, //
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    source_fault::SourceFault,
    FeedPeer,
    FeedSettings, //
};

/// Number of daemons that read the store. With two, one may fail without a gap.
const READER_COUNT: usize = 2;
/// Number of daemons ranked after the readers that read the store soon after the readers have failed, and
/// that others ask then.
const STANDBY_COUNT: usize = 2;
/// Number of daemons from which on data centres have relays.
const RELAYS_FROM: usize = 100;
/// Relays in each data centre. With two, one may fail without a gap.
const RELAY_COUNT: usize = 2;
/// Time for which a starting daemon that is neither reader nor relay leaves it to those to reach the store,
/// and by how much it differs between daemons.
const START_PATIENCE_MIN: Duration = Duration::from_secs(2);
const START_PATIENCE_SPREAD: Duration = Duration::from_secs(2);
/// Age of the copy at which a relay or standby reads the store itself, and by how much it differs between
/// daemons. It lies above the age that the copy reaches while the readers answer.
const RELIED_ON_AGE: Duration = Duration::from_millis(1_500);
const RELIED_ON_AGE_SPREAD: Duration = Duration::from_millis(400);
/// Lowest age at which any other daemon does: that of a relay's copy when the relay has to read the store.
const FOLLOWER_AGE_MIN: Duration = Duration::from_millis(2_100);
/// Highest such age while sources are silent: the changes of a longer time take longer to read than the
/// directory itself.
const FOLLOWER_AGE_MAX: Duration = Duration::from_millis(3_800);
/// Share of each daemon in the longest backoff of a daemon that is not a reader and can't reach the
/// store. The backoff grows with the number of daemons, so that all of them together make only a
/// few calls a second. A single call may fail by chance, so the backoff starts at the minimum and
/// doubles up to this limit.
const STORE_BACKOFF_PER_DAEMON: Duration = Duration::from_millis(60);
/// Upper bound of that backoff for any number of daemons. It lies within the time after a fault for
/// which nothing is guaranteed, which is the bound if it is shorter.
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
    settings: FeedSettings,
    /// The other live daemons, highest rank first.
    peers: Vec<FeedPeer>,
    /// Peers that failed as sources.
    faults: BTreeMap<DaemonName, SourceFault>,
    /// Earliest time at which to call the store again.
    store_retry_at: TimePoint,
    /// Calls in a row that the store did not answer.
    store_failures: u32,
    /// Since when readers or relays answer that they have lost the store.
    stale_since: Option<TimePoint>,
    /// Whether a source had a page and no bandwidth to send it.
    page_withheld: bool,
}

impl SourceSelector {
    /// Creates a selector for the daemon `own` that knows no other daemon yet.
    pub(super) fn new(
        own: FeedPeer,
        regions: BTreeMap<ZoneName, RegionName>,
        settings: FeedSettings,
    ) -> Self {
        Self {
            own,
            regions,
            settings,
            peers: Vec::new(),
            faults: BTreeMap::new(),
            store_retry_at: TimePoint(0),
            store_failures: 0,
            stale_since: None,
            page_withheld: false,
        }
    }

    /// Replaces the list of the other live daemons. What is known of those that are not on it is forgotten.
    pub(super) fn set_peers(&mut self, mut peers: Vec<FeedPeer>) {
        peers.sort_by_cached_key(|peer| {
            let (hash, name) = rank(&peer.daemon);
            Reverse((hash, name.clone()))
        });
        let mut faults = BTreeMap::new();
        for peer in &peers {
            faults.extend(self.faults.remove_entry(&peer.daemon));
        }
        self.faults = faults;
        self.peers = peers;
    }

    /// Whether this daemon is one of the readers by the rank of all live daemons.
    pub(super) fn is_reader(&self) -> bool {
        self.is_among(READER_COUNT, self.peers.iter())
    }

    /// Whether this daemon passes on what the readers send.
    pub(super) fn is_relay(&self) -> bool {
        self.has_relays() && !self.is_reader() && self.is_among(RELAY_COUNT, self.zone_peers())
    }

    /// Whether the fleet is so large that data centres have relays.
    pub(super) fn has_relays(&self) -> bool {
        self.peers.len() + 1 >= RELAYS_FROM
    }

    /// Whether this daemon reads the store because fewer than two daemons before it answer.
    fn acts_as_reader(&self) -> bool {
        self.is_among(READER_COUNT, self.answering_peers())
    }

    /// Whether other daemons rely on the copy of this one.
    fn is_relied_on(&self) -> bool {
        self.is_relay() || self.is_among(READER_COUNT + STANDBY_COUNT, self.answering_peers())
    }

    /// Whether this daemon is one of the `count` first of itself and `peers`, which are in order of rank.
    fn is_among<'a>(&self, count: usize, mut peers: impl Iterator<Item = &'a FeedPeer>) -> bool {
        let last = peers.nth(count - 1);
        last.is_none_or(|peer| rank(&peer.daemon) < rank(&self.own.daemon))
    }

    fn zone_peers(&self) -> impl Iterator<Item = &FeedPeer> {
        let zone = &self.own.zone;
        self.peers.iter().filter(move |peer| peer.zone == *zone)
    }

    /// The peers that have not been silent when they were last asked.
    fn answering_peers(&self) -> impl Iterator<Item = &FeedPeer> {
        let peers = self.peers.iter();
        peers.filter(|peer| self.silence(peer).is_none())
    }

    /// When to ask a silent peer again; `None` unless it is silent.
    fn silence(&self, peer: &FeedPeer) -> Option<TimePoint> {
        match self.faults.get(&peer.daemon) {
            Some(SourceFault::Silent { trial_at, .. }) => Some(*trial_at),
            _ => None,
        }
    }

    fn is_usable(&self, now: TimePoint, peer: &FeedPeer) -> bool {
        match self.faults.get(&peer.daemon) {
            Some(SourceFault::Silent { .. }) => false,
            Some(SourceFault::PassedOver { until }) => now >= *until,
            None => true,
        }
    }

    /// Records that a peer has answered with a page.
    pub(super) fn peer_reached(&mut self, daemon: &DaemonName) {
        self.faults.remove(daemon);
    }

    /// Records that the copy is newer than before.
    pub(super) fn copy_renewed(&mut self) {
        self.stale_since = None;
        self.page_withheld = false;
    }

    /// Records that a reader or relay has lost the store.
    pub(super) fn peer_stale(&mut self, now: TimePoint, daemon: &DaemonName) {
        self.stale_since.get_or_insert(now);
        self.pass_over(now, daemon);
    }

    /// Records that a reader or relay has a page and no bandwidth to send it.
    pub(super) fn peer_busy(&mut self, now: TimePoint, daemon: &DaemonName) {
        self.page_withheld = true;
        self.pass_over(now, daemon);
    }

    fn pass_over(&mut self, now: TimePoint, daemon: &DaemonName) {
        let fault = SourceFault::passed_over(now);
        self.faults.insert(daemon.clone(), fault);
    }

    /// Records that a reader or relay did not answer.
    pub(super) fn peer_failed(&mut self, now: TimePoint, daemon: &DaemonName) {
        let before = self.faults.get(daemon).copied();
        let fault = SourceFault::silent(now, before);
        self.faults.insert(daemon.clone(), fault);
    }

    /// Records that the store did not answer.
    pub(super) fn store_failed(&mut self, now: TimePoint) {
        let daemons = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let limit = match self.is_reader() {
            true => STORE_BACKOFF_MIN,
            false => STORE_BACKOFF_PER_DAEMON
                .saturating_mul(daemons)
                .min(STORE_BACKOFF_MAX)
                .min(self.settings.settle_period),
        };
        let backoff = STORE_BACKOFF_MIN * (1 << self.store_failures.min(8));
        self.store_failures += 1;
        self.store_retry_at = now + backoff.min(limit).max(STORE_BACKOFF_MIN);
    }

    /// Records that the store answered.
    pub(super) fn store_answered(&mut self) {
        self.store_failures = 0;
    }

    /// Returns the source to read next, where `known_at` is the time of this daemon's copy.
    pub(super) fn source(&self, now: TimePoint, known_at: Option<TimePoint>) -> FeedSource {
        // A reader that has backed off from the store asks the other reader meanwhile.
        if self.acts_as_reader() && now >= self.store_retry_at {
            return FeedSource::Store;
        }
        let peer = self.usable_relay(now);
        if let Some(peer) = peer.or_else(|| self.usable_reader(now, known_at.is_some())) {
            return FeedSource::Peer(peer);
        }
        let store_at = match self.page_withheld {
            true => self.store_retry_at,
            false => self.store_due_at(known_at),
        };
        if now >= store_at {
            return FeedSource::Store;
        }
        let passed_over = self.faults.values().filter_map(|fault| match fault {
            SourceFault::PassedOver { until } if now < *until => Some(*until),
            _ => None,
        });
        FeedSource::Wait(store_at.min(passed_over.min().unwrap_or(TimePoint::NEVER)))
    }

    /// When this daemon reads the store whatever other sources do.
    pub(super) fn store_due_at(&self, known_at: Option<TimePoint>) -> TimePoint {
        let due = match (known_at, self.stale_since) {
            _ if self.acts_as_reader() => TimePoint(0),
            (Some(known_at), _) => known_at + self.read_age(),
            (None, Some(since)) if self.has_relays() && !self.is_relay() => {
                since + START_PATIENCE_MIN + START_PATIENCE_SPREAD.mul_f64(self.spread())
            }
            (None, _) => TimePoint(0),
        };
        self.store_retry_at.max(due)
    }

    /// Age of the copy at which this daemon reads the store, which differs between daemons so that they
    /// don't call it together.
    fn read_age(&self) -> Duration {
        let latest = self.settings.read_by();
        if self.is_relied_on() {
            return latest.min(RELIED_ON_AGE + RELIED_ON_AGE_SPREAD.mul_f64(self.spread()));
        }
        // A large fleet leaves a store that is lost to those on which it relies for as long as it may.
        let latest = match self.stale_since.is_some() && self.has_relays() {
            true => latest,
            false => latest.min(FOLLOWER_AGE_MAX),
        };
        let earliest = (FOLLOWER_AGE_MIN.min(latest) + latest) / 2;
        earliest + (latest - earliest).mul_f64(self.spread())
    }

    /// A number from 0 to 1 that is fixed for each daemon.
    fn spread(&self) -> f64 {
        rank(&self.own.daemon).0 as f64 / u64::MAX as f64
    }

    /// A relay of this data centre that may be asked, if this daemon asks relays.
    fn usable_relay(&self, now: TimePoint) -> Option<FeedPeer> {
        let relays = self.relays();
        let usable = relays.iter().filter(|peer| self.is_usable(now, peer));
        let usable: SmallVec<[&&FeedPeer; RELAY_COUNT]> = usable.collect();
        // The followers are divided among the relays.
        let own = rank(&self.own.daemon).0 as usize;
        let count = usable.len().max(1);
        usable.get(own % count).map(|peer| (**peer).clone())
    }

    /// The relays that this daemon asks before the readers.
    fn relays(&self) -> SmallVec<[&FeedPeer; RELAY_COUNT]> {
        match !self.has_relays() || self.acts_as_reader() || self.is_relay() {
            true => SmallVec::new(),
            false => self.zone_peers().take(RELAY_COUNT).collect(),
        }
    }

    /// The nearest reader that may be asked, else a standby. A daemon without a copy asks only the readers,
    /// since it can't be served before it has read the directory somewhere.
    fn usable_reader(&self, now: TimePoint, has_copy: bool) -> Option<FeedPeer> {
        let ranked: SmallVec<[&FeedPeer; READER_COUNT + STANDBY_COUNT]> = match has_copy {
            true => self
                .answering_peers()
                .take(READER_COUNT + STANDBY_COUNT)
                .collect(),
            false => self.peers.iter().take(READER_COUNT).collect(),
        };
        let (readers, standbys) = ranked.split_at(READER_COUNT.min(ranked.len()));
        for group in [readers, standbys] {
            let usable = group.iter().filter(|peer| self.is_usable(now, peer));
            if let Some(peer) = usable.min_by_key(|peer| self.distance(&peer.zone)) {
                return Some((*peer).clone());
            }
        }
        None
    }

    /// The silent peer to ask at `now`, beside the source in use, to find out whether it answers again.
    pub(super) fn trial(&self, now: TimePoint) -> Option<FeedPeer> {
        let due = self.missed_peers(now).into_iter();
        let mut due = due.filter(|peer| self.silence(peer).is_some_and(|at| now >= at));
        due.next().cloned()
    }

    /// When [`Self::trial`] has a peer.
    pub(super) fn next_trial_at(&self, now: TimePoint) -> TimePoint {
        let missed = self.missed_peers(now).into_iter();
        let trials = missed.filter_map(|peer| self.silence(peer));
        trials.min().unwrap_or(TimePoint::NEVER)
    }

    /// The silent peers that this daemon would ask before those that it asks now.
    fn missed_peers(&self, now: TimePoint) -> SmallVec<[&FeedPeer; READER_COUNT]> {
        let mut missed = self.relays();
        missed.retain(|peer| self.silence(peer).is_some());
        if self.usable_relay(now).is_some() {
            return missed;
        }
        let mut answering = 0;
        for peer in &self.peers {
            if self.silence(peer).is_some() {
                missed.push(peer);
                continue;
            }
            answering += 1;
            if answering == READER_COUNT {
                break;
            }
        }
        missed
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
