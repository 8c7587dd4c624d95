//! One request from its arrival to its answer.

use std::{
    sync::Arc,
    time::Duration, //
};

use schema::{
    QueryId,
    RouteSpec,
    RouteTarget,
    TimePoint, //
};

use super::{
    request_part::{
        ForwardPart,
        PartState, //
    },
    RouteIndex, //
};

/// A request being served.
#[derive(Clone, Debug)]
pub(super) struct ForwardRun {
    /// Its number.
    pub(super) query: QueryId,
    /// The table of its arrival.
    index: Arc<RouteIndex>,
    /// Place of its route.
    pub(super) route: usize,
    /// Arrival.
    pub(super) arrived: TimePoint,
    /// When it is answered as things stand, if that is enough.
    pub(super) goal_at: TimePoint,
    /// When it is answered at the latest.
    pub(super) close_at: TimePoint,
    /// The timer that is set.
    pub(super) wake_at: TimePoint,
    /// Its parts, in the order of the route's services.
    pub(super) parts: Vec<ForwardPart>,
    /// Parts that an answer needs.
    pub(super) needed: usize,
    /// Hedge delay without the link's part.
    pub(super) hedge_delay: Duration,
}

impl ForwardRun {
    /// A request for the route at `route` of `index`.
    pub(super) fn new(
        query: QueryId,
        index: Arc<RouteIndex>,
        route: usize,
        now: TimePoint,
    ) -> Self {
        Self {
            query,
            index,
            route,
            arrived: now,
            goal_at: TimePoint::NEVER,
            close_at: now,
            wake_at: TimePoint::NEVER,
            parts: Vec::new(),
            needed: 1,
            hedge_delay: Duration::ZERO,
        }
    }

    /// Its route.
    pub(super) fn spec(&self) -> &RouteSpec {
        &self.index.table.routes[self.route]
    }

    /// Replicas of one service on which it may run.
    pub(super) fn attempts_max(&self) -> u32 {
        self.spec().attempts.max(1)
    }

    /// Begins with a part for each of `services`.
    pub(super) fn begin(&mut self, services: &[usize]) {
        self.parts = services.iter().copied().map(ForwardPart::new).collect();
        if let RouteTarget::Gather { min_share, .. } = self.spec().target {
            self.needed = parts_needed(services.len(), min_share);
        }
    }

    /// Whether its answer is merged from several parts.
    pub(super) fn is_gather(&self) -> bool {
        matches!(self.spec().target, RouteTarget::Gather { .. })
    }

    /// Parts with a reply.
    pub(super) fn done(&self) -> usize {
        let done = |part: &&ForwardPart| matches!(part.state, PartState::Done { .. });
        self.parts.iter().filter(done).count()
    }

    /// Parts that may still get a reply.
    pub(super) fn open(&self) -> usize {
        let open = |part: &&ForwardPart| part.state == PartState::Open;
        self.parts.iter().filter(open).count()
    }

    /// Parts that wait for a replica.
    pub(super) fn waiting(&self) -> usize {
        let waiting = |part: &&ForwardPart| part.waiting.is_some();
        self.parts.iter().filter(waiting).count()
    }

    /// Whether a replica may have run any of it.
    pub(super) fn may_have_run(&self) -> bool {
        let ran = |part: &ForwardPart| part.ran > 0 || !part.out.is_empty();
        self.parts.iter().any(ran)
    }

    /// When the engine has to look at it.
    pub(super) fn next_due(&self) -> TimePoint {
        let open = self
            .parts
            .iter()
            .filter(|part| part.state == PartState::Open);
        let due = open.map(|part| part.due).min();
        let mut at = self.close_at.min(due.unwrap_or(TimePoint::NEVER));
        if self.done() < self.needed {
            return at;
        }
        at = at.min(self.goal_at);
        at
    }
}

/// Fewest parts of `count` whose share reaches `min_share`.
pub(super) fn parts_needed(count: usize, min_share: f64) -> usize {
    /// Slack for shares that have no exact binary form.
    const ROUNDING: f64 = 1e-9;
    let enough = |parts: &usize| *parts as f64 / count as f64 + ROUNDING >= min_share;
    (1..=count).find(enough).unwrap_or(count)
}
