//! Learns the limits that replicas name, shares them with the other daemons, and holds back what does
//! not fit.

use std::time::Duration;

use schema::{
    DaemonName,
    LimitNotice,
    QueryId,
    TimePoint, //
};

use super::{
    forward_engine::AttemptContext,
    limit_table::LimitChange,
    pending_request::PendingRequest,
    request_completion::HELD_RETRY_AFTER_MIN,
    request_part::PartState,
    ForwardAction,
    ForwardAnswer,
    ForwardEngine,
    LimitStatement,
    LoggedEvent,
    RefusalReason,
    ReplicaKey, //
};

/// Longest wait that is promised to a caller: by then other shares are granted or the limit ends.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Time after which a hedge that a limit holds back is tried again.
const HEDGE_RECHECK_INTERVAL: Duration = Duration::from_millis(50);

impl ForwardEngine {
    /// Handles what a reply says about the limit of its replica.
    pub(super) fn record_limit(
        &mut self,
        now: TimePoint,
        context: &AttemptContext,
        statement: &LimitStatement,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.registry.limits.is_empty() && *statement == LimitStatement::Unlimited {
            return;
        }
        let key = context.replica;
        let Some(record) = self.registry.records.get(&key) else {
            return;
        };
        if let LimitStatement::Unreadable(value) = statement {
            actions.push(ForwardAction::Log(LoggedEvent::LimitUnreadable {
                replica: record.entry.name.clone(),
                service: record.entry.service.clone(),
                value: value.clone(),
            }));
            return;
        }
        let instance = record.entry.instance();
        let sent_at = context.sent_at;
        let limits = &mut self.registry.limits;
        if let Some(change) = limits.record_statement(now, key, instance, sent_at, statement) {
            self.log_limit(key, change, None, actions);
        }
    }

    /// Merges the limits that another daemon has reported. Replicas that this daemon does not know are
    /// left out; it has sent them nothing.
    pub(super) fn on_limits_reported(
        &mut self,
        now: TimePoint,
        from: &DaemonName,
        notice: &LimitNotice,
        actions: &mut Vec<ForwardAction>,
    ) {
        for entry in &notice.entries {
            let Some(key) = self.registry.key_of(entry.instance) else {
                continue;
            };
            if let Some(change) = self.registry.limits.merge(now, key, from, entry) {
                self.log_limit(key, change, Some(from.clone()), actions);
            }
        }
    }

    /// Reports needs and grants shares, if that is due.
    pub(super) fn share_limits(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        for (to, notice) in self.registry.limits.exchange(now) {
            actions.push(ForwardAction::ShareLimits { to, notice });
        }
    }

    /// Answers a request at once if the limits of the replicas leave too few of its parts in time;
    /// returns whether it did.
    pub(super) fn refuse_limited(
        &mut self,
        now: TimePoint,
        request: &PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) -> bool {
        if self.registry.limits.is_empty() {
            return false;
        }
        let wait_max = request.wait_max(now);
        let mut shortest: Option<(Duration, ReplicaKey)> = None;
        let mut held_back = 0;
        for part in &request.parts {
            if part.state != PartState::Open {
                continue;
            }
            let Some((wait, key)) = self
                .registry
                .limit_wait(now, part.service, &request.placement)
            else {
                continue;
            };
            if wait <= wait_max {
                continue;
            }
            held_back += 1;
            if shortest.is_none_or(|(least, _)| wait < least) {
                shortest = Some((wait, key));
            }
        }
        let Some((wait, key)) = shortest else {
            return false;
        };
        if request.open_parts() - held_back >= request.needed {
            return false;
        }
        for part in &request.parts {
            if part.state == PartState::Open {
                self.registry.held_back(
                    now,
                    part.service,
                    &request.spec().name,
                    &request.placement,
                );
            }
        }
        self.log_held_back(now, request.query, key, "refused", actions);
        actions.push(ForwardAction::Answer {
            query: request.query,
            answer: ForwardAnswer::NotRun {
                reason: RefusalReason::Limited,
                retry_after: wait.clamp(HELD_RETRY_AFTER_MIN, WAIT_MAX),
            },
        });
        true
    }

    /// Handles a part for which all replicas have reached their limits. The next token is reserved for
    /// it if that comes in time; otherwise it fails, so that the other shards answer or the caller
    /// learns when to come back. A hedge is only tried again later.
    pub(super) fn wait_for_limit(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        index: usize,
        (key, wait): (ReplicaKey, Duration),
        actions: &mut Vec<ForwardAction>,
    ) {
        let wait = wait.min(WAIT_MAX);
        let in_time = wait <= request.wait_max(now);
        let part = &mut request.parts[index];
        if !part.in_flight.is_empty() {
            part.check_at = now + wait.max(HEDGE_RECHECK_INTERVAL);
            return;
        }
        let until = now + wait;
        if in_time {
            part.reserved = Some(key);
            part.check_at = until;
            self.log_held_back(now, request.query, key, "waits", actions);
            self.registry.limits.reserve(now, key);
            return;
        }
        part.check_at = TimePoint::NEVER;
        part.state = PartState::Failed;
        request.hold_until(until, RefusalReason::Limited);
        self.log_held_back(now, request.query, key, "left_out", actions);
    }

    /// Logs that a request is not sent to a replica now because of the replica's limit.
    pub(super) fn log_held_back(
        &self,
        now: TimePoint,
        query: QueryId,
        key: ReplicaKey,
        outcome: &'static str,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.registry.records.get(&key) else {
            return;
        };
        let Some(known) = self.registry.limits.get(key) else {
            return;
        };
        let Some(limit) = known.limit else {
            return;
        };
        let wait = known.bucket.time_to_token(now);
        actions.push(ForwardAction::Log(LoggedEvent::RequestHeldBack {
            query,
            service: record.entry.service.clone(),
            replica: record.entry.name.clone(),
            limit,
            share: known.bucket.rate(),
            outcome,
            wait: wait.unwrap_or(WAIT_MAX).min(WAIT_MAX),
        }));
    }

    fn log_limit(
        &self,
        key: ReplicaKey,
        change: LimitChange,
        from: Option<DaemonName>,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(record) = self.registry.records.get(&key) else {
            return;
        };
        actions.push(ForwardAction::Log(LoggedEvent::LimitChanged {
            replica: record.entry.name.clone(),
            service: record.entry.service.clone(),
            limit: change.after,
            before: change.before,
            from,
        }));
    }
}
