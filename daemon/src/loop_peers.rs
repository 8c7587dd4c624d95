//! What the loop does with the other daemons.

use std::net::SocketAddr;

use policy::{
    charges::{
        ChargeEvent,
        CopyPeer, //
    },
    engine::EngineEvent,
    peers::{
        MemberState,
        PeerAction,
        PeerEvent,
        PeerMember, //
    }, //
};
use prost::Message;
use rand::Rng;
use schema::{
    bundle::{
        BundleHead,
        SignedBundle, //
    },
    peer::{
        stream_body::Body,
        BundleCall,
        BundleReply,
        CopyCall,
        DoneReply,
        ListCall,
        ListReply,
        SyncBody, //
    },
    platform::VmList,
    BundleVersion,
    DaemonName,
    TimePoint, //
};
use tokio::{
    sync::oneshot,
    task::spawn_local, //
};

use crate::{
    daemon_core::DaemonCore,
    events,
    log_event,
    loop_event::LoopEvent,
    peer_entry::PeerEntry,
    peering::PeerInput, //
};

impl DaemonCore {
    /// Takes in what a peer sent.
    pub(crate) fn take_input(&mut self, now: TimePoint, input: PeerInput) {
        match input {
            PeerInput::Datagram { bytes } => {
                self.tell_peers(now, PeerEvent::Datagram { bytes });
            }
            PeerInput::Called { body, reply, .. } => self.answer_peer(now, body, reply),
        }
    }

    /// Tells membership of an event and does what it asks.
    pub(crate) fn tell_peers(&mut self, now: TimePoint, event: PeerEvent) {
        let mut actions = Vec::new();
        self.peers.on_event(now, event, &mut actions);
        for action in actions {
            self.do_peer_action(now, action);
        }
        self.watching.send_if_modified(|watching| {
            let changed = *watching != self.peers.is_watcher();
            *watching = self.peers.is_watcher();
            changed
        });
    }

    /// Tells membership of the daemons that the VM list names.
    pub(crate) fn list_daemons(&mut self, now: TimePoint, list: &VmList) {
        let daemons = list.vms.iter().filter(|vm| vm.role == "daemon");
        let addresses = daemons.filter_map(|vm| vm.peer.parse().ok());
        let addresses = addresses.collect();
        self.tell_peers(now, PeerEvent::VmListRead { addresses });
    }

    fn do_peer_action(&mut self, now: TimePoint, action: PeerAction) {
        match action {
            PeerAction::Send { to, bytes } => self.link.send(to, &bytes),
            PeerAction::RequestSync { to, body } => self.ask_sync(to, body),
            PeerAction::ReplySync { reply_to, body } => {
                self.reply_peer(reply_to, Body::SyncReply(body));
            }
            PeerAction::MembersChanged => self.members_changed(now),
            PeerAction::MemberGone {
                daemon,
                incarnation,
            } => {
                log_event!(self.log, events::PEER_GONE, "name" => %daemon);
                let gone = ChargeEvent::PeerGone {
                    daemon,
                    incarnation,
                };
                self.tell_charges(now, gone);
            }
            PeerAction::FetchBundle { from, version } => self.fetch_bundle(from, version),
            PeerAction::DrainReceived { vm, until } => {
                self.tell(now, EngineEvent::DrainReported { vm, until });
            }
            PeerAction::QuarantineReceived {
                print,
                deaths,
                until,
            } => {
                let heard = EngineEvent::QuarantineReported {
                    print,
                    deaths,
                    until,
                };
                self.tell(now, heard);
            }
        }
    }

    fn members_changed(&mut self, now: TimePoint) {
        let daemons = self.peers.daemon_count();
        let alive = |member: &&PeerMember| member.state == MemberState::Alive;
        let peers = self.peers.members().filter(alive).map(copy_peer).collect();
        log_event!(self.log, events::PEERS_CHANGED, "daemons" => daemons);
        self.tell(now, EngineEvent::DaemonsChanged { daemons });
        self.tell_charges(now, ChargeEvent::PeersChanged { peers });
        self.ask_list();
    }

    fn answer_peer(&mut self, now: TimePoint, body: Body, reply: oneshot::Sender<Body>) {
        match body {
            Body::BundleCall(call) => {
                // A peer without an answer asks another.
                if let Some(bundle) = self.bundle_reply(call.have_version) {
                    let _ = reply.send(Body::BundleReply(bundle));
                }
            }
            Body::CopyCall(call) => {
                let reply_to = self.await_reply(reply);
                self.tell_charges(now, ChargeEvent::CopyRequested { reply_to, call });
            }
            Body::StoredCall(call) => {
                let _ = reply.send(Body::DoneReply(DoneReply {}));
                self.tell_charges(now, ChargeEvent::SegmentStored { call });
            }
            Body::SyncCall(body) => {
                let reply_to = self.await_reply(reply);
                self.tell_peers(now, PeerEvent::SyncRequested { reply_to, body });
            }
            Body::ListCall(_) => {
                if let Some(list) = &self.list {
                    let list = list.encode_to_vec();
                    let _ = reply.send(Body::ListReply(ListReply { list }));
                }
            }
            // A reply without a call.
            _ => {}
        }
    }

    fn await_reply(&mut self, reply: oneshot::Sender<Body>) -> u64 {
        self.last_reply += 1;
        self.replies.retain(|_, waiting| !waiting.is_closed());
        self.replies.insert(self.last_reply, reply);
        self.last_reply
    }

    /// Answers a peer's call.
    pub(crate) fn reply_peer(&mut self, reply_to: u64, body: Body) {
        if let Some(reply) = self.replies.remove(&reply_to) {
            let _ = reply.send(body);
        }
    }

    /// Sends a copy of charges to a peer.
    pub(crate) fn send_copy(&mut self, peer: DaemonName, call: CopyCall) {
        let events = self.events.clone();
        let Some(to) = self.peer_address(&peer) else {
            let _ = events.send(LoopEvent::CopyAnswered { peer, reply: None });
            return;
        };
        let calling = self.link.call(to, Body::CopyCall(call));
        spawn_local(async move {
            let reply = match calling.await {
                Ok(Body::CopyReply(reply)) => Some(reply),
                _ => None,
            };
            let _ = events.send(LoopEvent::CopyAnswered { peer, reply });
        });
    }

    /// Tells a peer something that needs no answer.
    pub(crate) fn tell_peer(&self, peer: &DaemonName, body: Body) {
        if let Some(to) = self.peer_address(peer) {
            let calling = self.link.call(to, body);
            spawn_local(async move {
                let _ = calling.await;
            });
        }
    }

    /// Asks a peer for its VM list, where this daemon has none and the platform is out of reach.
    pub(crate) fn ask_list(&mut self) {
        if self.placed {
            return;
        }
        let active = self.peers.members().filter(|member| member.is_active());
        let (near, far): (Vec<_>, Vec<_>) =
            active.partition(|member| member.zone == self.config.zone);
        // Other data centres may be out of reach too.
        let members = if near.is_empty() { far } else { near };
        if members.is_empty() {
            return;
        }
        let to = members[self.rng.random_range(0..members.len())].address;
        let calling = self.link.call(to, Body::ListCall(ListCall {}));
        let events = self.events.clone();
        spawn_local(async move {
            let Ok(Body::ListReply(reply)) = calling.await else {
                return;
            };
            if let Ok(list) = VmList::decode(reply.list.as_slice()) {
                let _ = events.send(LoopEvent::PlacementTold(Box::new(list)));
            }
        });
    }

    /// Takes a peer's VM list, unless the platform's was read meanwhile.
    pub(crate) fn take_told_list(&mut self, now: TimePoint, list: &VmList) {
        if !self.placed {
            self.take_placement(now, list.clone());
        }
    }

    fn peer_address(&self, peer: &DaemonName) -> Option<SocketAddr> {
        let mut members = self.peers.members();
        let member = members.find(|member| member.daemon == *peer);
        member.map(|member| member.address)
    }

    fn ask_sync(&self, to: SocketAddr, body: SyncBody) {
        let calling = self.link.call(to, Body::SyncCall(body));
        let events = self.events.clone();
        spawn_local(async move {
            let body = match calling.await {
                Ok(Body::SyncReply(body)) => Some(body),
                _ => None,
            };
            let _ = events.send(LoopEvent::SyncAnswered(body));
        });
    }

    fn fetch_bundle(&mut self, from: SocketAddr, version: BundleVersion) {
        if !self.chain.is_newer(version) {
            return;
        }
        let have_version = self.chain.version().0;
        let call = BundleCall { have_version };
        let calling = self.link.call(from, Body::BundleCall(call));
        let events = self.events.clone();
        spawn_local(async move {
            let Ok(Body::BundleReply(reply)) = calling.await else {
                return;
            };
            let Ok(head) = BundleHead::decode(reply.head.as_slice()) else {
                return;
            };
            let signed = SignedBundle {
                head: Some(head),
                body: reply.body,
            };
            let _ = events.send(LoopEvent::BundleOffered(Box::new(signed)));
        });
    }

    fn bundle_reply(&self, have_version: u64) -> Option<BundleReply> {
        let held = self.chain.in_force()?;
        if held.spec.version.0 <= have_version {
            return None;
        }
        Some(BundleReply {
            head: held.signed.head.as_ref()?.encode_to_vec(),
            body: held.signed.body.clone(),
        })
    }

    /// The other daemons as `/status` names them.
    pub(crate) fn peer_entries(&self) -> Vec<PeerEntry> {
        let entries = self.peers.members().map(|member| PeerEntry {
            name: member.daemon.to_string(),
            zone: member.zone.to_string(),
            state: member.state.to_string(),
            bundle_version: member.bundle.0,
        });
        entries.collect()
    }
}

fn copy_peer(member: &PeerMember) -> CopyPeer {
    CopyPeer {
        daemon: member.daemon.clone(),
        incarnation: member.incarnation,
        zone: member.zone.clone(),
        address: member.address,
    }
}
