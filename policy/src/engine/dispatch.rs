//! Sending the parts of a request: first attempts, retries, hedges and restarts.

use std::time::Duration;

use schema::{
    GroupMode,
    SnapshotId,
    TimePoint, //
};

use super::{
    attempt_record::AttemptRecord,
    attempt_tracker::AttemptTracker,
    query_run::QueryRun,
    span_part::PartState,
    AttemptFailure,
    EngineAction,
    QueryReason,
    ReplicaReply, //
};
use crate::{
    limits::AttemptUrgency,
    replicas::PickResult, //
};

/// Failures after which a part is not retried any more.
const MAX_PART_FAILURES: u32 = 6;
/// Delay before a part is sent to a replica that has already failed it, and after a broken
/// connection.
const RETRY_BACKOFF: Duration = Duration::from_millis(5);
/// Interval at which a part that waits for a replica is tried again even if none has become free.
const WAIT_RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Broken connections after which a query is sent to one replica at a time.
const BROKEN_BEFORE_SERIAL: u32 = 2;
/// Time in which a report of a replica crash reaches the other daemons. An unproven query is not
/// retried earlier.
const BROADCAST_PERIOD: Duration = Duration::from_millis(100);
/// Attempts that an unproven query may have in flight at once, hedges included.
const UNPROVEN_MAX_ATTEMPTS: usize = 2;
/// Age of a run, in hedge delays, from which an unproven query may exceed
/// [`UNPROVEN_MAX_ATTEMPTS`], because its attempts have had no reply.
const UNPROVEN_SILENT_DELAYS: u32 = 8;
/// Age of a part, in quarters of the hedge delay, from which its hedge may spend the reserved
/// tokens. Few sub-queries that are merely slow reach this age.
const OVERDUE_QUARTERS: u32 = 5;
/// Attempts at one part that may be in flight at once.
const MAX_PART_ATTEMPTS: usize = 5;
/// Checks per hedge delay of a part whose hedge could not be sent.
const HEDGE_CHECKS_PER_DELAY: u32 = 4;
/// Hedges are sent while at most one in this many parts is pending.
const HEDGED_PARTS_DIVISOR: usize = 4;
/// Restarts of one answer on another snapshot.
const MAX_RESTARTS: usize = 2;

/// Starts the sub-queries of `run`.
pub(super) fn begin(
    tracker: &mut AttemptTracker,
    now: TimePoint,
    run: &mut QueryRun,
    actions: &mut Vec<EngineAction>,
) {
    let snapshot = match run.group().mode {
        GroupMode::Scatter => tracker.choose_snapshot(now, run.group_index).snapshot,
        GroupMode::Single => SnapshotId(0),
    };
    run.reset_parts(snapshot);
    send_unsent(tracker, now, run, actions);
}

/// Sends the unsent parts of `run` until it has to wait.
pub(super) fn send_unsent(
    tracker: &mut AttemptTracker,
    now: TimePoint,
    run: &mut QueryRun,
    actions: &mut Vec<EngineAction>,
) {
    if now < run.hold_until {
        run.next_due = run.next_due.min(run.hold_until);
        return;
    }
    while may_send(run) {
        let Some(index) = run.next_unsent() else {
            return;
        };
        if run.parts[index].state == PartState::Unsent {
            send_part(tracker, now, run, index, actions);
        }
    }
}

/// Whether another part of `run` may be sent now. A query sent to one replica at a time waits after
/// a broken connection: sending a part of the next shard instead could crash replicas there too.
fn may_send(run: &QueryRun) -> bool {
    let is_blocked = || {
        run.parts.iter().any(|part| match part.state {
            PartState::Waiting => true,
            PartState::BackingOff => run.broken_attempts > 0,
            PartState::Unsent | PartState::Sent | PartState::Merged | PartState::Failed => false,
        })
    };
    !(run.aborted || run.serial && (run.in_flight() > 0 || is_blocked()))
}

fn send_part(
    tracker: &mut AttemptTracker,
    now: TimePoint,
    run: &mut QueryRun,
    index: usize,
    actions: &mut Vec<EngineAction>,
) {
    match tracker.pick(now, run, index) {
        PickResult::Picked(picked) => {
            run.narrow(index, picked.span);
            tracker.send(now, run, index, picked, false, actions);
        }
        PickResult::Busy => tracker.enqueue(run, index, now + WAIT_RECHECK_INTERVAL),
        PickResult::NoReplica(reason) if run.parts[index].tried.is_empty() => {
            fail_or_restart(tracker, now, run, index, reason, actions);
        }
        PickResult::NoReplica(_) => retry_tried(tracker, now, run, index, actions),
    }
}

/// Schedules a part for a replica that was tried before, or fails it if there is none.
fn retry_tried(
    tracker: &mut AttemptTracker,
    now: TimePoint,
    run: &mut QueryRun,
    index: usize,
    actions: &mut Vec<EngineAction>,
) {
    run.parts[index].tried.clear();
    match tracker.pick(now, run, index) {
        PickResult::NoReplica(reason) => fail_or_restart(tracker, now, run, index, reason, actions),
        PickResult::Picked(_) | PickResult::Busy => {
            run.schedule(index, PartState::BackingOff, now + RETRY_BACKOFF);
        }
    }
}

/// Fails a part. If no replica holds its snapshot any more, the answer restarts on a snapshot that
/// reaches more keys, if there is one.
fn fail_or_restart(
    tracker: &mut AttemptTracker,
    now: TimePoint,
    run: &mut QueryRun,
    index: usize,
    reason: QueryReason,
    actions: &mut Vec<EngineAction>,
) {
    run.fail_part(index, reason);
    if reason == QueryReason::SnapshotGone {
        restart(tracker, now, run, actions);
    }
}

fn restart(
    tracker: &mut AttemptTracker,
    now: TimePoint,
    run: &mut QueryRun,
    actions: &mut Vec<EngineAction>,
) {
    let hedge_delay = tracker.groups[run.group_index].hedge_delay();
    if run.abandoned_snapshots.len() >= MAX_RESTARTS || run.answer_by.since(now) < hedge_delay {
        return;
    }
    let Some(snapshot) = tracker.better_snapshot(now, run) else {
        return;
    };
    tracker.cancel_all(now, run, actions);
    tracker.groups[run.group_index].counts.restarts += 1;
    run.abandoned_snapshots.push(run.snapshot);
    run.may_have_run |= !run.covered.is_empty();
    run.reset_parts(snapshot);
}

/// Handles a reply and returns whether it was merged.
pub(super) fn accept_reply(
    tracker: &mut AttemptTracker,
    now: TimePoint,
    run: &mut QueryRun,
    record: &AttemptRecord,
    reply: ReplicaReply,
    actions: &mut Vec<EngineAction>,
) -> bool {
    let index = record.part;
    run.may_have_run = true;
    if reply.snapshot.0 == 0 && run.group().mode == GroupMode::Scatter {
        handle_failure(tracker, now, run, index, AttemptFailure::BadReply);
        return false;
    }
    if run.snapshot.0 != 0 && run.snapshot != reply.snapshot {
        run.parts[index].tried.retain(|vm| *vm != record.vm);
        handle_failure(tracker, now, run, index, AttemptFailure::SnapshotGone);
        return false;
    }
    let snapshot = reply.snapshot;
    if !run.merge(index, reply) {
        handle_failure(tracker, now, run, index, AttemptFailure::RangeGone);
        return false;
    }
    run.snapshot = snapshot;
    run.serial = run.suspect;
    run.unproven = false;
    for attempt in std::mem::take(&mut run.parts[index].attempts) {
        run.count_removed_attempt();
        tracker.cancel(now, attempt, run.group_index, true, actions);
    }
    true
}

/// Decides whether a part is retried or fails after one of its attempts failed.
pub(super) fn handle_failure(
    tracker: &mut AttemptTracker,
    now: TimePoint,
    run: &mut QueryRun,
    index: usize,
    failure: AttemptFailure,
) {
    let part = &mut run.parts[index];
    if !part.is_pending() || !part.attempts.is_empty() {
        return;
    }
    part.failures += 1;
    part.reason = reason_of(failure);
    let reason = part.reason;
    if run.aborted {
        return;
    }
    // After a failed connect no replica has received the query, so another one may still be tried.
    let no_retry = run.suspect && failure != AttemptFailure::ConnectFailed;
    if no_retry || part.failures >= MAX_PART_FAILURES || failure == AttemptFailure::Late {
        run.fail_part(index, reason);
        return;
    }
    match failure {
        AttemptFailure::Shed | AttemptFailure::RanFailed | AttemptFailure::BadReply => {
            run.parts[index].needs_token = true;
            retry(tracker, now, run, index);
        }
        AttemptFailure::BrokeAfter => {
            let backoff = if run.unproven {
                BROADCAST_PERIOD
            } else {
                RETRY_BACKOFF
            };
            let backoff = backoff.min(run.answer_by.since(now) / 4);
            run.schedule(index, PartState::BackingOff, now + backoff);
        }
        _ => run.mark_unsent(index),
    }
}

/// Marks a part as unsent, or postpones it until the budget has a token for it.
fn retry(tracker: &mut AttemptTracker, now: TimePoint, run: &mut QueryRun, index: usize) {
    let part = &mut run.parts[index];
    if !part.needs_token || tracker.spend_token(run.group_index, AttemptUrgency::Urgent) {
        part.needs_token = false;
        run.mark_unsent(index);
        return;
    }
    part.failures += 1;
    let (failures, reason) = (part.failures, part.reason);
    if failures >= MAX_PART_FAILURES {
        run.fail_part(index, reason);
        return;
    }
    let due = now + tracker.groups[run.group_index].hedge_delay();
    run.schedule(index, PartState::BackingOff, due);
}

/// Records that the connection of an attempt, sent at `ordered_at`, broke while it ran a part.
/// Aborts the query if the same part broke a connection before, or if the attempt was sent after
/// the previous break.
pub(super) fn record_break(
    run: &mut QueryRun,
    now: TimePoint,
    index: usize,
    ordered_at: TimePoint,
) {
    run.broken_attempts += 1;
    run.parts[index].broken_attempts += 1;
    let sent_after_break = run.broken_attempts > 1 && ordered_at >= run.last_broken_at;
    let repeated_break = sent_after_break || run.parts[index].broken_attempts > 1;
    run.last_broken_at = now;
    run.serial |= run.broken_attempts >= BROKEN_BEFORE_SERIAL;
    if repeated_break || run.suspect {
        abort(run, QueryReason::ConnectionLost);
    }
}

/// Stops sending a query and fails its unsent parts, so that it is answered at once.
pub(super) fn abort(run: &mut QueryRun, reason: QueryReason) {
    run.suspect = true;
    run.aborted = true;
    run.fail_unsent(reason);
}

/// Maps the failure of the last attempt at a part to the reason reported for its missing keys.
pub(super) fn reason_of(failure: AttemptFailure) -> QueryReason {
    match failure {
        AttemptFailure::ConnectFailed | AttemptFailure::BrokeBefore | AttemptFailure::Draining => {
            QueryReason::Unreachable
        }
        AttemptFailure::BrokeAfter => QueryReason::ConnectionLost,
        AttemptFailure::BadReply | AttemptFailure::RanFailed => QueryReason::UpstreamFailed,
        AttemptFailure::Shed => QueryReason::Shed,
        AttemptFailure::SnapshotGone => QueryReason::SnapshotGone,
        AttemptFailure::RangeGone => QueryReason::RangeMoved,
        AttemptFailure::Late => QueryReason::Deadline,
    }
}

/// Handles the due parts of `run`: hedges, retries, and parts that wait for a replica.
pub(super) fn handle_due_parts(
    tracker: &mut AttemptTracker,
    now: TimePoint,
    run: &mut QueryRun,
    actions: &mut Vec<EngineAction>,
) {
    run.next_due = TimePoint::NEVER;
    for index in 0..run.parts.len() {
        let part = &run.parts[index];
        let due = part.due;
        match part.state {
            PartState::Unsent | PartState::Merged | PartState::Failed => continue,
            _ if due > now => run.next_due = run.next_due.min(due),
            PartState::BackingOff => retry(tracker, now, run, index),
            PartState::Waiting => {
                tracker.dequeue(run, index);
                run.mark_unsent(index);
            }
            PartState::Sent => hedge(tracker, now, run, index, actions),
        }
    }
    send_unsent(tracker, now, run, actions);
}

fn hedge(
    tracker: &mut AttemptTracker,
    now: TimePoint,
    run: &mut QueryRun,
    index: usize,
    actions: &mut Vec<EngineAction>,
) {
    let delay = tracker.groups[run.group_index].hedge_delay();
    let in_flight = run.parts[index].attempts.len();
    if run.group().once || run.suspect || in_flight >= MAX_PART_ATTEMPTS {
        return;
    }
    run.schedule(index, PartState::Sent, now + delay / HEDGE_CHECKS_PER_DELAY);
    let age = now.since(run.admitted_at);
    if !may_hedge(run, age, delay) {
        return;
    }
    run.designated_only &= age < delay * UNPROVEN_SILENT_DELAYS;
    let quarter_delays = |count| delay * count / 4;
    let part_age = tracker.part_age(now, run, index);
    let urgency = if run.unproven || part_age >= quarter_delays(OVERDUE_QUARTERS) {
        AttemptUrgency::Urgent
    } else {
        AttemptUrgency::Ordinary
    };
    let picked = match tracker.pick(now, run, index) {
        PickResult::Picked(picked) => picked,
        PickResult::Busy => return,
        PickResult::NoReplica(_) => {
            // Every replica has been tried: the next check may choose one of them a second time.
            run.parts[index].tried.clear();
            return;
        }
    };
    if picked.span != run.parts[index].span || !tracker.spend_token(run.group_index, urgency) {
        return;
    }
    tracker.send(now, run, index, picked, true, actions);
}

/// Whether a run of `age` may send a hedge. A run of an unproven query may if few of its attempts
/// are in flight or they have had no reply for long. A run that is not serial may once few of its
/// parts are pending or it takes longer than two hedge delays.
fn may_hedge(run: &QueryRun, age: Duration, delay: Duration) -> bool {
    if run.serial {
        let may_add_attempt =
            run.in_flight() < UNPROVEN_MAX_ATTEMPTS || age >= delay * UNPROVEN_SILENT_DELAYS;
        return run.unproven && run.broken_attempts == 0 && may_add_attempt;
    }
    age >= delay * 2 || run.pending() <= run.parts.len().div_ceil(HEDGED_PARTS_DIVISOR)
}
