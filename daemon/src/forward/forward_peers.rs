//! What the loop does with the other daemons.

use std::{
    future::Future,
    net::SocketAddr,
    time::Duration, //
};

use policy::{
    directory::{
        FeedAnswer,
        FeedPage,
        FeedPeer, //
    },
    forward::ForwardEvent,
    peers::{
        MemberState,
        PeerAction,
        PeerEvent,
        PeerMember, //
    },
};
use schema::{
    peer::{
        stream_body::Body,
        DirectoryCall,
        DirectoryReply,
        SyncBody, //
    },
    DaemonName,
    TimePoint, //
};
use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::timeout, //
};

use super::{
    desk_event::{
        DeskEvent,
        DirectoryNews, //
    },
    forward_loop::ForwardLoop, //
};
use crate::{
    events,
    log_event,
    peering::PeerInput, //
};

/// A daemon that waits for news of the directory.
#[derive(Debug)]
pub(super) struct WaitingCall {
    after: Option<u64>,
    asked: TimePoint,
    due: TimePoint,
    reply: oneshot::Sender<Body>,
}

impl ForwardLoop {
    /// Takes in what a peer sent.
    pub(super) fn take_input(&mut self, input: PeerInput) {
        let now = self.clock.now();
        match input {
            PeerInput::Datagram { bytes } => self.tell_peers(now, PeerEvent::Datagram { bytes }),
            PeerInput::Called { body, reply, .. } => self.answer_peer(now, body, reply),
        }
    }

    /// Tells membership of an event and does what it asks.
    pub(super) fn tell_peers(&mut self, now: TimePoint, event: PeerEvent) {
        let mut actions = Vec::new();
        self.peers.on_event(now, event, &mut actions);
        for action in actions {
            match action {
                PeerAction::Send { to, bytes } => self.link.send(to, &bytes),
                PeerAction::AskSync { to, body } => self.ask_sync(to, body),
                PeerAction::ReplySync { reply_to, body } => {
                    if let Some(reply) = self.sync_replies.remove(&reply_to) {
                        // The peer has gone away meanwhile.
                        let _ = reply.send(Body::SyncReply(body));
                    }
                }
                PeerAction::MembersChanged => self.members_changed(now),
                PeerAction::MemberGone { daemon, .. } => {
                    log_event!(self.notes.log, events::PEER_GONE, "name" => %daemon);
                }
                // The directory carries tables and drains.
                PeerAction::BundleAhead { .. }
                | PeerAction::DrainHeard { .. }
                | PeerAction::QuarantineHeard { .. } => {}
            }
        }
    }

    /// Answers the daemons that wait for news and get some, or have waited long enough.
    pub(super) fn serve_waiting(&mut self, now: TimePoint) {
        for call in std::mem::take(&mut self.waiting) {
            self.answer_feed(now, call.after, call.asked, call.reply);
        }
    }

    /// When [`Self::serve_waiting`] is due.
    pub(super) fn feed_due(&self) -> TimePoint {
        let dues = self.waiting.iter().map(|call| call.due);
        dues.min().unwrap_or(TimePoint::NEVER)
    }

    /// Asks a reader for news of the directory.
    pub(super) fn ask_feed(
        &self,
        to: SocketAddr,
        after: Option<u64>,
    ) -> impl Future<Output = Option<FeedPage>> + 'static {
        let call = Body::DirectoryCall(DirectoryCall {
            after: after.unwrap_or_default(),
            whole: after.is_none(),
        });
        let calling = self.link.call(to, call);
        async move {
            let Ok(Body::DirectoryReply(reply)) = calling.await else {
                return None;
            };
            // An empty page is that of a daemon that does not know what is new.
            postcard::from_bytes(&reply.page).ok()
        }
    }

    fn answer_peer(&mut self, now: TimePoint, body: Body, reply: oneshot::Sender<Body>) {
        match body {
            Body::SyncCall(body) => {
                self.last_reply += 1;
                self.sync_replies.retain(|_, waiting| !waiting.is_closed());
                self.sync_replies.insert(self.last_reply, reply);
                let reply_to = self.last_reply;
                self.tell_peers(now, PeerEvent::SyncAsked { reply_to, body });
            }
            Body::DirectoryCall(call) => {
                let after = Some(call.after).filter(|_| !call.whole);
                self.answer_feed(now, after, now, reply);
            }
            // Nothing else is spoken here.
            _ => {}
        }
    }

    fn answer_feed(
        &mut self,
        now: TimePoint,
        after: Option<u64>,
        asked: TimePoint,
        reply: oneshot::Sender<Body>,
    ) {
        if reply.is_closed() {
            return;
        }
        let page = match self.feed.answer(now, after, asked) {
            FeedAnswer::Page(page) => {
                let page = postcard::to_allocvec(&page).unwrap_or_default();
                match self.pages.take(now, page.len()) {
                    true => page,
                    false => Vec::new(),
                }
            }
            FeedAnswer::Stale => Vec::new(),
            FeedAnswer::Wait(due) => {
                self.waiting.push(WaitingCall {
                    after,
                    asked,
                    due,
                    reply,
                });
                return;
            }
        };
        // The peer has gone away meanwhile.
        let _ = reply.send(Body::DirectoryReply(DirectoryReply { page }));
    }

    fn ask_sync(&self, to: SocketAddr, body: SyncBody) {
        let calling = self.link.call(to, Body::SyncCall(body));
        let events = self.events.clone();
        spawn_local(async move {
            let body = match calling.await {
                Ok(Body::SyncReply(body)) => Some(body),
                _ => None,
            };
            // The loop is gone only when the process ends.
            let _ = events.send(DeskEvent::SyncAnswered(body));
        });
    }

    fn members_changed(&mut self, now: TimePoint) {
        let alive = |member: &&PeerMember| member.state == MemberState::Alive;
        let peers = self.peers.members().filter(alive).map(|member| FeedPeer {
            daemon: member.daemon.clone(),
            address: member.address,
            zone: member.zone.clone(),
        });
        self.feed.set_peers(peers.collect());
        // The dead count too: one that can't be heard may still spend its share.
        let daemons = u32::try_from(self.peers.members().count()).unwrap_or(u32::MAX);
        let daemons = daemons.saturating_add(1);
        self.metrics.daemons.set(i64::from(daemons));
        if self.notes.may_write(now, true) {
            log_event!(self.notes.log, events::PEERS_CHANGED, "daemons" => daemons);
        }
        self.decide(now, ForwardEvent::DaemonsCounted { daemons });
    }

    /// Takes in the answer of a reader.
    pub(super) fn reader_told(
        &mut self,
        now: TimePoint,
        daemon: &DaemonName,
        page: Option<FeedPage>,
    ) {
        match page {
            Some(page) => {
                let (effects, back) = self.feed.peer_told(now, page);
                if back {
                    log_event!(self.notes.log, events::STORE_RECOVERED);
                }
                self.take_effects(now, effects);
            }
            None => {
                self.feed.peer_failed(now, daemon);
                if self.notes.may_write(now, true) {
                    log_event!(self.notes.log, events::READER_FAILED, "name" => %daemon);
                }
            }
        }
    }

    /// The reply to a step of the directory's watch that asks a reader.
    pub(super) fn ask_reader(
        &self,
        to: SocketAddr,
        daemon: DaemonName,
        after: Option<u64>,
        patience: Duration,
    ) {
        let asking = self.ask_feed(to, after);
        let events = self.events.clone();
        spawn_local(async move {
            let page = timeout(patience, asking).await.ok().flatten();
            let news = DirectoryNews::ReaderTold { daemon, page };
            // The loop is gone only when the process ends.
            let _ = events.send(DeskEvent::Directory(news));
        });
    }
}
