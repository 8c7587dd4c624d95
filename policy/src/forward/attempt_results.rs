//! Handles replies and failures of attempts: updates the health of replicas, and completes or
//! retries the parts of requests.

use schema::{
    AttemptId,
    TimePoint, //
};

use super::{
    forward_engine::AttemptContext,
    forward_reply::is_refusal,
    pending_request::PendingRequest,
    request_part::PartState,
    ForwardAction,
    ForwardEngine,
    ForwardFailure,
    ForwardReply,
    LoggedEvent, //
};

impl ForwardEngine {
    /// Handles the reply to an attempt.
    pub(super) fn on_reply(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        reply: ForwardReply,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(context) = self.end_attempt(attempt) else {
            return;
        };
        self.reach.record_reply(now);
        let latency = now.since(context.sent_at);
        if !reply.moved {
            self.record_reached(now, context.replica, actions);
        }
        self.record_statements(now, &context, &reply, actions);
        if reply.moved {
            // The address belongs to another replica by now: the directory entry is stale.
            self.registry.record_connect_failure(now, context.replica);
            self.registry
                .give_back_cold(now, context.replica, &mut self.rates);
        } else if reply.not_run || !reply.is_answer() {
            self.registry.record_failure(now, context.replica);
        } else {
            let (service_time, recovered) =
                self.registry.record_reply(now, context.replica, latency);
            if let Some(state) = self.routes.get_mut(&context.route) {
                state.latency.record(service_time);
            }
            if let Some(expected) = context.expected {
                let route = &context.route;
                self.registry
                    .record_work(now, context.replica, route, service_time, expected);
            }
            if let Some(record) = self
                .registry
                .records
                .get(&context.replica)
                .filter(|_| recovered)
            {
                actions.push(ForwardAction::Log(LoggedEvent::ReplicaRecovered {
                    replica: record.entry.name.clone(),
                    service: record.entry.service.clone(),
                }));
            }
        }
        self.forget_if_unused(now, context.replica, actions);
        let Some(mut request) = self.requests.remove(&context.query) else {
            return;
        };
        request.parts[context.part]
            .in_flight
            .retain(|known| *known != attempt);
        self.apply_reply(now, &mut request, &context, attempt, reply, actions);
        if matches!(request.parts[context.part].state, PartState::Done { .. }) {
            let service = request.parts[context.part].service;
            for other in std::mem::take(&mut request.parts[context.part].in_flight) {
                self.release_attempt(now, &request, service, other, actions);
            }
        }
        let query = request.query;
        self.requests.insert(query, request);
        self.complete_or_schedule(now, query, actions);
    }

    fn apply_reply(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        context: &AttemptContext,
        attempt: AttemptId,
        reply: ForwardReply,
        actions: &mut Vec<ForwardAction>,
    ) {
        let gather = request.is_gather();
        let max_attempts = request.max_attempts();
        let idempotent = request.spec().idempotent;
        let part = &mut request.parts[context.part];
        if part.state != PartState::Open {
            return;
        }
        if reply.not_run || reply.moved {
            let cause = if reply.moved { "moved" } else { "not_run" };
            self.log_failure(now, context, cause, Some(reply.status), actions);
            self.retry_part(now, request, context.part, actions);
            return;
        }
        part.executions += 1;
        let usable = reply.is_success() || (!gather && reply.is_answer());
        if usable {
            let signed = reply.stamp.is_some();
            self.dequeue(part);
            part.state = PartState::Done {
                stamp: reply.stamp.unwrap_or_default(),
                records: if gather {
                    reply.body
                } else {
                    Default::default()
                },
            };
            part.relayed = Some(attempt);
            if signed {
                self.record_success(now, request, context.part, actions);
                self.pass_trial(now, request, actions);
            }
            self.release_waiting(now, request, actions);
            return;
        }
        // A success without a signature does not come from the replica, and a refusal means to the caller
        // that nothing ran, which may be wrong.
        let refused = is_refusal(reply.status);
        let relayable = reply.status >= 500 && !refused;
        part.relayed = Some(attempt).filter(|_| relayable).or(part.relayed);
        let cause = if refused { "ran_refused" } else { "ran_failed" };
        self.log_failure(now, context, cause, Some(reply.status), actions);
        if idempotent && request.parts[context.part].executions < max_attempts {
            self.retry_part(now, request, context.part, actions);
            return;
        }
        if !request.parts[context.part].is_awaited() {
            request.parts[context.part].state = PartState::Failed;
        }
    }

    /// Handles an attempt that ended without a reply.
    pub(super) fn on_failure(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        failure: ForwardFailure,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(context) = self.end_attempt(attempt) else {
            return;
        };
        match failure {
            ForwardFailure::Unconnected => {
                self.registry.record_unreachable(now, context.replica);
                self.reach.record_connect(now, context.replica, false);
                if let Some((replica, service, period)) =
                    self.registry.record_connect_failure(now, context.replica)
                {
                    actions.push(ForwardAction::Log(LoggedEvent::ReplicaAvoided {
                        replica,
                        service,
                        period,
                    }));
                }
            }
            ForwardFailure::BrokenNew => {
                // Something between this daemon and the replicas may accept connections and close them.
                self.registry.record_unreachable(now, context.replica);
                self.reach.record_connect(now, context.replica, false);
                self.registry.record_failure(now, context.replica);
            }
            ForwardFailure::Broken | ForwardFailure::Garbled => {
                self.registry.record_failure(now, context.replica);
            }
        }
        self.log_failure(now, &context, failure.as_str(), None, actions);
        if failure.is_broken() {
            self.watch_broken_attempt(now, &context, failure, actions);
        }
        self.forget_if_unused(now, context.replica, actions);
        let Some(mut request) = self.requests.remove(&context.query) else {
            return;
        };
        let query = request.query;
        let max_attempts = request.max_attempts();
        let idempotent = request.spec().idempotent;
        let waits = failure.is_broken() && self.awaits_verdict(&request, &context);
        if let (ForwardFailure::Unconnected, Some(trial)) = (failure, &mut request.trial) {
            trial.sent = trial.passed;
        }
        let part = &mut request.parts[context.part];
        part.in_flight.retain(|known| *known != attempt);
        part.executions += u32::from(failure != ForwardFailure::Unconnected);
        let may_retry = failure == ForwardFailure::Unconnected
            || (idempotent && part.executions < max_attempts);
        let may_retry = may_retry && part.attempts_used() < max_attempts.max(1);
        if part.state == PartState::Open && may_retry && waits {
            let part = &mut request.parts[context.part];
            part.awaits_verdict = true;
            if part.in_flight.is_empty() {
                part.check_at = Self::verdict_deadline(now);
            }
        } else if part.state == PartState::Open && may_retry {
            self.retry_part(now, &mut request, context.part, actions);
        } else if part.state == PartState::Open && !part.is_awaited() {
            part.state = PartState::Failed;
        }
        self.requests.insert(query, request);
        self.complete_or_schedule(now, query, actions);
    }

    /// Sends a part whose attempt failed to another replica. Does nothing while another attempt is
    /// in flight and the limit on attempts allows no further one.
    fn retry_part(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        index: usize,
        actions: &mut Vec<ForwardAction>,
    ) {
        let part = &request.parts[index];
        let is_open = !part.in_flight.is_empty() || part.branch.is_some();
        if is_open && part.attempts_used() >= request.max_attempts() {
            return;
        }
        self.dispatch(now, request, index, "failed", actions);
    }

    fn log_failure(
        &self,
        now: TimePoint,
        context: &AttemptContext,
        cause: &'static str,
        status: Option<u16>,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.registry.records.get(&context.replica) else {
            return;
        };
        actions.push(ForwardAction::Log(LoggedEvent::AttemptFailed {
            query: context.query,
            service: record.entry.service.clone(),
            replica: record.entry.name.clone(),
            cause,
            status,
            age: now.since(context.sent_at),
            print: context.identity.caller_print(),
        }));
    }
}
