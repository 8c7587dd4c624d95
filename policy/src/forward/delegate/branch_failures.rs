//! Goes on with the shards of a gather whose delegate has failed, does not take them or is silent.

use std::time::Duration;

use schema::{
    AttemptId,
    TimePoint, //
};

use super::{
    super::{
        pending_request::PendingRequest,
        relay_context::RelayContext,
        request_part::PartState,
        ForwardAction,
        ForwardEngine,
        LoggedEvent,
        RelayOutcome, //
    },
    gather_plan::ShardGroup,
    GatherBranch, //
};

/// Delegates of one group of shards to which a gather is sent at most, if they do not take it.
const DELEGATES_TRIED_MAX: usize = 2;
/// Share of the time until the goal that may pass before another delegate is asked.
const RETRY_GOAL_SHARE: f64 = 0.2;
/// Time for the sign of life in addition to two round trips: a delegate may be short of processor time.
const SIGN_MARGIN: Duration = Duration::from_millis(50);
/// Time after a sign of life until the next one is asked for.
const ASK_INTERVAL: Duration = Duration::from_millis(400);

impl ForwardEngine {
    /// Handles a branch that ended without any shard.
    pub(in super::super) fn on_branch_failed(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        context: RelayContext,
        outcome: RelayOutcome,
        actions: &mut Vec<ForwardAction>,
    ) {
        let delegate = context.helper;
        self.delegates.record_end(&delegate);
        let (period, spent) = match outcome {
            // It works, but the replicas of these shards did not.
            RelayOutcome::Answered(_) => (None, context.granted),
            RelayOutcome::NotRun => (None, 0),
            RelayOutcome::Declined(refusal) => {
                let period = self.delegates.record_refusal(now, &delegate, refusal);
                (Some(period), 0)
            }
            RelayOutcome::Broken => {
                let period = self.delegates.record_silence(now, &delegate);
                (Some(period), context.granted)
            }
        };
        if let Some(period) = period {
            actions.push(ForwardAction::Log(LoggedEvent::DelegateAvoided {
                query: context.query,
                delegate: delegate.clone(),
                cause: outcome.as_str(),
                period,
            }));
        }
        let Some(mut request) = self.requests.remove(&context.query) else {
            return;
        };
        let Some(branch) = take_branch(&mut request, attempt) else {
            self.requests.insert(context.query, request);
            return;
        };
        match outcome {
            RelayOutcome::NotRun => {
                for index in &branch.parts {
                    let part = &mut request.parts[*index as usize];
                    part.branch = None;
                    if part.state == PartState::Open && !part.is_awaited() {
                        part.state = PartState::Failed;
                    }
                }
            }
            RelayOutcome::Declined(_) => {
                request.helpers_tried.push(delegate);
                if !self.branch_again(now, &mut request, &branch, actions) {
                    self.continue_parts(now, &mut request, &branch, spent, actions);
                }
            }
            _ => self.continue_parts(now, &mut request, &branch, spent, actions),
        }
        self.requests.insert(context.query, request);
        self.complete_or_schedule(now, context.query, actions);
    }

    /// Asks the delegates of late branches for a sign of life, and ends the branches of those that give
    /// none. One that waits for slow replicas keeps its branch.
    pub(in super::super) fn end_silent_branches(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        for index in (0..request.branches.len()).rev() {
            let branch = &mut request.branches[index];
            let Some(context) = self.relays.get(&branch.attempt) else {
                continue;
            };
            let delegate = context.helper.clone();
            if branch.silent_at > now {
                continue;
            }
            let asked_at = branch.asked_at.take();
            let lives = asked_at.is_some_and(|at| self.delegates.has_answered_since(&delegate, at));
            if lives {
                branch.silent_at = now + ASK_INTERVAL;
                continue;
            }
            if asked_at.is_none() {
                branch.asked_at = Some(now);
                branch.silent_at = now + self.delegates.round_trip(&delegate) * 2 + SIGN_MARGIN;
                actions.push(ForwardAction::AskHelper {
                    to: delegate,
                    helpers: 0,
                });
                continue;
            }
            let branch = request.branches.remove(index);
            let granted = context.granted;
            self.relays.remove(&branch.attempt);
            actions.push(ForwardAction::Cancel {
                attempt: branch.attempt,
            });
            self.delegates.record_end(&delegate);
            let period = self.delegates.record_silence(now, &delegate);
            actions.push(ForwardAction::Log(LoggedEvent::DelegateAvoided {
                query: request.query,
                delegate,
                cause: "silent",
                period,
            }));
            self.continue_parts(now, request, &branch, granted, actions);
        }
    }

    /// Hands the shards of a branch that was not taken to another delegate, if there is time.
    fn branch_again(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        branch: &GatherBranch,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        let until_goal = request.goal_at.since(request.arrived);
        let in_time = now.since(request.arrived) < until_goal.mul_f64(RETRY_GOAL_SHARE);
        if !in_time || request.helpers_tried.len() >= DELEGATES_TRIED_MAX {
            return false;
        }
        let plan = self.plan_for(now, request);
        let same = |group: &&ShardGroup| group.parts.contains(&branch.parts[0]);
        let Some(group) = plan.groups.iter().find(same) else {
            return false;
        };
        let parts = branch.parts.clone();
        let needed = parts.len();
        self.send_branch(now, request, group, parts, needed, actions)
    }

    /// Goes on with the shards of a branch that it has left open: sends them to replicas where the route
    /// allows more attempts than the delegate has `spent`.
    pub(super) fn continue_parts(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        branch: &GatherBranch,
        spent: u32,
        actions: &mut Vec<ForwardAction>,
    ) {
        for index in &branch.parts {
            let index = *index as usize;
            let allowed = request.max_attempts();
            let part = &mut request.parts[index];
            if part.state != PartState::Open {
                continue;
            }
            part.branch = None;
            part.executions += spent;
            if part.is_awaited() {
                continue;
            }
            part.sent |= spent > 0;
            let (used_up, is_extra, service) =
                (part.executions >= allowed, part.sent, part.service);
            // Without a budget the caller is better served elsewhere, where its own retry is a first attempt.
            if used_up || (is_extra && !self.registry.has_budget(now, service)) {
                request.parts[index].state = PartState::Failed;
                self.dequeue(&mut request.parts[index]);
                continue;
            }
            let cause = if is_extra { "failed" } else { "first" };
            self.dispatch(now, request, index, cause, actions);
        }
    }
}

/// Takes a branch out of its request.
pub(super) fn take_branch(
    request: &mut PendingRequest,
    attempt: AttemptId,
) -> Option<GatherBranch> {
    let mut branches = request.branches.iter();
    let position = branches.position(|branch| branch.attempt == attempt)?;
    Some(request.branches.remove(position))
}
