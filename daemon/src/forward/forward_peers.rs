//! Communication of the forwarding loop with the other daemons: calls that arrive, and membership.

use std::net::SocketAddr;

use policy::{
    directory::{
        FeedPeer,
        FeedPosition, //
    },
    forward::{
        ForwardEvent,
        RelayPeer, //
    },
    peers::{
        ContactRole,
        MemberState,
        PeerAction,
        PeerEvent,
        PeerMember, //
    },
};
use schema::{
    peer::{
        note_entry::Note,
        stream_body::Body,
        NoteEntry,
        SyncBody, //
    },
    TimePoint, //
};
use tokio::{
    sync::oneshot,
    task::spawn_local, //
};

use super::{forward_loop::ForwardLoop, inbox_event::InboxEvent, relay_messages::split_call};
use crate::{
    events,
    log_event,
    peering::PeerInput, //
};

impl ForwardLoop {
    /// Handles a message of a peer.
    pub(super) fn handle_peer_input(&mut self, input: PeerInput) {
        let now = self.clock.now();
        match input {
            PeerInput::Datagram { bytes } => self.update_peers(now, PeerEvent::Datagram { bytes }),
            PeerInput::Called {
                from,
                address,
                body,
                reply,
            } => match body {
                Body::OfferCall(call) if self.is_peer(&from, address) => {
                    self.answer_offer(now, &from, &call, reply);
                }
                Body::RelayCall(call) if self.is_peer(&from, address) => {
                    self.take_relayed(now, &from, call, None, reply);
                }
                Body::BranchCall(branch) if self.is_peer(&from, address) => {
                    let (call, terms) = split_call(*branch);
                    self.take_relayed(now, &from, call, Some(terms), reply);
                }
                body => self.answer_peer_call(now, body, reply),
            },
        }
    }

    /// Passes an event to the membership protocol and carries out its actions.
    pub(super) fn update_peers(&mut self, now: TimePoint, event: PeerEvent) {
        let mut actions = Vec::new();
        self.peers.on_event(now, event, &mut actions);
        for action in actions {
            match action {
                PeerAction::Send { to, bytes } => self.peer_link.send(to, &bytes),
                PeerAction::RequestSync { to, body } => {
                    let body = self.with_crash_notices(body);
                    self.spawn_sync(to, body);
                }
                PeerAction::ReplySync { reply_to, body } => {
                    let body = self.with_crash_notices(body);
                    if let Some(reply) = self.sync_replies.remove(&reply_to) {
                        // The peer may have closed the connection meanwhile.
                        let _ = reply.send(Body::SyncReply(body));
                    }
                }
                PeerAction::MembersChanged => self.apply_members(now),
                PeerAction::MemberGone { daemon, .. } => {
                    log_event!(self.log.logger, events::PEER_GONE, "name" => %daemon);
                }
                PeerAction::CrashReceived { notice } => {
                    self.dispatch(now, ForwardEvent::CrashReported(notice));
                }
                PeerAction::LimitsReceived { from, notice } => {
                    self.dispatch(now, ForwardEvent::LimitsReported { from, notice });
                }
                PeerAction::RatesReceived { from, message } => {
                    self.dispatch(now, ForwardEvent::RatesReceived { from, message });
                }
                // On this platform, route tables and drains come from the directory, and crashes are
                // reported as notices.
                PeerAction::FetchBundle { .. }
                | PeerAction::DrainReceived { .. }
                | PeerAction::QuarantineReceived { .. } => {}
            }
        }
    }

    /// Adds the crashes that this daemon knows to the state that it sends a peer.
    fn with_crash_notices(&self, mut body: SyncBody) -> SyncBody {
        let notices = self.engine.crash_notices();
        let notes = notices.iter().map(|notice| NoteEntry {
            note: Some(Note::Crash(notice.to_note())),
        });
        body.notes.extend(notes);
        body
    }

    fn answer_peer_call(
        &mut self,
        now: TimePoint,
        body: Body,
        reply_sender: oneshot::Sender<Body>,
    ) {
        match body {
            Body::SyncCall(body) => {
                self.last_sync_id += 1;
                self.sync_replies.retain(|_, sender| !sender.is_closed());
                self.sync_replies.insert(self.last_sync_id, reply_sender);
                let reply_to = self.last_sync_id;
                self.update_peers(now, PeerEvent::SyncRequested { reply_to, body });
            }
            Body::DirectoryCall(_) | Body::SharedCall(_) => {
                let (call, shared) = match body {
                    Body::SharedCall(call) => (call.call, true),
                    Body::DirectoryCall(call) => (Some(call), false),
                    _ => return,
                };
                let call = call.unwrap_or_default();
                let after = FeedPosition {
                    era: call.era,
                    revision: call.after,
                };
                let after = Some(after).filter(|_| !call.whole);
                self.answer_poll(now, (after, shared), now, reply_sender);
            }
            // Daemons of this platform send no other calls, and requests are relayed by members only.
            _ => {}
        }
    }

    fn spawn_sync(&self, to: SocketAddr, body: SyncBody) {
        let reply = self.peer_link.call(to, Body::SyncCall(body));
        let events = self.events.clone();
        spawn_local(async move {
            let body = match reply.await {
                Ok(Body::SyncReply(body)) => Some(body),
                _ => None,
            };
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::SyncAnswered(body));
        });
    }

    /// Number of daemons that this one knows, with itself. Dead members count too: a daemon that is unreachable
    /// from here may still spend its share of the retry budget.
    pub(super) fn known_daemons(&self) -> u32 {
        let others = u32::try_from(self.peers.members().count()).unwrap_or(u32::MAX);
        others.saturating_add(1)
    }

    pub(super) fn apply_members(&mut self, now: TimePoint) {
        let is_alive = |member: &&PeerMember| member.state == MemberState::Alive;
        let peers = self
            .peers
            .members()
            .filter(is_alive)
            .map(|member| FeedPeer {
                daemon: member.daemon.clone(),
                address: member.address,
                zone: member.zone.clone(),
            });
        let peers: Vec<FeedPeer> = peers.collect();
        let others = peers.iter().map(|peer| peer.daemon.clone()).collect();
        let members = self.peers.members().filter(is_alive);
        let relay_peers = members.map(|member| RelayPeer {
            daemon: member.daemon.clone(),
            zone: member.zone.clone(),
            // The daemons of an older build name none, and those of this platform have no cells.
            capacity: member.cell.parse().unwrap_or_default(),
            build: member.build(),
        });
        let relay_peers = relay_peers.collect();
        self.dispatch(now, ForwardEvent::RelayPeersListed(relay_peers));
        self.feed.set_peers(peers);
        let unmet = match self.peers.contact_role() {
            ContactRole::Alone => self.contacts.unmet_daemons(),
            ContactRole::Keeper | ContactRole::Member => 0,
        };
        let daemons = self.known_daemons().max(unmet);
        self.metrics.daemons.set(i64::from(daemons));
        if self.log.take_permit(now, true) {
            log_event!(self.log.logger, events::PEERS_CHANGED, "daemons" => daemons);
        }
        self.dispatch(now, ForwardEvent::DaemonsCounted { daemons, others });
    }
}
