//! Choice of a replica for an attempt.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use rand::Rng;
use schema::{
    RouteName,
    ServiceName,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    ReplicaKey,
    ReplicaRegistry, //
};
use crate::{
    places::RequestPlacement,
    rates::RateTable, //
};

/// Range of the random cost that spreads requests over equal replicas in the same data centre.
const RANDOM_SPREAD_MS: f64 = 1.0;
/// Cost of waiting for a replica that serves one request after a rest, over another one, in milliseconds.
const TRIAL_COST_MS: f64 = 150.0;

/// Result of choosing a replica for an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickOutcome {
    /// Send the attempt to this replica.
    Picked(ReplicaKey),
    /// The best replica has no free connection; wait for one.
    Busy,
    /// All usable replicas that have not been tried have reached their limits. This one takes a
    /// request again first, after the given time.
    Limited(ReplicaKey, Duration),
    /// All that are left are cold and get no further request now.
    Cold,
    /// No usable replica is left that has not been tried.
    NoReplica,
}

impl ReplicaRegistry {
    /// Chooses the replica of `service` with the lowest cost for a request of average work, other than those
    /// in `tried`, those that have reached their limits and cold ones that `rates` gives no request.
    pub fn pick(
        &mut self,
        now: TimePoint,
        service: usize,
        placement: &RequestPlacement,
        tried: &[ReplicaKey],
        rates: &mut RateTable,
    ) -> PickOutcome {
        self.pick_for(now, service, None, placement, tried, rates)
    }

    /// The same for a request of `route`.
    pub(super) fn pick_for(
        &mut self,
        now: TimePoint,
        service: usize,
        route: Option<&RouteName>,
        placement: &RequestPlacement,
        tried: &[ReplicaKey],
        rates: &mut RateTable,
    ) -> PickOutcome {
        let mut excluded: SmallVec<[ReplicaKey; 8]> = tried.iter().copied().collect();
        loop {
            match self.cheapest(now, service, route, placement, &excluded) {
                PickOutcome::Picked(key) if !self.admit_cold(now, key, rates) => {
                    excluded.push(key);
                }
                PickOutcome::NoReplica if excluded.len() > tried.len() => {
                    return PickOutcome::Cold;
                }
                outcome => return outcome,
            }
        }
    }

    /// Chooses the replica with the lowest cost, whether it is cold or not.
    fn cheapest(
        &mut self,
        now: TimePoint,
        service: usize,
        route: Option<&RouteName>,
        placement: &RequestPlacement,
        tried: &[ReplicaKey],
    ) -> PickOutcome {
        let state = &self.services[service];
        let terms = self.cost_terms(service, route);
        let limit = self.connection_limit(now, state);
        let mut random = self.random.clone();
        let mut best: Option<(f64, ReplicaKey, bool)> = None;
        let mut limited: Option<(Duration, ReplicaKey)> = None;
        for (key, record) in self.candidates(service, placement) {
            if !record.is_usable(now) || tried.contains(&key) {
                continue;
            }
            if !self.limits.is_empty() {
                let wait = self.limits.time_to_send(now, key);
                if let Some(wait) = wait.filter(|wait| !wait.is_zero()) {
                    if limited.is_none_or(|(shortest, _)| wait < shortest) {
                        limited = Some((wait, key));
                    }
                    continue;
                }
            }
            // Waiting for a replica whose connections are all in use can still be faster than
            // another replica.
            let on_trial = record.is_on_trial();
            let busy = record.in_flight.len() >= limit || on_trial;
            let wait_ms = match busy {
                true if on_trial => terms.slot_wait_ms() + TRIAL_COST_MS,
                true => terms.slot_wait_ms(),
                false => 0.0,
            };
            // A fixed preference orders remote replicas, so that this daemon keeps to one of them.
            let random_cost = match record.distance_cost_ms > 0.0 {
                true => 0.0,
                false => random.random_range(0.0..RANDOM_SPREAD_MS.max(terms.random_spread_ms())),
            };
            let cost = match record.in_flight.is_empty() && !state.queue.is_empty() {
                true => record.retrial_cost(now, &terms),
                false => record.cost(now, &terms),
            };
            let cost = cost + wait_ms + random_cost;
            if best.is_none_or(|(least, _, _)| cost < least) {
                best = Some((cost, key, busy));
            }
        }
        self.random = random;
        match best {
            Some((_, key, false)) => PickOutcome::Picked(key),
            Some((_, _, true)) => PickOutcome::Busy,
            None => match limited {
                Some((wait, key)) => PickOutcome::Limited(key, wait),
                None => PickOutcome::NoReplica,
            },
        }
    }

    /// The replica of `service` that this daemon would send a first attempt but for its limit, if it
    /// has reached that.
    pub(super) fn held_back(
        &mut self,
        now: TimePoint,
        service: usize,
        route: &RouteName,
        placement: &RequestPlacement,
    ) -> Option<ReplicaKey> {
        if self.limits.is_empty() {
            return None;
        }
        let terms = self.cost_terms(service, Some(route));
        let candidates = self.candidates(service, placement);
        let usable = candidates.filter(|(_, record)| record.is_usable(now));
        let costs = usable.map(|(key, record)| (record.cost(now, &terms), key));
        let (_, best) = costs.min_by(|(a, _), (b, _)| a.total_cmp(b))?;
        let wait = self.limits.time_to_send(now, best)?;
        if wait.is_zero() {
            return None;
        }
        self.limits.record_held_back(now, best);
        Some(best)
    }

    /// Whether a replica is usable and has a free connection.
    pub(super) fn has_room(&self, now: TimePoint, key: ReplicaKey) -> bool {
        let Some(record) = self.records.get(&key) else {
            return false;
        };
        let limit = self.connection_limit(now, &self.services[record.service]);
        record.is_usable(now) && record.in_flight.len() < limit && !record.is_on_trial()
    }

    /// When a replica of `service` is usable again that rests, if all those rest that don't leave.
    pub(super) fn rest_end(
        &self,
        now: TimePoint,
        service: usize,
        placement: &RequestPlacement,
    ) -> Option<TimePoint> {
        let candidates = self.candidates(service, placement);
        let mut first: Option<TimePoint> = None;
        for (_, record) in candidates.filter(|(_, record)| record.is_wanted()) {
            let until = record.statements.rest_until;
            if until <= now {
                return None;
            }
            first = Some(first.map_or(until, |first| first.min(until)));
        }
        first
    }

    /// Time until a replica of `service` may get a request of this daemon, and that replica; `None` if
    /// one may now.
    pub(super) fn limit_wait(
        &self,
        now: TimePoint,
        service: usize,
        placement: &RequestPlacement,
    ) -> Option<(Duration, ReplicaKey)> {
        let candidates = self.candidates(service, placement);
        let mut shortest: Option<(Duration, ReplicaKey)> = None;
        for (key, _) in candidates.filter(|(_, record)| record.is_usable(now)) {
            let wait = self.limits.time_to_send(now, key)?;
            if wait.is_zero() {
                return None;
            }
            if shortest.is_none_or(|(least, _)| wait < least) {
                shortest = Some((wait, key));
            }
        }
        shortest
    }

    /// Whether a service has a usable replica for a request with the given placement.
    pub fn has_usable_replica(
        &self,
        now: TimePoint,
        service: usize,
        placement: &RequestPlacement,
    ) -> bool {
        let mut candidates = self.candidates(service, placement);
        candidates.any(|(_, record)| record.is_usable(now))
    }

    /// The usable replica of a service with the shortest round trip for requests with the given placement.
    pub(super) fn nearest(
        &self,
        now: TimePoint,
        service: &ServiceName,
        placement: &RequestPlacement,
    ) -> Option<(ReplicaKey, SocketAddr)> {
        let candidates = self.candidates(*self.service_indexes.get(service)?, placement);
        let usable = candidates.filter(|(_, record)| record.is_usable(now));
        let nearest = usable.min_by(|(_, a), (_, b)| a.round_trip_ms.total_cmp(&b.round_trip_ms));
        nearest.map(|(key, record)| (key, record.entry.address))
    }

    /// Whether this daemon should close a connection to the replica soon: another one is nearer, or other
    /// daemons gather from its service. Delegates need connections to all replicas for hedges.
    pub(super) fn is_seldom_used(&self, key: ReplicaKey) -> bool {
        let Some(record) = self.records.get(&key) else {
            return false;
        };
        let state = &self.services[record.service];
        match state.sharers {
            Some(_) => false,
            None => state.gathered_elsewhere || self.has_nearer_replica(key),
        }
    }

    /// Whether another replica of the same service has a shorter round trip.
    fn has_nearer_replica(&self, key: ReplicaKey) -> bool {
        let Some(record) = self.records.get(&key) else {
            return false;
        };
        let replicas = self.services[record.service].replicas.iter();
        let mut others = replicas.filter_map(|key| self.records.get(key));
        others.any(|other| other.round_trip_ms < record.round_trip_ms)
    }
}
