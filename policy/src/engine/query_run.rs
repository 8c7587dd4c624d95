//! State of one request from its arrival to its answer.

use std::{
    sync::Arc,
    time::Duration, //
};

use schema::{
    AttemptId,
    CoverageShare,
    DeploymentSpec,
    GroupSpec,
    KeySpan,
    QueryId,
    QueryPrint,
    SnapshotId,
    SpanSet,
    TimePoint,
    VmName,
    KEY_SPACE, //
};
use smallvec::SmallVec;

use super::{
    span_part::{
        PartState,
        SpanPart, //
    },
    AttemptFailure,
    QueryCall,
    QueryReason,
    ReplicaReply,
    ResultItem, //
};

/// Minimum time that in-flight attempts still get once minimum coverage can't be reached any more.
const MIN_STRAGGLER_WAIT: Duration = Duration::from_millis(1);

/// Stage of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RunStage {
    /// Waiting for admission.
    Queued,
    /// Waiting for the store to grant its claim.
    Claiming,
    /// Sub-queries are being sent.
    Running,
}

/// A request without an answer.
#[derive(Clone, Debug)]
pub(super) struct QueryRun {
    /// Identifier given by the daemon.
    pub(super) query: QueryId,
    /// The request as it arrived.
    pub(super) call: QueryCall,
    /// Bundle in force at arrival; the request finishes under it.
    pub(super) spec: Arc<DeploymentSpec>,
    /// Index of the group in `spec`.
    pub(super) spec_index: usize,
    /// Index of the group in the tracker, which also holds groups of earlier bundles.
    pub(super) group_index: usize,
    /// Fingerprint of the group and the body.
    pub(super) fingerprint: QueryPrint,
    /// Current stage.
    pub(super) stage: RunStage,
    /// Time of arrival.
    pub(super) arrived_at: TimePoint,
    /// Time of admission.
    pub(super) admitted_at: TimePoint,
    /// Latest time of the answer. It starts as the deadline and may be made earlier.
    pub(super) answer_by: TimePoint,
    /// Time for which the request's timer is set; `NEVER` if none is.
    pub(super) timer_at: TimePoint,
    /// Snapshot that the answer comes from; 0 until the first reply sets it.
    pub(super) snapshot: SnapshotId,
    /// Parts. New ones are only appended, so that indexes stay valid.
    pub(super) parts: Vec<SpanPart>,
    /// Keys covered by merged replies.
    pub(super) covered: SpanSet,
    /// Items of merged replies.
    pub(super) items: Vec<ResultItem>,
    /// Whether sub-queries are sent one at a time, until a replica has answered the query.
    pub(super) serial: bool,
    /// Whether no replica is known to have answered the query without crashing.
    pub(super) unproven: bool,
    /// Whether only the two designated replicas of each shard may receive the query, because it was
    /// not proven on arrival. This bounds the number of replicas that a query can crash.
    pub(super) designated_only: bool,
    /// Time before which no sub-query is sent.
    pub(super) hold_until: TimePoint,
    /// Whether replicas may have crashed while running the query. If so, there are no hedges, and
    /// no retries except after a failed connect.
    pub(super) suspect: bool,
    /// Whether the query has crashed replicas or is quarantined, so that nothing more is sent.
    pub(super) aborted: bool,
    /// Snapshots of earlier, restarted answers.
    pub(super) abandoned_snapshots: SmallVec<[SnapshotId; 2]>,
    /// Sub-queries sent, hedges and retries included.
    pub(super) sent: u32,
    /// Hedges and retries sent.
    pub(super) extra: u32,
    /// Attempts whose connection broke after the sub-query was sent.
    pub(super) broken_attempts: u32,
    /// VMs of the attempts counted in `broken_attempts`.
    pub(super) broken_replicas: SmallVec<[VmName; 2]>,
    /// When a connection last broke after the sub-query was sent.
    pub(super) last_broken_at: TimePoint,
    /// Whether an upstream may have run the request.
    pub(super) may_have_run: bool,
    /// Whether an upstream ran the request and reported a failure.
    pub(super) ran_failed: bool,
    /// Whether the store granted the claim of the idempotency key.
    pub(super) claimed: bool,
    /// Earliest due time of a part.
    pub(super) next_due: TimePoint,
    unsent: Vec<usize>,
    pending: usize,
    in_flight: usize,
    failed_keys: u32,
}

impl QueryRun {
    /// Creates the run of a request for the group at `spec_index` of `spec`.
    pub(super) fn new(
        query: QueryId,
        call: QueryCall,
        spec: Arc<DeploymentSpec>,
        spec_index: usize,
        group_index: usize,
        now: TimePoint,
    ) -> Self {
        let fingerprint = QueryPrint::of(&call.group, &call.body);
        Self {
            query,
            call,
            spec,
            spec_index,
            group_index,
            fingerprint,
            stage: RunStage::Queued,
            arrived_at: now,
            admitted_at: now,
            answer_by: now,
            timer_at: TimePoint::NEVER,
            snapshot: SnapshotId(0),
            parts: Vec::new(),
            covered: SpanSet::default(),
            items: Vec::new(),
            serial: false,
            unproven: false,
            designated_only: false,
            hold_until: now,
            suspect: false,
            aborted: false,
            abandoned_snapshots: SmallVec::new(),
            sent: 0,
            extra: 0,
            broken_attempts: 0,
            broken_replicas: SmallVec::new(),
            last_broken_at: TimePoint(0),
            may_have_run: false,
            ran_failed: false,
            claimed: false,
            next_due: TimePoint::NEVER,
            unsent: Vec::new(),
            pending: 0,
            in_flight: 0,
            failed_keys: 0,
        }
    }

    pub(super) fn group(&self) -> &GroupSpec {
        &self.spec.groups[self.spec_index]
    }

    /// Minimum coverage that the caller accepts: its own value, or the group's default.
    pub(super) fn min_coverage(&self) -> CoverageShare {
        let configured = self.group().policy.min_coverage;
        self.call.min_coverage.unwrap_or(configured)
    }

    /// Drops all results and starts again with one unsent part for each declared shard.
    pub(super) fn reset_parts(&mut self, snapshot: SnapshotId) {
        self.snapshot = snapshot;
        self.covered = SpanSet::default();
        self.items.clear();
        self.parts.clear();
        self.unsent.clear();
        self.next_due = TimePoint::NEVER;
        self.pending = 0;
        self.in_flight = 0;
        self.failed_keys = 0;
        let spec = Arc::clone(&self.spec);
        for shard in &spec.groups[self.spec_index].shards {
            self.add_part(SpanPart::new(shard.span, shard.span.start()));
        }
    }

    pub(super) fn add_part(&mut self, part: SpanPart) {
        self.pending += 1;
        self.unsent.push(self.parts.len());
        self.parts.push(part);
    }

    /// Marks a part as unsent.
    pub(super) fn mark_unsent(&mut self, index: usize) {
        self.parts[index].state = PartState::Unsent;
        self.unsent.push(index);
    }

    /// Marks a part as unsent if it was waiting for a replica, and returns whether it was.
    pub(super) fn unblock(&mut self, index: usize) -> bool {
        let was_waiting = self.is_waiting(index);
        if was_waiting {
            self.mark_unsent(index);
        }
        was_waiting
    }

    pub(super) fn is_waiting(&self, index: usize) -> bool {
        let part = self.parts.get(index);
        part.is_some_and(|part| part.state == PartState::Waiting)
    }

    /// Removes and returns the index of a part to be sent.
    pub(super) fn next_unsent(&mut self) -> Option<usize> {
        self.unsent.pop()
    }

    /// Sets the state of a part and the time at which it is due.
    pub(super) fn schedule(&mut self, index: usize, state: PartState, due: TimePoint) {
        self.parts[index].state = state;
        self.parts[index].due = due;
        self.next_due = self.next_due.min(due);
    }

    /// Whether the run ends now. `hedge_delay` is the hedge delay of the group: few sub-queries
    /// take longer. Makes `answer_by` earlier once minimum coverage can't be reached any more.
    pub(super) fn is_finished(&mut self, now: TimePoint, hedge_delay: Duration) -> bool {
        if self.aborted || self.pending == 0 || now >= self.answer_by {
            return true;
        }
        let min = self.min_coverage();
        if self.reachable() < min {
            if self.call.min_coverage.is_some() {
                return true;
            }
            let cutoff = self.admitted_at + hedge_delay + hedge_delay;
            self.answer_by = self.answer_by.min(cutoff.max(now + MIN_STRAGGLER_WAIT));
        }
        let goal = self.goal_at();
        now >= goal && self.coverage() >= min
    }

    /// Returns the time from which minimum coverage is enough, or never if that time has passed.
    pub(super) fn pending_goal(&self, now: TimePoint) -> TimePoint {
        let goal = self.goal_at();
        if goal > now {
            goal
        } else {
            TimePoint::NEVER
        }
    }

    /// Returns the time from which minimum coverage is enough, or never if the group has no goal.
    pub(super) fn goal_at(&self) -> TimePoint {
        let goal = self.group().policy.goal;
        goal.map_or(TimePoint::NEVER, |goal| self.arrived_at + goal)
    }

    /// Narrows a part to `span` and adds parts for the remaining keys.
    pub(super) fn narrow(&mut self, index: usize, span: KeySpan) {
        let part = &mut self.parts[index];
        let old_span = part.span;
        if old_span == span {
            return;
        }
        part.span = span;
        let shard_start = part.shard_start;
        let before = KeySpan::new(old_span.start(), span.start());
        let after = KeySpan::new(span.end(), old_span.end());
        for rest in [before, after].into_iter().flatten() {
            self.add_part(SpanPart::new(rest, shard_start));
        }
    }

    /// Returns the number of parts that may still be merged.
    pub(super) fn pending(&self) -> usize {
        self.pending
    }

    /// Returns the number of attempts in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of keys that are merged or may still be.
    pub(super) fn reachable_keys(&self) -> u32 {
        KEY_SPACE - self.failed_keys
    }

    /// Returns the merged share of the key space.
    pub(super) fn coverage(&self) -> CoverageShare {
        self.covered.share()
    }

    /// Returns the share of the key space that is merged or may still be.
    pub(super) fn reachable(&self) -> CoverageShare {
        let ppm = u64::from(self.reachable_keys()) * 1_000_000 / u64::from(KEY_SPACE);
        CoverageShare(u32::try_from(ppm).unwrap_or(0))
    }

    /// Adds an attempt to a part, which is then in flight.
    pub(super) fn add_attempt(&mut self, index: usize, attempt: AttemptId) {
        self.in_flight += 1;
        let part = &mut self.parts[index];
        part.attempts.push(attempt);
        part.state = PartState::Sent;
    }

    /// Removes an attempt from a part.
    pub(super) fn remove_attempt(&mut self, index: usize, attempt: AttemptId) {
        let part = &mut self.parts[index];
        let before = part.attempts.len();
        part.attempts.retain(|other| *other != attempt);
        self.in_flight -= before - part.attempts.len();
    }

    /// Counts an attempt that the caller has removed from its part.
    pub(super) fn count_removed_attempt(&mut self) {
        self.in_flight -= 1;
    }

    /// Fails every part without an attempt in flight.
    pub(super) fn fail_unsent(&mut self, reason: QueryReason) {
        self.unsent.clear();
        for index in 0..self.parts.len() {
            if self.parts[index].attempts.is_empty() {
                self.fail_part(index, reason);
            }
        }
    }

    /// Marks a part as failed; does nothing if it is merged or failed already.
    pub(super) fn fail_part(&mut self, index: usize, reason: QueryReason) {
        let part = &mut self.parts[index];
        if !part.is_pending() {
            return;
        }
        part.state = PartState::Failed;
        part.reason = reason;
        self.pending -= 1;
        self.failed_keys += part.span.size();
    }

    /// Merges the keys of `reply` that lie in a part and returns whether any of them was new. Keys
    /// that the reply leaves out go to new parts. Items outside the newly merged keys are dropped.
    pub(super) fn merge(&mut self, index: usize, reply: ReplicaReply) -> bool {
        let span = self.parts[index].span;
        let mut new_keys = reply.covered.intersection(&span.into());
        new_keys.subtract(&self.covered);
        if new_keys.is_empty() {
            return false;
        }
        for item in reply.items {
            if new_keys.contains(item.key) {
                self.items.push(item);
            }
        }
        self.covered.union(&new_keys);
        let part = &mut self.parts[index];
        part.state = PartState::Merged;
        let shard_start = part.shard_start;
        self.pending -= 1;
        let mut rest = SpanSet::from(span);
        rest.subtract(&new_keys);
        for span in rest.spans() {
            self.add_part(SpanPart::new(*span, shard_start));
        }
        true
    }

    /// Records whether a failed attempt ran, or may have run, the request.
    pub(super) fn record_failure(&mut self, sent: bool, failure: AttemptFailure) {
        match failure {
            AttemptFailure::RanFailed => self.ran_failed = true,
            AttemptFailure::BrokeAfter | AttemptFailure::BadReply => self.may_have_run = true,
            AttemptFailure::ConnectFailed | AttemptFailure::BrokeBefore => {
                self.may_have_run |= sent;
            }
            AttemptFailure::Shed
            | AttemptFailure::Draining
            | AttemptFailure::SnapshotGone
            | AttemptFailure::RangeGone
            | AttemptFailure::Late => {}
        }
    }
}
