//! Hands shards of a gather to delegates, and takes over what they have gathered.

use std::time::Duration;

use schema::{
    AttemptId,
    TimePoint, //
};

use super::{
    super::{
        pending_request::PendingRequest,
        relay_context::RelayContext,
        relay_terms::BranchTerms,
        request_part::PartState,
        ForwardAction,
        ForwardEngine,
        RelayCommand,
        RelayTerms, //
    },
    branch_failures::take_branch,
    gather_plan::ShardGroup,
    BranchAnswer,
    GatherBranch, //
};

/// Time that the way back takes in addition to half of the round trip.
const WAY_BACK_MARGIN: Duration = Duration::from_millis(8);
/// Round trips that may pass until a connection to a delegate is open, and a margin.
const CONNECT_ROUND_TRIPS: u32 = 3;
const CONNECT_MARGIN: Duration = Duration::from_millis(20);
/// Quantile of the delegates' latency, and its multiple, after which a delegate counts as silent.
const SILENT_QUANTILE: f32 = 0.98;
const SILENT_FACTOR: f64 = 1.3;
/// Bounds of that time, as shares of the latency goal.
const SILENT_GOAL_SHARE_MIN: f64 = 0.5;
const SILENT_GOAL_SHARE_MAX: f64 = 1.2;
/// The same on a route without a latency goal.
const SILENT_WITHOUT_GOAL: Duration = Duration::from_millis(500);

impl ForwardEngine {
    /// Hands the shards of a new gather that others gather for this daemon to delegates.
    pub(in super::super) fn send_branches(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        if !request.is_gather() {
            return;
        }
        // A delegate makes a plan, too, to know with how many it shares connections.
        let plan = self.plan_for(now, request);
        if request.terms.is_some() {
            return;
        }
        let allowed = request.parts.len() - request.needed;
        let delegated: usize = plan.groups.iter().map(|group| group.parts.len()).sum();
        let (mut seen, mut shared) = (0, 0);
        for group in &plan.groups {
            // The shards that may be missing are divided among the branches by size.
            seen += group.parts.len();
            let may_miss = allowed * seen / delegated.max(1) - shared;
            shared += may_miss;
            let open = |index: &u32| request.parts[*index as usize].state == PartState::Open;
            let parts: Vec<u32> = group.parts.iter().copied().filter(open).collect();
            let needed = parts.len().saturating_sub(may_miss);
            self.send_branch(now, request, group, parts, needed, actions);
        }
    }

    /// Hands `parts` to a delegate of their group; returns whether there is one.
    pub(super) fn send_branch(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        group: &ShardGroup,
        parts: Vec<u32>,
        needed: usize,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        if parts.is_empty() {
            return false;
        }
        for to in self.delegates.asks_due(now, &group.delegates) {
            actions.push(ForwardAction::AskHelper { to, helpers: 0 });
        }
        let (placement, tried) = (&request.placement, &request.helpers_tried);
        let chosen = self
            .delegates
            .choose(now, placement, &group.delegates, tried);
        // Without a delegate in a home region this daemon gathers the shards itself.
        let Some(delegate) = chosen else {
            return false;
        };
        let allowed = request.max_attempts();
        // One attempt is kept, in case that the delegate ends midway.
        let granted = if allowed >= 3 { allowed - 1 } else { allowed };
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        let round_trip = self.delegates.round_trip(&delegate);
        let way_back = round_trip / 2 + WAY_BACK_MARGIN;
        let goal_left = match request.goal_at {
            TimePoint::NEVER => Duration::MAX,
            goal_at => goal_at.since(now).saturating_sub(way_back),
        };
        for index in &parts {
            let part = &mut request.parts[*index as usize];
            part.branch = Some((attempt, granted));
            part.check_at = TimePoint::NEVER;
        }
        let silent_at = now + self.silent_period(request);
        self.delegates.record_send(&delegate);
        self.relays.insert(
            attempt,
            RelayContext {
                query: request.query,
                helper: delegate.clone(),
                sent_at: now,
                granted,
                delegated: true,
            },
        );
        actions.push(ForwardAction::Relay(RelayCommand {
            attempt,
            query: request.query,
            to: delegate,
            shards: parts.clone(),
            table: request.table_version(),
            time_left: request
                .deadline
                .map(|deadline| deadline.since(now).saturating_sub(way_back)),
            connect_timeout: round_trip * CONNECT_ROUND_TRIPS + CONNECT_MARGIN,
            answer_by: request.answer_by,
            terms: RelayTerms {
                age: now.since(request.arrived),
                attempts: granted,
                sent: false,
                branch: Some(BranchTerms {
                    goal_left,
                    needed: u32::try_from(needed).unwrap_or(u32::MAX),
                }),
            },
        }));
        request.branches.push(GatherBranch {
            attempt,
            parts,
            asked_at: None,
            silent_at,
        });
        true
    }

    /// Takes over the shards that a delegate has gathered.
    pub(in super::super) fn on_branch_gathered(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        answer: BranchAnswer,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(context) = self.relays.remove(&attempt) else {
            return;
        };
        let latency = now.since(context.sent_at);
        self.delegates.record_end(&context.helper);
        self.delegates.record_answer(now, &context.helper, latency);
        let Some(mut request) = self.requests.remove(&context.query) else {
            return;
        };
        if let Some(state) = self.routes.get_mut(&request.spec().name) {
            state.delegated.record(latency);
        }
        let Some(branch) = take_branch(&mut request, attempt) else {
            self.requests.insert(context.query, request);
            return;
        };
        let mut records = answer.records;
        for (position, stamp) in answer.stamps {
            let Some(index) = branch.parts.get(position as usize) else {
                continue;
            };
            let part = &mut request.parts[*index as usize];
            // Without a signature there is no reply of a replica.
            if stamp.is_empty() || part.state != PartState::Open {
                continue;
            }
            part.branch = None;
            // The merged records of the branch are kept with its first shard.
            part.state = PartState::Done {
                stamp,
                records: std::mem::take(&mut records),
            };
            let service = part.service;
            self.dequeue(&mut request.parts[*index as usize]);
            for other in std::mem::take(&mut request.parts[*index as usize].in_flight) {
                self.release_attempt(now, &request, service, other, actions);
            }
        }
        self.continue_parts(now, &mut request, &branch, context.granted, actions);
        self.requests.insert(context.query, request);
        self.complete_or_schedule(now, context.query, actions);
    }

    /// Cancels the branches of a request that needs no answer any more.
    pub(in super::super) fn cancel_branches(
        &mut self,
        request: &PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        for branch in &request.branches {
            let Some(context) = self.relays.remove(&branch.attempt) else {
                continue;
            };
            self.delegates.record_end(&context.helper);
            actions.push(ForwardAction::Cancel {
                attempt: branch.attempt,
            });
        }
    }

    /// Time after which a delegate counts as silent.
    fn silent_period(&self, request: &PendingRequest) -> Duration {
        let goal = request.spec().goal;
        if goal.is_zero() {
            return SILENT_WITHOUT_GOAL;
        }
        let state = self.routes.get(&request.spec().name);
        let usual = state.and_then(|state| state.delegated.quantile(SILENT_QUANTILE));
        let (shortest, longest) = (
            goal.mul_f64(SILENT_GOAL_SHARE_MIN),
            goal.mul_f64(SILENT_GOAL_SHARE_MAX),
        );
        let usual = usual.map_or(longest, |usual| usual.mul_f64(SILENT_FACTOR));
        usual.clamp(shortest, longest)
    }
}
