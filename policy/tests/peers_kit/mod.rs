//! A network of daemons in virtual time, with delay, loss, duplicates and partitions.

#![allow(clippy::expect_used, dead_code)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use policy::peers::{
    MemberState,
    PeerAction,
    PeerCore,
    PeerEvent,
    PeerSettings, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    BundleVersion,
    Incarnation,
    TimePoint, //
};

pub(crate) const KEY: [u8; 32] = [7; 32];
pub(crate) const START: TimePoint = TimePoint(1_764_817_210_000_000);

#[derive(Clone, Debug)]
enum Step {
    Event(usize, u64, Box<PeerEvent>),
    Wake(usize, u64),
    /// A bundle is fetched from a node.
    Fetch(usize, usize),
}

pub(crate) struct PeerNode {
    pub(crate) core: PeerCore,
    pub(crate) life: u64,
    pub(crate) up: bool,
    pub(crate) zone: usize,
    pub(crate) version: u64,
    /// When each version was in force here.
    pub(crate) applied: BTreeMap<u64, TimePoint>,
    /// When marks were heard.
    pub(crate) heard: Vec<(TimePoint, PeerAction)>,
    pub(crate) gone: Vec<(TimePoint, String)>,
}

pub(crate) struct PeerNet {
    pub(crate) now: TimePoint,
    pub(crate) nodes: Vec<PeerNode>,
    pub(crate) loss_pct: u32,
    pub(crate) double_pct: u32,
    /// Zones cut off from all others.
    pub(crate) cut: Vec<usize>,
    pub(crate) largest: usize,
    random: Pcg64Mcg,
    queue: BTreeMap<(TimePoint, u64), Step>,
    steps: u64,
    zones: usize,
}

pub(crate) fn address(node: usize) -> SocketAddr {
    let (high, low) = (node / 250, node % 250 + 1);
    format!("10.0.{high}.{low}:7000").parse().expect("address")
}

fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(high) * 250 + usize::from(low) - 1
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

impl PeerNet {
    /// `nodes` daemons spread over `zones`, all started within a second.
    pub(crate) fn new(seed: u64, nodes: usize, zones: usize) -> Self {
        let mut net = Self {
            now: START,
            nodes: Vec::new(),
            loss_pct: 0,
            double_pct: 0,
            cut: Vec::new(),
            largest: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            steps: 0,
            zones,
        };
        for node in 0..nodes {
            let at = START + Duration::from_millis(net.random.random_range(0..1_000));
            let core = net.core(at, node, 1);
            net.nodes.push(PeerNode {
                core,
                life: 1,
                up: true,
                zone: node % zones,
                version: 0,
                applied: BTreeMap::new(),
                heard: Vec::new(),
                gone: Vec::new(),
            });
            net.push(at, Step::Wake(node, 1));
        }
        net
    }

    fn core(&self, now: TimePoint, node: usize, life: u64) -> PeerCore {
        self.core_at(now, node, life, START.0 + life)
    }

    fn core_at(&self, now: TimePoint, node: usize, life: u64, incarnation: u64) -> PeerCore {
        let mut settings = PeerSettings::new(
            format!("entry-daemon-{node}").parse().expect("name"),
            address(node),
            format!("zone-{}", node % self.zones).parse().expect("zone"),
            Incarnation(incarnation),
            KEY,
        );
        settings.seed = node as u64 * 1_000 + life;
        settings.seeds = vec![address(0), address(1), address(2)];
        PeerCore::new(now, settings)
    }

    fn push(&mut self, at: TimePoint, step: Step) {
        self.steps += 1;
        self.queue.insert((at, self.steps), step);
    }

    pub(crate) fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let step = entry.remove();
            self.now = at;
            self.step(at, step);
        }
        self.now = end;
    }

    /// Runs until `done` holds, at most for `span`; gives the time it took.
    pub(crate) fn run_until(
        &mut self,
        span: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < span {
            if done(self) {
                return Some(self.now.since(start));
            }
            self.run_for(Duration::from_millis(20));
        }
        None
    }

    fn step(&mut self, now: TimePoint, step: Step) {
        match step {
            Step::Event(node, life, event) => {
                if self.nodes[node].up && self.nodes[node].life == life {
                    self.tell(now, node, *event);
                }
            }
            Step::Wake(node, life) => {
                let held = &self.nodes[node];
                if held.up && held.life == life && held.core.next_wakeup() <= now {
                    self.tell(now, node, PeerEvent::TimerFired);
                }
            }
            Step::Fetch(node, from) => {
                let version = self.nodes[from].version;
                if self.connected(node, from) && version > self.nodes[node].version {
                    self.apply(now, node, version);
                }
            }
        }
    }

    pub(crate) fn apply(&mut self, now: TimePoint, node: usize, version: u64) {
        if !self.nodes[node].up {
            return;
        }
        self.nodes[node].version = version;
        self.nodes[node].applied.insert(version, now);
        let event = PeerEvent::BundleApplied {
            version: BundleVersion(version),
            digest: version,
        };
        self.tell(now, node, event);
    }

    pub(crate) fn tell(&mut self, now: TimePoint, node: usize, event: PeerEvent) {
        let mut actions = Vec::new();
        self.nodes[node].core.on_event(now, event, &mut actions);
        for action in actions {
            self.act(now, node, action);
        }
        let wake = self.nodes[node].core.next_wakeup();
        let life = self.nodes[node].life;
        let at = wake.max(now + Duration::from_micros(50));
        self.push(at, Step::Wake(node, life));
    }

    fn act(&mut self, now: TimePoint, node: usize, action: PeerAction) {
        match action {
            PeerAction::Send { to, bytes } => self.send(now, node, node_at(to), bytes),
            PeerAction::AskSync { to, body } => {
                let (to, life) = (node_at(to), self.nodes[node].life);
                if !self.connected(node, to) {
                    let event = Box::new(PeerEvent::SyncFailed);
                    self.push(
                        now + Duration::from_millis(100),
                        Step::Event(node, life, event),
                    );
                    return;
                }
                let reply_to = (node as u64) << 32 | life;
                let event = Box::new(PeerEvent::SyncAsked { reply_to, body });
                let to_life = self.nodes[to].life;
                let delay = self.delay(node, to);
                self.push(now + delay, Step::Event(to, to_life, event));
            }
            PeerAction::ReplySync { reply_to, body } => {
                let (to, life) = ((reply_to >> 32) as usize, reply_to & 0xffff_ffff);
                let event = Box::new(PeerEvent::SyncReplied { body });
                let delay = self.delay(node, to);
                self.push(now + delay, Step::Event(to, life, event));
            }
            PeerAction::BundleAhead { from, .. } => {
                let from = node_at(from);
                // A connection and an exchange: two round trips.
                let delay = self.delay(node, from) * 4;
                self.push(now + delay, Step::Fetch(node, from));
            }
            PeerAction::MemberGone { daemon, .. } => {
                self.nodes[node].gone.push((now, daemon.to_string()));
            }
            PeerAction::MembersChanged => {}
            heard @ (PeerAction::DrainHeard { .. } | PeerAction::QuarantineHeard { .. }) => {
                self.nodes[node].heard.push((now, heard));
            }
        }
    }

    fn send(&mut self, now: TimePoint, from: usize, to: usize, bytes: Vec<u8>) {
        self.largest = self.largest.max(bytes.len());
        if to >= self.nodes.len() || !self.connected(from, to) {
            return;
        }
        let copies = if self.random.random_range(0..100) < self.double_pct {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.random.random_range(0..100) < self.loss_pct {
                continue;
            }
            let delay = self.delay(from, to);
            let life = self.nodes[to].life;
            let event = PeerEvent::Datagram {
                bytes: bytes.clone(),
            };
            self.push(now + delay, Step::Event(to, life, Box::new(event)));
        }
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        let cut =
            from.zone != to.zone && (self.cut.contains(&from.zone) || self.cut.contains(&to.zone));
        from.up && to.up && !cut
    }

    /// One-way delay; its spread reorders datagrams.
    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let near = self.nodes[from].zone == self.nodes[to].zone;
        let (least, most) = if near { (200, 3_000) } else { (10_000, 20_000) };
        Duration::from_micros(self.random.random_range(least..most))
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
    }

    pub(crate) fn restart(&mut self, node: usize) {
        let life = self.nodes[node].life + 1;
        let core = self.core(self.now, node, life);
        self.start(node, life, core);
    }

    /// Restarts a daemon whose clock was set back by three seconds meanwhile.
    pub(crate) fn restart_set_back(&mut self, node: usize) {
        let life = self.nodes[node].life + 1;
        let core = self.core_at(self.now, node, life, START.0 - 3_000_000);
        self.start(node, life, core);
    }

    fn start(&mut self, node: usize, life: u64, core: PeerCore) {
        self.nodes[node].core = core;
        self.nodes[node].life = life;
        self.nodes[node].up = true;
        self.nodes[node].version = 0;
        self.push(self.now, Step::Wake(node, life));
    }

    /// Whether every daemon that is up knows exactly those that are up.
    pub(crate) fn agrees(&self) -> bool {
        let up = self.nodes.iter().filter(|node| node.up).count() as u32;
        let mut nodes = self.nodes.iter().filter(|node| node.up);
        nodes.all(|node| {
            let mut members = node.core.members();
            let steady = members.all(|member| member.state != MemberState::Suspect);
            steady && node.core.daemon_count() == up
        })
    }

    /// Whether every daemon that is up has `version` in force.
    pub(crate) fn in_force(&self, version: u64) -> bool {
        let mut nodes = self.nodes.iter().filter(|node| node.up);
        nodes.all(|node| node.version >= version)
    }

    /// Bytes sent and received a second and daemon since the start.
    pub(crate) fn bytes_per_second(&self) -> u64 {
        let seconds = self.now.since(START).as_secs().max(1);
        let counts = self.nodes.iter().map(|node| node.core.counts());
        let bytes: u64 = counts
            .map(|counts| counts.sent_bytes + counts.received_bytes)
            .sum();
        bytes / seconds / self.nodes.len() as u64
    }
}
