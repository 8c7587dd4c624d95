//! The replicas of one service group.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use rand_pcg::Pcg64Mcg;
use schema::{
    GroupSpec,
    ShardName,
    ShardPlan,
    TimePoint,
    VmName, //
};

use super::{
    latency_median::LatencyMedian,
    replica_health::{
        HealthContext,
        HealthEvent, //
    },
    replica_state::ReplicaState,
    span_index::SpanIndex,
    AttemptOutcome,
    ConnectionShare,
    ReplicaView, //
};
use crate::engine::{
    AttemptFailure,
    EngineNote,
    ReplicaLoad, //
};

/// Multiple of the group's median above which a latency is slow.
const SLOW_FACTOR: u32 = 4;
/// Multiple of the median above which a replica counts as stalled.
const STALLED_FACTOR: u32 = 12;
/// A latency up to this is never slow, whatever the median.
const SLOW_MIN: Duration = Duration::from_millis(2);
/// Expected latency while there is no median.
const LATENCY_DEFAULT: Duration = Duration::from_millis(5);

/// The replicas of a group and what they share.
#[derive(Debug, Default)]
pub(crate) struct ReplicaGroup {
    pub(crate) spec: Option<GroupSpec>,
    pub(crate) replicas: BTreeMap<VmName, ReplicaState>,
    /// Connections to each replica that this daemon may hold.
    pub(crate) share: u32,
    /// Replicas by the keys that they serve or that the bundle assigns to them.
    pub(crate) index: SpanIndex,
    median: LatencyMedian,
}

impl ReplicaGroup {
    /// Median latency without the link's round trip.
    pub(crate) fn median(&self) -> Duration {
        self.median.median().unwrap_or(LATENCY_DEFAULT)
    }

    /// Slots of each replica.
    pub(crate) fn slots(&self) -> u32 {
        self.spec.as_ref().map_or(1, |spec| spec.slots)
    }

    /// Sets the keys that the bundle assigns to the shard of each replica.
    pub(crate) fn apply_plan(&mut self) {
        let plans = self.spec.iter().flat_map(|spec| &spec.shards);
        let plans: BTreeMap<&ShardName, &ShardPlan> =
            plans.map(|plan| (&plan.name, plan)).collect();
        self.index.clear();
        for (vm, replica) in &mut self.replicas {
            let plan = plans.get(&replica.placed.shard);
            replica.planned_spans = plan.map(|plan| plan.span.into()).unwrap_or_default();
            self.index.insert(vm, &replica.planned_spans);
            self.index.insert(vm, replica.serves());
        }
    }

    /// Computes this daemon's share of the connections. A daemon that has held a share keeps at
    /// least one connection; daemons that came later wait.
    pub(crate) fn update_share(&mut self, planned: u32, live: u32, joining: bool) {
        let Some(spec) = &self.spec else {
            self.share = 0;
            return;
        };
        let share = ConnectionShare::divide(spec.connections, planned, live);
        self.share = match joining {
            true => share.joining,
            false => share.full.max(self.share.min(1)),
        };
    }

    /// Records the outcome of an attempt.
    pub(crate) fn finish_attempt(
        &mut self,
        vm: &VmName,
        outcome: AttemptOutcome,
        load: Option<&ReplicaLoad>,
        now: TimePoint,
        random: &mut Pcg64Mcg,
        notes: &mut Vec<EngineNote>,
    ) {
        let median = self.median.median();
        let Some(replica) = self.replicas.get_mut(vm) else {
            return;
        };
        replica.finish(now, outcome.latency());
        match outcome {
            AttemptOutcome::Replied { .. } => replica.set_lost(now, false),
            AttemptOutcome::Failed { failure, .. } if failure.indicates_replica_loss() => {
                replica.set_lost(now, true);
            }
            AttemptOutcome::Failed { .. } | AttemptOutcome::Cancelled { .. } => {}
        }
        let was_draining = replica.is_draining(now);
        if let Some(load) = load {
            if replica.record_load(now, load) {
                self.index.insert(vm, replica.serves());
            }
            if load.draining {
                replica.start_drain(now);
            }
        }
        let event = match outcome {
            AttemptOutcome::Replied { latency } => {
                let service_latency = latency.saturating_sub(replica.delay * 2);
                replica.record_latency(now, service_latency, true);
                replica.limit.replied(now, load, self.share);
                self.median.add(service_latency);
                Some(classify_latency(service_latency, median).unwrap_or(HealthEvent::Replied))
            }
            AttemptOutcome::Cancelled { latency } => {
                let service_latency = latency.saturating_sub(replica.delay * 2);
                replica.record_latency(now, service_latency, false);
                classify_latency(service_latency, median)
            }
            AttemptOutcome::Failed { failure, .. } => apply_failure(replica, failure, now),
        };
        let was_ejected = replica.is_ejected();
        // `may_eject` iterates over the whole group, so it is called only for an event that may
        // eject.
        let may_eject =
            event.is_some_and(|event| event != HealthEvent::Replied) && self.may_eject(now, vm);
        let Some(replica) = self.replicas.get_mut(vm) else {
            return;
        };
        if let Some(event) = event {
            let mut context = HealthContext {
                now,
                random,
                may_eject,
            };
            replica.observe_health(event, &mut context);
        }
        let vm = vm.clone();
        match (was_ejected, replica.is_ejected()) {
            (false, true) => notes.push(EngineNote::ReplicaEjected { vm: vm.clone() }),
            (true, false) => notes.push(EngineNote::ReplicaRestored { vm: vm.clone() }),
            _ => {}
        }
        if !was_draining && replica.is_draining(now) {
            notes.push(EngineNote::ReplicaDraining { vm });
        }
    }

    /// Whether, with `vm` ejected, at most half of its shard and half of the group would be
    /// ejected.
    fn may_eject(&self, now: TimePoint, vm: &VmName) -> bool {
        let Some(replica) = self.replicas.get(vm) else {
            return false;
        };
        let at_most_half_ejected = |shard: Option<&ShardName>| {
            let mut total = 0;
            let mut ejected = 1;
            for (other, state) in &self.replicas {
                let other_shard = shard.is_some_and(|shard| *shard != state.placed.shard);
                if other_shard || state.is_draining(now) {
                    continue;
                }
                total += 1;
                ejected += u32::from(other != vm && state.is_ejected());
            }
            ejected * 2 <= total
        };
        at_most_half_ejected(Some(&replica.placed.shard)) && at_most_half_ejected(None)
    }

    /// The usable replicas; ejected ones only where their shard has no other.
    pub(crate) fn views(&self, now: TimePoint) -> Vec<ReplicaView> {
        let is_usable = |state: &ReplicaState| !state.is_draining(now) && !state.is_ejected();
        let usable_shards: Vec<&ShardName> = self
            .replicas
            .values()
            .filter(|state| is_usable(state))
            .map(|state| &state.placed.shard)
            .collect();
        let mut views = Vec::new();
        for (vm, state) in &self.replicas {
            if state.is_draining(now) {
                continue;
            }
            if state.is_ejected() && usable_shards.contains(&&state.placed.shard) {
                continue;
            }
            views.push(ReplicaView {
                vm: vm.clone(),
                serves: state.serves().clone(),
                snapshots: state.snapshots().into(),
            });
        }
        views
    }
}

/// The health event for a latency far above the median; `None` for any other latency.
fn classify_latency(latency: Duration, median: Option<Duration>) -> Option<HealthEvent> {
    let median = median?;
    if latency <= SLOW_MIN.max(median * SLOW_FACTOR) {
        return None;
    }
    if latency > median * STALLED_FACTOR {
        return Some(HealthEvent::Stalled);
    }
    Some(HealthEvent::Slow)
}

/// Applies a failure to the replica's limit or drain mark, or returns the health event for it.
fn apply_failure(
    replica: &mut ReplicaState,
    failure: AttemptFailure,
    now: TimePoint,
) -> Option<HealthEvent> {
    match failure {
        AttemptFailure::ConnectFailed => Some(HealthEvent::Unreachable),
        AttemptFailure::BrokeBefore | AttemptFailure::BrokeAfter | AttemptFailure::BadReply => {
            Some(HealthEvent::ExchangeBroken)
        }
        AttemptFailure::RanFailed => Some(HealthEvent::RequestFailed),
        AttemptFailure::Shed | AttemptFailure::Late => {
            replica.limit.refused(now);
            None
        }
        AttemptFailure::Draining => {
            replica.start_drain(now);
            None
        }
        AttemptFailure::SnapshotGone | AttemptFailure::RangeGone => None,
    }
}
