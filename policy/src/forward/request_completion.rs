//! Answers requests, sets their timers, and ends the attempts that are no longer needed.

use std::time::Duration;

use schema::{
    AttemptId,
    QueryId,
    RouteTarget,
    TimePoint, //
};

use super::{
    merge_records,
    pending_request::{
        PendingRequest,
        RelayState, //
    },
    request_part::PartState,
    ForwardAction,
    ForwardAnswer,
    ForwardEngine,
    RefusalReason, //
};

/// Time for which an attempt that is no longer needed may stay in flight if that costs its replica
/// less than a new connection. Most late replies arrive within it.
const UNNEEDED_ATTEMPT_GRACE: Duration = Duration::from_millis(300);
/// Work of a replica above which an unneeded attempt is cancelled. Cancelling closes the
/// connection, and opening a new one occupies a slot of the replica for about 6 ms.
const CONNECTION_COST: Duration = Duration::from_millis(10);
/// `retry_after` time sent for a request that was not sent for lack of connections or retry budget.
const UNSENT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Shortest `retry_after` time sent for a request that limits or rests of replicas hold back.
pub(super) const HELD_RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

impl ForwardEngine {
    /// Processes the requests whose timer is due and cancels the attempts that have expired.
    pub(super) fn on_timer(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        while let Some((at, query)) = self.request_timers.first().copied() {
            if at > now {
                break;
            }
            self.request_timers.pop_first();
            let Some(mut request) = self.requests.remove(&query) else {
                continue;
            };
            request.timer_at = TimePoint::NEVER;
            if now < request.answer_by {
                match request.relay {
                    RelayState::Direct => {
                        self.end_silent_branches(now, &mut request, actions);
                        self.process_due_parts(now, &mut request, actions);
                    }
                    RelayState::Waiting { .. } => self.send_relay(now, &mut request, actions),
                    RelayState::Unadmitted | RelayState::Sent { .. } | RelayState::Ended(_) => {}
                }
            }
            self.requests.insert(query, request);
            self.complete_or_schedule(now, query, actions);
        }
        while let Some((at, attempt)) = self.attempt_expiries.first().copied() {
            if at > now {
                return;
            }
            self.attempt_expiries.pop_first();
            self.cancel_attempt(now, attempt, actions);
        }
    }

    /// Answers a request if its answer is final; otherwise sets its next timer.
    pub(super) fn complete_or_schedule(
        &mut self,
        now: TimePoint,
        query: QueryId,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(request) = self.requests.get(&query) else {
            return;
        };
        if let Some(answer) = final_answer(now, request) {
            self.complete(now, query, answer, actions);
            return;
        }
        let at = request.next_check();
        if at == request.timer_at {
            return;
        }
        self.request_timers.remove(&(request.timer_at, query));
        self.request_timers.insert((at, query));
        if let Some(request) = self.requests.get_mut(&query) {
            request.timer_at = at;
        }
    }

    pub(super) fn complete(
        &mut self,
        now: TimePoint,
        query: QueryId,
        answer: ForwardAnswer,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(mut request) = self.requests.remove(&query) else {
            return;
        };
        self.request_timers.remove(&(request.timer_at, query));
        let not_run = match answer {
            ForwardAnswer::NotRun { .. } | ForwardAnswer::Declined { .. } => true,
            ForwardAnswer::Relayed { .. } => request.relay_not_run,
            ForwardAnswer::Merged { .. } | ForwardAnswer::Failed { .. } => false,
        };
        if not_run {
            let rates = &mut self.rates;
            self.admissions.give_back(now, &mut request, rates);
        }
        self.return_unsent_trial(now, &request, actions);
        self.cancel_relay(now, &request, actions);
        self.cancel_branches(&request, actions);
        self.intake.in_flight -= u32::from(request.terms.is_some());
        for part in &mut request.parts {
            self.dequeue(part);
        }
        let parts = request.parts.iter();
        let attempts = parts.flat_map(|part| part.in_flight.iter().map(|id| (part.service, *id)));
        for (service, attempt) in attempts {
            self.release_attempt(now, &request, service, attempt, actions);
        }
        actions.push(ForwardAction::Answer { query, answer });
    }

    /// Ends an attempt that `request` no longer needs: cancels it at once, or lets it finish within
    /// a grace period so that its connection can be reused.
    pub(super) fn release_attempt(
        &mut self,
        now: TimePoint,
        request: &PendingRequest,
        service: usize,
        attempt: AttemptId,
        actions: &mut Vec<ForwardAction>,
    ) {
        if !request.spec().idempotent || self.registry.median_latency(service) > CONNECTION_COST {
            self.cancel_attempt(now, attempt, actions);
            return;
        }
        let expires = request.answer_by.min(now + UNNEEDED_ATTEMPT_GRACE);
        if let Some(context) = self.attempts.get_mut(&attempt) {
            context.expires_at = expires;
            self.attempt_expiries.insert((expires, attempt));
        }
    }

    /// Drops a request whose caller has closed its connection, and cancels its attempts.
    pub(super) fn on_caller_gone(
        &mut self,
        now: TimePoint,
        query: QueryId,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(mut request) = self.requests.remove(&query) else {
            return;
        };
        self.request_timers.remove(&(request.timer_at, query));
        if !request.may_have_run() {
            let rates = &mut self.rates;
            self.admissions.give_back(now, &mut request, rates);
        }
        self.return_unsent_trial(now, &request, actions);
        self.cancel_relay(now, &request, actions);
        self.cancel_branches(&request, actions);
        self.intake.in_flight -= u32::from(request.terms.is_some());
        for part in &mut request.parts {
            self.dequeue(part);
        }
        for attempt in request.parts.iter().flat_map(|part| &part.in_flight) {
            self.cancel_attempt(now, *attempt, actions);
        }
    }
}

/// The answer to a request, or `None` while a better answer can still be expected.
fn final_answer(now: TimePoint, request: &PendingRequest) -> Option<ForwardAnswer> {
    match &request.relay {
        RelayState::Direct => {}
        RelayState::Ended(answer) => return Some(answer.clone()),
        RelayState::Unadmitted | RelayState::Waiting { .. } | RelayState::Sent { .. } => {
            return (now >= request.answer_by).then(|| failure_answer(now, request));
        }
    }
    let (done, open) = (request.done_parts(), request.open_parts());
    let enough = done >= request.needed;
    if enough && (open == 0 || now >= request.goal_at || now >= request.answer_by) {
        return Some(success_answer(request));
    }
    let cannot_succeed = done + open < request.needed;
    if !cannot_succeed && now < request.answer_by {
        return None;
    }
    if let Some(attempt) = request.parts.iter().find_map(|part| part.relayed) {
        if !request.is_gather() {
            return Some(ForwardAnswer::Relayed { attempt });
        }
    }
    Some(failure_answer(now, request))
}

fn success_answer(request: &PendingRequest) -> ForwardAnswer {
    let RouteTarget::Gather { top, .. } = request.spec().target else {
        let attempt = request.parts.iter().find_map(|part| part.relayed);
        return ForwardAnswer::Relayed {
            attempt: attempt.unwrap_or_default(),
        };
    };
    let mut shards = Vec::with_capacity(request.parts.len());
    let mut stamps = Vec::with_capacity(request.parts.len());
    let mut bodies = Vec::with_capacity(request.parts.len());
    for (index, part) in request.parts.iter().enumerate() {
        let PartState::Done { stamp, records } = &part.state else {
            continue;
        };
        shards.push(index as u32);
        stamps.push(stamp.clone());
        bodies.push(records);
    }
    ForwardAnswer::Merged {
        missing: request.parts.len() - stamps.len(),
        shards,
        records: merge_records(bodies.into_iter(), top),
        stamps,
    }
}

fn failure_answer(now: TimePoint, request: &PendingRequest) -> ForwardAnswer {
    if let (false, Some(until)) = (request.may_have_run(), request.refused_until) {
        return ForwardAnswer::NotRun {
            reason: RefusalReason::Quarantined,
            retry_after: until.since(now),
        };
    }
    if let (false, Some((until, reason))) = (request.may_have_run(), request.held_until) {
        return ForwardAnswer::NotRun {
            reason,
            retry_after: until.since(now).max(HELD_RETRY_AFTER_MIN),
        };
    }
    if !request.may_have_run() {
        let timed_out = now >= request.answer_by;
        return ForwardAnswer::NotRun {
            reason: if timed_out {
                RefusalReason::Overload
            } else {
                RefusalReason::NoReplica
            },
            retry_after: UNSENT_RETRY_AFTER,
        };
    }
    let reason = match now >= request.answer_by {
        _ if request.refused_until.is_some() => RefusalReason::Quarantined,
        true => RefusalReason::Deadline,
        false if request.is_gather() => RefusalReason::FewShards,
        false => RefusalReason::UpstreamFailed,
    };
    ForwardAnswer::Failed { reason }
}
