//! Requests of callers: their arrival, their replies and their answers.

use std::{
    rc::Rc,
    time::Duration, //
};

use http::{
    header,
    HeaderValue,
    StatusCode, //
};
use platform::{
    request_id,
    set_merged_headers,
    set_retry_after,
    time_left, //
};
use policy::forward::{
    ForwardAnswer,
    ForwardCall,
    ForwardEvent,
    RefusalReason,
    ReplicaKey, //
};
use schema::{
    AttemptId,
    QueryId,
    ReplicaName,
    RouteTarget,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    arrived_request::ArrivedRequest,
    call_desk::{
        CallDesk,
        CallHead, //
    },
    caller_reply::CallerReply,
    forward_loop::{
        ForwardLoop,
        RunningExchange, //
    },
    forward_metrics::RouteLabels,
    forward_notes::millis,
    replica_exchange::ExchangeEnd, //
};
use crate::{
    events,
    log_event, //
};

/// Longest time for which an idle connection to a replica is kept where another one is nearer: a
/// replica accepts fewer connections than there are daemons, and goes on counting those of daemons
/// that lost their power.
const FAR_LIMIT: Duration = Duration::from_secs(3);
/// When to ask again while there is no configuration: a start takes about that long.
const RETRY_STARTING: Duration = Duration::from_millis(500);

/// Why a request is refused at its arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EarlyRefusal {
    /// No configuration is known yet.
    Starting,
    /// No route of the table takes it.
    NoRoute,
    /// It has no id, or no usable one.
    NoId,
}

impl ForwardLoop {
    /// Takes a request in.
    pub(super) fn arrive(&mut self, now: TimePoint, arrived: ArrivedRequest) {
        let arrival = now - arrived.age;
        let (Some(index), true) = (self.index.clone(), self.feed.is_ready()) else {
            self.refuse(now, arrived, EarlyRefusal::Starting);
            return;
        };
        let Some(route) = index.find(host_of(&arrived), arrived.head.uri.path()) else {
            self.refuse(now, arrived, EarlyRefusal::NoRoute);
            return;
        };
        let Some(id) = request_id(&arrived.head.headers).cloned() else {
            self.refuse(now, arrived, EarlyRefusal::NoId);
            return;
        };
        let spec = &index.table.routes[route];
        let patience = time_left(&arrived.head.headers);
        let desk = CallDesk {
            head: Rc::new(CallHead::new(arrived.head, arrived.body, id)),
            route: spec.name.clone(),
            arrived: arrival,
            sends: 0,
            replica: None,
            attempts: if spec.idempotent { spec.attempts } else { 1 },
            replies: SmallVec::new(),
            relays: !matches!(spec.target, RouteTarget::Gather { .. }),
            answer: arrived.answer,
        };
        self.calls.insert(arrived.query, desk);
        let call = ForwardCall {
            index,
            route,
            time_left: patience.map(|patience| patience.saturating_sub(arrived.age)),
        };
        let query = arrived.query;
        self.decide(now, ForwardEvent::Arrived { query, call });
    }

    /// Forgets a request whose caller has left.
    pub(super) fn caller_gone(&mut self, now: TimePoint, query: QueryId) {
        let Some(desk) = self.calls.remove(&query) else {
            return;
        };
        self.count_answer(now, &desk, "caller_gone", None);
        self.decide(now, ForwardEvent::CallerGone { query });
    }

    /// Takes in the end of an exchange with a replica.
    pub(super) fn end_exchange(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        replica: ReplicaKey,
        end: ExchangeEnd,
    ) {
        // An exchange that was given up while its end was on the way changes nothing.
        let Some(RunningExchange { query, far, .. }) = self.running.remove(&attempt) else {
            return;
        };
        if end.opened {
            self.metrics.opened.inc();
        }
        if let Some(mut link) = end.link {
            if far {
                let limit = link.idle_limit.unwrap_or(FAR_LIMIT);
                link.idle_limit = Some(limit.min(FAR_LIMIT));
            }
            self.shelf.put(now, replica, link);
        }
        let event = match end.result {
            Ok(reply) => ForwardEvent::Replied { attempt, reply },
            Err(failure) => ForwardEvent::Failed { attempt, failure },
        };
        if let Some(reply) = end.reply {
            if let Some(desk) = self.calls.get_mut(&query).filter(|desk| desk.relays) {
                desk.replies.push((attempt, reply));
            }
        }
        self.decide(now, event);
    }

    /// Hands a request its answer.
    pub(super) fn answer(&mut self, now: TimePoint, query: QueryId, answer: ForwardAnswer) {
        let Some(mut desk) = self.calls.remove(&query) else {
            return;
        };
        let mut detail = None;
        let (result, reply) = match answer {
            ForwardAnswer::Relayed { attempt } => match desk.relay(attempt) {
                Some(reply) if reply.status.is_success() => ("served", reply),
                Some(reply) => ("relayed_failure", reply),
                None => ("lost_reply", status_reply(StatusCode::BAD_GATEWAY)),
            },
            ForwardAnswer::Merged {
                stamps,
                missing,
                records,
            } => {
                let mut reply = status_reply(StatusCode::OK);
                set_merged_headers(&mut reply.headers, &stamps, missing);
                reply.body = records;
                detail = Some(missing);
                (if missing == 0 { "served" } else { "partial" }, reply)
            }
            ForwardAnswer::NotRun {
                reason,
                retry_after: delay,
            } => {
                let mut reply = status_reply(StatusCode::SERVICE_UNAVAILABLE);
                set_retry_after(&mut reply.headers, delay);
                (reason.as_str(), reply)
            }
            ForwardAnswer::Failed { reason } => {
                let status = match reason {
                    RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
                    _ => StatusCode::BAD_GATEWAY,
                };
                (reason.as_str(), status_reply(status))
            }
        };
        self.count_answer(now, &desk, result, detail);
        // A caller that has just left reports it by its guard.
        let _ = desk.answer.send(reply);
    }

    /// Refuses a request that can't be served whatever the replicas do.
    fn refuse(&mut self, now: TimePoint, arrived: ArrivedRequest, refusal: EarlyRefusal) {
        let (reason, status) = match refusal {
            EarlyRefusal::Starting => ("starting", StatusCode::SERVICE_UNAVAILABLE),
            EarlyRefusal::NoRoute => ("no_route", StatusCode::NOT_FOUND),
            EarlyRefusal::NoId => ("no_id", StatusCode::BAD_REQUEST),
        };
        let mut reply = status_reply(status);
        if refusal == EarlyRefusal::Starting {
            set_retry_after(&mut reply.headers, RETRY_STARTING);
        }
        let label = [("reason", reason)];
        self.metrics.refusals.get_or_create(&label).inc();
        if self.notes.may_write(now, true) {
            let id = request_id(&arrived.head.headers);
            log_event!(
                self.notes.log, events::REQUEST_REFUSED,
                "request" => id.and_then(|id| id.to_str().ok()).unwrap_or(""), "reason" => reason,
                "host" => host_of(&arrived), "path" => arrived.head.uri.path(),
                "table" => self.feed.version().map_or(0, |version| version.0),
            );
        }
        // A caller that has just left reports it by its guard.
        let _ = arrived.answer.send(reply);
    }

    fn count_answer(
        &mut self,
        now: TimePoint,
        desk: &CallDesk,
        result: &'static str,
        missing: Option<usize>,
    ) {
        let route = desk.route.to_string();
        let age = now.since(desk.arrived);
        let label = [("route", route.clone())];
        let latency = self.metrics.latency.get_or_create(&label);
        latency.observe(age.as_secs_f64());
        let labels = RouteLabels { route, result };
        self.metrics.requests.get_or_create(&labels).inc();
        if !self.notes.may_write(now, result != "served") {
            return;
        }
        log_event!(
            self.notes.log, events::REQUEST_ENDED,
            "request" => desk.head.id.to_str().unwrap_or("?"), "route" => %desk.route,
            "result" => result, "replica" => desk.replica.as_ref().map(ReplicaName::as_str), "age_ms" => millis(age), "sends" => desk.sends, "attempts" => desk.attempts,
            "missing" => missing, "table" => self.feed.version().map_or(0, |version| version.0),
        );
    }
}

fn status_reply(status: StatusCode) -> CallerReply {
    CallerReply {
        status,
        ..CallerReply::default()
    }
}

fn host_of(arrived: &ArrivedRequest) -> &str {
    let host = arrived
        .head
        .headers
        .get(header::HOST)
        .map(HeaderValue::as_bytes);
    let host = host.and_then(|host| std::str::from_utf8(host).ok());
    host.or_else(|| arrived.head.uri.host()).unwrap_or("")
}
