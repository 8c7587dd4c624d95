//! The daemons that may forward requests for this one while it has lost its links to the replicas.
//!
//! This daemon asks a few of the others how many requests they take, the nearest first, and goes on to
//! the next where one refuses. A data centre in which two daemons are stranded, too, is asked last.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    DaemonName,
    RegionName,
    RouteName,
    TimePoint,
    ZoneName, //
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    helper_record::HelperRecord,
    RelayOffer,
    RelayOutcome,
    RelayPeer,
    RelayRefusal, //
};
use crate::places::RequestPlacement;

/// Helpers among which a daemon divides its requests. One that fails leaves two.
const HELPERS_WANTED: usize = 3;
/// Interval at which helpers are asked again.
const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which an offer holds without a new one.
const OFFER_PERIOD: Duration = Duration::from_millis(1_200);
/// Time for which requests may wait for the offers of a search.
const HOPE_PERIOD: Duration = Duration::from_millis(500);
/// Time after a refusal for which a daemon is not asked again.
const REFUSED_PERIOD: Duration = Duration::from_secs(1);
/// Daemons that are asked in a second at most, beside the helpers.
const ASKS_PER_SECOND: f64 = 12.0;
/// Stranded daemons of a data centre after which its others are asked last.
const STRANDED_ZONE_MIN: usize = 2;

/// The order in which daemons are asked: those of a data centre that is stranded last, then by distance,
/// then by hash.
type AskRank = (bool, usize, u64);

/// The other daemons and their offers.
#[derive(Clone, Debug)]
pub(super) struct HelperTable {
    zone: ZoneName,
    regions: BTreeMap<ZoneName, RegionName>,
    seed: u64,
    helpers: BTreeMap<DaemonName, HelperRecord>,
    /// Token bucket of the questions to daemons that are no helpers.
    tokens: f64,
    refilled_at: TimePoint,
    /// When helpers are asked next; `NEVER` while none are needed.
    next_ask: TimePoint,
    /// Until when requests may wait for an offer.
    hopeful_until: TimePoint,
}

impl HelperTable {
    /// A table without daemons, of a daemon in `zone`.
    pub(super) fn new(zone: ZoneName, regions: BTreeMap<ZoneName, RegionName>, seed: u64) -> Self {
        Self {
            zone,
            regions,
            seed,
            helpers: BTreeMap::new(),
            tokens: ASKS_PER_SECOND,
            refilled_at: TimePoint(0),
            next_ask: TimePoint::NEVER,
            hopeful_until: TimePoint(0),
        }
    }

    /// Sets the other live daemons.
    pub(super) fn set_peers(&mut self, peers: Vec<RelayPeer>) {
        let mut known = std::mem::take(&mut self.helpers);
        for peer in peers {
            let record = known.remove(&peer.daemon);
            let same =
                |record: &HelperRecord| record.zone == peer.zone && record.build == peer.build;
            let record = record.filter(same);
            let record = record.unwrap_or_else(|| self.new_record(&peer));
            self.helpers.insert(peer.daemon, record);
        }
    }

    /// Starts to look for helpers.
    pub(super) fn start(&mut self, now: TimePoint) {
        self.next_ask = now;
        self.hopeful_until = now + HOPE_PERIOD;
        for record in self.helpers.values_mut() {
            record.refusal = None;
        }
    }

    /// Ends the search; offers are forgotten.
    pub(super) fn stop(&mut self) {
        self.next_ask = TimePoint::NEVER;
        for record in self.helpers.values_mut() {
            record.asked_at = None;
            record.offer = None;
            record.refusal = None;
        }
    }

    /// When [`Self::asks_due`] has to be called.
    pub(super) fn next_wakeup(&self) -> TimePoint {
        self.next_ask
    }

    /// Number of daemons among which requests are divided: those that offer to take some, and those that
    /// have been asked and may.
    pub(super) fn count(&self, now: TimePoint) -> usize {
        let helpers = self.helpers.values();
        helpers.filter(|record| record.is_used(now)).count()
    }

    /// Names of the helpers.
    pub(super) fn names(&self, now: TimePoint) -> Vec<DaemonName> {
        let helpers = self.helpers.iter();
        let offering = helpers.filter(|(_, record)| record.offers(now));
        offering.map(|(daemon, _)| daemon.clone()).collect()
    }

    /// Daemons that are asked now: the helpers, to renew their offers, and others while there are too
    /// few.
    pub(super) fn asks_due(&mut self, now: TimePoint) -> Vec<DaemonName> {
        if now < self.next_ask {
            return Vec::new();
        }
        self.next_ask = now + RENEW_INTERVAL;
        let mut asked: Vec<DaemonName> = Vec::new();
        for (daemon, record) in &mut self.helpers {
            if record.offers(now) && record.asked_at.is_none() {
                record.asked_at = Some(now);
                asked.push(daemon.clone());
            }
        }
        self.ask_others(now, &mut asked);
        asked
    }

    /// Records the answer of a daemon; returns the daemons that are asked instead.
    pub(super) fn record_offer(
        &mut self,
        now: TimePoint,
        daemon: &DaemonName,
        offer: RelayOffer,
    ) -> Vec<DaemonName> {
        let Some(record) = self.helpers.get_mut(daemon) else {
            return Vec::new();
        };
        if record.asked_at.take().is_none() {
            return Vec::new();
        }
        record.used = 0;
        match offer {
            Ok(free) => {
                record.offer = Some((free, now + OFFER_PERIOD));
                self.hopeful_until = now + OFFER_PERIOD + HOPE_PERIOD;
                record.refusal = None;
                Vec::new()
            }
            Err(refusal) => {
                record.offer = None;
                record.refusal = Some((refusal, now + REFUSED_PERIOD));
                let mut asked = Vec::new();
                self.ask_others(now, &mut asked);
                asked
            }
        }
    }

    /// Whether an answer of a daemon that may get a request with the given placement is due and worth
    /// waiting for: the first ones after the links were lost, or after a helper was. Where nobody answers,
    /// requests don't wait for each question.
    pub(super) fn is_waiting(&self, now: TimePoint, placement: &RequestPlacement) -> bool {
        let mut helpers = self.helpers.values();
        let promising = now < self.hopeful_until;
        promising && helpers.any(|record| record.asked_at.is_some() && record.takes(placement))
    }

    /// The daemon that is asked for a request with home regions, since none of those that offer, or have been
    /// asked, may get it: the search prefers near daemons, which may all be elsewhere.
    pub(super) fn ask_at_home(
        &mut self,
        now: TimePoint,
        placement: &RequestPlacement,
    ) -> Option<DaemonName> {
        if placement.is_anywhere() || self.next_ask == TimePoint::NEVER {
            return None;
        }
        self.refill(now);
        let takers = self.helpers.iter();
        let takers = takers.filter(|(_, record)| record.takes(placement));
        if takers.clone().any(|(_, record)| record.is_used(now)) || self.tokens < 1.0 {
            return None;
        }
        let free = takers.filter(|(_, record)| !record.is_refusing(now));
        let ranked = free.map(|(daemon, record)| (self.rank(record), daemon));
        let daemon = ranked.min().map(|(_, daemon)| daemon.clone())?;
        self.tokens -= 1.0;
        self.helpers.get_mut(&daemon)?.asked_at = Some(now);
        Some(daemon)
    }

    /// The helper that a request of `route` with the given placement is sent to, other than those in `tried`.
    pub(super) fn choose(
        &self,
        now: TimePoint,
        route: &RouteName,
        placement: &RequestPlacement,
        tried: &[DaemonName],
    ) -> Option<DaemonName> {
        let helpers = self.helpers.iter();
        let usable = helpers.filter(|(daemon, record)| {
            let free = record.offer.map_or(0, |(free, _)| free);
            let may_take = record.takes(placement) && !tried.contains(daemon);
            let may_take = may_take && !record.is_full_for(now, route);
            record.offers(now) && record.used < free && may_take
        });
        let costs = usable.map(|(daemon, record)| (record.cost(), daemon));
        let cheapest = costs.min_by(|(a, _), (b, _)| a.total_cmp(b));
        cheapest.map(|(_, daemon)| daemon.clone())
    }

    /// Records that a request was sent to a helper.
    pub(super) fn record_send(&mut self, daemon: &DaemonName) {
        if let Some(record) = self.helpers.get_mut(daemon) {
            record.in_flight += 1;
            record.used += 1;
        }
    }

    /// Records the end of a request that was sent to a helper; `None` if it was cancelled.
    pub(super) fn record_end(
        &mut self,
        now: TimePoint,
        daemon: &DaemonName,
        outcome: Option<RelayOutcome>,
    ) {
        let Some(record) = self.helpers.get_mut(daemon) else {
            return;
        };
        record.in_flight = record.in_flight.saturating_sub(1);
        record.used = record.used.saturating_sub(1);
        let refusal = match outcome {
            // Other requests may have room, as those of routes to other services.
            Some(RelayOutcome::Declined(RelayRefusal::NoRoom)) => return,
            Some(RelayOutcome::Declined(refusal)) => refusal,
            Some(RelayOutcome::Broken) => RelayRefusal::NoAnswer,
            _ => return,
        };
        record.offer = None;
        record.refusal = Some((refusal, now + REFUSED_PERIOD));
        // Without lost links no helper is looked for.
        if self.next_ask != TimePoint::NEVER {
            self.next_ask = self.next_ask.min(now);
        }
    }

    /// Records that a helper had no room for a request of `route`.
    pub(super) fn record_full(&mut self, now: TimePoint, daemon: &DaemonName, route: &RouteName) {
        if let Some(record) = self.helpers.get_mut(daemon) {
            record.set_full_for(now, route);
        }
    }

    /// Asks as many daemons as are missing, the nearest first. Helpers without room for some requests are kept
    /// for the others, and replaced for these.
    fn ask_others(&mut self, now: TimePoint, asked: &mut Vec<DaemonName>) {
        self.refill(now);
        let helpers = self.helpers.values();
        let with_room = helpers.filter(|record| record.is_used(now) && !record.is_full(now));
        let missing = HELPERS_WANTED.saturating_sub(with_room.count());
        let mut candidates: Vec<(AskRank, DaemonName)> = Vec::new();
        for (daemon, record) in &self.helpers {
            if record.is_used(now) || record.is_refusing(now) {
                continue;
            }
            candidates.push((self.rank(record), daemon.clone()));
        }
        candidates.sort_unstable();
        for (_, daemon) in candidates.into_iter().take(missing) {
            if self.tokens < 1.0 {
                return;
            }
            self.tokens -= 1.0;
            if let Some(record) = self.helpers.get_mut(&daemon) {
                record.asked_at = Some(now);
            }
            asked.push(daemon);
        }
    }

    /// Refills the bucket of the questions.
    fn refill(&mut self, now: TimePoint) {
        let refill = now.since(self.refilled_at).as_secs_f64() * ASKS_PER_SECOND;
        self.tokens = (self.tokens + refill).min(ASKS_PER_SECOND);
        self.refilled_at = now;
    }

    fn rank(&self, record: &HelperRecord) -> AskRank {
        let stranded = self.stranded_in(&record.zone) >= STRANDED_ZONE_MIN;
        (stranded, record.distance, record.hash)
    }

    /// Daemons of a data centre that were stranded, too, when they were last asked.
    fn stranded_in(&self, zone: &ZoneName) -> usize {
        let records = self.helpers.values().filter(|record| record.zone == *zone);
        let stranded =
            |record: &&HelperRecord| matches!(record.refusal, Some((RelayRefusal::Stranded, _)));
        records.filter(stranded).count()
    }

    fn new_record(&self, peer: &RelayPeer) -> HelperRecord {
        let region = self.regions.get(&peer.zone);
        let distance = match () {
            () if peer.zone == self.zone => 0,
            () if region.is_some() && region == self.regions.get(&self.zone) => 1,
            () => 2,
        };
        HelperRecord {
            zone: peer.zone.clone(),
            region: region.cloned(),
            build: peer.build,
            distance,
            hash: xxh3_64_with_seed(peer.daemon.as_str().as_bytes(), self.seed),
            asked_at: None,
            offer: None,
            refusal: None,
            full_for: SmallVec::new(),
            in_flight: 0,
            used: 0,
        }
    }
}
