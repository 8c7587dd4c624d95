//! Keeps the requests to cold replicas within what they bear.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    ColdLimit,
    RouteTable,
    TimePoint,
    ZoneName, //
};

use super::{
    pending_request::PendingRequest,
    request_part::PartState,
    ForwardAction,
    ForwardEngine,
    RefusalReason,
    ReplicaKey,
    ReplicaRegistry, //
};
use crate::rates::{
    RateKey,
    RateTable, //
};

/// Time without a reply of a replica after which a failed connection means that it was unreachable. One that
/// still replies on other connections has not restarted, it only accepts no more of them.
const SILENT_PERIOD: Duration = Duration::from_millis(280);
/// Time without a reply of any replica of a data centre after which a failed connection to one means that all
/// were unreachable.
const ZONE_SILENT_PERIOD: Duration = Duration::from_secs(1);
/// Time after which a part is looked at again that only cold replicas could take.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The same while an attempt of it is in flight.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which such a part waits, also on a route without a latency goal.
const WAIT_MAX: Duration = Duration::from_secs(1);
/// `retry_after` time sent after it.
const RETRY_AFTER: Duration = Duration::from_millis(500);

impl ReplicaRegistry {
    /// Sets which services have a rate for their cold replicas.
    pub(super) fn set_cold_limits(&mut self, now: TimePoint, table: &RouteTable) {
        let mut limits: BTreeMap<usize, ColdLimit> = BTreeMap::new();
        if self.settings.cold_bounds.is_some() {
            for (name, limit) in &table.cold_limits {
                limits.insert(self.index_of(name), *limit);
            }
        }
        for (index, state) in self.services.iter_mut().enumerate() {
            state.cold_limit = limits.remove(&index);
        }
        let keys: Vec<ReplicaKey> = self.records.keys().copied().collect();
        for key in keys {
            self.set_cold_period(now, key);
        }
    }

    /// Sets for how long a replica is cold after its start.
    pub(super) fn set_cold_period(&mut self, now: TimePoint, key: ReplicaKey) {
        let Some(record) = self.records.get_mut(&key) else {
            return;
        };
        let limit = self.services[record.service].cold_limit;
        let period = limit.map_or(Duration::ZERO, |limit| limit.period);
        let born_ms = record.entry.born_ms;
        record.cold.set_period(now, period, born_ms);
    }

    /// Takes note of a connection that could not be opened. Where no replica of the data centre replies, all of
    /// them may restart before this daemon tries them.
    pub(super) fn record_unreachable(&mut self, now: TimePoint, key: ReplicaKey) {
        let Some(zone) = self
            .records
            .get(&key)
            .map(|record| record.entry.zone.clone())
        else {
            return;
        };
        let of_zone = self.records.values();
        let of_zone = of_zone.filter(|record| record.entry.zone == zone);
        let last_reply = of_zone.map(|record| record.last_reply_at).max();
        let last_reply = last_reply.unwrap_or_default();
        let whole = last_reply > TimePoint(0) && now.since(last_reply) >= ZONE_SILENT_PERIOD;
        for (other, record) in &mut self.records {
            let silent = now.since(record.last_reply_at) >= SILENT_PERIOD;
            if (*other == key && silent) || (whole && record.entry.zone == zone) {
                record.cold.record_unreachable();
            }
        }
    }

    /// Whether a replica may be sent a request, of which it may get few while it is cold. Takes one of them.
    pub(super) fn admit_cold(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        rates: &mut RateTable,
    ) -> bool {
        let Some(record) = self.records.get_mut(&key) else {
            return true;
        };
        let limit = self.services[record.service].cold_limit;
        let (Some(limit), Some(bounds)) = (limit, self.settings.cold_bounds) else {
            return true;
        };
        let rate = record.cold.rate(now, &limit, &bounds);
        if rate.is_none() && record.cold_rate.is_none() {
            return true;
        }
        let rate_key = RateKey::ColdReplica(record.entry.instance());
        if rate != record.cold_rate {
            record.cold_rate = rate;
            rates.set_limit(now, rate_key, rate);
        }
        rate.is_none() || rates.try_take(now, rate_key)
    }

    /// Gives back a request that a cold replica did not get.
    pub(super) fn give_back_cold(&self, now: TimePoint, key: ReplicaKey, rates: &mut RateTable) {
        let Some(record) = self.records.get(&key) else {
            return;
        };
        if record.cold_rate.is_some() {
            rates.give_back(now, RateKey::ColdReplica(record.entry.instance()));
        }
    }
}

impl ForwardEngine {
    /// Takes note of a reply of a replica. One that could not be reached before is asked whether it is cold.
    pub(super) fn record_reached(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.registry.records.get_mut(&key) else {
            return;
        };
        if record.cold.record_reached(now) {
            actions.push(ForwardAction::CheckHealth {
                replica: key,
                service: record.entry.service.clone(),
                address: record.entry.address,
            });
        }
    }

    /// Asks the replicas of a data centre that is used again whether they are cold: until then they count as
    /// such, where that is limited.
    pub(super) fn check_cold(&self, zone: &ZoneName, actions: &mut Vec<ForwardAction>) {
        for (key, record) in &self.registry.records {
            let is_limited = self.registry.services[record.service].cold_limit.is_some();
            if is_limited && record.entry.zone == *zone && record.is_wanted() {
                actions.push(ForwardAction::CheckHealth {
                    replica: *key,
                    service: record.entry.service.clone(),
                    address: record.entry.address,
                });
            }
        }
    }

    /// Takes note of what a replica says in its reply to a health check.
    pub(super) fn on_cold_reported(&mut self, now: TimePoint, key: ReplicaKey, left: Duration) {
        if let Some(record) = self.registry.records.get_mut(&key) {
            record.cold.record_report(now, left);
        }
    }
}

/// Handles a part that only cold replicas could take, whose rates are used up: it waits until the latency goal
/// of its request, and then fails.
pub(super) fn wait_for_warm(now: TimePoint, request: &mut PendingRequest, index: usize) {
    let give_up_at = request.goal_at.min(request.arrived + WAIT_MAX);
    let part = &mut request.parts[index];
    if part.is_awaited() {
        part.check_at = now + HEDGE_RECHECK_INTERVAL;
        return;
    }
    if now < give_up_at {
        part.check_at = now + RECHECK_INTERVAL;
        return;
    }
    part.check_at = TimePoint::NEVER;
    part.state = PartState::Failed;
    request.hold_until(now + RETRY_AFTER, RefusalReason::Limited);
}
