//! All known replicas by service, and the choice of a replica for an attempt.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use schema::{
    AttemptId,
    DaemonName,
    ReplicaEntry,
    ReplicaLoad,
    ReplicaName,
    RequestRate,
    RouteName,
    ServiceName,
    TimePoint,
    ZoneName, //
};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    limit_table::LimitTable,
    replica_record::{
        CostTerms,
        ExpectedRun,
        ReplicaRecord,
        SentAttempt, //
    },
    service_state::ServiceState,
    statement_table::StatementTable,
    ForwardSettings,
    LatencySketch,
    PartQueue,
    ReplicaKey,
    RetryBudget, //
};
use crate::{
    places::RequestPlacement,
    work::ServiceWork, //
};

/// Assumed round-trip time within a data centre.
const ROUND_TRIP_ZONE_MS: f64 = 0.5;
/// Assumed round-trip time between data centres of a region: twice the 4 ms one-way delay in the
/// deployments.
const ROUND_TRIP_REGION_MS: f64 = 8.0;
/// Assumed round-trip time between regions: twice the 12 ms one-way delay in the deployments.
const ROUND_TRIP_REMOTE_MS: f64 = 24.0;
/// Cost of traffic between data centres of a region, as the time that using a remote replica must
/// save.
const DISTANCE_COST_REGION_MS: f64 = 4.0;
/// Cost of traffic between regions, as the time that using a remote replica must save.
const DISTANCE_COST_REMOTE_MS: f64 = 10.0;
/// Assumed median latency of a service without replies so far, without the network round trip.
const DEFAULT_MEDIAN_MS: f64 = 10.0;
/// Quantile of the latency that is used as the expected service time.
const MEDIAN_QUANTILE: f32 = 0.5;
/// Share of a replica's connections that all daemons together may use. The rest is reserved for
/// connections of daemons that lost power: a replica keeps those open until its idle timeout.
pub(super) const CONNECTION_SHARE: f64 = 0.6;
/// Time after the start in which other daemons are expected to become known.
const JOIN_PERIOD: Duration = Duration::from_secs(5);
/// Assumed number of daemons that share the connections, if no other one is known after that.
const DEFAULT_DAEMONS: u32 = 8;
/// Number of connections to a replica that a daemon may always hold.
const CONNECTIONS_MIN: usize = 2;
/// Connections that a replica is assumed to accept while no route table names its service.
const DEFAULT_CONNECTIONS: u32 = 10;
/// Share of the retry budget's ratio that is used, for the same reason.
const RATIO_SHARE: f64 = 0.92;
/// Range of the fixed cost, different for each daemon and replica, that is added for replicas in
/// other data centres. It makes a daemon keep to one of several equally distant replicas, and so
/// hold connections to few replicas.
const PREFERENCE_SPREAD_MS: f64 = 4.0;

/// Shortest time without the network round trip that a reply counts with, in milliseconds.
const SERVICE_TIME_MIN_MS: f64 = 0.1;
/// Delays of links and daemons up to about this time say nothing about the speed of a replica, in
/// milliseconds.
const DELAY_NOISE_MS: f64 = 2.0;
/// Smallest share of the time of execution in the time until a reply, whatever wait was expected.
const RUN_SHARE_MIN: f64 = 0.3;

/// All known replicas by service.
#[derive(Debug)]
pub struct ReplicaRegistry {
    pub(super) settings: ForwardSettings,
    pub(super) services: Vec<ServiceState>,
    pub(super) records: BTreeMap<ReplicaKey, ReplicaRecord>,
    pub(super) service_indexes: BTreeMap<ServiceName, usize>,
    keys_by_name: BTreeMap<ReplicaName, ReplicaKey>,
    /// Replicas by the number that identifies them to other daemons.
    keys_by_instance: BTreeMap<u64, ReplicaKey>,
    /// Statements of replicas that are not listed any more.
    statements: StatementTable,
    /// Limits that replicas name.
    pub(super) limits: LimitTable,
    last_key: u32,
    /// When the first replica was listed or a retry budget was first used.
    pub(super) started_at: Option<TimePoint>,
    /// Shares of other daemons in what all daemons divide that this one uses, since it forwards their
    /// requests; 1 is the whole share of one daemon.
    pub(super) borrowed_shares: f64,
    /// Number of daemons that share retry budgets and connections; 0 until it is known.
    pub(super) daemons: u32,
    /// Data centres whose replicas must get no requests.
    evacuated: BTreeSet<ZoneName>,
    pub(super) random: Pcg64Mcg,
}

impl ReplicaRegistry {
    /// Creates a registry without replicas.
    pub fn new(settings: ForwardSettings) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            limits: LimitTable::new(settings.daemon.clone()),
            settings,
            services: Vec::new(),
            records: BTreeMap::new(),
            service_indexes: BTreeMap::new(),
            keys_by_name: BTreeMap::new(),
            keys_by_instance: BTreeMap::new(),
            statements: StatementTable::default(),
            last_key: 0,
            started_at: None,
            daemons: 0,
            evacuated: BTreeSet::new(),
            borrowed_shares: 0.0,
        }
    }

    /// Number of replicas that the directory lists, of services that the route table names.
    pub(super) fn listed_count(&self) -> usize {
        let records = self.records.values();
        let is_listed = |record: &&ReplicaRecord| record.listed && self.is_configured(record);
        records.filter(is_listed).count()
    }

    /// Whether the route table in force names the service of a replica.
    pub(super) fn is_configured(&self, record: &ReplicaRecord) -> bool {
        self.services[record.service].configured
    }

    /// Takes over which services the route table names, with the connections of their replicas.
    pub(super) fn set_services(&mut self, services: &[(ServiceName, u32)]) {
        for state in &mut self.services {
            state.configured = false;
        }
        for (name, connections) in services {
            let index = self.index_of(name);
            self.services[index].configured = true;
            self.services[index].max_connections = *connections;
        }
    }

    /// Index of a service, which is added if it is new. Services are never removed, so an index
    /// stays valid.
    pub fn index_of(&mut self, name: &ServiceName) -> usize {
        if let Some(index) = self.service_indexes.get(name) {
            return *index;
        }
        let index = self.services.len();
        self.services.push(ServiceState {
            name: name.clone(),
            configured: false,
            replicas: Vec::new(),
            budget: RetryBudget::new(
                self.settings.retry_budget_ratio * RATIO_SHARE,
                self.settings.retry_budget_window,
            ),
            queue: PartQueue::default(),
            latency: LatencySketch::default(),
            work: ServiceWork::default(),
            reports_load: false,
            max_connections: DEFAULT_CONNECTIONS,
            cold_limit: None,
            sharers: None,
            gathered_elsewhere: false,
        });
        self.service_indexes.insert(name.clone(), index);
        index
    }

    /// Sets the number of daemons that share retry budgets and connections, and the other live ones,
    /// which share limits of replicas.
    pub(super) fn set_daemons(&mut self, now: TimePoint, daemons: u32, others: Vec<DaemonName>) {
        self.daemons = daemons;
        self.limits.set_others(now, others);
    }

    /// The replica that other daemons identify by `instance`.
    pub(super) fn key_of(&self, instance: u64) -> Option<ReplicaKey> {
        self.keys_by_instance.get(&instance).copied()
    }

    /// Replicas that name a limit, with the limit and this daemon's share in requests a second.
    pub(super) fn named_limits(&self) -> Vec<(ReplicaName, RequestRate, f64)> {
        let limits = self.limits.in_force();
        let named = limits.filter_map(|(key, limit, share)| {
            let record = self.records.get(&key)?;
            Some((record.entry.name.clone(), limit, share))
        });
        named.collect()
    }

    /// Adds a replica or updates its directory entry. Returns the key of an earlier instance of the
    /// replica that this one replaces, and whether the replica is new, was listed again, or started
    /// or stopped draining.
    pub fn upsert(&mut self, now: TimePoint, entry: ReplicaEntry) -> (Option<ReplicaKey>, bool) {
        self.started_at.get_or_insert(now);
        let known_key = self.keys_by_name.get(&entry.name).copied();
        if let Some(record) = known_key.and_then(|key| self.records.get_mut(&key)) {
            let old = &record.entry;
            let same_instance = old.address == entry.address
                && old.service == entry.service
                && old.born_ms == entry.born_ms;
            if same_instance {
                let changed = old.draining != entry.draining || !record.listed;
                record.evacuated = self.evacuated.contains(&entry.zone);
                record.region = self.settings.regions.get(&entry.zone).cloned();
                record.update_entry(now, entry);
                return (None, changed);
            }
        }
        let replaced = known_key.filter(|key| self.mark_unlisted(*key));
        self.last_key += 1;
        let key = ReplicaKey(self.last_key);
        let service = self.index_of(&entry.service);
        self.keys_by_name.insert(entry.name.clone(), key);
        self.keys_by_instance.insert(entry.instance(), key);
        let statements = self.statements.take(entry.instance());
        let mut record = ReplicaRecord::new(now, entry, service);
        record.statements = statements;
        record.region = self.settings.regions.get(&record.entry.zone).cloned();
        record.evacuated = self.evacuated.contains(&record.entry.zone);
        (record.round_trip_ms, record.distance_cost_ms) = self.distance(&record.entry.zone);
        if record.distance_cost_ms > 0.0 {
            record.distance_cost_ms += self.preference(&record.entry.name) * PREFERENCE_SPREAD_MS;
        }
        self.records.insert(key, record);
        self.services[service].replicas.push(key);
        self.set_cold_period(now, key);
        (replaced, true)
    }

    /// Starts or ends the evacuation of a data centre; returns the services of its replicas. Attempts in
    /// flight go on.
    pub(super) fn set_evacuated(
        &mut self,
        now: TimePoint,
        zone: &ZoneName,
        evacuated: bool,
    ) -> BTreeSet<usize> {
        match evacuated {
            true => self.evacuated.insert(zone.clone()),
            false => self.evacuated.remove(zone),
        };
        let records = self.records.values_mut();
        let mut services = BTreeSet::new();
        for record in records.filter(|record| record.entry.zone == *zone) {
            if record.evacuated && !evacuated {
                // It may have restarted while this daemon sent it nothing.
                record.cold.record_unknown(now);
            }
            record.evacuated = evacuated;
            services.insert(record.service);
        }
        services
    }

    /// Whether the settings name a data centre, or a replica is in it.
    pub(super) fn knows_zone(&self, zone: &ZoneName) -> bool {
        let mut records = self.records.values();
        self.settings.regions.contains_key(zone) || records.any(|record| record.entry.zone == *zone)
    }

    /// The known data centres that are evacuated.
    pub(super) fn evacuated_zones(&self) -> impl Iterator<Item = &ZoneName> {
        let evacuated = self.evacuated.iter();
        evacuated.filter(|zone| self.knows_zone(zone))
    }

    /// The replicas of `service` to which a request with the given placement may be sent, whether they are
    /// usable now or not. Every choice of a replica for a request starts here.
    pub(super) fn candidates<'a>(
        &'a self,
        service: usize,
        placement: &'a RequestPlacement,
    ) -> impl Iterator<Item = (ReplicaKey, &'a ReplicaRecord)> {
        let replicas = self.services[service].replicas.iter();
        let records = replicas.filter_map(|key| Some((*key, self.records.get(key)?)));
        records.filter(|(_, record)| placement.allows(record.region.as_ref()))
    }

    /// Marks a replica that was removed from the directory as unlisted; returns its key if it was
    /// known.
    pub fn unlist(&mut self, name: &ReplicaName) -> Option<ReplicaKey> {
        let key = self.keys_by_name.remove(name)?;
        self.mark_unlisted(key).then_some(key)
    }

    /// Median latency of a service without the network round trip.
    pub(super) fn median_latency(&self, service: usize) -> Duration {
        Duration::from_secs_f64(service_median_ms(&self.services[service]) / 1000.0)
    }

    /// The terms on which replicas of a service are compared for a request of `route`, or for one of
    /// average work.
    pub(super) fn cost_terms(&self, service: usize, route: Option<&RouteName>) -> CostTerms {
        let state = &self.services[service];
        let median_ms = service_median_ms(state);
        // Without reports the load by other daemons is a guess, and the average latency does as well. While
        // replicas name limits, this choice sent one of them 35 requests where its limit allowed 29.
        if !self.settings.work.choice || !state.reports_load || !self.limits.is_empty() {
            return CostTerms {
                median_ms,
                work: None,
            };
        }
        let mean_ms = state.work.mean_ms(median_ms);
        let work_ms = route.map_or(mean_ms, |route| state.work.work_ms(route, median_ms));
        CostTerms {
            median_ms,
            work: Some((work_ms, mean_ms)),
        }
    }

    /// Records that an attempt was sent.
    pub(super) fn record_send(&mut self, key: ReplicaKey, sent: SentAttempt) {
        if let Some(record) = self.records.get_mut(&key) {
            record.in_flight.push(sent);
        }
    }

    /// Records a reply after `latency`. Returns the latency without the network round trip, and
    /// whether a connection to the replica had failed since its previous reply.
    pub(super) fn record_reply(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        latency: Duration,
    ) -> (Duration, bool) {
        let Some(record) = self.records.get_mut(&key) else {
            return (latency, false);
        };
        let recovered = record.record_reply(now, latency);
        let round_trip = Duration::from_secs_f64(record.round_trip_ms / 1000.0);
        let service_time = latency.saturating_sub(round_trip);
        let service = record.service;
        let state = &mut self.services[service];
        state.latency.record(service_time);
        state.queue.record_reply(now);
        (service_time, recovered)
    }

    /// An attempt for a request of `route` that is about to be sent to a replica, and what is expected of
    /// it if work is estimated.
    pub(super) fn expected_attempt(
        &self,
        now: TimePoint,
        key: ReplicaKey,
        attempt: AttemptId,
        route: &RouteName,
    ) -> (SentAttempt, Option<ExpectedRun>) {
        let record = self.records.get(&key);
        let estimated = record.filter(|_| self.settings.work.estimates_work());
        let Some(record) = estimated else {
            let sent = SentAttempt {
                attempt,
                sent_at: now,
                work_ms: 0.0,
                expected_ms: 0.0,
            };
            return (sent, None);
        };
        let terms = self.cost_terms(record.service, Some(route));
        let (work_ms, mean_ms) = terms.work.unwrap_or((terms.median_ms, terms.median_ms));
        let (wait_ms, run_ms) = record.completion_ms(now, work_ms, mean_ms);
        let sent = SentAttempt {
            attempt,
            sent_at: now,
            work_ms: work_ms as f32,
            expected_ms: (wait_ms + run_ms) as f32,
        };
        let expected = ExpectedRun {
            wait: Duration::from_secs_f64(wait_ms / 1000.0),
            work_ms,
            slowness: record.work.stated_slowness(now),
        };
        (sent, Some(expected))
    }

    /// Records the work of a request of `route` that a replica has executed in `service_time`, which was
    /// expected to go as `expected` says.
    pub(super) fn record_work(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        route: &RouteName,
        service_time: Duration,
        expected: ExpectedRun,
    ) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let state = &mut self.services[record.service];
        // The round trip is an assumption, which a short reply may fall below.
        let total_ms = (service_time.as_secs_f64() * 1000.0).max(SERVICE_TIME_MIN_MS);
        let wait_ms = expected.wait.as_secs_f64() * 1000.0;
        let run_ms = (total_ms - wait_ms).max(total_ms * RUN_SHARE_MIN);
        let work_ms = state.work.work_ms(route, run_ms);
        state
            .work
            .record(route, run_ms / record.work.stated_slowness(now));
        let ratio = (run_ms + DELAY_NOISE_MS) / (work_ms + DELAY_NOISE_MS);
        record.work.record_ratio(now, ratio, expected.slowness);
    }

    /// Takes over the load that a replica reports.
    pub(super) fn record_load(&mut self, now: TimePoint, key: ReplicaKey, load: ReplicaLoad) {
        if let Some(record) = self.records.get_mut(&key) {
            let own = record.in_flight.len();
            record.work.record_report(now, load, own);
            self.services[record.service].reports_load = true;
        }
    }

    /// Records a failed attempt.
    pub(super) fn record_failure(&mut self, now: TimePoint, key: ReplicaKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.record_failure(now);
        }
    }

    /// Records a connection that could not be opened, or an address that belongs to another
    /// replica; returns the replica, its service and the length of the backoff.
    pub(super) fn record_connect_failure(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
    ) -> Option<(ReplicaName, ServiceName, Duration)> {
        let record = self.records.get_mut(&key)?;
        let period = record.record_connect_failure(now);
        let entry = &record.entry;
        Some((entry.name.clone(), entry.service.clone(), period))
    }

    /// Records an attempt that was cancelled after `waited` without a reply. Returns whether the
    /// replica has sent no reply for so long that its idle connections may be dead too.
    pub(super) fn record_abandoned(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        waited: Duration,
        expected: Option<&ExpectedRun>,
    ) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return false;
        };
        if let Some(expected) = expected {
            let run_ms = waited.saturating_sub(expected.wait).as_secs_f64() * 1000.0;
            let ratio = (run_ms - record.round_trip_ms) / (expected.work_ms + DELAY_NOISE_MS);
            record.work.record_abandoned(now, ratio);
        }
        record.record_abandoned(now, waited);
        record.is_silent(now, waited)
    }

    /// Removes an unlisted replica without attempts in flight; returns whether it was removed.
    pub(super) fn remove_if_unused(&mut self, now: TimePoint, key: ReplicaKey) -> bool {
        let Some(record) = self.records.get(&key) else {
            return false;
        };
        if record.listed || !record.in_flight.is_empty() {
            return false;
        }
        let service = record.service;
        self.services[service]
            .replicas
            .retain(|other| *other != key);
        if let Some(record) = self.records.remove(&key) {
            let instance = record.entry.instance();
            self.statements.keep(now, instance, record.statements);
            if self.key_of(instance) == Some(key) {
                self.keys_by_instance.remove(&instance);
            }
        }
        self.limits.remove(key);
        true
    }

    /// Round-trip time to a replica.
    pub(super) fn round_trip(&self, key: ReplicaKey) -> Duration {
        let record = self.records.get(&key);
        Duration::from_secs_f64(record.map_or(0.0, |record| record.round_trip_ms) / 1000.0)
    }

    /// Number of connections that this daemon may hold to a replica of a service.
    pub(super) fn connection_limit(&self, now: TimePoint, state: &ServiceState) -> usize {
        // After a restart of all daemons none knows yet how many there are.
        let started_at = self.started_at.unwrap_or(now);
        if self.daemons == 0 && now.since(started_at) < JOIN_PERIOD {
            return CONNECTIONS_MIN;
        }
        let daemons = match (state.sharers, self.daemons) {
            (Some(sharers), _) => sharers.max(1),
            (None, 0 | 1) => DEFAULT_DAEMONS,
            (None, daemons) => daemons,
        };
        let share = f64::from(state.max_connections) * CONNECTION_SHARE / f64::from(daemons);
        let share = share * (1.0 + self.borrowed_shares);
        (share as usize).max(CONNECTIONS_MIN)
    }

    fn mark_unlisted(&mut self, key: ReplicaKey) -> bool {
        match self.records.get_mut(&key) {
            Some(record) => {
                record.listed = false;
                true
            }
            None => false,
        }
    }

    /// A number from 0 to 1 that is fixed for each pair of daemon and replica.
    fn preference(&self, name: &ReplicaName) -> f64 {
        let hash = xxh3_64_with_seed(name.as_str().as_bytes(), self.settings.seed);
        hash as f64 / u64::MAX as f64
    }

    /// Assumed round-trip time to a data centre and the additional cost of its use, both in
    /// milliseconds.
    fn distance(&self, zone: &ZoneName) -> (f64, f64) {
        if *zone == self.settings.zone {
            return (ROUND_TRIP_ZONE_MS, 0.0);
        }
        let region_of = |zone: &ZoneName| self.settings.regions.get(zone);
        if region_of(zone).is_some() && region_of(zone) == region_of(&self.settings.zone) {
            return (ROUND_TRIP_REGION_MS, DISTANCE_COST_REGION_MS);
        }
        (ROUND_TRIP_REMOTE_MS, DISTANCE_COST_REMOTE_MS)
    }
}

/// Median latency of a service without the network round trip, in milliseconds.
pub(super) fn service_median_ms(state: &ServiceState) -> f64 {
    let median = state.latency.quantile(MEDIAN_QUANTILE);
    median.map_or(DEFAULT_MEDIAN_MS, |median| median.as_secs_f64() * 1000.0)
}
