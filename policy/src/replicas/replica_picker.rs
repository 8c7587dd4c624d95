//! The choice of a replica for a sub-query.
//!
//! Among the replicas that serve the first key asked for, healthy ones of the nearest data centre
//! are preferred. Of two of them sampled at random, the one with the lower expected time is chosen.
//! A replica in another data centre is chosen where it is much faster even with the link, or where
//! the nearest data centre has no capacity, and only if the deadline allows for the round trip.
//!
//! A query that no replica is known to have run without crashing may only run on two replicas of a
//! shard. They are designated by the query's fingerprint, so that all daemons try it on the same
//! two. While one of these was lost recently, the query waits for reports from other daemons
//! instead of going to a third.

use std::time::Duration;

use rand::{
    seq::IndexedRandom,
    Rng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    KeySpan,
    QueryPrint,
    SnapshotId,
    TimePoint,
    VmName, //
};
use smallvec::SmallVec;

use super::{
    replica_group::ReplicaGroup,
    replica_health::HealthGrade,
    replica_state::ReplicaState,
    PickCriteria,
    PickResult,
    PickedReplica, //
};
use crate::engine::QueryReason;

/// How many times lower the expected time in another data centre must be, the link included.
const FAR_FACTOR: f64 = 1.5;

/// Number of replicas of a shard that may run a query before one is known to have run it without
/// crashing.
const DESIGNATED_COUNT: usize = 2;
/// Time for which a lost replica stays designated. By then other daemons have reported whether a
/// query crashed it.
const LOSS_GRACE: Duration = Duration::from_millis(100);

type PartList<'a> = SmallVec<[ServedPart<'a>; 8]>;

/// A suitable replica, with the first part of the requested span that it serves.
#[derive(Clone, Copy)]
struct ServedPart<'a> {
    span: KeySpan,
    grade: HealthGrade,
    replica: &'a ReplicaState,
}

/// Chooses among the replicas of one group.
pub(crate) struct ReplicaPicker<'a> {
    pub(crate) now: TimePoint,
    pub(crate) group: &'a ReplicaGroup,
    pub(crate) random: &'a mut Pcg64Mcg,
}

impl<'a> ReplicaPicker<'a> {
    /// Chooses a replica that meets `criteria`.
    pub(crate) fn pick(&mut self, criteria: &PickCriteria<'_>) -> PickResult {
        let parts = match self.first_parts(criteria) {
            Ok(parts) => parts,
            Err(reason) => return PickResult::NoReplica(reason),
        };
        let (chosen, must_wait) = match criteria.unproven {
            Some(print) => self.pick_designated(criteria, print),
            None => (None, false),
        };
        if chosen.is_none() && must_wait {
            return PickResult::Busy;
        }
        let chosen = chosen.or_else(|| self.pick_probe(criteria, &parts));
        let chosen = chosen.or_else(|| self.pick_healthy(&parts));
        let chosen = chosen.or_else(|| self.pick_degraded(&parts));
        match chosen {
            Some(part) => PickResult::Picked(PickedReplica {
                vm: part.replica.placed.vm.clone(),
                address: part.replica.placed.address,
                shard: part.replica.placed.shard.clone(),
                span: part.span,
                connections: self.group.share,
                round_trip: part.replica.delay * 2,
            }),
            None => PickResult::Busy,
        }
    }

    /// Returns one of the two replicas that may run the query `print`. The flag is true if the
    /// query must wait if none was found, because one of the two was lost recently.
    fn pick_designated(
        &mut self,
        criteria: &PickCriteria<'_>,
        print: QueryPrint,
    ) -> (Option<ServedPart<'a>>, bool) {
        let mut designated = self.designated_parts(criteria, print);
        let must_wait = designated
            .iter()
            .any(|part| part.replica.time_since_loss(self.now).is_some());
        designated.retain(|part| {
            let live = part.replica.time_since_loss(self.now).is_none();
            live && !criteria.avoid.contains(&part.replica.placed.vm)
        });
        let chosen = self
            .pick_healthy(&designated)
            .or_else(|| self.pick_degraded(&designated));
        (chosen, must_wait)
    }

    /// The designated replicas for `print`: those of the nearest data centres that rank first,
    /// including any lost recently.
    fn designated_parts(&self, criteria: &PickCriteria<'_>, print: QueryPrint) -> PartList<'a> {
        let without_avoid = PickCriteria {
            avoid: &[],
            ..*criteria
        };
        let mut parts = self.parts_at_start(&without_avoid);
        parts.retain(|part| match part.replica.time_since_loss(self.now) {
            Some(lost) => lost < LOSS_GRACE,
            None => part.grade != HealthGrade::Excluded,
        });
        parts.sort_by_cached_key(|part| {
            (part.replica.delay, rank_for(print, &part.replica.placed.vm))
        });
        parts.truncate(DESIGNATED_COUNT);
        parts
    }

    /// The suitable replicas for the first keys that any of them serves, or why there is none.
    fn first_parts(&self, criteria: &PickCriteria<'_>) -> Result<PartList<'a>, QueryReason> {
        let at_start = self.parts_at_start(criteria);
        if at_start
            .iter()
            .any(|part| part.grade != HealthGrade::Excluded)
        {
            return Ok(at_start);
        }
        let mut parts = self.all_parts(criteria)?;
        keep_first(&mut parts);
        Ok(parts)
    }

    /// The suitable replicas that serve the first key asked for. If one of them may be chosen, no
    /// other replica of the group matters, and the whole group need not be searched.
    fn parts_at_start(&self, criteria: &PickCriteria<'_>) -> PartList<'a> {
        let first_key = criteria.span.start();
        let mut parts = PartList::new();
        for vm in self.group.index.replicas_at(first_key) {
            let Some(replica) = self.group.replicas.get(vm) else {
                continue;
            };
            let span = replica.first_served_part(criteria.span);
            let Some(span) = span.filter(|span| span.start() == first_key) else {
                continue;
            };
            if self.rejection(criteria, replica).is_none() {
                parts.push(ServedPart {
                    span,
                    grade: replica.grade(self.now),
                    replica,
                });
            }
        }
        parts
    }

    /// All suitable replicas, busy or not, or why there is none.
    fn all_parts(&self, criteria: &PickCriteria<'_>) -> Result<PartList<'a>, QueryReason> {
        let mut main_reason = QueryReason::RangeMoved;
        let mut parts = PartList::new();
        let reported = self.collect_parts(
            criteria,
            &mut parts,
            &mut main_reason,
            ReplicaState::first_served_part,
        );
        if !reported {
            self.collect_parts(
                criteria,
                &mut parts,
                &mut main_reason,
                ReplicaState::first_planned_part,
            );
        }
        if self.group.replicas.is_empty() {
            main_reason = QueryReason::Unreachable;
        }
        if parts.is_empty() {
            return Err(main_reason);
        }
        Ok(parts)
    }

    /// Adds the suitable replicas for which `part_of` finds a part of the span. Returns whether it
    /// finds one for any replica, suitable or not. `main_reason` receives the reason of a
    /// rejection; `SnapshotGone` takes precedence over the others.
    fn collect_parts(
        &self,
        criteria: &PickCriteria<'_>,
        parts: &mut PartList<'a>,
        main_reason: &mut QueryReason,
        part_of: impl Fn(&ReplicaState, KeySpan) -> Option<KeySpan>,
    ) -> bool {
        let mut served = false;
        for replica in self.group.replicas.values() {
            let Some(span) = part_of(replica, criteria.span) else {
                continue;
            };
            served = true;
            match self.rejection(criteria, replica) {
                Some(reason) if *main_reason != QueryReason::SnapshotGone => *main_reason = reason,
                Some(_) => {}
                None => parts.push(ServedPart {
                    span,
                    grade: replica.grade(self.now),
                    replica,
                }),
            }
        }
        served
    }

    /// Why `replica` is not suitable; `None` where it is.
    fn rejection(
        &self,
        criteria: &PickCriteria<'_>,
        replica: &ReplicaState,
    ) -> Option<QueryReason> {
        if replica.is_draining(self.now) || criteria.avoid.contains(&replica.placed.vm) {
            return Some(QueryReason::Unreachable);
        }
        if criteria.snapshot != SnapshotId(0) && !replica.holds_snapshot(criteria.snapshot) {
            return Some(QueryReason::SnapshotGone);
        }
        let far = !replica.delay.is_zero();
        let reply_due = self.now + replica.delay * 2 + self.group.median();
        (far && reply_due > criteria.deadline).then_some(QueryReason::Deadline)
    }

    /// A replica due for a probe, if a healthy one could still take over should the probe fail.
    fn pick_probe(
        &self,
        criteria: &PickCriteria<'_>,
        parts: &[ServedPart<'a>],
    ) -> Option<ServedPart<'a>> {
        if !criteria.avoid.is_empty() || !parts.iter().any(|part| is_healthy(part)) {
            return None;
        }
        let idle = |part: &&ServedPart<'a>| part.grade == HealthGrade::Probe && self.is_free(part);
        parts.iter().find(idle).copied()
    }

    /// The better of two healthy replicas with capacity, nearest data centre first.
    fn pick_healthy(&mut self, parts: &[ServedPart<'a>]) -> Option<ServedPart<'a>> {
        let mut free: PartList<'a> = parts.iter().copied().filter(is_healthy).collect();
        free.retain(|part| self.is_free(part));
        let mut warm = free.clone();
        warm.retain(|part| match part.grade {
            HealthGrade::Healthy(weight) => weight >= 1.0 || self.random.random_bool(weight),
            _ => false,
        });
        if warm.is_empty() {
            warm = free;
        }
        self.best(warm)
    }

    /// A replica that is not healthy. An excluded one is chosen only if there is no other at all.
    fn pick_degraded(&mut self, parts: &[ServedPart<'a>]) -> Option<ServedPart<'a>> {
        let any_healthy = parts.iter().any(is_healthy);
        for grade in [
            HealthGrade::Suspect,
            HealthGrade::Probe,
            HealthGrade::Excluded,
        ] {
            let mut free: PartList<'a> = parts.iter().copied().collect();
            free.retain(|part| part.grade == grade && self.is_free(part));
            let chosen = self.best(free);
            if chosen.is_some() {
                return chosen;
            }
            if any_healthy || parts.iter().any(|part| part.grade == grade) {
                return None;
            }
        }
        None
    }

    /// The best replica of the nearest data centre, or one in another that is much faster even with
    /// the link.
    fn best(&mut self, free: PartList<'a>) -> Option<ServedPart<'a>> {
        let size = free.iter().map(|part| part.span.size()).max()?;
        let delay = free.iter().map(|part| part.replica.delay).min()?;
        let (mut near, mut far) = (free.clone(), free);
        near.retain(|part| part.replica.delay == delay && part.span.size() == size);
        far.retain(|part| part.replica.delay > delay && part.span.size() == size);
        let near = self.better_of_two(&near);
        let far = self.better_of_two(&far);
        match (near, far) {
            (Some(near), Some(far)) if self.cost(&far) * FAR_FACTOR < self.cost(&near) => Some(far),
            (near, far) => near.or(far),
        }
    }

    /// Of two replicas sampled at random, the one with the lower cost.
    fn better_of_two(&mut self, parts: &[ServedPart<'a>]) -> Option<ServedPart<'a>> {
        let sampled: SmallVec<[ServedPart<'a>; 2]> =
            parts.choose_multiple(self.random, 2).copied().collect();
        sampled
            .into_iter()
            .min_by(|left, right| self.cost(left).total_cmp(&self.cost(right)))
    }

    fn cost(&self, part: &ServedPart<'a>) -> f64 {
        let group = self.group;
        part.replica.cost(self.now, group.slots(), group.median())
    }

    fn is_free(&self, part: &ServedPart<'a>) -> bool {
        let allowed = match part.grade {
            HealthGrade::Healthy(_) => part.replica.limit.allowed(self.group.share),
            _ => self.group.share.min(1),
        };
        part.replica.outstanding() < allowed
    }
}

/// Rank of a replica for a query, which is the same on all daemons.
fn rank_for(print: QueryPrint, vm: &VmName) -> u64 {
    let (high, low) = print.halves();
    xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), high ^ low)
}

fn is_healthy(part: &ServedPart<'_>) -> bool {
    matches!(part.grade, HealthGrade::Healthy(_))
}

/// Keeps the parts that start with the first key that any replica which is not excluded serves.
fn keep_first(parts: &mut PartList<'_>) {
    let usable = parts
        .iter()
        .filter(|part| part.grade != HealthGrade::Excluded);
    let first = usable.map(|part| part.span.start()).min();
    let first = first.or_else(|| parts.iter().map(|part| part.span.start()).min());
    parts.retain(|part| Some(part.span.start()) == first);
}
