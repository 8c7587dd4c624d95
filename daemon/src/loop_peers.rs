//! Communication with the other daemons: membership, bundles, VM lists and copies of charges.

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
    /// Handles a datagram or call of another daemon.
    pub(crate) fn handle_peer_input(&mut self, now: TimePoint, input: PeerInput) {
        match input {
            PeerInput::Datagram { bytes } => {
                self.step_peers(now, PeerEvent::Datagram { bytes });
            }
            PeerInput::Called { body, reply, .. } => self.handle_peer_call(now, body, reply),
        }
    }

    /// Passes an event to the membership protocol, executes its actions, and updates whether this
    /// daemon watches the store.
    pub(crate) fn step_peers(&mut self, now: TimePoint, event: PeerEvent) {
        let mut actions = Vec::new();
        self.peers.on_event(now, event, &mut actions);
        for action in actions {
            self.execute_peer_action(now, action);
        }
        self.watches_store.send_if_modified(|watches| {
            let changed = *watches != self.peers.is_watcher();
            *watches = self.peers.is_watcher();
            changed
        });
    }

    /// Passes the addresses of the daemons in the VM list to the membership protocol.
    pub(crate) fn report_listed_daemons(&mut self, now: TimePoint, list: &VmList) {
        let daemons = list.vms.iter().filter(|vm| vm.role == "daemon");
        let addresses = daemons.filter_map(|vm| vm.peer.parse().ok());
        let addresses = addresses.collect();
        self.step_peers(now, PeerEvent::VmListRead { addresses });
    }

    fn execute_peer_action(&mut self, now: TimePoint, action: PeerAction) {
        match action {
            PeerAction::Send { to, bytes } => self.peer_link.send(to, &bytes),
            PeerAction::RequestSync { to, body } => self.request_sync(to, body),
            PeerAction::ReplySync { reply_to, body } => {
                self.reply_peer(reply_to, Body::SyncReply(body));
            }
            PeerAction::MembersChanged => self.handle_members_changed(now),
            PeerAction::MemberGone {
                daemon,
                incarnation,
            } => {
                log_event!(self.log, events::PEER_GONE, "name" => %daemon);
                let event = ChargeEvent::PeerGone {
                    daemon,
                    incarnation,
                };
                self.step_ledger(now, event);
            }
            PeerAction::FetchBundle { from, version } => self.fetch_bundle(from, version),
            PeerAction::DrainReceived { vm, until } => {
                self.step_engine(now, EngineEvent::DrainReported { vm, until });
            }
            // Only daemons on the users' platform count crashes in this way, and share limits.
            PeerAction::CrashReceived { .. }
            | PeerAction::LimitsReceived { .. }
            | PeerAction::RatesReceived { .. } => {}
            PeerAction::QuarantineReceived {
                print,
                deaths,
                until,
            } => {
                let event = EngineEvent::QuarantineReported {
                    print,
                    deaths,
                    until,
                };
                self.step_engine(now, event);
            }
        }
    }

    fn handle_members_changed(&mut self, now: TimePoint) {
        let daemons = self.peers.daemon_count();
        let alive = |member: &&PeerMember| member.state == MemberState::Alive;
        let peers = self.peers.members().filter(alive).map(copy_peer).collect();
        log_event!(self.log, events::PEERS_CHANGED, "daemons" => daemons);
        self.step_engine(now, EngineEvent::DaemonsChanged { daemons });
        self.step_ledger(now, ChargeEvent::PeersChanged { peers });
        self.request_peer_vm_list();
    }

    fn handle_peer_call(&mut self, now: TimePoint, body: Body, reply: oneshot::Sender<Body>) {
        match body {
            Body::BundleCall(call) => {
                // Without a newer bundle there is no reply: the call fails and the peer asks
                // another.
                if let Some(bundle) = self.bundle_reply(call.have_version) {
                    let _ = reply.send(Body::BundleReply(bundle));
                }
            }
            Body::CopyCall(call) => {
                let reply_to = self.register_reply(reply);
                self.step_ledger(now, ChargeEvent::CopyRequested { reply_to, call });
            }
            Body::StoredCall(call) => {
                let _ = reply.send(Body::DoneReply(DoneReply {}));
                self.step_ledger(now, ChargeEvent::SegmentStored { call });
            }
            Body::SyncCall(body) => {
                let reply_to = self.register_reply(reply);
                self.step_peers(now, PeerEvent::SyncRequested { reply_to, body });
            }
            Body::ListCall(_) => {
                if let Some(list) = &self.vm_list {
                    let list = list.encode_to_vec();
                    let _ = reply.send(Body::ListReply(ListReply { list }));
                }
            }
            // Replies are only expected on the calls that this daemon made.
            _ => {}
        }
    }

    fn register_reply(&mut self, reply: oneshot::Sender<Body>) -> u64 {
        self.last_reply_id += 1;
        self.pending_replies.retain(|_, sender| !sender.is_closed());
        self.pending_replies.insert(self.last_reply_id, reply);
        self.last_reply_id
    }

    /// Sends the reply to another daemon's call that was registered as `reply_to`.
    pub(crate) fn reply_peer(&mut self, reply_to: u64, body: Body) {
        if let Some(reply) = self.pending_replies.remove(&reply_to) {
            let _ = reply.send(body);
        }
    }

    /// Sends a copy of charges to another daemon.
    pub(crate) fn send_copy(&mut self, peer: DaemonName, call: CopyCall) {
        let events = self.events.clone();
        let Some(to) = self.peer_address(&peer) else {
            let _ = events.send(LoopEvent::CopyAnswered { peer, reply: None });
            return;
        };
        let call_reply = self.peer_link.call(to, Body::CopyCall(call));
        spawn_local(async move {
            let reply = match call_reply.await {
                Ok(Body::CopyReply(reply)) => Some(reply),
                _ => None,
            };
            let _ = events.send(LoopEvent::CopyAnswered { peer, reply });
        });
    }

    /// Sends a message to another daemon without waiting for its reply.
    pub(crate) fn notify_peer(&self, peer: &DaemonName, body: Body) {
        if let Some(to) = self.peer_address(peer) {
            let call_reply = self.peer_link.call(to, body);
            spawn_local(async move {
                let _ = call_reply.await;
            });
        }
    }

    /// Requests the VM list from a random daemon, unless this daemon has one, so that it can start
    /// while the platform can't be reached.
    pub(crate) fn request_peer_vm_list(&mut self) {
        if self.vm_list_known {
            return;
        }
        let active = self.peers.members().filter(|member| member.is_active());
        let (same_zone, other_zones): (Vec<_>, Vec<_>) =
            active.partition(|member| member.zone == self.config.zone);
        // Daemons of the same data centre come first: the others may not be reachable either.
        let members = if same_zone.is_empty() {
            other_zones
        } else {
            same_zone
        };
        if members.is_empty() {
            return;
        }
        let to = members[self.rng.random_range(0..members.len())].address;
        let call_reply = self.peer_link.call(to, Body::ListCall(ListCall {}));
        let events = self.events.clone();
        spawn_local(async move {
            let Ok(Body::ListReply(reply)) = call_reply.await else {
                return;
            };
            if let Ok(list) = VmList::decode(reply.list.as_slice()) {
                let _ = events.send(LoopEvent::PeerVmListRead(Box::new(list)));
            }
        });
    }

    /// Uses another daemon's VM list, unless one was read from the platform in the meantime.
    pub(crate) fn apply_peer_vm_list(&mut self, now: TimePoint, list: &VmList) {
        if !self.vm_list_known {
            self.apply_vm_list(now, list.clone());
        }
    }

    fn peer_address(&self, peer: &DaemonName) -> Option<SocketAddr> {
        self.peers.member(peer).map(|member| member.address)
    }

    fn request_sync(&self, to: SocketAddr, body: SyncBody) {
        let call_reply = self.peer_link.call(to, Body::SyncCall(body));
        let events = self.events.clone();
        spawn_local(async move {
            let body = match call_reply.await {
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
        let call_reply = self.peer_link.call(from, Body::BundleCall(call));
        let events = self.events.clone();
        spawn_local(async move {
            let Ok(Body::BundleReply(reply)) = call_reply.await else {
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
        let active = self.chain.in_force()?;
        if active.spec.version.0 <= have_version {
            return None;
        }
        Some(BundleReply {
            head: active.signed.head.as_ref()?.encode_to_vec(),
            body: active.signed.body.clone(),
        })
    }

    /// The other daemons, for `/status`.
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
