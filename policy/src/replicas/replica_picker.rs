//! The choice of a replica for a sub-query.
//!
//! Among the replicas that serve the first key asked for, healthy ones of the nearest data centre
//! are preferred. Of two of them sampled at random, the one with the lower expected time is chosen.
//! A replica in another data centre is chosen where it is much faster even with the link, or where
//! the nearest data centre has no capacity, and only if the deadline allows for the round trip.
//!
//! A query that no replica is known to have survived may only run on two replicas of a shard. They
//! are designated by the query's fingerprint, so that all daemons try it on the same two. While one
//! of these was lost a moment ago, the query waits for reports from other daemons instead of going
//! to a third.

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
const REMOTE_COST_FACTOR: f64 = 1.5;

/// Number of replicas of a shard that may run a query before one is known to have survived it.
const DESIGNATED_COUNT: usize = 2;
/// Time for which a lost replica stays designated. By then other daemons have reported what killed
/// it.
const LOSS_GRACE: Duration = Duration::from_millis(100);

type CandidateList<'a> = SmallVec<[ReplicaCandidate<'a>; 8]>;

/// A suitable replica, with the first part of the requested span that it serves.
#[derive(Clone, Copy)]
struct ReplicaCandidate<'a> {
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
        let candidates = match self.first_candidates(criteria) {
            Ok(candidates) => candidates,
            Err(reason) => return PickResult::Missing(reason),
        };
        let (chosen, must_wait) = match criteria.unproven {
            Some(print) => self.pick_designated(criteria, print),
            None => (None, false),
        };
        if chosen.is_none() && must_wait {
            return PickResult::Busy;
        }
        let chosen = chosen.or_else(|| self.pick_probe(criteria, &candidates));
        let chosen = chosen.or_else(|| self.pick_healthy(&candidates));
        let chosen = chosen.or_else(|| self.pick_degraded(&candidates));
        match chosen {
            Some(candidate) => PickResult::Picked(PickedReplica {
                vm: candidate.replica.placed.vm.clone(),
                address: candidate.replica.placed.address,
                shard: candidate.replica.placed.shard.clone(),
                span: candidate.span,
                connections: self.group.share,
                round_trip: candidate.replica.link_delay * 2,
            }),
            None => PickResult::Busy,
        }
    }

    /// Returns one of the two replicas that may run the query `print`. The flag says whether the
    /// query must wait if none was found, because one of the two was lost a moment ago.
    fn pick_designated(
        &mut self,
        criteria: &PickCriteria<'_>,
        print: QueryPrint,
    ) -> (Option<ReplicaCandidate<'a>>, bool) {
        let mut designated = self.designated_candidates(criteria, print);
        let must_wait = designated
            .iter()
            .any(|candidate| candidate.replica.time_since_loss(self.now).is_some());
        designated.retain(|candidate| {
            let live = candidate.replica.time_since_loss(self.now).is_none();
            live && !criteria.avoid.contains(&candidate.replica.placed.vm)
        });
        let chosen = self
            .pick_healthy(&designated)
            .or_else(|| self.pick_degraded(&designated));
        (chosen, must_wait)
    }

    /// The designated replicas for `print`: those of the nearest data centres that rank first,
    /// including any lost a moment ago.
    fn designated_candidates(
        &self,
        criteria: &PickCriteria<'_>,
        print: QueryPrint,
    ) -> CandidateList<'a> {
        let without_avoid = PickCriteria {
            avoid: &[],
            ..*criteria
        };
        let mut candidates = self.candidates_at_start(&without_avoid);
        candidates.retain(
            |candidate| match candidate.replica.time_since_loss(self.now) {
                Some(lost) => lost < LOSS_GRACE,
                None => candidate.grade != HealthGrade::Excluded,
            },
        );
        candidates.sort_by_cached_key(|candidate| {
            (
                candidate.replica.link_delay,
                rank(print, &candidate.replica.placed.vm),
            )
        });
        candidates.truncate(DESIGNATED_COUNT);
        candidates
    }

    /// The suitable replicas for the first keys that any of them serves, or why there is none.
    fn first_candidates(
        &self,
        criteria: &PickCriteria<'_>,
    ) -> Result<CandidateList<'a>, QueryReason> {
        let at_start = self.candidates_at_start(criteria);
        if at_start
            .iter()
            .any(|candidate| candidate.grade != HealthGrade::Excluded)
        {
            return Ok(at_start);
        }
        let mut candidates = self.all_candidates(criteria)?;
        retain_first(&mut candidates);
        Ok(candidates)
    }

    /// The suitable replicas that serve the first key asked for. If one of them may be chosen, no
    /// other replica of the group matters, and the whole group need not be walked.
    fn candidates_at_start(&self, criteria: &PickCriteria<'_>) -> CandidateList<'a> {
        let first_key = criteria.span.start();
        let mut candidates = CandidateList::new();
        for vm in self.group.index.replicas_at(first_key) {
            let Some(replica) = self.group.replicas.get(vm) else {
                continue;
            };
            let span = replica.first_served_part(criteria.span);
            let Some(span) = span.filter(|span| span.start() == first_key) else {
                continue;
            };
            if self.rejection(criteria, replica).is_none() {
                candidates.push(ReplicaCandidate {
                    span,
                    grade: replica.grade(self.now),
                    replica,
                });
            }
        }
        candidates
    }

    /// All suitable replicas, busy or not, or why there is none.
    fn all_candidates(
        &self,
        criteria: &PickCriteria<'_>,
    ) -> Result<CandidateList<'a>, QueryReason> {
        let mut unavailable = QueryReason::RangeMoved;
        let mut candidates = CandidateList::new();
        let reported = self.collect_candidates(
            criteria,
            &mut candidates,
            &mut unavailable,
            ReplicaState::first_served_part,
        );
        if !reported {
            self.collect_candidates(
                criteria,
                &mut candidates,
                &mut unavailable,
                ReplicaState::first_planned_part,
            );
        }
        if self.group.replicas.is_empty() {
            unavailable = QueryReason::Unreachable;
        }
        if candidates.is_empty() {
            return Err(unavailable);
        }
        Ok(candidates)
    }

    /// Adds the suitable replicas for which `part_of` finds a part of the span. Returns whether it
    /// finds one for any replica, suitable or not.
    fn collect_candidates(
        &self,
        criteria: &PickCriteria<'_>,
        candidates: &mut CandidateList<'a>,
        unavailable: &mut QueryReason,
        part_of: impl Fn(&ReplicaState, KeySpan) -> Option<KeySpan>,
    ) -> bool {
        let mut any_serves = false;
        for replica in self.group.replicas.values() {
            let Some(span) = part_of(replica, criteria.span) else {
                continue;
            };
            any_serves = true;
            match self.rejection(criteria, replica) {
                Some(reason) if *unavailable != QueryReason::SnapshotGone => *unavailable = reason,
                Some(_) => {}
                None => candidates.push(ReplicaCandidate {
                    span,
                    grade: replica.grade(self.now),
                    replica,
                }),
            }
        }
        any_serves
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
        let remote = !replica.link_delay.is_zero();
        let reply_due = self.now + replica.link_delay * 2 + self.group.median();
        (remote && reply_due > criteria.deadline).then_some(QueryReason::Deadline)
    }

    /// A replica due for a probe, if a healthy one could still take over should the probe fail.
    fn pick_probe(
        &self,
        criteria: &PickCriteria<'_>,
        candidates: &[ReplicaCandidate<'a>],
    ) -> Option<ReplicaCandidate<'a>> {
        if !criteria.avoid.is_empty() || !candidates.iter().any(|candidate| is_healthy(candidate)) {
            return None;
        }
        let is_probe = |candidate: &&ReplicaCandidate<'a>| {
            candidate.grade == HealthGrade::Probing && self.has_capacity(candidate)
        };
        candidates.iter().find(is_probe).copied()
    }

    /// The better of two healthy replicas with capacity, nearest data centre first.
    fn pick_healthy(
        &mut self,
        candidates: &[ReplicaCandidate<'a>],
    ) -> Option<ReplicaCandidate<'a>> {
        let mut available: CandidateList<'a> =
            candidates.iter().copied().filter(is_healthy).collect();
        available.retain(|candidate| self.has_capacity(candidate));
        let mut warm = available.clone();
        warm.retain(|candidate| match candidate.grade {
            HealthGrade::Healthy(weight) => weight >= 1.0 || self.random.random_bool(weight),
            _ => false,
        });
        if warm.is_empty() {
            warm = available;
        }
        self.pick_best(warm)
    }

    /// A replica that is not healthy. An excluded one is chosen only if there is no other at all.
    fn pick_degraded(
        &mut self,
        candidates: &[ReplicaCandidate<'a>],
    ) -> Option<ReplicaCandidate<'a>> {
        let any_healthy = candidates.iter().any(is_healthy);
        for grade in [
            HealthGrade::Suspect,
            HealthGrade::Probing,
            HealthGrade::Excluded,
        ] {
            let mut available: CandidateList<'a> = candidates.iter().copied().collect();
            available.retain(|candidate| candidate.grade == grade && self.has_capacity(candidate));
            let chosen = self.pick_best(available);
            if chosen.is_some() {
                return chosen;
            }
            if any_healthy || candidates.iter().any(|candidate| candidate.grade == grade) {
                return None;
            }
        }
        None
    }

    /// The best replica of the nearest data centre, or one in another that is much faster even with
    /// the link.
    fn pick_best(&mut self, available: CandidateList<'a>) -> Option<ReplicaCandidate<'a>> {
        let size = available
            .iter()
            .map(|candidate| candidate.span.size())
            .max()?;
        let link_delay = available
            .iter()
            .map(|candidate| candidate.replica.link_delay)
            .min()?;
        let (mut near, mut far) = (available.clone(), available);
        near.retain(|candidate| {
            candidate.replica.link_delay == link_delay && candidate.span.size() == size
        });
        far.retain(|candidate| {
            candidate.replica.link_delay > link_delay && candidate.span.size() == size
        });
        let near = self.pick_better_of_two(&near);
        let far = self.pick_better_of_two(&far);
        match (near, far) {
            (Some(near), Some(far)) if self.cost(&far) * REMOTE_COST_FACTOR < self.cost(&near) => {
                Some(far)
            }
            (near, far) => near.or(far),
        }
    }

    /// Of two replicas sampled at random, the one with the lower cost.
    fn pick_better_of_two(
        &mut self,
        candidates: &[ReplicaCandidate<'a>],
    ) -> Option<ReplicaCandidate<'a>> {
        let sampled: SmallVec<[ReplicaCandidate<'a>; 2]> = candidates
            .choose_multiple(self.random, 2)
            .copied()
            .collect();
        sampled
            .into_iter()
            .min_by(|left, right| self.cost(left).total_cmp(&self.cost(right)))
    }

    fn cost(&self, candidate: &ReplicaCandidate<'a>) -> f64 {
        let group = self.group;
        candidate
            .replica
            .cost(self.now, group.slots(), group.median())
    }

    fn has_capacity(&self, candidate: &ReplicaCandidate<'a>) -> bool {
        let allowed = match candidate.grade {
            HealthGrade::Healthy(_) => candidate.replica.limit.allowed(self.group.share),
            _ => self.group.share.min(1),
        };
        candidate.replica.outstanding() < allowed
    }
}

/// Rank of a replica for a query, which is the same on all daemons.
fn rank(print: QueryPrint, vm: &VmName) -> u64 {
    let (high, low) = print.halves();
    xxhash_rust::xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), high ^ low)
}

fn is_healthy(candidate: &ReplicaCandidate<'_>) -> bool {
    matches!(candidate.grade, HealthGrade::Healthy(_))
}

/// Keeps the candidates that start with the first key that any replica which is not excluded
/// serves.
fn retain_first(candidates: &mut CandidateList<'_>) {
    let usable = candidates
        .iter()
        .filter(|candidate| candidate.grade != HealthGrade::Excluded);
    let first = usable.map(|candidate| candidate.span.start()).min();
    let first = first.or_else(|| {
        candidates
            .iter()
            .map(|candidate| candidate.span.start())
            .min()
    });
    candidates.retain(|candidate| Some(candidate.span.start()) == first);
}
