//! The state of one request from its arrival to its answer.

use std::{
    sync::Arc,
    time::Duration, //
};

use schema::{
    AccountSpec,
    AttemptId,
    BundleVersion,
    DaemonName,
    QueryId,
    QueryPrint,
    RouteSpec,
    RouteTarget,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    delegate::GatherBranch,
    request_part::{
        PartState,
        RequestPart, //
    },
    ForwardAnswer,
    RefusalReason,
    RelayTerms,
    RequestIdentity,
    RouteIndex, //
};
use crate::{
    places::RequestPlacement,
    rates::RateKey, //
};

/// Share of the time until its goal that a request may spend in a queue; the rest is left for its
/// execution.
pub(super) const QUEUE_TIME_SHARE: f64 = 0.5;

/// Who sends a request to replicas, or what it waits for before anyone does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum RelayState {
    /// It waits for the rate of its client account, and is not sent anywhere.
    Unadmitted,
    /// This daemon sends it to replicas itself.
    Direct,
    /// It waits for a daemon that offers to take it.
    Waiting {
        /// When it began to wait.
        since: TimePoint,
        /// When it is looked at again.
        check_at: TimePoint,
    },
    /// Another daemon has it.
    Sent {
        /// The relay.
        attempt: AttemptId,
    },
    /// It is answered with this.
    Ended(ForwardAnswer),
}

/// A request that has not been answered yet.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    /// Identifier assigned by the daemon.
    pub(super) query: QueryId,
    /// The route table in force when the request arrived.
    index: Arc<RouteIndex>,
    /// Index of the request's route in the table.
    pub(super) route: usize,
    /// By what the request is recognised when its caller sends it again.
    pub(super) identity: RequestIdentity,
    /// When the request arrived.
    pub(super) arrived: TimePoint,
    /// When the request is answered without its open parts, if enough parts are done: the latency
    /// goal less a margin and the time that the caller has already waited.
    pub(super) goal_at: TimePoint,
    /// When the request is answered at the latest: its deadline less a margin.
    pub(super) answer_by: TimePoint,
    /// The time for which the request's timer is set; `NEVER` if none is.
    pub(super) timer_at: TimePoint,
    /// One part for each service, in the order of the route's services.
    pub(super) parts: Vec<RequestPart>,
    /// Number of parts that must be done for a successful answer.
    pub(super) needed: usize,
    /// When the request may run again, if it was stopped because it crashed replicas.
    pub(super) refused_until: Option<TimePoint>,
    /// When a replica takes a request again whose limit or rest holds back a part, and which of them.
    pub(super) held_until: Option<(TimePoint, RefusalReason)>,
    /// When the caller stops waiting; `None` if it sent no deadline.
    pub(super) deadline: Option<TimePoint>,
    /// Whether another daemon forwards it.
    pub(super) relay: RelayState,
    /// Daemons that declined it or broke off.
    pub(super) helpers_tried: SmallVec<[DaemonName; 2]>,
    /// Replicas of one service on which these daemons may have run it.
    pub(super) relay_attempts: u32,
    /// Whether a daemon that has no answer to it any more may have run it.
    pub(super) relay_may_have_run: bool,
    /// Whether it stays at this daemon, since no other one takes it.
    pub(super) keeps_direct: bool,
    /// The terms, if another daemon has relayed it to this one.
    pub(super) terms: Option<RelayTerms>,
    /// Time after which an attempt is hedged, not counting the network round trip to its replica.
    pub(super) hedge_delay: Duration,
    /// Parts that other daemons gather for this one.
    pub(super) branches: SmallVec<[GatherBranch; 2]>,
    /// The trial as which the request is sent on although it is refused; `None` for most requests.
    pub(super) trial: Option<RequestTrial>,
    /// Where the request may be served.
    pub(super) placement: RequestPlacement,
    /// The caller's client account; `None` if it has none.
    pub(super) account: Option<Arc<AccountSpec>>,
    /// The rate that has admitted it, until the admission is given back.
    pub(super) charged: Option<RateKey>,
    /// Whether the daemon to which it was relayed has answered that it did not run.
    pub(super) relay_not_run: bool,
}

/// The trial of a request that is refused because it has crashed replicas.
#[derive(Clone, Debug)]
pub(super) struct RequestTrial {
    /// The fingerprints for which a trial has been granted.
    pub(super) prints: SmallVec<[QueryPrint; 2]>,
    /// Whether the store has been asked for a further one and has not answered.
    pub(super) waits: bool,
    /// When the last trial was granted.
    pub(super) granted_at: TimePoint,
    /// Whether a replica has been sent the request.
    pub(super) sent: bool,
    /// Whether a replica has run it to its end.
    pub(super) passed: bool,
}

impl PendingRequest {
    /// Creates a request for route `route` of the table `index`, without parts.
    pub(super) fn new(
        query: QueryId,
        index: Arc<RouteIndex>,
        route: usize,
        identity: RequestIdentity,
        now: TimePoint,
    ) -> Self {
        Self {
            query,
            index,
            route,
            identity,
            arrived: now,
            goal_at: TimePoint::NEVER,
            answer_by: now,
            timer_at: TimePoint::NEVER,
            parts: Vec::new(),
            needed: 1,
            refused_until: None,
            held_until: None,
            deadline: None,
            relay: RelayState::Direct,
            helpers_tried: SmallVec::new(),
            relay_attempts: 0,
            relay_may_have_run: false,
            keeps_direct: false,
            terms: None,
            placement: RequestPlacement::default(),
            account: None,
            charged: None,
            relay_not_run: false,
            hedge_delay: Duration::ZERO,
            branches: SmallVec::new(),
            trial: None,
        }
    }

    /// The request's route.
    pub(super) fn spec(&self) -> &RouteSpec {
        &self.index.table.routes[self.route]
    }

    /// Version of the route table by which the request is handled to its end.
    pub(super) fn table_version(&self) -> BundleVersion {
        self.index.table.version
    }

    /// Limit on the replicas of one service that may run the request.
    pub(super) fn max_attempts(&self) -> u32 {
        let allowed = self.terms.map_or(u32::MAX, |terms| terms.attempts);
        self.spec().attempts.min(allowed).max(1)
    }

    /// Replicas of one service on which another daemon may still run the request.
    pub(super) fn attempts_left(&self) -> u32 {
        let executions = self.parts.iter().map(|part| part.executions);
        let used = executions.max().unwrap_or_default() + self.relay_attempts;
        let allowed = match self.spec().idempotent {
            true => self.max_attempts(),
            false => 1,
        };
        allowed.saturating_sub(used)
    }

    /// Whether another daemon may get the request: not after one hop, and only once if it must not run
    /// twice.
    pub(super) fn may_be_relayed(&self) -> bool {
        let may_repeat = self.spec().idempotent || !self.may_have_run();
        self.terms.is_none() && !self.keeps_direct && may_repeat
    }

    /// Whether another daemon has handed over the request although it could serve it itself.
    pub(super) fn is_delegated(&self) -> bool {
        self.terms.is_some_and(|terms| terms.branch.is_some())
    }

    /// Whether each open part has an attempt in flight.
    pub(super) fn is_in_flight(&self) -> bool {
        let mut open = self
            .parts
            .iter()
            .filter(|part| part.state == PartState::Open);
        open.all(|part| !part.in_flight.is_empty())
    }

    /// Creates a part for each of `services`.
    pub(super) fn create_parts(&mut self, services: &[usize]) {
        self.parts = services.iter().copied().map(RequestPart::new).collect();
        if let RouteTarget::Gather { min_share, .. } = self.spec().target {
            self.needed = parts_needed(services.len(), min_share);
        }
        if let Some(branch) = self.terms.and_then(|terms| terms.branch) {
            self.needed = (branch.needed as usize).clamp(1, services.len().max(1));
        }
    }

    /// Whether the answer is merged from the replies of several shards.
    pub(super) fn is_gather(&self) -> bool {
        matches!(self.spec().target, RouteTarget::Gather { .. })
    }

    /// Records that a part fails because of the limit or the rest of a replica, which ends at `until`.
    pub(super) fn hold_until(&mut self, until: TimePoint, reason: RefusalReason) {
        if self.held_until.is_none_or(|(earliest, _)| until < earliest) {
            self.held_until = Some((until, reason));
        }
    }

    /// Number of parts with a usable reply.
    pub(super) fn done_parts(&self) -> usize {
        let done = |part: &&RequestPart| matches!(part.state, PartState::Done { .. });
        self.parts.iter().filter(done).count()
    }

    /// Number of parts that may still get a reply.
    pub(super) fn open_parts(&self) -> usize {
        let open = |part: &&RequestPart| part.state == PartState::Open;
        self.parts.iter().filter(open).count()
    }

    /// How long a part may wait for a replica: a share of the time until the goal of the request, or
    /// until its deadline if the goal is past.
    pub(super) fn wait_max(&self, now: TimePoint) -> Duration {
        let end = match now < self.goal_at {
            true => self.goal_at.min(self.answer_by),
            false => self.answer_by,
        };
        end.since(now).mul_f64(QUEUE_TIME_SHARE)
    }

    /// Number of parts that are queued for a replica.
    pub(super) fn queued_parts(&self) -> usize {
        let queued = |part: &&RequestPart| part.queued.is_some();
        self.parts.iter().filter(queued).count()
    }

    /// Whether a replica may have run any part of the request.
    pub(super) fn may_have_run(&self) -> bool {
        let ran = |part: &RequestPart| {
            part.executions > 0 || !part.in_flight.is_empty() || part.branch.is_some()
        };
        let relayed = self.relay_may_have_run || matches!(self.relay, RelayState::Sent { .. });
        relayed || self.parts.iter().any(ran)
    }

    /// When the engine has to process the request again: for a due part, for the goal if enough
    /// parts are done, or for the deadline.
    pub(super) fn next_check(&self) -> TimePoint {
        match self.relay {
            RelayState::Direct => {}
            RelayState::Unadmitted => return self.answer_by,
            RelayState::Waiting { check_at, .. } => return self.answer_by.min(check_at),
            RelayState::Sent { .. } | RelayState::Ended(_) => return self.answer_by,
        }
        let open = self
            .parts
            .iter()
            .filter(|part| part.state == PartState::Open);
        let check_at = open.map(|part| part.check_at).min();
        let mut at = self.answer_by.min(check_at.unwrap_or(TimePoint::NEVER));
        let silent_at = self.branches.iter().map(|branch| branch.silent_at).min();
        at = at.min(silent_at.unwrap_or(TimePoint::NEVER));
        if self.done_parts() < self.needed {
            return at;
        }
        at = at.min(self.goal_at);
        at
    }
}

/// Smallest number of parts, out of `count`, whose share is at least `min_share`.
pub(super) fn parts_needed(count: usize, min_share: f64) -> usize {
    /// Tolerance for shares that binary floating point can't represent exactly.
    const ROUNDING: f64 = 1e-9;
    let enough = |parts: &usize| *parts as f64 / count as f64 + ROUNDING >= min_share;
    (1..=count).find(enough).unwrap_or(count)
}
