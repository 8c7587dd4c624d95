//! Ends of requests.

use std::time::Duration;

use schema::{
    AttemptId,
    QueryId,
    RouteTarget,
    TimePoint, //
};

use super::{
    merge_records,
    pending_request::ForwardRun,
    request_part::PartState,
    ForwardAction,
    ForwardAnswer,
    ForwardEngine,
    RefusalReason, //
};

/// Time for which an attempt that is not needed any more may go on, where that costs its replica
/// less than a new connection: most late replies come within it.
const LINGER: Duration = Duration::from_millis(300);
/// Work that a new connection costs a replica: the set-up holds a slot for some 6 ms.
const CONNECTION_WORK: Duration = Duration::from_millis(10);
/// When to ask again for what was not sent for lack of connections or budget.
const RETRY_BUSY: Duration = Duration::from_millis(100);

impl ForwardEngine {
    /// Ends the requests and attempts that are due.
    pub(super) fn fire(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        while let Some((at, query)) = self.timers.first().copied() {
            if at > now {
                break;
            }
            self.timers.pop_first();
            let Some(mut run) = self.runs.remove(&query) else {
                continue;
            };
            run.wake_at = TimePoint::NEVER;
            if now < run.close_at {
                self.wake(now, &mut run, actions);
            }
            self.runs.insert(query, run);
            self.settle(now, query, actions);
        }
        while let Some((at, attempt)) = self.expiries.first().copied() {
            if at > now {
                return;
            }
            self.expiries.pop_first();
            self.cancel(now, attempt, actions);
        }
    }

    /// Answers a request that has all it can get, or sets its next timer.
    pub(super) fn settle(
        &mut self,
        now: TimePoint,
        query: QueryId,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(run) = self.runs.get(&query) else {
            return;
        };
        if let Some(answer) = answer_of(now, run) {
            self.finish(now, query, answer, actions);
            return;
        }
        let at = run.next_due();
        if at == run.wake_at {
            return;
        }
        self.timers.remove(&(run.wake_at, query));
        self.timers.insert((at, query));
        if let Some(run) = self.runs.get_mut(&query) {
            run.wake_at = at;
        }
    }

    fn finish(
        &mut self,
        now: TimePoint,
        query: QueryId,
        answer: ForwardAnswer,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(mut run) = self.runs.remove(&query) else {
            return;
        };
        self.timers.remove(&(run.wake_at, query));
        for part in &mut run.parts {
            self.unwait(part);
        }
        let parts = run.parts.iter();
        let open = parts.flat_map(|part| part.out.iter().map(|attempt| (part.service, *attempt)));
        for (service, attempt) in open {
            self.let_go(now, &run, service, attempt, actions);
        }
        actions.push(ForwardAction::Answer { query, answer });
    }

    /// Ends an attempt of `run` that is not needed any more, at once or after a while.
    pub(super) fn let_go(
        &mut self,
        now: TimePoint,
        run: &ForwardRun,
        service: usize,
        attempt: AttemptId,
        actions: &mut Vec<ForwardAction>,
    ) {
        if !run.spec().idempotent || self.fleet.usual(service) > CONNECTION_WORK {
            self.cancel(now, attempt, actions);
            return;
        }
        let expires = run.close_at.min(now + LINGER);
        if let Some(track) = self.tracks.get_mut(&attempt) {
            track.expires = expires;
            self.expiries.insert((expires, attempt));
        }
    }

    /// Ends the work for a caller that has left.
    pub(super) fn abandon(
        &mut self,
        now: TimePoint,
        query: QueryId,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(mut run) = self.runs.remove(&query) else {
            return;
        };
        self.timers.remove(&(run.wake_at, query));
        for part in &mut run.parts {
            self.unwait(part);
        }
        for attempt in run.parts.iter().flat_map(|part| &part.out) {
            self.cancel(now, *attempt, actions);
        }
    }
}

/// The answer to a request, once nothing better is worth waiting for.
fn answer_of(now: TimePoint, run: &ForwardRun) -> Option<ForwardAnswer> {
    let (done, open) = (run.done(), run.open());
    let enough = done >= run.needed;
    if enough && (open == 0 || now >= run.goal_at || now >= run.close_at) {
        return Some(success_of(run));
    }
    let hopeless = done + open < run.needed;
    if !hopeless && now < run.close_at {
        return None;
    }
    if let Some(attempt) = run.parts.iter().find_map(|part| part.relayed) {
        if !run.is_gather() {
            return Some(ForwardAnswer::Relayed { attempt });
        }
    }
    Some(failure_of(now, run))
}

fn success_of(run: &ForwardRun) -> ForwardAnswer {
    let RouteTarget::Gather { top, .. } = run.spec().target else {
        let attempt = run.parts.iter().find_map(|part| part.relayed);
        return ForwardAnswer::Relayed {
            attempt: attempt.unwrap_or_default(),
        };
    };
    let mut stamps = Vec::with_capacity(run.parts.len());
    let mut bodies = Vec::with_capacity(run.parts.len());
    for part in &run.parts {
        let PartState::Done { stamp, records } = &part.state else {
            continue;
        };
        stamps.push(stamp.clone());
        bodies.push(records);
    }
    ForwardAnswer::Merged {
        missing: run.parts.len() - stamps.len(),
        records: merge_records(bodies.into_iter(), top),
        stamps,
    }
}

fn failure_of(now: TimePoint, run: &ForwardRun) -> ForwardAnswer {
    if !run.may_have_run() {
        let waited = now >= run.close_at;
        return ForwardAnswer::NotRun {
            reason: if waited {
                RefusalReason::Overload
            } else {
                RefusalReason::NoReplica
            },
            retry_after: RETRY_BUSY,
        };
    }
    let reason = match now >= run.close_at {
        true => RefusalReason::Deadline,
        false if run.is_gather() => RefusalReason::FewShards,
        false => RefusalReason::UpstreamFailed,
    };
    ForwardAnswer::Failed { reason }
}
