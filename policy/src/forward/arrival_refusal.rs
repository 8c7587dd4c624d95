//! Refuses requests on arrival that can't be served in time.

use std::time::Duration;

use schema::TimePoint;
use smallvec::SmallVec;

use super::{
    pending_request::{
        PendingRequest,
        QUEUE_TIME_SHARE, //
    },
    request_completion::HELD_RETRY_AFTER_MIN,
    request_part::PartState,
    ForwardAction,
    ForwardAnswer,
    ForwardEngine,
    RefusalReason, //
};
use crate::places::RequestPlacement;

/// The share of the time until its goal that a request of another daemon may spend in a queue. It is less
/// than that of this daemon's own callers, who come first.
const RELAYED_QUEUE_TIME_SHARE: f64 = 0.25;
/// Bounds of the `retry_after` time sent to a request that is refused because of long queues.
const OVERLOAD_RETRY_AFTER_MIN: Duration = Duration::from_millis(20);
const OVERLOAD_RETRY_AFTER_MAX: Duration = Duration::from_millis(500);
/// `retry_after` time sent when a service has no replica: a replica restart takes some seconds, a
/// change in the directory about one second.
const NO_REPLICA_RETRY_AFTER: Duration = Duration::from_millis(500);

impl ForwardEngine {
    /// Answers a request at once for which nothing has been sent, if the replicas can't serve it in time;
    /// returns whether it did. One that goes to another daemon is refused there.
    pub(super) fn refuse_unsendable(
        &mut self,
        now: TimePoint,
        request: &PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        if self.reach.lost().is_some() && request.may_be_relayed() {
            return false;
        }
        let query = request.query;
        if let Some(answer) = self.refuse_unserved(now, request) {
            actions.push(ForwardAction::Answer { query, answer });
            return true;
        }
        if let Some(retry_after) = self.overload_retry_after(now, request) {
            let answer = ForwardAnswer::NotRun {
                reason: RefusalReason::Overload,
                retry_after,
            };
            actions.push(ForwardAction::Answer { query, answer });
            return true;
        }
        self.refuse_limited(now, request, actions)
    }

    /// The answer to a request if too few of its services have a usable replica. Where enough of them
    /// only rest, it names the time until they are back.
    pub(super) fn refuse_unserved(
        &self,
        now: TimePoint,
        request: &PendingRequest,
    ) -> Option<ForwardAnswer> {
        let placement = &request.placement;
        let mut usable = 0;
        let mut unserved = None;
        let mut rest_ends: SmallVec<[TimePoint; 16]> = SmallVec::new();
        for part in &request.parts {
            if part.state != PartState::Open {
                continue;
            }
            if self
                .registry
                .has_usable_replica(now, part.service, placement)
            {
                usable += 1;
            } else if let Some(until) = self.registry.rest_end(now, part.service, placement) {
                rest_ends.push(until);
            } else {
                unserved.get_or_insert(part.service);
            }
        }
        let missing = request.needed.checked_sub(usable + 1)?;
        rest_ends.sort_unstable();
        let (reason, retry_after) = match rest_ends.get(missing) {
            Some(until) => (RefusalReason::Resting, until.since(now)),
            None => {
                let reason = unserved.map(|service| self.unserved_reason(now, service, placement));
                let reason = reason.unwrap_or(RefusalReason::NoReplica);
                (reason, NO_REPLICA_RETRY_AFTER)
            }
        };
        Some(ForwardAnswer::NotRun {
            reason,
            retry_after: retry_after.max(HELD_RETRY_AFTER_MIN),
        })
    }

    /// Why no replica of a service may get a request with the given placement.
    fn unserved_reason(
        &self,
        now: TimePoint,
        service: usize,
        placement: &RequestPlacement,
    ) -> RefusalReason {
        let mut listed = self
            .registry
            .candidates(service, placement)
            .filter(|(_, record)| record.listed)
            .peekable();
        if listed.peek().is_some() && listed.all(|(_, record)| record.evacuated) {
            return RefusalReason::Evacuated;
        }
        let anywhere = RequestPlacement::default();
        match self.registry.has_usable_replica(now, service, &anywhere) {
            true => RefusalReason::NoHome,
            false => RefusalReason::NoReplica,
        }
    }

    /// If the queues of too many services are too long for the request to meet its goal, returns
    /// the time after which the caller should retry.
    pub(super) fn overload_retry_after(
        &self,
        now: TimePoint,
        request: &PendingRequest,
    ) -> Option<Duration> {
        // A request past its goal gains nothing from a refusal, so it may wait.
        if now >= request.goal_at {
            return None;
        }
        let share = match request.terms {
            Some(_) if !request.is_delegated() => RELAYED_QUEUE_TIME_SHARE,
            _ => QUEUE_TIME_SHARE,
        };
        let allowed_wait = request.goal_at.since(now).mul_f64(share);
        let mut long_waits: SmallVec<[Duration; 16]> = SmallVec::new();
        for part in &request.parts {
            if part.state != PartState::Open {
                continue;
            }
            let wait = self.registry.services[part.service]
                .queue
                .expected_wait(now);
            if wait > allowed_wait {
                long_waits.push(wait);
            }
        }
        if request.open_parts() - long_waits.len() >= request.needed {
            return None;
        }
        let shortest = long_waits.into_iter().min()?;
        Some(shortest.clamp(OVERLOAD_RETRY_AFTER_MIN, OVERLOAD_RETRY_AFTER_MAX))
    }
}
