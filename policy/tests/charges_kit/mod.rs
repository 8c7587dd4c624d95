//! Simulation of the charge ledgers of several daemons, their peer messages and a store, in virtual
//! time.

#![allow(clippy::expect_used, dead_code)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use policy::{
    charges::{
        ChargeAction,
        ChargeEvent,
        ChargeLedger,
        ChargeReport,
        ChargeRollup,
        ChargeSettings,
        ChargeToken,
        CopyPeer,
        CopyState, //
    },
    store::{
        StoreCall,
        StoreReply, //
    },
};
use prost::Message;
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    peer::{
        ChargeSegment,
        RosterBody, //
    },
    ChargeUnits,
    DaemonName,
    Incarnation,
    QueryId,
    TimePoint, //
};

use crate::store_kit::FakeStore;

pub(crate) const START: TimePoint = TimePoint(1_764_817_210_000_000);

#[derive(Clone, Debug)]
pub(crate) enum LedgerStep {
    /// A node creates a charge, unless it is not running or its ledger is full.
    Charge(usize, ChargeToken),
    /// An event reaches a node, if it still has this incarnation.
    Event(usize, u64, Box<ChargeEvent>),
    /// The store handles a call of a node and incarnation, with the id of the call.
    Apply(usize, u64, u64, StoreCall),
    /// The timer of a node fires, if it still has this incarnation.
    Wake(usize, u64),
    /// A node crashes and loses its state.
    Kill(usize),
    Start(usize),
    /// Every daemon is told which daemons are running.
    UpdatePeers,
}

pub(crate) struct LedgerNode {
    pub(crate) ledger: Option<ChargeLedger>,
    pub(crate) incarnation: u64,
}

pub(crate) struct ChargeSimulation {
    pub(crate) random: Pcg64Mcg,
    pub(crate) store: FakeStore,
    pub(crate) nodes: Vec<LedgerNode>,
    /// Period in which every store call fails.
    pub(crate) outage: (TimePoint, TimePoint),
    pub(crate) lost_reply_pct: u32,
    /// Charges whose answers were delivered as copied.
    pub(crate) copied: BTreeSet<ChargeToken>,
    pub(crate) uncopied: BTreeSet<ChargeToken>,
    /// Number of charges created, by node and incarnation.
    pub(crate) created: BTreeMap<(usize, u64), u64>,
    /// Number of store calls, by second of Unix time.
    pub(crate) calls: BTreeMap<u64, u64>,
    /// Number of charges refused because a ledger was full.
    pub(crate) refused: u64,
    /// Tokens of the charges, by node and query.
    tokens: BTreeMap<(usize, u64), ChargeToken>,
    queue: BTreeMap<(TimePoint, u64), LedgerStep>,
    step_count: u64,
    configure: fn(&mut ChargeSettings),
}

fn name(node: usize) -> DaemonName {
    format!("daemon-{node}").parse().expect("name")
}

fn peer(node: usize, incarnation: u64) -> CopyPeer {
    CopyPeer {
        daemon: name(node),
        incarnation: Incarnation(incarnation),
        zone: "kochi".parse().expect("zone"),
        address: format!("10.0.0.{node}:7000").parse().expect("address"),
    }
}

impl ChargeSimulation {
    pub(crate) fn new(seed: u64, nodes: usize, configure: fn(&mut ChargeSettings)) -> Self {
        let mut simulation = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            store: FakeStore::default(),
            nodes: Vec::new(),
            outage: (START, START),
            lost_reply_pct: 0,
            copied: BTreeSet::new(),
            uncopied: BTreeSet::new(),
            created: BTreeMap::new(),
            calls: BTreeMap::new(),
            refused: 0,
            tokens: BTreeMap::new(),
            queue: BTreeMap::new(),
            step_count: 0,
            configure,
        };
        for node in 0..nodes {
            simulation.nodes.push(LedgerNode {
                ledger: None,
                incarnation: 0,
            });
            simulation.step(START, LedgerStep::Start(node));
        }
        simulation.step(START, LedgerStep::UpdatePeers);
        simulation
    }

    pub(crate) fn schedule(&mut self, at: TimePoint, step: LedgerStep) {
        self.step_count += 1;
        self.queue.insert((at, self.step_count), step);
    }

    fn schedule_after(&mut self, now: TimePoint, min_us: u64, max_us: u64, step: LedgerStep) {
        let delay = self.random.random_range(min_us..max_us);
        self.schedule(now + Duration::from_micros(delay), step);
    }

    pub(crate) fn run_until(&mut self, end: TimePoint) {
        while let Some(entry) = self.queue.first_entry() {
            let now = entry.key().0;
            if now > end {
                return;
            }
            let step = entry.remove();
            self.step(now, step);
        }
    }

    fn step(&mut self, now: TimePoint, step: LedgerStep) {
        match step {
            LedgerStep::Charge(node, token) => self.charge(now, node, token),
            LedgerStep::Event(node, incarnation, event)
                if incarnation == self.nodes[node].incarnation =>
            {
                self.deliver_event(now, node, *event);
            }
            LedgerStep::Wake(node, incarnation) if incarnation == self.nodes[node].incarnation => {
                let ledger = self.nodes[node].ledger.as_ref();
                if ledger.is_some_and(|ledger| ledger.next_wakeup() <= now) {
                    self.deliver_event(now, node, ChargeEvent::TimerFired);
                }
            }
            LedgerStep::Apply(node, incarnation, call, request) => {
                self.apply(now, node, incarnation, call, &request)
            }
            LedgerStep::Kill(node) => {
                self.nodes[node].ledger = None;
                self.nodes[node].incarnation += 1;
                self.schedule_after(now, 500_000, 3_000_000, LedgerStep::UpdatePeers);
            }
            LedgerStep::Start(node) => {
                let incarnation = self.nodes[node].incarnation;
                let peer = peer(node, incarnation);
                let mut settings =
                    ChargeSettings::new(peer.daemon, peer.zone, peer.address, peer.incarnation);
                (self.configure)(&mut settings);
                self.nodes[node].ledger = Some(ChargeLedger::new(settings));
                // A daemon takes no requests before it knows its peers.
                let peers = self.running_peers(node);
                self.deliver_event(now, node, ChargeEvent::PeersChanged { peers });
                self.schedule_after(now, 500_000, 3_000_000, LedgerStep::UpdatePeers);
            }
            LedgerStep::UpdatePeers => self.update_peers(now),
            LedgerStep::Event(..) | LedgerStep::Wake(..) => {}
        }
    }

    fn charge(&mut self, now: TimePoint, node: usize, token: ChargeToken) {
        let incarnation = self.nodes[node].incarnation;
        let Some(ledger) = &self.nodes[node].ledger else {
            return;
        };
        if ledger.is_full() {
            self.refused += 1;
            return;
        }
        let created = self.created.entry((node, incarnation)).or_default();
        *created += 1;
        let query = *created;
        self.tokens.insert((node, query), token);
        let event = ChargeEvent::Charge {
            query: QueryId(query),
            token,
            user: format!("user-{}", token.0 % 50).parse().expect("user"),
            units: ChargeUnits(100),
        };
        self.deliver_event(now, node, event);
    }

    fn update_peers(&mut self, now: TimePoint) {
        let mut gone = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            if node.ledger.is_none() {
                gone.push((name(index), Incarnation(node.incarnation)));
            }
        }
        for node in 0..self.nodes.len() {
            for (daemon, incarnation) in gone.clone() {
                let event = ChargeEvent::PeerGone {
                    daemon,
                    incarnation,
                };
                self.deliver_event(now, node, event);
            }
            let peers = self.running_peers(node);
            self.deliver_event(now, node, ChargeEvent::PeersChanged { peers });
        }
    }

    fn running_peers(&self, node: usize) -> Vec<CopyPeer> {
        let mut peers = Vec::new();
        for (index, other) in self.nodes.iter().enumerate() {
            if index != node && other.ledger.is_some() {
                peers.push(peer(index, other.incarnation));
            }
        }
        peers
    }

    pub(crate) fn deliver_event(&mut self, now: TimePoint, node: usize, event: ChargeEvent) {
        let incarnation = self.nodes[node].incarnation;
        let Some(ledger) = &mut self.nodes[node].ledger else {
            return;
        };
        let mut actions = Vec::new();
        ledger.on_event(now, event, &mut actions);
        let wakeup = ledger.next_wakeup();
        for action in actions {
            self.perform(now, node, incarnation, action);
        }
        if wakeup < TimePoint::NEVER {
            let at = wakeup.max(now + Duration::from_micros(100));
            self.schedule(at, LedgerStep::Wake(node, incarnation));
        }
    }

    fn perform(&mut self, now: TimePoint, node: usize, incarnation: u64, action: ChargeAction) {
        match action {
            ChargeAction::DeliverAnswer { query, state } => {
                let token = self.tokens[&(node, query.0)];
                match state {
                    CopyState::Copied => self.copied.insert(token),
                    CopyState::Uncopied => self.uncopied.insert(token),
                };
            }
            ChargeAction::SendCopy { peer, call } => {
                // The id of the request encodes the sender, to which the reply is routed.
                let reply_to = (node as u64) << 32 | incarnation;
                let event = ChargeEvent::CopyRequested { reply_to, call };
                self.send(now, &peer, node, incarnation, event);
            }
            ChargeAction::ReplyCopy { reply_to, reply } => {
                let (receiver, receiver_incarnation) =
                    ((reply_to >> 32) as usize, reply_to & 0xffff_ffff);
                let event = Box::new(ChargeEvent::CopyReplied {
                    peer: name(node),
                    reply,
                });
                self.schedule_after(
                    now,
                    200,
                    2_000,
                    LedgerStep::Event(receiver, receiver_incarnation, event),
                );
            }
            ChargeAction::NotifyStored { peer, call } => {
                let event = ChargeEvent::SegmentStored { call };
                self.send(now, &peer, node, incarnation, event);
            }
            ChargeAction::Store { call, request } => {
                *self.calls.entry(now.0 / 1_000_000).or_default() += 1;
                self.schedule_after(
                    now,
                    500,
                    5_000,
                    LedgerStep::Apply(node, incarnation, call, request),
                );
            }
        }
    }

    fn send(
        &mut self,
        now: TimePoint,
        peer: &DaemonName,
        from: usize,
        incarnation: u64,
        event: ChargeEvent,
    ) {
        let receiver = (0..self.nodes.len()).find(|node| name(*node) == *peer);
        let receiver = receiver.expect("peer");
        if self.nodes[receiver].ledger.is_none() {
            let failed = Box::new(ChargeEvent::CopyFailed { peer: peer.clone() });
            self.schedule_after(
                now,
                200,
                2_000,
                LedgerStep::Event(from, incarnation, failed),
            );
            return;
        }
        let incarnation = self.nodes[receiver].incarnation;
        self.schedule_after(
            now,
            200,
            2_000,
            LedgerStep::Event(receiver, incarnation, Box::new(event)),
        );
    }

    fn apply(
        &mut self,
        now: TimePoint,
        node: usize,
        incarnation: u64,
        call: u64,
        request: &StoreCall,
    ) {
        let percent = self.random.random_range(0..100);
        let reply = if now >= self.outage.0 && now < self.outage.1 {
            StoreReply::Failed
        } else if percent < self.lost_reply_pct {
            self.store.apply(now, request);
            StoreReply::Indeterminate
        } else {
            self.store.apply(now, request)
        };
        let event = Box::new(ChargeEvent::StoreReplied { call, reply });
        self.schedule_after(now, 500, 5_000, LedgerStep::Event(node, incarnation, event));
    }

    /// Whether a segment in the store has a record with the token.
    pub(crate) fn is_stored(&self, token: ChargeToken) -> bool {
        let (high, low) = token.halves();
        let segments = self
            .store
            .values
            .iter()
            .filter(|(key, _)| key.starts_with("charges/"));
        let mut segments = segments
            .map(|(_, stored)| ChargeSegment::decode(stored.value.as_slice()).expect("segment"));
        segments.any(|segment| {
            let mut records = segment.records.iter();
            records.any(|record| (record.token_high, record.token_low) == (high, low))
        })
    }

    /// Reconciles the charges in the store as the operators' command line does.
    pub(crate) fn report(&self, now: TimePoint) -> ChargeReport {
        let mut rollup = ChargeRollup::new(Duration::from_secs(3600));
        for (key, stored) in &self.store.values {
            if key.starts_with("charges-roster/") {
                let roster = RosterBody::decode(stored.value.as_slice()).expect("roster");
                rollup.add_roster(&roster);
            }
        }
        for (index, node) in self.nodes.iter().enumerate() {
            if let Some(ledger) = &node.ledger {
                let instance = (name(index), Incarnation(node.incarnation));
                let answered = ledger.counts().answered;
                rollup.add_live_daemon(instance, answered, ledger.waiting_count());
            }
        }
        let mut store = self.store.clone();
        loop {
            let segments = rollup.next_segments();
            if segments.is_empty() {
                return rollup.report();
            }
            for (instance, sequence, key) in segments {
                let reply = store.apply(now, &StoreCall::Get { key });
                let value = match &reply {
                    StoreReply::Found { value, .. } => Some(value.as_slice()),
                    _ => None,
                };
                rollup.add_segment(&instance, sequence, value);
            }
        }
    }
}
