//! The pool of all replicas that a daemon knows.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use schema::{
    DeploymentSpec,
    GroupName,
    TimePoint,
    VmName, //
};

use super::{
    replica_group::ReplicaGroup,
    replica_health::HealthContext,
    replica_picker::ReplicaPicker,
    replica_state::ReplicaState,
    AttemptOutcome,
    PickCriteria,
    PickResult,
    PoolSettings,
    ReplicaView,
    JOIN_PERIOD, //
};
use crate::engine::{
    EngineNote,
    PlacedReplica,
    QueryReason,
    ReplicaLoad, //
};

/// Time for which a replica that left the VM list is kept.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);
/// Number of drain marks kept for VMs that the VM list does not name yet.
const EARLY_DRAINS_MAX: usize = 1024;

/// Tracks the state of every replica and chooses among them.
#[derive(Debug)]
pub struct ReplicaPool {
    settings: PoolSettings,
    spec: Option<Arc<DeploymentSpec>>,
    groups: BTreeMap<GroupName, ReplicaGroup>,
    group_by_vm: BTreeMap<VmName, GroupName>,
    /// Drain marks of VMs that the VM list does not name yet, with their end.
    early_drains: BTreeMap<VmName, TimePoint>,
    daemons: u32,
    /// End of the joining period; `None` before the first bundle.
    joined_at: Option<TimePoint>,
    timer_at: TimePoint,
    random: Pcg64Mcg,
}

impl ReplicaPool {
    /// Creates a pool without replicas.
    pub fn new(settings: PoolSettings) -> Self {
        let name = xxhash_rust::xxh3::xxh3_64(settings.name.as_str().as_bytes());
        Self {
            random: Pcg64Mcg::seed_from_u64(settings.seed ^ name),
            settings,
            spec: None,
            groups: BTreeMap::new(),
            group_by_vm: BTreeMap::new(),
            early_drains: BTreeMap::new(),
            daemons: 1,
            joined_at: None,
            timer_at: TimePoint::NEVER,
        }
    }

    /// Applies a bundle.
    pub fn apply_spec(&mut self, now: TimePoint, spec: &Arc<DeploymentSpec>) {
        self.spec = Some(Arc::clone(spec));
        self.joined_at.get_or_insert(now + JOIN_PERIOD);
        for group in &spec.groups {
            self.groups.entry(group.name.clone()).or_default();
        }
        self.apply_plan();
        self.refresh(now);
    }

    /// Applies the VM list. A list without any upstream is ignored.
    pub fn apply_placement(
        &mut self,
        now: TimePoint,
        replicas: &[PlacedReplica],
        notes: &mut Vec<EngineNote>,
    ) {
        if replicas.is_empty() {
            return;
        }
        let first_list = self.group_by_vm.is_empty();
        let mut listed = BTreeMap::new();
        for placed in replicas {
            listed.insert(&placed.vm, placed);
        }
        self.mark_unlisted(now, &listed);
        for placed in listed.into_values() {
            let changed = self.apply_placed(now, placed, first_list);
            if changed && placed.leaving {
                let vm = placed.vm.clone();
                notes.push(EngineNote::ReplicaDraining { vm });
            }
        }
        self.apply_plan();
        self.refresh(now);
    }

    /// Sets the number of daemons that share the replicas. This daemon and the leaving ones count
    /// too.
    pub fn set_daemons(&mut self, now: TimePoint, daemons: u32) {
        self.daemons = daemons;
        self.refresh(now);
    }

    /// The usable replicas of a group.
    pub fn views(&self, now: TimePoint, group: &GroupName) -> Vec<ReplicaView> {
        let group = self.groups.get(group);
        group.map(|group| group.views(now)).unwrap_or_default()
    }

    /// Chooses a replica for a sub-query.
    pub fn pick(&mut self, now: TimePoint, criteria: &PickCriteria<'_>) -> PickResult {
        self.on_timer(now);
        let group = self.groups.get(criteria.group);
        let Some(group) = group.filter(|group| group.spec.is_some()) else {
            return PickResult::NoReplica(QueryReason::UnknownGroup);
        };
        let mut picker = ReplicaPicker {
            now,
            group,
            random: &mut self.random,
        };
        picker.pick(criteria)
    }

    /// Records that an attempt is sent to `vm`.
    pub fn begin_attempt(&mut self, now: TimePoint, vm: &VmName) {
        if let Some(replica) = self.replica_mut(vm) {
            replica.begin(now);
        }
    }

    /// Records the outcome of an attempt and the load that the replica reported.
    pub fn finish_attempt(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        outcome: AttemptOutcome,
        load: Option<&ReplicaLoad>,
        notes: &mut Vec<EngineNote>,
    ) {
        self.on_timer(now);
        let group = self
            .group_by_vm
            .get(vm)
            .and_then(|name| self.groups.get_mut(name));
        let Some(group) = group else {
            return;
        };
        group.finish_attempt(vm, outcome, load, now, &mut self.random, notes);
        if let Some(replica) = group.replicas.get(vm) {
            self.timer_at = self.timer_at.min(replica.next_wakeup(now));
        }
    }

    /// Marks `vm` as draining until `until`, also where the VM list does not name it yet; returns
    /// true if it was not marked before.
    pub fn mark_draining(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        until: TimePoint,
        notes: &mut Vec<EngineNote>,
    ) -> bool {
        let Some(replica) = self.replica_mut(vm) else {
            return self.mark_early_drain(now, vm, until);
        };
        let was_draining = replica.is_draining(now);
        let newly_marked = replica.mark_draining(now, until);
        if newly_marked && !was_draining {
            notes.push(EngineNote::ReplicaDraining { vm: vm.clone() });
        }
        self.timer_at = self.timer_at.min(until);
        newly_marked
    }

    /// Time at which the pool next changes without an event and [`Self::on_timer`] must be called.
    pub fn next_wakeup(&self) -> TimePoint {
        self.timer_at
    }

    /// Ends the ejections, drain marks and joining period that are due to end. A pick that was
    /// [`PickResult::Busy`] may succeed afterwards.
    pub fn on_timer(&mut self, now: TimePoint) {
        if self.timer_at <= now {
            self.refresh(now);
        }
    }

    fn replica_mut(&mut self, vm: &VmName) -> Option<&mut ReplicaState> {
        let name = self.group_by_vm.get(vm)?;
        self.groups.get_mut(name)?.replicas.get_mut(vm)
    }

    fn mark_early_drain(&mut self, now: TimePoint, vm: &VmName, until: TimePoint) -> bool {
        self.early_drains.retain(|_, until| now < *until);
        if until <= now || self.early_drains.len() >= EARLY_DRAINS_MAX {
            return false;
        }
        self.early_drains.insert(vm.clone(), until).is_none()
    }

    /// Marks the replicas that are not on the list as unlisted, and removes them once they have
    /// been unlisted for [`UNLISTED_RETENTION`] and have no request outstanding.
    fn mark_unlisted(&mut self, now: TimePoint, listed: &BTreeMap<&VmName, &PlacedReplica>) {
        for (name, group) in &mut self.groups {
            group.replicas.retain(|vm, replica| {
                let listed_here = listed.get(vm).is_some_and(|placed| placed.group == *name);
                if listed_here {
                    return true;
                }
                let since = *replica.unlisted_since.get_or_insert(now);
                replica.outstanding() > 0 || now.since(since) < UNLISTED_RETENTION
            });
        }
        let groups = &self.groups;
        self.group_by_vm.retain(|vm, name| {
            let group = groups.get(name);
            group.is_some_and(|group| group.replicas.contains_key(vm))
        });
    }

    /// Applies one entry of the list; returns true where the VM is new or was not leaving before.
    fn apply_placed(&mut self, now: TimePoint, placed: &PlacedReplica, first_list: bool) -> bool {
        let mut context = HealthContext {
            now,
            random: &mut self.random,
            may_eject: false,
        };
        self.group_by_vm
            .insert(placed.vm.clone(), placed.group.clone());
        let group = self.groups.entry(placed.group.clone()).or_default();
        if let Some(replica) = group.replicas.get_mut(&placed.vm) {
            let was_leaving = replica.placed.leaving;
            replica.apply_placement(placed, &mut context);
            return !was_leaving;
        }
        let mut replica = ReplicaState::new(placed.clone(), &mut context);
        if !first_list {
            replica.mark_cold(&mut context);
        }
        if let Some(until) = self.early_drains.remove(&placed.vm) {
            replica.mark_draining(now, until);
        }
        group.replicas.insert(placed.vm.clone(), replica);
        true
    }

    /// Copies the bundle's settings of each group and replica into their state.
    fn apply_plan(&mut self) {
        let Some(spec) = &self.spec else {
            return;
        };
        for (name, group) in &mut self.groups {
            group.spec = spec.group(name).cloned();
            group.apply_plan();
            for (vm, replica) in &mut group.replicas {
                replica.drain_ordered = spec.drains.contains(vm);
                replica.delay = spec.delay(&self.settings.zone, &replica.placed.zone);
            }
        }
    }

    /// Updates the connection shares, the health of the replicas and `timer_at`.
    fn refresh(&mut self, now: TimePoint) {
        let joining = self.joined_at.is_none_or(|joined_at| now < joined_at);
        let planned = self.spec.as_ref().map_or(1, |spec| spec.daemons);
        self.timer_at = match self.joined_at {
            Some(joined_at) if joining => joined_at,
            _ => TimePoint::NEVER,
        };
        for group in self.groups.values_mut() {
            group.update_share(planned, self.daemons, joining);
            for replica in group.replicas.values_mut() {
                let mut context = HealthContext {
                    now,
                    random: &mut self.random,
                    may_eject: false,
                };
                replica.on_timer(&mut context);
                self.timer_at = self.timer_at.min(replica.next_wakeup(now));
            }
        }
    }
}
