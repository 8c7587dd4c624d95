//! Hands requests over to other daemons while this one has lost its links to the replicas.

use std::time::Duration;

use schema::{
    AttemptId,
    DaemonName,
    QueryId,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    forward_reply::is_refusal,
    pending_request::{
        PendingRequest,
        RelayState, //
    },
    relay_context::RelayContext,
    request_part::PartState,
    ForwardAction,
    ForwardAnswer,
    ForwardEngine,
    LinkLoss,
    LoggedEvent,
    RefusalReason,
    RelayCommand,
    RelayOffer,
    RelayOutcome,
    RelayRefusal,
    RelayTerms, //
};

/// Time that the way back from a helper takes at most, which is kept free before the deadline.
const RELAY_MARGIN: Duration = Duration::from_millis(30);
/// Longest time to open a connection to a helper; several round trips to the farthest data centre.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for which a request waits for the first offer of a helper: the question to a daemon of
/// another region, and to a next one.
const OFFER_WAIT_MAX: Duration = Duration::from_millis(300);
/// Time after which a request that waits for an offer is looked at again.
const OFFER_RECHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Helpers to which one request is sent at most.
const HELPERS_TRIED_MAX: usize = 3;
/// `retry_after` time sent when neither this daemon nor another one reaches the replicas: the links are
/// checked, and other daemons asked, more often than that.
const STRANDED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Age of the last reply up to which open connections are known to live on.
const LIVE_LINKS_PERIOD: Duration = Duration::from_secs(1);
/// Time without any answer of a helper after which the requests that it has count as lost.
const HELPER_SILENCE_MAX: Duration = Duration::from_secs(1);

impl ForwardEngine {
    /// Handles the answer of a daemon that was asked how many requests it takes.
    pub(super) fn on_offer(
        &mut self,
        now: TimePoint,
        daemon: &DaemonName,
        offer: RelayOffer,
        actions: &mut Vec<ForwardAction>,
    ) {
        if let Err(refusal) = offer {
            let daemon = daemon.clone();
            actions.push(ForwardAction::Log(LoggedEvent::HelperRefused {
                daemon,
                refusal,
            }));
        }
        if offer != Err(RelayRefusal::NoAnswer) {
            self.delegates.record_sign(now, daemon);
        }
        for to in self.helpers.record_offer(now, daemon, offer) {
            self.ask_helper(now, to, actions);
        }
        if offer == Err(RelayRefusal::NoAnswer) {
            self.end_silent_relays(now, daemon, actions);
        }
        self.relay_waiting(now, actions);
        if offer.is_ok() {
            self.hand_over_pending(now, actions);
        }
    }

    /// Handles the end of the relay of a request.
    pub(super) fn on_relay_ended(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        outcome: RelayOutcome,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(context) = self.relays.remove(&attempt) else {
            return;
        };
        if context.delegated {
            self.on_branch_failed(now, attempt, context, outcome, actions);
            return;
        }
        self.helpers.record_end(now, &context.helper, Some(outcome));
        actions.push(ForwardAction::Log(LoggedEvent::RelayEnded {
            query: context.query,
            helper: context.helper.clone(),
            outcome,
            age: now.since(context.sent_at),
        }));
        let Some(mut request) = self.requests.remove(&context.query) else {
            return;
        };
        request.relay = RelayState::Waiting {
            since: now,
            check_at: now,
        };
        match outcome {
            // The helper speaks for itself only: an attempt of this daemon may have run the request.
            RelayOutcome::NotRun if request.may_have_run() => {
                request.relay = RelayState::Ended(stranded_answer(&request));
            }
            // Builds before this one pass on a replica's refusal that does not say that nothing ran.
            RelayOutcome::Answered(status) if is_refusal(status) => {
                self.relay_again(now, &mut request, &context, actions);
            }
            RelayOutcome::Answered(_) | RelayOutcome::NotRun => {
                request.relay_not_run = outcome == RelayOutcome::NotRun;
                request.relay = RelayState::Ended(ForwardAnswer::Relayed { attempt });
            }
            RelayOutcome::Declined(refusal) => {
                if refusal == RelayRefusal::NoRoom {
                    let route = &request.spec().name;
                    self.helpers.record_full(now, &context.helper, route);
                }
                request.helpers_tried.push(context.helper);
                self.send_relay(now, &mut request, actions);
            }
            RelayOutcome::Broken => self.relay_again(now, &mut request, &context, actions),
        }
        self.requests.insert(context.query, request);
        self.complete_or_schedule(now, context.query, actions);
    }

    /// Sends a request to another helper, if it may run again, after a helper that may have run it.
    fn relay_again(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        context: &RelayContext,
        actions: &mut Vec<ForwardAction>,
    ) {
        request.helpers_tried.push(context.helper.clone());
        request.relay_attempts += context.granted;
        request.relay_may_have_run = true;
        self.send_relay(now, request, actions);
    }

    /// Hands a request over if the links are lost and the part `index` has no attempt that may still
    /// succeed; returns whether another daemon has it, or will get it.
    pub(super) fn hand_over(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        index: usize,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        if request.relay != RelayState::Direct {
            return true;
        }
        let is_stuck = request.parts[index].in_flight.is_empty();
        if self.reach.lost().is_none() || !is_stuck || !request.may_be_relayed() {
            return false;
        }
        self.relay_request(now, request, actions);
        true
    }

    /// Hands a request over to a helper, or lets it wait for one. Its own attempts are cancelled.
    pub(super) fn relay_request(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        self.cancel_branches(request, actions);
        request.branches.clear();
        for part in &mut request.parts {
            self.dequeue(part);
            part.executions += part.branch.take().map_or(0, |(_, granted)| granted);
            for attempt in std::mem::take(&mut part.in_flight) {
                part.executions += 1;
                self.cancel_attempt(now, attempt, actions);
            }
            part.check_at = TimePoint::NEVER;
        }
        request.relay = RelayState::Waiting {
            since: now,
            check_at: now,
        };
        self.send_relay(now, request, actions);
    }

    /// Sends a request that has been taken from the replicas to a helper.
    pub(super) fn send_relay(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        let left = request.attempts_left();
        let may_repeat = request.spec().idempotent || !request.may_have_run();
        if left == 0 || !may_repeat || request.helpers_tried.len() >= HELPERS_TRIED_MAX {
            request.relay = RelayState::Ended(stranded_answer(request));
            return;
        }
        let placement = &request.placement;
        let (route, tried) = (&request.spec().name, &request.helpers_tried);
        let Some(helper) = self.helpers.choose(now, route, placement, tried) else {
            if let Some(to) = self.helpers.ask_at_home(now, placement) {
                self.ask_helper(now, to, actions);
            }
            self.wait_for_helper(now, request, actions);
            return;
        };
        // One attempt is kept for another helper, in case that the first one ends midway.
        let granted = if left >= 3 { left - 1 } else { left };
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let terms = RelayTerms {
            age: now.since(request.arrived),
            attempts: granted,
            sent: request.parts.iter().any(|part| part.sent) || request.relay_may_have_run,
            branch: None,
        };
        self.helpers.record_send(&helper);
        self.relays.insert(
            attempt,
            RelayContext {
                query: request.query,
                helper: helper.clone(),
                sent_at: now,
                granted,
                delegated: false,
            },
        );
        actions.push(ForwardAction::Log(LoggedEvent::RequestRelayed {
            query: request.query,
            helper: helper.clone(),
            attempts: granted,
            age: terms.age,
        }));
        actions.push(ForwardAction::Relay(RelayCommand {
            attempt,
            query: request.query,
            to: helper,
            shards: Vec::new(),
            table: request.table_version(),
            time_left: request
                .deadline
                .map(|deadline| deadline.since(now).saturating_sub(RELAY_MARGIN)),
            connect_timeout: CONNECT_TIMEOUT,
            answer_by: request.answer_by,
            terms,
        }));
        request.relay = RelayState::Sent { attempt };
    }

    /// Handles a request for which no helper is known. It waits while offers may come; then it uses
    /// connections that live on, or is refused.
    fn wait_for_helper(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        let since = match request.relay {
            RelayState::Waiting { since, .. } => since,
            _ => now,
        };
        let Some((loss, _)) = self.reach.lost() else {
            self.send_directly(now, request, actions);
            return;
        };
        if self.helpers.is_waiting(now, &request.placement) && now < since + OFFER_WAIT_MAX {
            request.relay = RelayState::Waiting {
                since,
                check_at: now + OFFER_RECHECK_INTERVAL,
            };
            return;
        }
        let lives_on =
            loss == LinkLoss::Unconnected && self.reach.has_reply_within(now, LIVE_LINKS_PERIOD);
        if lives_on && !request.may_have_run() {
            self.send_directly(now, request, actions);
            return;
        }
        request.relay = RelayState::Ended(stranded_answer(request));
    }

    /// Sends the open parts of a request to replicas after all.
    fn send_directly(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        request.relay = RelayState::Direct;
        request.keeps_direct = true;
        for index in 0..request.parts.len() {
            let part = &request.parts[index];
            if part.state != PartState::Open {
                continue;
            }
            let cause = if part.sent { "failed" } else { "first" };
            self.dispatch(now, request, index, cause, actions);
        }
    }

    /// Cancels the relay of a request that needs no answer any more.
    pub(super) fn cancel_relay(
        &mut self,
        now: TimePoint,
        request: &PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        let RelayState::Sent { attempt } = request.relay else {
            return;
        };
        if let Some(context) = self.relays.remove(&attempt) {
            self.helpers.record_end(now, &context.helper, None);
            actions.push(ForwardAction::Cancel { attempt });
        }
    }

    /// Sends the requests that wait for a helper, after an answer has come.
    fn relay_waiting(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        let is_waiting = |(_, request): &(&QueryId, &PendingRequest)| {
            matches!(request.relay, RelayState::Waiting { .. })
        };
        let waiting = self.requests.iter().filter(is_waiting);
        let queries: SmallVec<[QueryId; 16]> = waiting.map(|(query, _)| *query).collect();
        for query in queries {
            let Some(mut request) = self.requests.remove(&query) else {
                continue;
            };
            self.send_relay(now, &mut request, actions);
            self.requests.insert(query, request);
            self.complete_or_schedule(now, query, actions);
        }
    }

    /// Ends the relays at a helper that has been silent for long, as a frozen one is. Requests that must
    /// not run twice wait on.
    fn end_silent_relays(
        &mut self,
        now: TimePoint,
        helper: &DaemonName,
        actions: &mut Vec<ForwardAction>,
    ) {
        let is_lost = |context: &RelayContext| {
            let request = self.requests.get(&context.query);
            context.helper == *helper
                && now.since(context.sent_at) >= HELPER_SILENCE_MAX
                && request.is_some_and(|request| request.spec().idempotent)
        };
        let lost = self.relays.iter().filter(|(_, context)| is_lost(context));
        let attempts: SmallVec<[AttemptId; 16]> = lost.map(|(attempt, _)| *attempt).collect();
        for attempt in attempts {
            actions.push(ForwardAction::Cancel { attempt });
            self.on_relay_ended(now, attempt, RelayOutcome::Broken, actions);
        }
    }

    pub(super) fn ask_helper(
        &mut self,
        now: TimePoint,
        to: DaemonName,
        actions: &mut Vec<ForwardAction>,
    ) {
        let helpers = self.helpers.count(now).max(1) as u32;
        actions.push(ForwardAction::AskHelper { to, helpers });
    }
}

/// The answer to a request that neither this daemon nor a helper can serve.
fn stranded_answer(request: &PendingRequest) -> ForwardAnswer {
    match request.may_have_run() {
        true => ForwardAnswer::Failed {
            reason: RefusalReason::UpstreamFailed,
        },
        false => ForwardAnswer::NotRun {
            reason: RefusalReason::Stranded,
            retry_after: STRANDED_RETRY_AFTER,
        },
    }
}
