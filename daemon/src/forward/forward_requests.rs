//! Handling of callers' requests in the forwarding loop: arrival, replies of replicas, answers.

use std::{
    rc::Rc,
    time::Duration, //
};

use compact_str::CompactString;
use http::StatusCode;
use platform::{
    request_id,
    set_key_challenge,
    set_merged_headers,
    set_retry_after,
    time_left, //
};
use policy::forward::{
    ForwardAnswer,
    ForwardCall,
    ForwardEvent,
    RefusalReason,
    RelayRefusal,
    ReplicaKey, //
};
use schema::{
    peer::ShardStamp,
    AccountName,
    AttemptId,
    DaemonName,
    QueryId,
    ReplicaName,
    RouteTarget,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    arrived_request::ArrivedRequest,
    caller_reply::{
        CallerReply,
        ReplyVerdict, //
    },
    forward_log::millis,
    forward_loop::{
        ForwardLoop,
        RunningExchange, //
    },
    forward_metrics::RouteLabels,
    pending_request::{
        PendingRequest,
        RequestTemplate, //
    },
    replica_exchange::ExchangeOutcome,
    request_access::AccessRefusal, //
};
use crate::{
    events,
    log_event, //
};

/// Longest time for which an idle connection is kept if another replica of the service is nearer.
/// A replica accepts fewer connections than there are daemons, and it still counts the connections
/// of daemons that lost power.
const FAR_IDLE_LIMIT: Duration = Duration::from_secs(3);
/// Value of `retry-after` while no configuration is known; a daemon starts in about this time.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Why a request is refused on arrival, before any replica is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EarlyRefusal {
    /// The daemon has not read a configuration yet.
    Starting,
    /// No route of the table matches the host and path.
    NoRoute,
    /// The request id is missing or invalid.
    NoId,
    /// The request is not let in.
    NoAccess(AccessRefusal),
}

impl ForwardLoop {
    /// Finds the route of a request and passes it to the engine, or refuses it.
    pub(super) fn accept_request(&mut self, now: TimePoint, arrived: ArrivedRequest) {
        let arrival_time = now - arrived.read_time;
        let (Some(index), true) = (self.route_index.clone(), self.feed.is_ready()) else {
            self.refuse(now, arrived, EarlyRefusal::Starting);
            return;
        };
        let Some(route) = index.find(arrived.host(), arrived.head.uri.path()) else {
            self.refuse(now, arrived, EarlyRefusal::NoRoute);
            return;
        };
        let spec = &index.table.routes[route];
        let access = match self.check_access(&arrived, &index, spec.public) {
            Ok(access) => access,
            Err(refusal) => {
                self.refuse(now, arrived, EarlyRefusal::NoAccess(refusal));
                return;
            }
        };
        let Some(id) = request_id(&arrived.head.headers).cloned() else {
            self.refuse(now, arrived, EarlyRefusal::NoId);
            return;
        };
        let caller_timeout = time_left(&arrived.head.headers);
        let identity = arrived.identity();
        let caller = arrived.caller();
        let account = access.account.clone();
        let template = RequestTemplate::new(arrived.head, arrived.body, id, &access);
        let relay = arrived.relayed;
        let request = PendingRequest {
            template: Rc::new(template),
            access,
            route: spec.name.clone(),
            arrived_at: arrival_time,
            sends: 0,
            directory_age: None,
            last_replica: None,
            caller,
            is_branch: !arrived.shards.is_empty(),
            relayed_by: relay.as_ref().map(|relay| relay.daemon.clone()),
            helper: None,
            max_attempts: if spec.idempotent { spec.attempts } else { 1 },
            replies: SmallVec::new(),
            keeps_replies: !matches!(spec.target, RouteTarget::Gather { .. }),
            reply_sender: arrived.reply_sender,
        };
        self.requests.insert(arrived.query, request);
        let call = ForwardCall {
            index,
            route,
            time_left: caller_timeout.map(|timeout| timeout.saturating_sub(arrived.read_time)),
            identity,
            shards: arrived.shards,
            account,
            terms: relay.map(|relay| relay.terms),
        };
        let query = arrived.query;
        self.dispatch(now, ForwardEvent::Arrived { query, call });
    }

    /// Drops a request whose caller has closed its connection.
    pub(super) fn drop_request(&mut self, now: TimePoint, query: QueryId) {
        let Some(request) = self.requests.remove(&query) else {
            return;
        };
        self.record_answer(now, &request, "caller_gone", None, None);
        self.dispatch(now, ForwardEvent::CallerGone { query });
    }

    /// Keeps the connection of an ended exchange and passes the outcome to the engine.
    pub(super) fn end_exchange(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        replica: ReplicaKey,
        outcome: ExchangeOutcome,
    ) {
        // The exchange may have been cancelled while this event was queued.
        let Some(RunningExchange { query, far, .. }) = self.exchanges.remove(&attempt) else {
            return;
        };
        if outcome.opened {
            self.metrics.connections_opened.inc();
        }
        if let Some(mut link) = outcome.link {
            if far {
                let limit = link.idle_limit.unwrap_or(FAR_IDLE_LIMIT);
                link.idle_limit = Some(limit.min(FAR_IDLE_LIMIT));
            }
            self.idle_pool.put(now, replica, link);
        }
        if outcome.opened && outcome.result.is_ok() {
            let event = ForwardEvent::Connected {
                replica,
                opened: true,
            };
            self.dispatch(now, event);
        }
        let event = match outcome.result {
            Ok(reply) => ForwardEvent::Replied { attempt, reply },
            Err(failure) => ForwardEvent::Failed { attempt, failure },
        };
        if let Some(reply) = outcome.reply {
            if let Some(request) = self
                .requests
                .get_mut(&query)
                .filter(|request| request.keeps_replies)
            {
                request.replies.push((attempt, reply));
            }
        }
        self.dispatch(now, event);
    }

    /// Sends the answer that the engine decided on to the caller.
    pub(super) fn answer(&mut self, now: TimePoint, query: QueryId, answer: ForwardAnswer) {
        let Some(mut request) = self.requests.remove(&query) else {
            return;
        };
        let mut missing_parts = None;
        let mut refused = None;
        let (result, reply) = match answer {
            ForwardAnswer::Relayed { attempt } => match request.take_reply(attempt) {
                Some(reply) if reply.status.is_success() => ("served", reply),
                Some(reply) => ("relayed_failure", reply),
                None => ("lost_reply", status_reply(StatusCode::BAD_GATEWAY)),
            },
            ForwardAnswer::Merged {
                stamps,
                shards,
                missing,
                records,
            } => {
                let mut reply = status_reply(StatusCode::OK);
                match request.is_branch {
                    true => reply.stamps = shard_stamps(shards, stamps),
                    false => set_merged_headers(&mut reply.headers, &stamps, missing),
                }
                reply.body = records;
                missing_parts = Some(missing);
                (if missing == 0 { "served" } else { "partial" }, reply)
            }
            ForwardAnswer::NotRun {
                reason,
                retry_after: delay,
            } => {
                let mut reply = status_reply(match reason {
                    RefusalReason::Quota => StatusCode::TOO_MANY_REQUESTS,
                    RefusalReason::KeyRevoked => StatusCode::UNAUTHORIZED,
                    _ => StatusCode::SERVICE_UNAVAILABLE,
                });
                match reason {
                    RefusalReason::KeyRevoked => set_key_challenge(&mut reply.headers),
                    _ => set_retry_after(&mut reply.headers, delay),
                }
                reply.verdict = ReplyVerdict::NotRun;
                refused = Some((reason, delay));
                (reason.as_str(), reply)
            }
            ForwardAnswer::Declined { refusal } => {
                let mut reply = status_reply(StatusCode::SERVICE_UNAVAILABLE);
                reply.verdict = ReplyVerdict::Declined(refusal);
                ("declined", reply)
            }
            ForwardAnswer::Failed { reason } => {
                let status = match reason {
                    RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
                    _ => StatusCode::BAD_GATEWAY,
                };
                (reason.as_str(), status_reply(status))
            }
        };
        self.record_answer(now, &request, result, Some(reply.status), missing_parts);
        self.log_account_refusal(now, &request, refused);
        let leaving = match request.relayed_by {
            Some(_) => self.engine.leaving_instances(),
            None => Vec::new(),
        };
        let reply = CallerReply { leaving, ..reply };
        // If the caller has just disconnected, `DisconnectGuard` reports it.
        let _ = request.reply_sender.send(reply);
    }

    /// Answers a request that is refused on arrival, and counts and logs it.
    fn refuse(&mut self, now: TimePoint, arrived: ArrivedRequest, refusal: EarlyRefusal) {
        let (reason, status) = match refusal {
            EarlyRefusal::Starting => ("starting", StatusCode::SERVICE_UNAVAILABLE),
            EarlyRefusal::NoRoute => ("no_route", StatusCode::NOT_FOUND),
            EarlyRefusal::NoId => ("no_id", StatusCode::BAD_REQUEST),
            EarlyRefusal::NoAccess(AccessRefusal::Key(fault)) => {
                (fault.as_str(), StatusCode::UNAUTHORIZED)
            }
            EarlyRefusal::NoAccess(AccessRefusal::NoAccount) => {
                ("no_account", StatusCode::SERVICE_UNAVAILABLE)
            }
        };
        let mut reply = status_reply(status);
        reply.verdict = ReplyVerdict::NotRun;
        match refusal {
            EarlyRefusal::Starting => {
                set_retry_after(&mut reply.headers, STARTING_RETRY_AFTER);
                reply.verdict = ReplyVerdict::Declined(RelayRefusal::NotReady);
            }
            EarlyRefusal::NoAccess(AccessRefusal::NoAccount) => {
                reply.verdict = ReplyVerdict::Declined(RelayRefusal::NewTable);
            }
            EarlyRefusal::NoAccess(AccessRefusal::Key(_)) => set_key_challenge(&mut reply.headers),
            EarlyRefusal::NoRoute | EarlyRefusal::NoId => {}
        }
        let label = [("reason", reason)];
        self.metrics.refusals.get_or_create(&label).inc();
        match refusal {
            EarlyRefusal::NoAccess(refusal) => self.log_no_access(now, &arrived, refusal),
            _ => self.log_refusal(now, &arrived, reason),
        }
        // If the caller has just disconnected, `DisconnectGuard` reports it.
        let _ = arrived.reply_sender.send(reply);
    }

    fn log_refusal(&mut self, now: TimePoint, arrived: &ArrivedRequest, reason: &'static str) {
        if !self.log.take_permit(now, true) {
            return;
        }
        let id = request_id(&arrived.head.headers);
        log_event!(
            self.log.logger, events::REQUEST_REFUSED,
            "request" => id.and_then(|id| id.to_str().ok()).unwrap_or(""), "reason" => reason,
            "host" => arrived.host(), "path" => arrived.head.uri.path(),
            "table" => self.feed.version().map_or(0, |version| version.0),
        );
    }

    fn record_answer(
        &mut self,
        now: TimePoint,
        request: &PendingRequest,
        result: &'static str,
        status: Option<StatusCode>,
        missing_parts: Option<usize>,
    ) {
        let route = request.route.to_string();
        let age = now.since(request.arrived_at);
        let label = [("route", route.clone())];
        let latency = self.metrics.latency.get_or_create(&label);
        latency.observe(age.as_secs_f64());
        let labels = RouteLabels { route, result };
        self.metrics.requests.get_or_create(&labels).inc();
        let account = request.access.account_name();
        // A relayed request is counted by the daemon that the caller reached.
        if let (Some(account), None) = (account, &request.relayed_by) {
            self.account_counts.count(&self.metrics, account, result);
        }
        if !self.log.take_permit(now, result != "served") {
            return;
        }
        log_event!(
            self.log.logger, events::REQUEST_ENDED,
            "request" => request.template.id.to_str().unwrap_or("?"), "route" => %request.route,
            "account" => request.access.account_name().map(AccountName::as_str),
            "result" => result, "status" => status.map(|status| status.as_u16()),
            "helper" => request.helper.as_ref().map(DaemonName::as_str),
            "relayed_by" => request.relayed_by.as_ref().map(DaemonName::as_str),
            "replica" => request.last_replica.as_ref().map(ReplicaName::as_str),
            "age_ms" => millis(age), "sends" => request.sends, "attempts" => request.max_attempts,
            "missing" => missing_parts,
            "table" => self.feed.version().map_or(0, |version| version.0),
            "directory_age_ms" => request.directory_age.map(millis),
        );
    }
}

fn shard_stamps(shards: Vec<u32>, stamps: Vec<CompactString>) -> Vec<ShardStamp> {
    let entries = shards.into_iter().zip(stamps);
    let entries = entries.map(|(shard, stamp)| ShardStamp {
        shard,
        stamp: stamp.into(),
    });
    entries.collect()
}

fn status_reply(status: StatusCode) -> CallerReply {
    CallerReply {
        status,
        ..CallerReply::default()
    }
}
