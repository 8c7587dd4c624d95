//! Sending of a request's parts: first attempts, retries, hedges and restarts.

use std::time::Duration;

use schema::{
    GroupMode,
    SnapshotId,
    TimePoint, //
};

use super::{
    attempt_desk::AttemptDesk,
    attempt_track::AttemptTrack,
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

/// Failures of one part after which it is given up.
const FAILURES_MAX: u32 = 6;
/// Wait before a part goes to a replica that has failed it, and after a replica was lost.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// Time after which a part that waits for a replica looks again without being called.
const BUSY_RECHECK: Duration = Duration::from_millis(20);
/// Replicas lost while running a query from which it goes to one replica at a time.
const BREAKS_PROBED: u32 = 2;
/// Time in which other daemons hear of a replica lost to a query.
const SPREAD_PERIOD: Duration = Duration::from_millis(100);
/// Replicas that may have a query which none is known to have survived, the hedge included.
const TRIAL_ATTEMPTS: usize = 2;
/// Age, in hedge delays, at which those replicas count as silent and another one may have it.
const TRIAL_SILENT: u32 = 8;
/// Age of a part, in quarters of the hedge delay, from which its hedge may take the last tokens:
/// few sub-queries that are merely slow get that old.
const HEDGE_OVERDUE: u32 = 5;
/// Attempts at one part that may be out together.
const ATTEMPTS_MAX: usize = 5;
/// Looks in one hedge delay at a part whose hedge could not go out.
const HEDGE_RECHECKS: u32 = 4;
/// Parts that may be hedged at once: one in this many of all parts.
const LAST_PARTS: usize = 4;
/// Times that an answer may be begun anew.
const RESTARTS_MAX: usize = 2;

/// Begins the sub-queries of `run`.
pub(super) fn begin(
    desk: &mut AttemptDesk,
    now: TimePoint,
    run: &mut QueryRun,
    actions: &mut Vec<EngineAction>,
) {
    let snapshot = match run.group().mode {
        GroupMode::Scatter => desk.choose(now, run.slot).snapshot,
        GroupMode::Single => SnapshotId(0),
    };
    run.begin(snapshot);
    launch(desk, now, run, actions);
}

/// Sends every part of `run` that is to be sent.
pub(super) fn launch(
    desk: &mut AttemptDesk,
    now: TimePoint,
    run: &mut QueryRun,
    actions: &mut Vec<EngineAction>,
) {
    if now < run.hold_until {
        run.next_due = run.next_due.min(run.hold_until);
        return;
    }
    while may_send(run) {
        let Some(index) = run.next_open() else {
            return;
        };
        if run.parts[index].state == PartState::Open {
            launch_part(desk, now, run, index, actions);
        }
    }
}

/// Whether another part of `run` may go out now. A trial waits where its replicas have just been
/// lost, else it would cost those of the next shard too.
fn may_send(run: &QueryRun) -> bool {
    let waits = || {
        run.parts.iter().any(|part| match part.state {
            PartState::Busy => true,
            PartState::Paused => run.breaks > 0,
            PartState::Open | PartState::Running | PartState::Heard | PartState::Lost => false,
        })
    };
    !(run.condemned || run.probing && (run.out() > 0 || waits()))
}

fn launch_part(
    desk: &mut AttemptDesk,
    now: TimePoint,
    run: &mut QueryRun,
    index: usize,
    actions: &mut Vec<EngineAction>,
) {
    match desk.pick(now, run, index) {
        PickResult::Picked(picked) => {
            run.narrow(index, picked.span);
            desk.send(now, run, index, picked, false, actions);
        }
        PickResult::Busy => desk.wait(run, index, now + BUSY_RECHECK),
        PickResult::Missing(reason) if run.parts[index].tried.is_empty() => {
            give_up(desk, now, run, index, reason, actions);
        }
        PickResult::Missing(_) => look_again(desk, now, run, index, actions),
    }
}

/// Sees whether a replica that was tried before would do.
fn look_again(
    desk: &mut AttemptDesk,
    now: TimePoint,
    run: &mut QueryRun,
    index: usize,
    actions: &mut Vec<EngineAction>,
) {
    run.parts[index].tried.clear();
    match desk.pick(now, run, index) {
        PickResult::Missing(reason) => give_up(desk, now, run, index, reason, actions),
        PickResult::Picked(_) | PickResult::Busy => {
            run.rest(index, PartState::Paused, now + RETRY_PAUSE);
        }
    }
}

/// Gives a part up, or begins the answer anew where another snapshot reaches more keys.
fn give_up(
    desk: &mut AttemptDesk,
    now: TimePoint,
    run: &mut QueryRun,
    index: usize,
    reason: QueryReason,
    actions: &mut Vec<EngineAction>,
) {
    run.lose(index, reason);
    if reason == QueryReason::SnapshotGone {
        restart(desk, now, run, actions);
    }
}

fn restart(
    desk: &mut AttemptDesk,
    now: TimePoint,
    run: &mut QueryRun,
    actions: &mut Vec<EngineAction>,
) {
    let needed = desk.groups[run.slot].hedge_delay();
    if run.left.len() >= RESTARTS_MAX || run.close_at.since(now) < needed {
        return;
    }
    let Some(snapshot) = desk.better(now, run) else {
        return;
    };
    desk.clear(now, run, actions);
    desk.groups[run.slot].counts.restarts += 1;
    run.left.push(run.snapshot);
    run.may_have_run |= !run.heard.is_empty();
    run.begin(snapshot);
}

/// Takes a reply in. True where it was merged.
pub(super) fn accept(
    desk: &mut AttemptDesk,
    now: TimePoint,
    run: &mut QueryRun,
    track: &AttemptTrack,
    reply: ReplicaReply,
    actions: &mut Vec<EngineAction>,
) -> bool {
    let index = track.part;
    run.may_have_run = true;
    if reply.snapshot.0 == 0 && run.group().mode == GroupMode::Scatter {
        fail(desk, now, run, index, AttemptFailure::BadReply);
        return false;
    }
    if run.snapshot.0 != 0 && run.snapshot != reply.snapshot {
        run.parts[index].tried.retain(|vm| *vm != track.vm);
        fail(desk, now, run, index, AttemptFailure::SnapshotGone);
        return false;
    }
    let snapshot = reply.snapshot;
    if !run.merge(index, reply) {
        fail(desk, now, run, index, AttemptFailure::RangeGone);
        return false;
    }
    run.snapshot = snapshot;
    run.probing = run.suspect;
    run.trial = false;
    for attempt in std::mem::take(&mut run.parts[index].attempts) {
        run.forget_attempt();
        desk.cancel(now, attempt, run.slot, true, actions);
    }
    true
}

/// Decides what becomes of a part whose attempt failed.
pub(super) fn fail(
    desk: &mut AttemptDesk,
    now: TimePoint,
    run: &mut QueryRun,
    index: usize,
    failure: AttemptFailure,
) {
    let part = &mut run.parts[index];
    if !part.is_live() || !part.attempts.is_empty() {
        return;
    }
    part.failures += 1;
    part.reason = reason_of(failure);
    let reason = part.reason;
    if run.condemned {
        return;
    }
    // No replica had the query where none could be reached: another one may still try it.
    let final_try = run.suspect && failure != AttemptFailure::ConnectFailed;
    if final_try || part.failures >= FAILURES_MAX || failure == AttemptFailure::Late {
        run.lose(index, reason);
        return;
    }
    match failure {
        AttemptFailure::Shed | AttemptFailure::RanFailed | AttemptFailure::BadReply => {
            run.parts[index].owes = true;
            retry(desk, now, run, index);
        }
        AttemptFailure::BrokeAfter => {
            let pause = if run.trial {
                SPREAD_PERIOD
            } else {
                RETRY_PAUSE
            };
            let pause = pause.min(run.close_at.since(now) / 4);
            run.rest(index, PartState::Paused, now + pause);
        }
        _ => run.reopen(index),
    }
}

/// Sends a part again, or lets it rest until the budget has a token for it.
fn retry(desk: &mut AttemptDesk, now: TimePoint, run: &mut QueryRun, index: usize) {
    let part = &mut run.parts[index];
    if !part.owes || desk.spend(run.slot, AttemptUrgency::Urgent) {
        part.owes = false;
        run.reopen(index);
        return;
    }
    part.failures += 1;
    let (failures, reason) = (part.failures, part.reason);
    if failures >= FAILURES_MAX {
        run.lose(index, reason);
        return;
    }
    let due = now + desk.groups[run.slot].hedge_delay();
    run.rest(index, PartState::Paused, due);
}

/// Notes that a replica was lost while it ran a part that it got at `ordered`. A query that has lost
/// a replica to the same part, or before this one got it, is given up.
pub(super) fn note_break(run: &mut QueryRun, now: TimePoint, index: usize, ordered: TimePoint) {
    run.breaks += 1;
    run.parts[index].breaks += 1;
    let after = run.breaks > 1 && ordered >= run.last_break;
    let again = after || run.parts[index].breaks > 1;
    run.last_break = now;
    run.probing |= run.breaks >= BREAKS_PROBED;
    if again || run.suspect {
        condemn(run, QueryReason::ConnectionLost);
    }
}

/// Gives a query up: nothing of it is sent any more, and its answer leaves at once.
pub(super) fn condemn(run: &mut QueryRun, reason: QueryReason) {
    run.suspect = true;
    run.condemned = true;
    run.lose_unsent(reason);
}

/// Why a part is missing whose last attempt failed so.
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

/// Looks after the parts of `run` that are due.
pub(super) fn wake(
    desk: &mut AttemptDesk,
    now: TimePoint,
    run: &mut QueryRun,
    actions: &mut Vec<EngineAction>,
) {
    run.next_due = TimePoint::NEVER;
    for index in 0..run.parts.len() {
        let part = &run.parts[index];
        let due = part.due;
        match part.state {
            PartState::Open | PartState::Heard | PartState::Lost => continue,
            _ if due > now => run.next_due = run.next_due.min(due),
            PartState::Paused => retry(desk, now, run, index),
            PartState::Busy => {
                desk.unwait(run, index);
                run.reopen(index);
            }
            PartState::Running => hedge(desk, now, run, index, actions),
        }
    }
    launch(desk, now, run, actions);
}

fn hedge(
    desk: &mut AttemptDesk,
    now: TimePoint,
    run: &mut QueryRun,
    index: usize,
    actions: &mut Vec<EngineAction>,
) {
    let delay = desk.groups[run.slot].hedge_delay();
    let out = run.parts[index].attempts.len();
    if run.group().once || run.suspect || out >= ATTEMPTS_MAX {
        return;
    }
    run.rest(index, PartState::Running, now + delay / HEDGE_RECHECKS);
    let age = now.since(run.admitted);
    if !may_hedge(run, age, delay) {
        return;
    }
    run.paired &= age < delay * TRIAL_SILENT;
    let quarters = |count| delay * count / 4;
    let waited = desk.part_age(now, run, index);
    let urgency = if run.trial || waited >= quarters(HEDGE_OVERDUE) {
        AttemptUrgency::Urgent
    } else {
        AttemptUrgency::Ordinary
    };
    let picked = match desk.pick(now, run, index) {
        PickResult::Picked(picked) => picked,
        PickResult::Busy => return,
        PickResult::Missing(_) => {
            // Every replica has it: the next look may choose one a second time.
            run.parts[index].tried.clear();
            return;
        }
    };
    if picked.span != run.parts[index].span || !desk.spend(run.slot, urgency) {
        return;
    }
    desk.send(now, run, index, picked, true, actions);
}

/// Whether a run of `age` may have a hedge: in a trial while it is on few replicas or they are
/// silent, after it where few parts are missing or the run is late.
fn may_hedge(run: &QueryRun, age: Duration, delay: Duration) -> bool {
    if run.probing {
        let room = run.out() < TRIAL_ATTEMPTS || age >= delay * TRIAL_SILENT;
        return run.trial && run.breaks == 0 && room;
    }
    age >= delay * 2 || run.live() <= run.parts.len().div_ceil(LAST_PARTS)
}
