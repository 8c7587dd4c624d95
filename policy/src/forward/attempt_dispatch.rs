//! Sends attempts to replicas, hedges and retries them, and cancels them.

use std::time::Duration;

use schema::{
    AttemptId,
    TimePoint, //
};

use super::{
    cold_replicas::wait_for_warm,
    forward_engine::AttemptContext,
    pending_request::PendingRequest,
    replica_record::SentAttempt,
    request_part::{
        PartState,
        RequestPart, //
    },
    ForwardAction,
    ForwardEngine,
    LoggedEvent,
    PickOutcome,
    QueuedPart,
    RefusalReason,
    ReplicaKey,
    SendCommand, //
};

/// Time after which a part that could not be sent is tried again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time for which a part without attempts in flight waits for the retry budget, also on a
/// route without a latency goal.
const BUDGET_WAIT_MAX: Duration = Duration::from_secs(1);

/// Ratio of the hedge delay to the expected completion at the replica.
const HEDGE_EXPECTED_FACTOR: f64 = 2.0;
/// Longest hedge delay by the expected completion, as a share of the time left until the goal.
const HEDGE_WAIT_SHARE: f64 = 0.5;

impl ForwardEngine {
    /// Sends a new request to a replica of each of its services, or hands shards to delegates. One under
    /// suspicion stays at this daemon, which waits for the first reply.
    pub(super) fn send_first(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        let mut indexes = 0..request.parts.len();
        if !indexes.any(|index| self.is_suspect(request, index)) {
            self.send_branches(now, request, actions);
        }
        let sent = request.terms.is_some_and(|terms| terms.sent);
        let cause = if sent { "failed" } else { "first" };
        for index in 0..request.parts.len() {
            let part = &mut request.parts[index];
            if part.state != PartState::Open || part.branch.is_some() {
                continue;
            }
            part.sent = sent;
            self.dispatch(now, request, index, cause, actions);
        }
    }

    /// Sends part `index` of `request` to a replica. If the best replica has no free connection the
    /// part is queued; if the retry budget is used up it is tried again later. `cause` is the
    /// reason for the attempt: `first`, `late` (a hedge) or `failed` (a retry).
    pub(super) fn dispatch(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        index: usize,
        cause: &'static str,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.hand_over(now, request, index, actions) {
            return;
        }
        if self.stop_crashing(request, index, actions) || self.end_used_trial(request, index) {
            return;
        }
        if self.waits_for_canary(request, index) {
            request.parts[index].check_at = now + RECHECK_INTERVAL;
            return;
        }
        if self.retry_waits(now, request, index) {
            request.parts[index].check_at = now + RECHECK_INTERVAL;
            return;
        }
        let service = request.parts[index].service;
        let reserved = request.parts[index].reserved.take();
        let prepaid = reserved.filter(|key| {
            self.registry.has_room(now, *key)
                && self.registry.admit_cold(now, *key, &mut self.rates)
        });
        if let (Some(key), None) = (reserved, prepaid) {
            self.registry.limits.give_back(key);
        }
        let held_back = match request.parts[index].sent || reserved.is_some() {
            true => None,
            false => {
                let route = &request.spec().name;
                self.registry
                    .held_back(now, service, route, &request.placement)
            }
        };
        let part = &request.parts[index];
        let outcome = match prepaid {
            Some(key) => PickOutcome::Picked(key),
            None => self.registry.pick_for(
                now,
                service,
                Some(&request.spec().name),
                &request.placement,
                &part.tried,
                &mut self.rates,
            ),
        };
        let key = match outcome {
            PickOutcome::Picked(key) => key,
            PickOutcome::Busy => {
                self.enqueue(request, index);
                return;
            }
            PickOutcome::Limited(key, wait) => {
                self.wait_for_limit(now, request, index, (key, wait), actions);
                return;
            }
            PickOutcome::Cold => {
                wait_for_warm(now, request, index);
                return;
            }
            PickOutcome::NoReplica => {
                self.handle_no_replica(now, request, index);
                return;
            }
        };
        let extra = part.sent;
        let late = now >= request.goal_at;
        if extra && !self.registry.spend_budget(now, service, late) {
            if let Some(key) = prepaid {
                self.registry.limits.give_back(key);
            }
            self.registry.give_back_cold(now, key, &mut self.rates);
            wait_for_budget(now, request, index);
            return;
        }
        if !extra {
            self.registry.services[service]
                .budget
                .record_first_attempt(now);
        }
        if let Some(passed_over) = held_back {
            self.log_held_back(now, request.query, passed_over, "elsewhere", actions);
        }
        if prepaid.is_none() {
            self.registry.limits.take(now, key);
        }
        self.send_attempt(now, request, index, key, cause, actions);
    }

    /// Puts a part into the queue of its service. A reply to an attempt of the part that is still
    /// in flight is accepted meanwhile.
    fn enqueue(&mut self, request: &mut PendingRequest, index: usize) {
        let queued_part = QueuedPart {
            arrived: request.arrived,
            goal_at: request.goal_at,
            query: request.query,
            part: index,
        };
        let part = &mut request.parts[index];
        part.check_at = TimePoint::NEVER;
        part.queued = Some(queued_part);
        self.registry.services[part.service].queue.push(queued_part);
    }

    /// Removes a part from the queue of its service, and gives up the token that is reserved for it.
    pub(super) fn dequeue(&mut self, part: &mut RequestPart) {
        if let Some(key) = part.reserved.take() {
            self.registry.limits.give_back(key);
        }
        if let Some(queued_part) = part.queued.take() {
            self.registry.services[part.service]
                .queue
                .remove(&queued_part);
        }
    }

    /// Dispatches queued parts of the services in which a replica has a free connection again.
    pub(super) fn serve_queues(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        while let Some(service) = self.freed_services.pop() {
            while let Some(queued_part) = self.registry.services[service].queue.next(now) {
                self.registry.services[service].queue.remove(&queued_part);
                let Some(mut request) = self.requests.remove(&queued_part.query) else {
                    continue;
                };
                request.parts[queued_part.part].queued = None;
                if request.parts[queued_part.part].state != PartState::Open {
                    self.requests.insert(queued_part.query, request);
                    continue;
                }
                let cause = match request.parts[queued_part.part].sent {
                    true => "failed",
                    false => "first",
                };
                self.dispatch(now, &mut request, queued_part.part, cause, actions);
                let still_queued = request.parts[queued_part.part].queued.is_some();
                self.requests.insert(queued_part.query, request);
                self.complete_or_schedule(now, queued_part.query, actions);
                if still_queued {
                    break;
                }
            }
        }
    }

    /// Handles a part for which no usable replica is left that has not been tried. The part waits
    /// for its attempts in flight; without any, it is tried again or fails.
    fn handle_no_replica(&mut self, now: TimePoint, request: &mut PendingRequest, index: usize) {
        let part = &mut request.parts[index];
        part.check_at = TimePoint::NEVER;
        if part.is_awaited() {
            return;
        }
        // Earlier replicas may be tried again: a replica whose connection broke may serve the next
        // attempt on a new connection.
        if part.executions < request.max_attempts()
            && self.registry.has_usable_replica(
                now,
                request.parts[index].service,
                &request.placement,
            )
        {
            request.parts[index].tried.clear();
            request.parts[index].check_at = now + RECHECK_INTERVAL;
            return;
        }
        if let Some(until) =
            self.registry
                .rest_end(now, request.parts[index].service, &request.placement)
        {
            request.hold_until(until, RefusalReason::Resting);
        }
        request.parts[index].state = PartState::Failed;
    }

    /// Time after which an attempt is hedged, not counting the network round trip: the delay of the route,
    /// and longer where a reply is expected later.
    fn hedge_delay(
        &self,
        now: TimePoint,
        request: &PendingRequest,
        service: usize,
        sent: &SentAttempt,
    ) -> Duration {
        let by_work = self.registry.services[service].reports_load;
        if !self.registry.settings.work.hedges || !by_work {
            return request.hedge_delay;
        }
        let expected = Duration::from_secs_f64(f64::from(sent.expected_ms) / 1000.0);
        let longest = request.goal_at.since(now).mul_f64(HEDGE_WAIT_SHARE);
        let delay = expected.mul_f64(HEDGE_EXPECTED_FACTOR);
        delay.min(longest).max(request.hedge_delay)
    }

    fn send_attempt(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        index: usize,
        key: ReplicaKey,
        cause: &'static str,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.registry.records.get(&key) else {
            return;
        };
        let (name, address) = (record.entry.name.clone(), record.entry.address);
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let extra = request.parts[index].sent;
        if extra {
            let state = &self.registry.services[request.parts[index].service];
            actions.push(ForwardAction::Log(LoggedEvent::ExtraAttemptSent {
                query: request.query,
                service: state.name.clone(),
                replica: name.clone(),
                cause,
                age: now.since(request.arrived),
                budget_left: state.budget.remaining() as u32,
            }));
        }
        self.record_suspect_send(now, request, index, key, actions);
        let service = request.parts[index].service;
        let route = &request.spec().name;
        let (sent, expected) = self.registry.expected_attempt(now, key, attempt, route);
        self.registry.record_send(key, sent);
        let hedge_delay = self.hedge_delay(now, request, service, &sent);
        let part = &mut request.parts[index];
        part.sent = true;
        part.tried.push(key);
        part.in_flight.push(attempt);
        part.check_at = now + hedge_delay + self.registry.round_trip(key);
        self.reach.record_send(now, key);
        self.attempts.insert(
            attempt,
            AttemptContext {
                query: request.query,
                part: index,
                identity: request.identity,
                replica: key,
                route: request.spec().name.clone(),
                sent_at: now,
                expected,
                expires_at: TimePoint::NEVER,
            },
        );
        actions.push(ForwardAction::Send(SendCommand {
            attempt,
            query: request.query,
            replica: key,
            name,
            address,
            deadline: request.answer_by,
            extra,
            far: self.registry.is_seldom_used(key),
        }));
    }

    /// Processes the parts of `request` whose check is due: sends a hedge where an attempt is late,
    /// and dispatches parts without an attempt in flight.
    pub(super) fn process_due_parts(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        for index in 0..request.parts.len() {
            let part = &request.parts[index];
            if part.state != PartState::Open || part.check_at > now {
                continue;
            }
            if part.in_flight.is_empty() {
                let cause = if part.sent { "failed" } else { "first" };
                self.dispatch(now, request, index, cause, actions);
                continue;
            }
            if !request.spec().idempotent || part.attempts_used() >= request.max_attempts() {
                request.parts[index].check_at = TimePoint::NEVER;
                continue;
            }
            if self.is_suspect(request, index) {
                // It runs on one replica at a time, which it may crash.
                request.parts[index].check_at = now + RECHECK_INTERVAL;
                continue;
            }
            self.dispatch(now, request, index, "late", actions);
        }
    }

    /// Cancels an attempt and counts the time without a reply against its replica.
    pub(super) fn cancel_attempt(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(context) = self.end_attempt(attempt) else {
            return;
        };
        actions.push(ForwardAction::Cancel { attempt });
        if self.registry.record_abandoned(
            now,
            context.replica,
            now.since(context.sent_at),
            context.expected.as_ref(),
        ) {
            let replica = context.replica;
            actions.push(ForwardAction::CloseIdle { replica });
        }
        self.forget_if_unused(now, context.replica, actions);
    }

    /// Removes an attempt from the engine and from the attempts in flight of its replica.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId) -> Option<AttemptContext> {
        let context = self.attempts.remove(&attempt)?;
        self.attempt_expiries.remove(&(context.expires_at, attempt));
        if let Some(record) = self.registry.records.get_mut(&context.replica) {
            record.record_end(attempt);
            if !self.registry.services[record.service].queue.is_empty() {
                self.freed_services.push(record.service);
            }
        }
        Some(context)
    }
}

/// Handles a part for which the retry budget allows no further attempt. The part waits for its
/// attempts in flight; without any, it waits for the budget until the latency goal of its request
/// and then fails. Past its goal the caller is better served by an immediate failure, because the
/// first attempts of its own retry are not charged to the budget.
fn wait_for_budget(now: TimePoint, request: &mut PendingRequest, index: usize) {
    let give_up_at = request.goal_at.min(request.arrived + BUDGET_WAIT_MAX);
    let part = &mut request.parts[index];
    if !part.is_awaited() && now >= give_up_at {
        part.state = PartState::Failed;
        return;
    }
    part.check_at = now + RECHECK_INTERVAL;
}
