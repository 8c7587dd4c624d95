//! Sends requests to other daemons that gather for this one or reach replicas that it does not, and takes
//! over theirs.

use std::{
    net::IpAddr,
    sync::atomic::Ordering,
    time::Duration, //
};

use policy::forward::{
    ForwardEvent,
    RelayCommand,
    RelayOffer,
    RelayOutcome,
    RelayRefusal, //
};
use schema::{
    peer::{
        stream_body::Body,
        BranchReply,
        OfferCall,
        RelayCall, //
    },
    AttemptId,
    BundleVersion,
    DaemonName,
    QueryId,
    TimePoint, //
};
use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::timeout, //
};

use super::{
    arrived_request::{
        ArrivedRequest,
        RelaySource, //
    },
    caller_reply::{
        CallerReply,
        ReplyVerdict, //
    },
    forward_loop::{
        ForwardLoop,
        RunningExchange, //
    },
    inbox_event::InboxEvent,
    relay_messages::{
        from_call,
        from_offer,
        from_reply,
        to_branch_answer,
        to_call,
        to_offer,
        to_reply,
        WantedShards, //
    },
    replica_exchange::{
        ReplicaReply,
        CONNECT_TIMEOUT, //
    },
    reply_budget::ReplyAccount,
};
use crate::{
    lifecycle::LifePhase,
    peering::RelayFailure, //
};

/// Longest wait for the answer of a daemon that is asked how many requests it takes. One that is only
/// short of processor time answers within it.
const OFFER_TIMEOUT: Duration = Duration::from_secs(1);

/// How often a relayed body is copied: into the message, and into the bytes of its frame.
const RELAY_COPIES: usize = 2;

impl ForwardLoop {
    /// Asks another daemon how many requests it takes.
    pub(super) fn ask_helper(&self, to: &DaemonName, helpers: u32) {
        let call = OfferCall {
            helpers,
            table: self.table_version().0,
        };
        let asked = self.peer_address(to);
        let asked = asked.map(|address| {
            let body = Body::OfferCall(call);
            self.peer_link
                .relay(address, body, CONNECT_TIMEOUT, |_| true)
        });
        let (events, to) = (self.events.clone(), to.clone());
        spawn_local(async move {
            let offer = match asked {
                Some(asked) => offer_of(timeout(OFFER_TIMEOUT, asked).await.ok()),
                None => Err(RelayRefusal::NoAnswer),
            };
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::OfferReceived(to, offer));
        });
    }

    /// Sends a request to another daemon.
    pub(super) fn relay(&mut self, now: TimePoint, command: RelayCommand) {
        let address = self.peer_address(&command.to);
        let Some(request) = self.requests.get_mut(&command.query) else {
            return;
        };
        request.helper = Some(command.to.clone());
        // Bodies of requests that many callers send at once would otherwise be copied for all of them.
        let copies = self.reply_budget.start_reply();
        let account = self.reply_budget.start_reply();
        let copied_bytes = RELAY_COPIES * request.template.body.len();
        let address = address.filter(|_| copied_bytes == 0 || copies.try_take(copied_bytes));
        let relay = address.map(|address| {
            let call = to_call(request, &command);
            let held = account.clone();
            let may_hold = move |bytes| held.try_take(bytes);
            self.peer_link
                .relay(address, call, command.connect_timeout, may_hold)
        });
        let events = self.events.clone();
        let (attempt, query) = (command.attempt, command.query);
        let bound = command.answer_by.since(now);
        let task = spawn_local(async move {
            let result = match relay {
                Some(relay) => match timeout(bound, relay).await {
                    Ok(Ok(Body::RelayReply(reply))) => Ok(BranchReply {
                        reply: Some(reply),
                        stamps: Vec::new(),
                    }),
                    Ok(Ok(Body::BranchReply(reply))) => Ok(*reply),
                    Ok(Err(failure)) => Err(failure),
                    _ => Err(RelayFailure::Broken),
                },
                None => Err(RelayFailure::Unsent),
            };
            drop(copies);
            let result = result.map(|reply| (reply, account));
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::RelayEnded(attempt, result));
        });
        let exchange = RunningExchange {
            query,
            far: false,
            abort_handle: task.abort_handle(),
        };
        self.exchanges.insert(attempt, exchange);
    }

    /// Keeps the answer of another daemon and passes the outcome to the engine.
    pub(super) fn end_relay(
        &mut self,
        now: TimePoint,
        attempt: AttemptId,
        result: Result<(BranchReply, ReplyAccount), RelayFailure>,
    ) {
        // The relay may have been cancelled while this event was queued.
        let Some(RunningExchange { query, .. }) = self.exchanges.remove(&attempt) else {
            return;
        };
        let (outcome, reply) = match result {
            Ok((mut branch, account)) => {
                let answer = to_branch_answer(&mut branch);
                let mut reply = branch.reply.unwrap_or_default();
                let instances = std::mem::take(&mut reply.leaving);
                self.dispatch(now, ForwardEvent::LeavingNamed { instances });
                if let Some(mut answer) = answer {
                    answer.records = account.attach(answer.records);
                    self.dispatch(now, ForwardEvent::BranchGathered { attempt, answer });
                    return;
                }
                let (outcome, reply) = from_reply(reply);
                (
                    outcome,
                    reply.map(|(head, body)| (head, account.attach(body))),
                )
            }
            Err(RelayFailure::Unsent) => (RelayOutcome::Declined(RelayRefusal::NoAnswer), None),
            Err(RelayFailure::Broken) => (RelayOutcome::Broken, None),
        };
        if let (Some((head, body)), Some(request)) = (reply, self.requests.get_mut(&query)) {
            request.replies.push((attempt, ReplicaReply { head, body }));
        }
        self.dispatch(now, ForwardEvent::RelayEnded { attempt, outcome });
    }

    /// Whether `address` is that of the member `name`. Only members may relay requests, because they
    /// say who the caller is.
    pub(super) fn is_peer(&self, name: &str, address: IpAddr) -> bool {
        let mut members = self.peers.members();
        members.any(|member| member.daemon.as_str() == name && member.address.ip() == address)
    }

    /// Answers a daemon that asks how many requests this one takes.
    pub(super) fn answer_offer(
        &mut self,
        now: TimePoint,
        from: &str,
        call: &OfferCall,
        reply_sender: oneshot::Sender<Body>,
    ) {
        let Ok(from) = from.parse::<DaemonName>() else {
            return;
        };
        let tables = (self.table_version(), BundleVersion(call.table));
        let offer = match self.phase() {
            LifePhase::Ready => self.engine.offer(now, &from, call.helpers, tables),
            _ => Err(RelayRefusal::NotReady),
        };
        // The peer may have closed the connection meanwhile.
        let _ = reply_sender.send(Body::OfferReply(to_offer(offer)));
    }

    /// Takes over a request of another daemon. If that closes the connection, the request is dropped
    /// as if its caller had left.
    pub(super) fn take_relayed(
        &mut self,
        now: TimePoint,
        from: &str,
        call: RelayCall,
        wanted: Option<WantedShards>,
        reply_sender: oneshot::Sender<Body>,
    ) {
        let of_branch = wanted.is_some();
        let table = BundleVersion(call.table);
        let refusal = match self.phase() {
            LifePhase::Ready if self.table_version() < table => Some(RelayRefusal::OldTable),
            // Its own gathers use the older table, and must not follow one that used this one.
            LifePhase::Ready if of_branch && self.table_version() > table => {
                Some(RelayRefusal::NewTable)
            }
            LifePhase::Ready => None,
            _ => Some(RelayRefusal::NotReady),
        };
        if let Some(refusal) = refusal {
            let declined = CallerReply {
                verdict: ReplyVerdict::Declined(refusal),
                ..CallerReply::default()
            };
            // The peer may have closed the connection meanwhile.
            let _ = reply_sender.send(to_reply(declined, of_branch));
            return;
        }
        // A malformed message closes the connection.
        let (Some(request), Ok(from)) = (from_call(call, wanted), from.parse::<DaemonName>())
        else {
            return;
        };
        let query = QueryId(self.last_query.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, receiver) = oneshot::channel::<CallerReply>();
        self.spawn_relay_answer((query, of_branch), receiver, reply_sender);
        self.metrics.relays_taken.inc();
        let arrived = ArrivedRequest {
            query,
            head: request.head,
            body: request.body,
            read_time: Duration::ZERO,
            relayed: Some(RelaySource {
                daemon: from,
                table,
                terms: request.terms,
            }),
            shards: request.shards,
            reply_sender: sender,
        };
        self.accept_request(now, arrived);
    }

    fn spawn_relay_answer(
        &self,
        (query, of_branch): (QueryId, bool),
        receiver: oneshot::Receiver<CallerReply>,
        mut reply_sender: oneshot::Sender<Body>,
    ) {
        let events = self.events.clone();
        spawn_local(async move {
            tokio::select! {
                reply = receiver => {
                    // Without a reply the request may have run, so the connection is only closed.
                    if let Ok(reply) = reply {
                        let _ = reply_sender.send(to_reply(reply, of_branch));
                    }
                }
                () = reply_sender.closed() => {
                    // The channel is closed only when the process ends.
                    let _ = events.send(InboxEvent::CallerGone(query));
                }
            }
        });
    }

    /// Version of the route table in force; 0 before the first.
    pub(super) fn table_version(&self) -> BundleVersion {
        let index = self.route_index.as_ref();
        index.map_or(BundleVersion(0), |index| index.table.version)
    }

    fn peer_address(&self, name: &DaemonName) -> Option<std::net::SocketAddr> {
        self.peers.member(name).map(|member| member.address)
    }
}

fn offer_of(answer: Option<Result<Body, RelayFailure>>) -> RelayOffer {
    match answer {
        Some(Ok(Body::OfferReply(reply))) => from_offer(&reply),
        _ => Err(RelayRefusal::NoAnswer),
    }
}
