//! Simulated network of daemons in virtual time, with delay, loss, duplication and partitions.

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
enum NetStep {
    /// Delivers an event to a node, if its generation is still the given one.
    Event(usize, u64, Box<PeerEvent>),
    /// Fires the timer of a node, if its generation is still the given one.
    Timer(usize, u64),
    /// The first node fetches the bundle of the second.
    FetchBundle(usize, usize),
}

pub(crate) struct PeerNode {
    pub(crate) core: PeerCore,
    /// Number of starts of the node.
    pub(crate) generation: u64,
    pub(crate) running: bool,
    pub(crate) zone: usize,
    /// Bundle version in force; 0 for none.
    pub(crate) version: u64,
    /// When each bundle version came into force on this node.
    pub(crate) applied_at: BTreeMap<u64, TimePoint>,
    /// Drains and quarantines reported by other nodes, and when.
    pub(crate) received_notes: Vec<(TimePoint, PeerAction)>,
    /// Names from `MemberGone` actions, and when.
    pub(crate) gone_members: Vec<(TimePoint, String)>,
}

pub(crate) struct PeerNet {
    pub(crate) now: TimePoint,
    pub(crate) nodes: Vec<PeerNode>,
    pub(crate) loss_pct: u32,
    pub(crate) duplicate_pct: u32,
    /// Zones that are partitioned from all others.
    pub(crate) isolated_zones: Vec<usize>,
    /// Size of the largest datagram sent, in bytes.
    pub(crate) largest_datagram: usize,
    random: Pcg64Mcg,
    queue: BTreeMap<(TimePoint, u64), NetStep>,
    step_count: u64,
    zones: usize,
}

pub(crate) fn address(node: usize) -> SocketAddr {
    let (high, low) = (node / 250, node % 250 + 1);
    format!("10.0.{high}.{low}:7000").parse().expect("address")
}

fn node_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(high) * 250 + usize::from(low) - 1
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}

impl PeerNet {
    /// Creates `nodes` daemons spread evenly over `zones`, all started within one second.
    pub(crate) fn new(seed: u64, nodes: usize, zones: usize) -> Self {
        let mut net = Self {
            now: START,
            nodes: Vec::new(),
            loss_pct: 0,
            duplicate_pct: 0,
            isolated_zones: Vec::new(),
            largest_datagram: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            queue: BTreeMap::new(),
            step_count: 0,
            zones,
        };
        for node in 0..nodes {
            let at = START + Duration::from_millis(net.random.random_range(0..1_000));
            let core = net.new_core(at, node, 1);
            net.nodes.push(PeerNode {
                core,
                generation: 1,
                running: true,
                zone: node % zones,
                version: 0,
                applied_at: BTreeMap::new(),
                received_notes: Vec::new(),
                gone_members: Vec::new(),
            });
            net.schedule(at, NetStep::Timer(node, 1));
        }
        net
    }

    fn new_core(&self, now: TimePoint, node: usize, generation: u64) -> PeerCore {
        self.new_core_with_incarnation(now, node, generation, START.0 + generation)
    }

    fn new_core_with_incarnation(
        &self,
        now: TimePoint,
        node: usize,
        generation: u64,
        incarnation: u64,
    ) -> PeerCore {
        let mut settings = PeerSettings::new(
            format!("entry-daemon-{node}").parse().expect("name"),
            address(node),
            format!("zone-{}", node % self.zones).parse().expect("zone"),
            Incarnation(incarnation),
            KEY,
        );
        settings.random_seed = node as u64 * 1_000 + generation;
        settings.seeds = vec![address(0), address(1), address(2)];
        PeerCore::new(now, settings)
    }

    fn schedule(&mut self, at: TimePoint, step: NetStep) {
        self.step_count += 1;
        self.queue.insert((at, self.step_count), step);
    }

    pub(crate) fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(entry) = self.queue.first_entry() {
            let at = entry.key().0;
            if at > end {
                break;
            }
            let step = entry.remove();
            self.now = at;
            self.run_step(at, step);
        }
        self.now = end;
    }

    /// Runs until `condition` holds, for at most `duration`. Returns the time taken, or `None` if
    /// the condition did not hold in time.
    pub(crate) fn run_until(
        &mut self,
        duration: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < duration {
            if condition(self) {
                return Some(self.now.since(start));
            }
            self.run_for(Duration::from_millis(20));
        }
        None
    }

    fn run_step(&mut self, now: TimePoint, step: NetStep) {
        match step {
            NetStep::Event(node, generation, event) => {
                if self.nodes[node].running && self.nodes[node].generation == generation {
                    self.deliver(now, node, *event);
                }
            }
            NetStep::Timer(node, generation) => {
                let target = &self.nodes[node];
                if target.running
                    && target.generation == generation
                    && target.core.next_wakeup() <= now
                {
                    self.deliver(now, node, PeerEvent::TimerFired);
                }
            }
            NetStep::FetchBundle(node, from) => {
                let version = self.nodes[from].version;
                if self.connected(node, from) && version > self.nodes[node].version {
                    self.apply_bundle(now, node, version);
                }
            }
        }
    }

    pub(crate) fn apply_bundle(&mut self, now: TimePoint, node: usize, version: u64) {
        if !self.nodes[node].running {
            return;
        }
        self.nodes[node].version = version;
        self.nodes[node].applied_at.insert(version, now);
        let event = PeerEvent::BundleApplied {
            version: BundleVersion(version),
            digest: version,
        };
        self.deliver(now, node, event);
    }

    pub(crate) fn deliver(&mut self, now: TimePoint, node: usize, event: PeerEvent) {
        let mut actions = Vec::new();
        self.nodes[node].core.on_event(now, event, &mut actions);
        for action in actions {
            self.run_action(now, node, action);
        }
        let wakeup = self.nodes[node].core.next_wakeup();
        let generation = self.nodes[node].generation;
        let at = wakeup.max(now + Duration::from_micros(50));
        self.schedule(at, NetStep::Timer(node, generation));
    }

    fn run_action(&mut self, now: TimePoint, node: usize, action: PeerAction) {
        match action {
            PeerAction::Send { to, bytes } => self.send(now, node, node_of(to), bytes),
            PeerAction::RequestSync { to, body } => {
                let (to, generation) = (node_of(to), self.nodes[node].generation);
                if !self.connected(node, to) {
                    let event = Box::new(PeerEvent::SyncFailed);
                    self.schedule(
                        now + Duration::from_millis(100),
                        NetStep::Event(node, generation, event),
                    );
                    return;
                }
                let reply_to = (node as u64) << 32 | generation;
                let event = Box::new(PeerEvent::SyncRequested { reply_to, body });
                let to_generation = self.nodes[to].generation;
                let delay = self.delay(node, to);
                self.schedule(now + delay, NetStep::Event(to, to_generation, event));
            }
            PeerAction::ReplySync { reply_to, body } => {
                let (to, generation) = ((reply_to >> 32) as usize, reply_to & 0xffff_ffff);
                let event = Box::new(PeerEvent::SyncReplied { body });
                let delay = self.delay(node, to);
                self.schedule(now + delay, NetStep::Event(to, generation, event));
            }
            PeerAction::FetchBundle { from, .. } => {
                let from = node_of(from);
                // Opening a connection and fetching the bundle take two round trips.
                let delay = self.delay(node, from) * 4;
                self.schedule(now + delay, NetStep::FetchBundle(node, from));
            }
            PeerAction::MemberGone { daemon, .. } => {
                self.nodes[node]
                    .gone_members
                    .push((now, daemon.to_string()));
            }
            PeerAction::MembersChanged => {}
            note @ (PeerAction::DrainReceived { .. }
            | PeerAction::QuarantineReceived { .. }
            | PeerAction::CrashReceived { .. }
            | PeerAction::LimitsReceived { .. }
            | PeerAction::RatesReceived { .. }) => {
                self.nodes[node].received_notes.push((now, note));
            }
        }
    }

    fn send(&mut self, now: TimePoint, from: usize, to: usize, bytes: Vec<u8>) {
        self.largest_datagram = self.largest_datagram.max(bytes.len());
        if to >= self.nodes.len() || !self.connected(from, to) {
            return;
        }
        let copies = if self.random.random_range(0..100) < self.duplicate_pct {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.random.random_range(0..100) < self.loss_pct {
                continue;
            }
            let delay = self.delay(from, to);
            let generation = self.nodes[to].generation;
            let event = PeerEvent::Datagram {
                bytes: bytes.clone(),
            };
            self.schedule(now + delay, NetStep::Event(to, generation, Box::new(event)));
        }
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.nodes[from], &self.nodes[to]);
        let partitioned = from.zone != to.zone
            && (self.isolated_zones.contains(&from.zone) || self.isolated_zones.contains(&to.zone));
        from.running && to.running && !partitioned
    }

    /// Random one-way delay; its variation reorders datagrams.
    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let same_zone = self.nodes[from].zone == self.nodes[to].zone;
        let (min, max) = if same_zone {
            (200, 3_000)
        } else {
            (10_000, 20_000)
        };
        Duration::from_micros(self.random.random_range(min..max))
    }

    pub(crate) fn kill(&mut self, node: usize) {
        self.nodes[node].running = false;
    }

    pub(crate) fn restart(&mut self, node: usize) {
        let generation = self.nodes[node].generation + 1;
        let core = self.new_core(self.now, node, generation);
        self.start_node(node, generation, core);
    }

    /// Restarts a daemon whose clock was set back to three seconds before `START` while it was
    /// down.
    pub(crate) fn restart_with_clock_set_back(&mut self, node: usize) {
        let generation = self.nodes[node].generation + 1;
        let core = self.new_core_with_incarnation(self.now, node, generation, START.0 - 3_000_000);
        self.start_node(node, generation, core);
    }

    fn start_node(&mut self, node: usize, generation: u64, core: PeerCore) {
        self.nodes[node].core = core;
        self.nodes[node].generation = generation;
        self.nodes[node].running = true;
        self.nodes[node].version = 0;
        self.schedule(self.now, NetStep::Timer(node, generation));
    }

    /// Whether every running daemon counts as many daemons as are running, and suspects none.
    pub(crate) fn has_converged(&self) -> bool {
        let running_count = self.nodes.iter().filter(|node| node.running).count() as u32;
        let mut nodes = self.nodes.iter().filter(|node| node.running);
        nodes.all(|node| {
            let mut members = node.core.members();
            let unsuspected = members.all(|member| member.state != MemberState::Suspect);
            unsuspected && node.core.daemon_count() == running_count
        })
    }

    /// Whether every running daemon has at least the bundle version `version` in force.
    pub(crate) fn has_version(&self, version: u64) -> bool {
        let mut nodes = self.nodes.iter().filter(|node| node.running);
        nodes.all(|node| node.version >= version)
    }

    /// Average bytes sent and received per second and daemon since `START`.
    pub(crate) fn bytes_per_second(&self) -> u64 {
        let seconds = self.now.since(START).as_secs().max(1);
        let counts = self.nodes.iter().map(|node| node.core.counts());
        let bytes: u64 = counts
            .map(|counts| counts.sent_bytes + counts.received_bytes)
            .sum();
        bytes / seconds / self.nodes.len() as u64
    }
}
