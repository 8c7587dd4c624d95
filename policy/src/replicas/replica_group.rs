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
    AttemptEnding,
    ConnectionShare,
    ReplicaView, //
};
use crate::engine::{
    AttemptFailure,
    EngineNote,
    ReplicaLoad, //
};

/// Multiple of the group's median beyond which a latency is slow.
const SLOW_FACTOR: u32 = 4;
/// Multiple beyond which the replica hardly works at all.
const STALLED_FACTOR: u32 = 12;
/// Latency that is never slow.
const SLOW_MIN: Duration = Duration::from_millis(2);
/// Expected latency before any was observed.
const LATENCY_GUESS: Duration = Duration::from_millis(5);

/// Replicas of a group with what they have in common.
#[derive(Debug, Default)]
pub(crate) struct ReplicaGroup {
    pub(crate) spec: Option<GroupSpec>,
    pub(crate) replicas: BTreeMap<VmName, ReplicaState>,
    /// Connections that this daemon may hold to each replica.
    pub(crate) share: u32,
    /// Replicas by keys served or given by the bundle.
    pub(crate) index: SpanIndex,
    median: LatencyMedian,
}

impl ReplicaGroup {
    /// Median latency without the link's part.
    pub(crate) fn median(&self) -> Duration {
        self.median.median().unwrap_or(LATENCY_GUESS)
    }

    /// Slots of each replica.
    pub(crate) fn slots(&self) -> u32 {
        self.spec.as_ref().map_or(1, |spec| spec.slots)
    }

    /// Fills in the keys that the bundle gives to each replica's shard.
    pub(crate) fn plan(&mut self) {
        let plans = self.spec.iter().flat_map(|spec| &spec.shards);
        let plans: BTreeMap<&ShardName, &ShardPlan> =
            plans.map(|plan| (&plan.name, plan)).collect();
        self.index.clear();
        for (vm, replica) in &mut self.replicas {
            let plan = plans.get(&replica.placed.shard);
            replica.planned = plan.map(|plan| plan.span.into()).unwrap_or_default();
            self.index.put(vm, &replica.planned);
            self.index.put(vm, replica.serves());
        }
    }

    /// Works this daemon's share of the connections out. A share once held is not lost to daemons
    /// that came later: those wait.
    pub(crate) fn set_share(&mut self, planned: u32, live: u32, joining: bool) {
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

    /// Takes in the end of an attempt.
    pub(crate) fn finish(
        &mut self,
        vm: &VmName,
        ending: AttemptEnding,
        load: Option<&ReplicaLoad>,
        now: TimePoint,
        random: &mut Pcg64Mcg,
        notes: &mut Vec<EngineNote>,
    ) {
        let median = self.median.median();
        let Some(replica) = self.replicas.get_mut(vm) else {
            return;
        };
        replica.finish(now, ending.latency());
        match ending {
            AttemptEnding::Replied { .. } => replica.note_lost(now, false),
            AttemptEnding::Failed { failure, .. } if failure.indicates_replica_loss() => {
                replica.note_lost(now, true);
            }
            AttemptEnding::Failed { .. } | AttemptEnding::Cancelled { .. } => {}
        }
        let drained = replica.drains(now);
        if let Some(load) = load {
            if replica.report(now, load) {
                self.index.put(vm, replica.serves());
            }
            if load.draining {
                replica.drain(now);
            }
        }
        let event = match ending {
            AttemptEnding::Replied { latency } => {
                let own = latency.saturating_sub(replica.delay * 2);
                replica.time(now, own, true);
                replica.limit.replied(now, load, self.share);
                self.median.add(own);
                Some(slowness(own, median).unwrap_or(HealthEvent::Replied))
            }
            AttemptEnding::Cancelled { latency } => {
                let own = latency.saturating_sub(replica.delay * 2);
                replica.time(now, own, false);
                slowness(own, median)
            }
            AttemptEnding::Failed { failure, .. } => failed(replica, failure, now),
        };
        let out = replica.is_out();
        // The floor is looked up only for what may eject: it walks the whole group.
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
            replica.observe(event, &mut context);
        }
        let vm = vm.clone();
        match (out, replica.is_out()) {
            (false, true) => notes.push(EngineNote::ReplicaEjected { vm: vm.clone() }),
            (true, false) => notes.push(EngineNote::ReplicaRestored { vm: vm.clone() }),
            _ => {}
        }
        if !drained && replica.drains(now) {
            notes.push(EngineNote::ReplicaDraining { vm });
        }
    }

    /// Whether at most half of the shard's and of the group's replicas are out once `vm` is.
    fn may_eject(&self, now: TimePoint, vm: &VmName) -> bool {
        let Some(replica) = self.replicas.get(vm) else {
            return false;
        };
        let halves = |shard: Option<&ShardName>| {
            let mut all = 0;
            let mut out = 1;
            for (other, state) in &self.replicas {
                let elsewhere = shard.is_some_and(|shard| *shard != state.placed.shard);
                if elsewhere || state.drains(now) {
                    continue;
                }
                all += 1;
                out += u32::from(other != vm && state.is_out());
            }
            out * 2 <= all
        };
        halves(Some(&replica.placed.shard)) && halves(None)
    }

    /// The usable replicas; ejected ones only where their shard has no other.
    pub(crate) fn views(&self, now: TimePoint) -> Vec<ReplicaView> {
        let sound = |state: &ReplicaState| !state.drains(now) && !state.is_out();
        let sound_shards: Vec<&ShardName> = self
            .replicas
            .values()
            .filter(|state| sound(state))
            .map(|state| &state.placed.shard)
            .collect();
        let mut views = Vec::new();
        for (vm, state) in &self.replicas {
            if state.drains(now) {
                continue;
            }
            if state.is_out() && sound_shards.contains(&&state.placed.shard) {
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

/// What a latency far beyond the median says of the replica.
fn slowness(latency: Duration, median: Option<Duration>) -> Option<HealthEvent> {
    let median = median?;
    if latency <= SLOW_MIN.max(median * SLOW_FACTOR) {
        return None;
    }
    if latency > median * STALLED_FACTOR {
        return Some(HealthEvent::Stalled);
    }
    Some(HealthEvent::Slow)
}

/// Takes in a failure; gives what it says of the replica's health.
fn failed(
    replica: &mut ReplicaState,
    failure: AttemptFailure,
    now: TimePoint,
) -> Option<HealthEvent> {
    match failure {
        AttemptFailure::ConnectFailed => Some(HealthEvent::Unreachable),
        AttemptFailure::BrokeBefore | AttemptFailure::BrokeAfter | AttemptFailure::BadReply => {
            Some(HealthEvent::Broke)
        }
        AttemptFailure::RanFailed => Some(HealthEvent::RanFailed),
        AttemptFailure::Shed | AttemptFailure::Late => {
            replica.limit.shed(now);
            None
        }
        AttemptFailure::Draining => {
            replica.drain(now);
            None
        }
        AttemptFailure::SnapshotGone | AttemptFailure::RangeGone => None,
    }
}
