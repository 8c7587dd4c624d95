//! Daemons' ledgers, their peers' links and a store, in virtual time.

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
    Charge(usize, ChargeToken),
    Event(usize, u64, Box<ChargeEvent>),
    Apply(usize, u64, u64, StoreCall),
    Wake(usize, u64),
    Kill(usize),
    Start(usize),
    /// The others learn which daemons are alive.
    Notice,
}

pub(crate) struct LedgerNode {
    pub(crate) ledger: Option<ChargeLedger>,
    pub(crate) life: u64,
}

pub(crate) struct ChargeScene {
    pub(crate) random: Pcg64Mcg,
    pub(crate) store: FakeStore,
    pub(crate) nodes: Vec<LedgerNode>,
    pub(crate) down: (TimePoint, TimePoint),
    pub(crate) lose_pct: u32,
    pub(crate) copied: BTreeSet<ChargeToken>,
    pub(crate) uncopied: BTreeSet<ChargeToken>,
    pub(crate) made: BTreeMap<(usize, u64), u64>,
    pub(crate) calls: BTreeMap<u64, u64>,
    pub(crate) refused: u64,
    tokens: BTreeMap<(usize, u64), ChargeToken>,
    queue: BTreeMap<(TimePoint, u64), LedgerStep>,
    steps: u64,
    edit: fn(&mut ChargeSettings),
}

fn name(node: usize) -> DaemonName {
    format!("daemon-{node}").parse().expect("name")
}

fn peer(node: usize, life: u64) -> CopyPeer {
    CopyPeer {
        daemon: name(node),
        incarnation: Incarnation(life),
        zone: "kochi".parse().expect("zone"),
        address: format!("10.0.0.{node}:7000").parse().expect("address"),
    }
}

impl ChargeScene {
    pub(crate) fn new(seed: u64, nodes: usize, edit: fn(&mut ChargeSettings)) -> Self {
        let mut scene = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            store: FakeStore::default(),
            nodes: Vec::new(),
            down: (START, START),
            lose_pct: 0,
            copied: BTreeSet::new(),
            uncopied: BTreeSet::new(),
            made: BTreeMap::new(),
            calls: BTreeMap::new(),
            refused: 0,
            tokens: BTreeMap::new(),
            queue: BTreeMap::new(),
            steps: 0,
            edit,
        };
        for node in 0..nodes {
            scene.nodes.push(LedgerNode {
                ledger: None,
                life: 0,
            });
            scene.step(START, LedgerStep::Start(node));
        }
        scene.step(START, LedgerStep::Notice);
        scene
    }

    pub(crate) fn at(&mut self, at: TimePoint, step: LedgerStep) {
        self.steps += 1;
        self.queue.insert((at, self.steps), step);
    }

    fn after(&mut self, now: TimePoint, least_us: u64, most_us: u64, step: LedgerStep) {
        let delay = self.random.random_range(least_us..most_us);
        self.at(now + Duration::from_micros(delay), step);
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
            LedgerStep::Event(node, life, event) if life == self.nodes[node].life => {
                self.tell(now, node, *event);
            }
            LedgerStep::Wake(node, life) if life == self.nodes[node].life => {
                let ledger = self.nodes[node].ledger.as_ref();
                if ledger.is_some_and(|ledger| ledger.next_wakeup() <= now) {
                    self.tell(now, node, ChargeEvent::TimerFired);
                }
            }
            LedgerStep::Apply(node, life, call, request) => {
                self.apply(now, node, life, call, &request)
            }
            LedgerStep::Kill(node) => {
                self.nodes[node].ledger = None;
                self.nodes[node].life += 1;
                self.after(now, 500_000, 3_000_000, LedgerStep::Notice);
            }
            LedgerStep::Start(node) => {
                let life = self.nodes[node].life;
                let peer = peer(node, life);
                let mut settings =
                    ChargeSettings::new(peer.daemon, peer.zone, peer.address, peer.incarnation);
                (self.edit)(&mut settings);
                self.nodes[node].ledger = Some(ChargeLedger::new(settings));
                // It takes no requests before it has joined.
                let peers = self.alive_without(node);
                self.tell(now, node, ChargeEvent::PeersChanged { peers });
                self.after(now, 500_000, 3_000_000, LedgerStep::Notice);
            }
            LedgerStep::Notice => self.notice(now),
            LedgerStep::Event(..) | LedgerStep::Wake(..) => {}
        }
    }

    fn charge(&mut self, now: TimePoint, node: usize, token: ChargeToken) {
        let life = self.nodes[node].life;
        let Some(ledger) = &self.nodes[node].ledger else {
            return;
        };
        if ledger.is_full() {
            self.refused += 1;
            return;
        }
        let made = self.made.entry((node, life)).or_default();
        *made += 1;
        let query = *made;
        self.tokens.insert((node, query), token);
        let event = ChargeEvent::Charge {
            query: QueryId(query),
            token,
            user: format!("user-{}", token.0 % 50).parse().expect("user"),
            units: ChargeUnits(100),
        };
        self.tell(now, node, event);
    }

    fn notice(&mut self, now: TimePoint) {
        let mut gone = Vec::new();
        for (place, node) in self.nodes.iter().enumerate() {
            if node.ledger.is_none() {
                gone.push((name(place), Incarnation(node.life)));
            }
        }
        for node in 0..self.nodes.len() {
            for (daemon, incarnation) in gone.clone() {
                let event = ChargeEvent::PeerGone {
                    daemon,
                    incarnation,
                };
                self.tell(now, node, event);
            }
            let peers = self.alive_without(node);
            self.tell(now, node, ChargeEvent::PeersChanged { peers });
        }
    }

    fn alive_without(&self, node: usize) -> Vec<CopyPeer> {
        let mut peers = Vec::new();
        for (place, other) in self.nodes.iter().enumerate() {
            if place != node && other.ledger.is_some() {
                peers.push(peer(place, other.life));
            }
        }
        peers
    }

    pub(crate) fn tell(&mut self, now: TimePoint, node: usize, event: ChargeEvent) {
        let life = self.nodes[node].life;
        let Some(ledger) = &mut self.nodes[node].ledger else {
            return;
        };
        let mut actions = Vec::new();
        ledger.on_event(now, event, &mut actions);
        let wake = ledger.next_wakeup();
        for action in actions {
            self.act(now, node, life, action);
        }
        if wake < TimePoint::NEVER {
            let at = wake.max(now + Duration::from_micros(100));
            self.at(at, LedgerStep::Wake(node, life));
        }
    }

    fn act(&mut self, now: TimePoint, node: usize, life: u64, action: ChargeAction) {
        match action {
            ChargeAction::HandOver { query, state } => {
                let token = self.tokens[&(node, query.0)];
                match state {
                    CopyState::Copied => self.copied.insert(token),
                    CopyState::Uncopied => self.uncopied.insert(token),
                };
            }
            ChargeAction::SendCopy { peer, call } => {
                // The number of the call says where the reply goes.
                let reply_to = (node as u64) << 32 | life;
                let event = ChargeEvent::CopyAsked { reply_to, call };
                self.send(now, &peer, node, life, event);
            }
            ChargeAction::ReplyCopy { reply_to, reply } => {
                let (to, to_life) = ((reply_to >> 32) as usize, reply_to & 0xffff_ffff);
                let event = Box::new(ChargeEvent::CopyHeld {
                    peer: name(node),
                    reply,
                });
                self.after(now, 200, 2_000, LedgerStep::Event(to, to_life, event));
            }
            ChargeAction::TellStored { peer, call } => {
                let event = ChargeEvent::StoredHeard { call };
                self.send(now, &peer, node, life, event);
            }
            ChargeAction::Store { call, request } => {
                *self.calls.entry(now.0 / 1_000_000).or_default() += 1;
                self.after(
                    now,
                    500,
                    5_000,
                    LedgerStep::Apply(node, life, call, request),
                );
            }
        }
    }

    fn send(
        &mut self,
        now: TimePoint,
        peer: &DaemonName,
        from: usize,
        life: u64,
        event: ChargeEvent,
    ) {
        let to = (0..self.nodes.len()).find(|node| name(*node) == *peer);
        let to = to.expect("peer");
        if self.nodes[to].ledger.is_none() {
            let failed = Box::new(ChargeEvent::CopyFailed { peer: peer.clone() });
            self.after(now, 200, 2_000, LedgerStep::Event(from, life, failed));
            return;
        }
        let life = self.nodes[to].life;
        self.after(
            now,
            200,
            2_000,
            LedgerStep::Event(to, life, Box::new(event)),
        );
    }

    fn apply(&mut self, now: TimePoint, node: usize, life: u64, call: u64, request: &StoreCall) {
        let roll = self.random.random_range(0..100);
        let reply = if now >= self.down.0 && now < self.down.1 {
            StoreReply::Failed
        } else if roll < self.lose_pct {
            self.store.apply(now, request);
            StoreReply::Unsure
        } else {
            self.store.apply(now, request)
        };
        let event = Box::new(ChargeEvent::StoreReplied { call, reply });
        self.after(now, 500, 5_000, LedgerStep::Event(node, life, event));
    }

    /// Whether a segment of the store has the token.
    pub(crate) fn holds(&self, token: ChargeToken) -> bool {
        let (high, low) = token.halves();
        let segments = self
            .store
            .values
            .iter()
            .filter(|(key, _)| key.starts_with("charges/"));
        let mut segments = segments
            .map(|(_, held)| ChargeSegment::decode(held.value.as_slice()).expect("segment"));
        segments.any(|segment| {
            let mut records = segment.records.iter();
            records.any(|record| (record.token_high, record.token_low) == (high, low))
        })
    }

    /// Reads the store as the operators' command does.
    pub(crate) fn report(&self, now: TimePoint) -> ChargeReport {
        let mut rollup = ChargeRollup::new(Duration::from_secs(3600));
        for (key, held) in &self.store.values {
            if key.starts_with("charges-roster/") {
                let roster = RosterBody::decode(held.value.as_slice()).expect("roster");
                rollup.add_roster(&roster);
            }
        }
        for (place, node) in self.nodes.iter().enumerate() {
            if let Some(ledger) = &node.ledger {
                let start = (name(place), Incarnation(node.life));
                let answered = ledger.counts().answered;
                rollup.add_alive(start, answered, ledger.waiting_count());
            }
        }
        let mut store = self.store.clone();
        loop {
            let wanted = rollup.next_segments();
            if wanted.is_empty() {
                return rollup.report();
            }
            for (start, sequence, key) in wanted {
                let reply = store.apply(now, &StoreCall::Get { key });
                let value = match &reply {
                    StoreReply::Found { value, .. } => Some(value.as_slice()),
                    _ => None,
                };
                rollup.add_segment(&start, sequence, value);
            }
        }
    }
}
