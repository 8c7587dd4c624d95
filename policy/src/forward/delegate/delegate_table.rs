//! The daemons that may gather for this one.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    time::Duration, //
};

use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    CpuCapacity,
    DaemonName,
    RegionName,
    TimePoint,
    ZoneName, //
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    super::{
        ForwardSettings,
        RelayPeer,
        RelayRefusal, //
    },
    delegate_record::DelegateRecord, //
};
use crate::places::RequestPlacement;

/// Latency that is assumed of a daemon before its first answer: a part for the replicas, and the processor
/// time of a gather.
const UNKNOWN_LATENCY_MS: f64 = 20.0;
const GATHER_CPU_MS: f64 = 5.0;
/// Delegates in a data centre at least, so that the end of one leaves another.
const DELEGATES_MIN: usize = 2;
/// A daemon gathers for others only if the strongest of its data centre has at most this many times its
/// processor time.
const STRONG_RATIO: u32 = 2;
/// Assumed round trips within a data centre, within a region and between regions.
const ROUND_TRIPS: [Duration; 3] = [
    Duration::from_micros(500),
    Duration::from_millis(9),
    Duration::from_millis(25),
];

/// All live daemons, and how they have answered.
#[derive(Clone, Debug)]
pub(in super::super) struct DelegateTable {
    /// This daemon.
    pub(super) daemon: DaemonName,
    pub(super) zone: ZoneName,
    pub(super) capacity: CpuCapacity,
    regions: BTreeMap<ZoneName, RegionName>,
    pub(super) records: BTreeMap<DaemonName, DelegateRecord>,
    /// Changes with the members, so that plans are made anew.
    pub(in super::super) generation: u64,
    random: Pcg64Mcg,
}

impl DelegateTable {
    /// A table without other daemons.
    pub(in super::super) fn new(settings: &ForwardSettings) -> Self {
        Self {
            daemon: settings.daemon.clone(),
            zone: settings.zone.clone(),
            capacity: settings.capacity,
            regions: settings.regions.clone(),
            records: BTreeMap::new(),
            generation: 0,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
        }
    }

    /// Sets the other live daemons.
    pub(in super::super) fn set_peers(&mut self, peers: &[RelayPeer]) {
        self.generation += 1;
        let mut known = std::mem::take(&mut self.records);
        for peer in peers {
            let record = known.remove(&peer.daemon);
            let same = |record: &DelegateRecord| {
                let (zone, build) = (record.zone == peer.zone, record.build == peer.build);
                zone && build && record.capacity == peer.capacity
            };
            let record = record.filter(same);
            let record = record.unwrap_or_else(|| {
                DelegateRecord::new(peer.zone.clone(), peer.capacity, peer.build)
            });
            self.records.insert(peer.daemon.clone(), record);
        }
    }

    /// Distance class of a data centre: this one, the same region, another region.
    pub(super) fn distance(&self, zone: &ZoneName) -> usize {
        let region = self.regions.get(zone);
        match () {
            () if *zone == self.zone => 0,
            () if region.is_some() && region == self.regions.get(&self.zone) => 1,
            () => 2,
        }
    }

    /// Assumed round trip to a daemon.
    pub(super) fn round_trip(&self, daemon: &DaemonName) -> Duration {
        let record = self.records.get(daemon);
        ROUND_TRIPS[record.map_or(2, |record| self.distance(&record.zone))]
    }

    /// The daemons of `zone` that gather for others, at most `count`: those with the most processor time,
    /// since a gather is much work at one moment. All daemons choose the same.
    pub(super) fn delegates_in(&self, zone: &ZoneName, count: usize) -> SmallVec<[DaemonName; 8]> {
        let others = self.records.iter();
        let others = others.filter(|(_, record)| record.zone == *zone);
        let others = others.map(|(daemon, record)| (daemon, record.capacity));
        let this = Some((&self.daemon, self.capacity)).filter(|_| self.zone == *zone);
        let all = others.chain(this);
        let mut ranked: SmallVec<[(&DaemonName, CpuCapacity); 64]> =
            all.filter(|(_, capacity)| capacity.0 > 0).collect();
        ranked.sort_by_key(|(daemon, capacity)| {
            let spread = xxh3_64(daemon.as_str().as_bytes());
            (Reverse(*capacity), spread)
        });
        let most = ranked.first().map_or(0, |(_, capacity)| capacity.0);
        let strong =
            |(_, capacity): &&(&DaemonName, CpuCapacity)| capacity.0 >= most / STRONG_RATIO;
        let strong = ranked.iter().take_while(strong).count();
        let count = strong.min(count).max(DELEGATES_MIN);
        let chosen = ranked.into_iter().take(count);
        chosen.map(|(daemon, _)| daemon.clone()).collect()
    }

    /// The cheaper of two usable daemons drawn from `delegates` that may get a request with the given
    /// placement, without those in `tried`.
    pub(super) fn choose(
        &mut self,
        now: TimePoint,
        placement: &RequestPlacement,
        delegates: &[DaemonName],
        tried: &[DaemonName],
    ) -> Option<DaemonName> {
        let usable = |name: &&DaemonName| {
            let record = self.records.get(*name);
            let takes = |record: &DelegateRecord| {
                let region = self.regions.get(&record.zone);
                record.is_usable(now) && placement.allows_member(record.build, region)
            };
            record.is_some_and(takes) && !tried.contains(name)
        };
        let mut usable: SmallVec<[&DaemonName; 16]> = delegates.iter().filter(usable).collect();
        let first = match usable.len() {
            0 => return None,
            count => usable.swap_remove(self.random.random_range(0..count)),
        };
        let second = match usable.len() {
            0 => first,
            count => usable[self.random.random_range(0..count)],
        };
        let cost = |name: &DaemonName| {
            let record = self.records.get(name);
            record.map_or(f64::MAX, |record| record.cost(unknown_ms(record.capacity)))
        };
        match cost(second) < cost(first) {
            true => Some(second.clone()),
            false => Some(first.clone()),
        }
    }

    /// Records that a gather was sent to a daemon.
    pub(super) fn record_send(&mut self, daemon: &DaemonName) {
        if let Some(record) = self.records.get_mut(daemon) {
            record.in_flight += 1;
        }
    }

    /// Records that a gather of this daemon has ended there, answered or not.
    pub(in super::super) fn record_end(&mut self, daemon: &DaemonName) {
        if let Some(record) = self.records.get_mut(daemon) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Records that a daemon has answered something.
    pub(in super::super) fn record_sign(&mut self, now: TimePoint, daemon: &DaemonName) {
        if let Some(record) = self.records.get_mut(daemon) {
            record.record_sign(now);
        }
    }

    /// Those of `delegates` that are asked for a sign of life now.
    pub(super) fn asks_due(
        &mut self,
        now: TimePoint,
        delegates: &[DaemonName],
    ) -> SmallVec<[DaemonName; 2]> {
        let mut asked = SmallVec::new();
        for daemon in delegates {
            let record = self.records.get_mut(daemon);
            if record.is_some_and(|record| record.start_ask(now)) {
                asked.push(daemon.clone());
            }
        }
        asked
    }

    /// Whether a daemon has answered anything since `since`.
    pub(super) fn has_answered_since(&self, daemon: &DaemonName, since: TimePoint) -> bool {
        let record = self.records.get(daemon);
        record.is_some_and(|record| record.answered_at >= since)
    }

    /// Records the answer to a gather.
    pub(super) fn record_answer(&mut self, now: TimePoint, daemon: &DaemonName, latency: Duration) {
        if let Some(record) = self.records.get_mut(daemon) {
            record.answered_at = now;
            record.record_answer(latency);
        }
    }

    /// Records that a daemon has not answered in time; returns for how long it is avoided.
    pub(super) fn record_silence(&mut self, now: TimePoint, daemon: &DaemonName) -> Duration {
        let record = self.records.get_mut(daemon);
        record.map_or(Duration::ZERO, |record| record.record_failure(now))
    }

    /// Records that a daemon did not take a gather; returns for how long it is avoided.
    pub(super) fn record_refusal(
        &mut self,
        now: TimePoint,
        daemon: &DaemonName,
        refusal: RelayRefusal,
    ) -> Duration {
        let Some(record) = self.records.get_mut(daemon) else {
            return Duration::ZERO;
        };
        match refusal {
            RelayRefusal::NoAnswer => record.record_failure(now),
            _ => record.record_refusal(now),
        }
    }
}

fn unknown_ms(capacity: CpuCapacity) -> f64 {
    UNKNOWN_LATENCY_MS + GATHER_CPU_MS * 1_000.0 / f64::from(capacity.0.max(1))
}
