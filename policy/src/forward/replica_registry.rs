//! All replicas, and the choice among those of a service.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    AttemptId,
    ReplicaEntry,
    ReplicaName,
    ServiceName,
    TimePoint,
    ZoneName, //
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    replica_record::ReplicaRecord,
    service_state::ServiceState,
    ExtraBudget,
    ForwardSettings,
    LatencySketch,
    ReplicaKey,
    WaitLine, //
};

/// Round trip within a data centre, before any was measured.
const LINK_ZONE_MS: f64 = 0.5;
/// Round trip between data centres of a region: twice the 4 ms one way of the deployments.
const LINK_REGION_MS: f64 = 8.0;
/// Round trip between regions: twice the 12 ms one way of the deployments.
const LINK_FAR_MS: f64 = 24.0;
/// What bytes between data centres of a region cost, as time that their use must save.
const DISTANCE_REGION_MS: f64 = 4.0;
/// The same between regions.
const DISTANCE_FAR_MS: f64 = 10.0;
/// Median work of a service that has not replied yet.
const USUAL_MS: f64 = 10.0;
/// Quantile that stands for the usual work.
const USUAL_QUANTILE: f32 = 0.5;
/// Part of a replica's connections that all daemons together take. The rest is for those that daemons
/// held which have lost their power: a replica keeps such connections until its idle timeout.
const CONNECTION_SHARE: f64 = 0.6;
/// Daemons that share the connections until others are known.
const DAEMONS_GUESS: u32 = 8;
/// Connections that a daemon may always hold.
const CONNECTIONS_MIN: usize = 2;
/// Connections to a replica of a service that no table names yet.
const CONNECTIONS_UNKNOWN: u32 = 10;
/// Part of the slack that is used; the rest is for daemons that this one does not know, and for sends
/// of an earlier window that arrive late.
const SLACK_SHARE: f64 = 0.6;
/// Part of the ratio that is used, for the same reason.
const RATIO_SHARE: f64 = 0.92;
/// Spread of costs by chance, so that equal replicas of the same data centre share the work.
const CHANCE_MS: f64 = 1.0;
/// Spread of what replicas in other data centres cost a daemon, always the same: it keeps to one of
/// several that are equally far, and so holds connections to few of them.
const HABIT_MS: f64 = 4.0;

/// What came of asking for a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickOutcome {
    /// Send to this one.
    Picked(ReplicaKey),
    /// All that would do are at their limit of connections.
    Busy,
    /// None will do.
    Missing,
}

/// All replicas by service.
#[derive(Debug)]
pub struct ReplicaFleet {
    settings: ForwardSettings,
    pub(super) services: Vec<ServiceState>,
    pub(super) records: BTreeMap<ReplicaKey, ReplicaRecord>,
    places: BTreeMap<ServiceName, usize>,
    names: BTreeMap<ReplicaName, ReplicaKey>,
    last_key: u32,
    started: Option<TimePoint>,
    daemons: u32,
    random: Pcg64Mcg,
}

impl ReplicaFleet {
    /// A fleet without replicas.
    pub fn new(settings: ForwardSettings) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            services: Vec::new(),
            records: BTreeMap::new(),
            places: BTreeMap::new(),
            names: BTreeMap::new(),
            last_key: 0,
            started: None,
            daemons: 0,
        }
    }

    /// Place of a service; services are never forgotten.
    pub fn service(&mut self, name: &ServiceName) -> usize {
        if let Some(place) = self.places.get(name) {
            return *place;
        }
        let place = self.services.len();
        self.services.push(ServiceState {
            name: name.clone(),
            members: Vec::new(),
            budget: ExtraBudget::new(
                self.settings.extra_ratio * RATIO_SHARE,
                self.settings.extra_window,
            ),
            line: WaitLine::default(),
            latency: LatencySketch::default(),
            connections: CONNECTIONS_UNKNOWN,
        });
        self.places.insert(name.clone(), place);
        place
    }

    /// Takes the number of daemons that share the budgets.
    pub(super) fn set_daemons(&mut self, daemons: u32) {
        self.daemons = daemons;
    }

    /// Takes a second send out of a service's budget; false where it is used up.
    /// `late` requests leave half of it to those that may still be in time.
    pub(super) fn spend(&mut self, now: TimePoint, service: usize, late: bool) -> bool {
        let slack = self.slack(now);
        let budget = &mut self.services[service].budget;
        budget.set_slack(slack);
        (!late || budget.is_half_left()) && budget.spend(now)
    }

    /// This daemon's part of the second sends that all may make beside the share. A daemon that has
    /// just started has none: it does not know what it spent before.
    fn slack(&mut self, now: TimePoint) -> f64 {
        let started = *self.started.get_or_insert(now);
        if self.daemons < 2 || now.since(started) < self.settings.extra_window {
            return 0.0;
        }
        self.settings.extra_slack * SLACK_SHARE / f64::from(self.daemons)
    }

    /// Takes an entry of the directory over. Gives the record of an earlier start under the same
    /// name, which is gone; true where the replica is new or now leaves.
    pub fn see(&mut self, now: TimePoint, entry: ReplicaEntry) -> (Option<ReplicaKey>, bool) {
        self.started.get_or_insert(now);
        let known = self.names.get(&entry.name).copied();
        if let Some(record) = known.and_then(|key| self.records.get_mut(&key)) {
            let old = &record.entry;
            let same = old.address == entry.address
                && old.service == entry.service
                && old.born_ms == entry.born_ms;
            if same {
                let news = old.draining != entry.draining || !record.listed;
                record.renew(now, entry);
                return (None, news);
            }
        }
        let replaced = known.filter(|key| self.unlist(*key));
        self.last_key += 1;
        let key = ReplicaKey(self.last_key);
        let service = self.service(&entry.service);
        self.names.insert(entry.name.clone(), key);
        let mut record = ReplicaRecord::new(now, entry, service);
        (record.link_ms, record.distance_cost_ms) = self.distance(&record.entry.zone);
        if record.distance_cost_ms > 0.0 {
            record.distance_cost_ms += self.habit(&record.entry.name) * HABIT_MS;
        }
        self.records.insert(key, record);
        self.services[service].members.push(key);
        (replaced, true)
    }

    /// Takes a replica that the directory no longer has out of use.
    pub fn lose(&mut self, name: &ReplicaName) -> Option<ReplicaKey> {
        let key = self.names.remove(name)?;
        self.unlist(key).then_some(key)
    }

    /// Chooses a replica of `service`, other than those in `avoid`.
    pub fn pick(&mut self, now: TimePoint, service: usize, avoid: &[ReplicaKey]) -> PickOutcome {
        let state = &self.services[service];
        let usual = usual_ms(state);
        let limit = self.connection_limit(state.connections);
        let mut best: Option<(f64, ReplicaKey, bool)> = None;
        for key in &state.members {
            let Some(record) = self.records.get(key) else {
                continue;
            };
            if !record.is_usable(now) || avoid.contains(key) {
                continue;
            }
            // It is worth waiting for one whose connections are all in use where the others are
            // slower still.
            let busy = record.out.len() >= limit;
            let wait = if busy { usual } else { 0.0 };
            let chance = match record.distance_cost_ms > 0.0 {
                true => 0.0,
                false => self.random.random_range(0.0..CHANCE_MS),
            };
            let cost = record.cost(now, usual) + wait + chance;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, *key, busy));
            }
        }
        match best {
            Some((_, key, false)) => PickOutcome::Picked(key),
            Some((_, _, true)) => PickOutcome::Busy,
            None => PickOutcome::Missing,
        }
    }

    /// Whether a service has a replica that may get work.
    pub fn is_served(&self, now: TimePoint, service: usize) -> bool {
        let members = self.services[service].members.iter();
        let mut records = members.filter_map(|key| self.records.get(key));
        records.any(|record| record.is_usable(now))
    }

    /// The nearest replica of a service that may get work.
    pub(super) fn nearest(
        &self,
        now: TimePoint,
        service: &ServiceName,
    ) -> Option<(ReplicaKey, SocketAddr)> {
        let state = &self.services[*self.places.get(service)?];
        let members = state.members.iter();
        let records = members.filter_map(|key| Some((*key, self.records.get(key)?)));
        let usable = records.filter(|(_, record)| record.is_usable(now));
        let nearest = usable.min_by(|(_, a), (_, b)| a.link_ms.total_cmp(&b.link_ms));
        nearest.map(|(key, record)| (key, record.entry.address))
    }

    /// Whether a replica is farther away than another one of its service.
    pub(super) fn is_far(&self, key: ReplicaKey) -> bool {
        let Some(record) = self.records.get(&key) else {
            return false;
        };
        let members = self.services[record.service].members.iter();
        let mut others = members.filter_map(|key| self.records.get(key));
        others.any(|other| other.link_ms < record.link_ms)
    }

    /// Median work of a service.
    pub(super) fn usual(&self, service: usize) -> Duration {
        Duration::from_secs_f64(usual_ms(&self.services[service]) / 1000.0)
    }

    /// Records a sending.
    pub(super) fn begin(&mut self, now: TimePoint, key: ReplicaKey, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&key) {
            record.begin(now, attempt);
        }
    }

    /// Records a reply after `latency`. Gives the latency without the link's part, and whether the
    /// replica had been avoided.
    pub(super) fn replied(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        latency: Duration,
    ) -> (Duration, bool) {
        let Some(record) = self.records.get_mut(&key) else {
            return (latency, false);
        };
        let back = record.replied(now, latency);
        let link = Duration::from_secs_f64(record.link_ms / 1000.0);
        let own = latency.saturating_sub(link);
        let service = record.service;
        let state = &mut self.services[service];
        state.latency.record(own);
        state.line.count_reply(now);
        (own, back)
    }

    /// Records a failed attempt.
    pub(super) fn fail(&mut self, now: TimePoint, key: ReplicaKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.failed(now);
        }
    }

    /// Records that a replica was not to be reached at its address; gives it with its service and
    /// the time for which it is avoided.
    pub(super) fn refuse(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
    ) -> Option<(ReplicaName, ServiceName, Duration)> {
        let record = self.records.get_mut(&key)?;
        let period = record.refused(now);
        let entry = &record.entry;
        Some((entry.name.clone(), entry.service.clone(), period))
    }

    /// Records an attempt given up after `waited`; true where the replica has been silent for so
    /// long that its idle connections may be dead too.
    pub(super) fn unheard(&mut self, now: TimePoint, key: ReplicaKey, waited: Duration) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        record.unheard(now, waited);
        record.is_silent(now, waited)
    }

    /// Removes a record that nothing refers to any more.
    pub(super) fn sweep(&mut self, key: ReplicaKey) -> bool {
        let Some(record) = self.records.get(&key) else {
            return false;
        };
        if record.listed || !record.out.is_empty() {
            return false;
        }
        let service = record.service;
        self.services[service]
            .members
            .retain(|member| *member != key);
        self.records.remove(&key);
        true
    }

    /// Round trip to a replica.
    pub(super) fn link(&self, key: ReplicaKey) -> Duration {
        let record = self.records.get(&key);
        Duration::from_secs_f64(record.map_or(0.0, |record| record.link_ms) / 1000.0)
    }

    /// Connections that this daemon may hold to a replica which accepts `accepted` from all.
    fn connection_limit(&self, accepted: u32) -> usize {
        let daemons = match self.daemons {
            0 | 1 => DAEMONS_GUESS,
            daemons => daemons,
        };
        let share = f64::from(accepted) * CONNECTION_SHARE / f64::from(daemons);
        (share as usize).max(CONNECTIONS_MIN)
    }

    fn unlist(&mut self, key: ReplicaKey) -> bool {
        match self.records.get_mut(&key) {
            Some(record) => {
                record.listed = false;
                true
            }
            None => false,
        }
    }

    /// Rank of a replica for this daemon, from 0 to 1.
    fn habit(&self, name: &ReplicaName) -> f64 {
        let rank = xxh3_64_with_seed(name.as_str().as_bytes(), self.settings.seed);
        rank as f64 / u64::MAX as f64
    }

    /// Round trip to a data centre, and what its use costs beside the time.
    fn distance(&self, zone: &ZoneName) -> (f64, f64) {
        if *zone == self.settings.zone {
            return (LINK_ZONE_MS, 0.0);
        }
        let region = |zone: &ZoneName| self.settings.regions.get(zone);
        if region(zone).is_some() && region(zone) == region(&self.settings.zone) {
            return (LINK_REGION_MS, DISTANCE_REGION_MS);
        }
        (LINK_FAR_MS, DISTANCE_FAR_MS)
    }
}

/// Median work of a service, in milliseconds.
fn usual_ms(state: &ServiceState) -> f64 {
    let median = state.latency.quantile(USUAL_QUANTILE);
    median.map_or(USUAL_MS, |median| median.as_secs_f64() * 1000.0)
}
