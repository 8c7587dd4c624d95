//! A model of daemons that share rates, on a network that delays, loses and repeats datagrams.

#![allow(clippy::unwrap_used)]

mod fault_plan;
mod model_report;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap,
        HashMap, //
    },
    time::Duration, //
};

pub(crate) use fault_plan::FaultKind;
pub(crate) use model_report::ModelReport;
use policy::rates::{
    RateAction,
    RateAdmission,
    RateKey,
    RateLimit,
    RateMember,
    RateMessage,
    RateSettings,
    RateTable, //
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;
use schema::{
    peer::{
        datagram_body::Body,
        note_entry::Note,
        DatagramBody,
        NoteEntry, //
    },
    CpuCapacity,
    DaemonName,
    FleetEntry,
    QueryId,
    TimePoint, //
};

/// Microseconds of the model.
pub(crate) type Micros = u64;

pub(crate) const SECOND: Micros = 1_000_000;
/// Time after which membership notices that a daemon is unreachable.
const DETECTION: Micros = 1_500_000;
/// Time in which membership notices that it is reachable.
const DISCOVERY: Micros = 300_000;
/// Time until a new configuration is in force at all daemons.
const CONFIG_SPREAD: Micros = 3 * SECOND;

/// An account of the model.
#[derive(Clone, Debug)]
pub(crate) struct ModelAccount {
    pub(crate) key: RateKey,
    pub(crate) limit: RateLimit,
    /// Requests a second that its callers make.
    pub(crate) demand: f64,
    /// Daemons to which it is connected; empty for all.
    pub(crate) daemons: Vec<usize>,
    /// Multiples of the demand, each with its start and end.
    pub(crate) hot: Vec<(Micros, Micros, f64)>,
}

/// Settings of a run.
#[derive(Clone, Debug)]
pub(crate) struct ModelSettings {
    pub(crate) seed: u64,
    pub(crate) daemons: usize,
    pub(crate) duration: Micros,
    pub(crate) accounts: Vec<ModelAccount>,
    /// Parts of the datagrams that are lost, repeated, and late by up to 3 s.
    pub(crate) loss: f64,
    pub(crate) repeated: f64,
    pub(crate) late: f64,
    pub(crate) faults: Vec<(Micros, FaultKind)>,
    /// Whether membership notices cuts between zones; the protocol between zones does not.
    pub(crate) cuts_are_noticed: bool,
    /// Requests are made by `try_take`, as for cold replicas.
    pub(crate) never_waits: bool,
    /// Whether the bytes of messages are counted.
    pub(crate) measures_bytes: bool,
}

#[derive(Clone, Debug)]
enum ModelEvent {
    Arrival(usize),
    Datagram {
        from: usize,
        to: usize,
        message: RateMessage,
    },
    Timer(usize),
    Members {
        daemon: usize,
        exact: bool,
    },
    Record {
        daemon: usize,
    },
    Write {
        daemon: usize,
        entry: FleetEntry,
    },
    Confirm,
    Limits(usize),
    Fault(FaultKind),
    Start(usize),
    Resume(usize),
    Heal(usize),
    StoreBack,
}

struct ModelDaemon {
    table: RateTable,
    /// Difference of its clock from the model's.
    offset: Micros,
    incarnation: u64,
    up: bool,
    /// Whether it has read the directory.
    ready: bool,
    frozen_until: Micros,
    /// Whether the time of the freeze does not pass on its clock.
    suspended_at: Option<Micros>,
    side: u64,
    timer_at: Micros,
    inbox: Vec<(usize, RateMessage)>,
    /// The limits that it knows.
    limits: Vec<(RateKey, RateLimit)>,
}

struct Waiting {
    arrived_at: Micros,
    account: usize,
    counted: bool,
}

pub(crate) struct RateModel {
    settings: ModelSettings,
    random: Pcg64Mcg,
    now: Micros,
    sequence: u64,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    contents: HashMap<u64, ModelEvent>,
    daemons: Vec<ModelDaemon>,
    names: Vec<DaemonName>,
    indexes: BTreeMap<DaemonName, usize>,
    members: Vec<Vec<bool>>,
    store: Option<FleetEntry>,
    store_is_up: bool,
    waiting: HashMap<(usize, u64), Waiting>,
    last_query: u64,
    last_side: u64,
    /// Limits of each account, each with the time from which it is configured.
    limits: Vec<Vec<(Micros, RateLimit)>>,
    report: ModelReport,
}

impl RateModel {
    pub(crate) fn new(settings: ModelSettings) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(settings.seed);
        let count = settings.daemons;
        let names: Vec<DaemonName> = (0..count)
            .map(|index| format!("daemon-{index:03}").parse().unwrap())
            .collect();
        let limits: Vec<(RateKey, RateLimit)> = settings
            .accounts
            .iter()
            .map(|account| (account.key, account.limit))
            .collect();
        let daemons = names.iter().map(|name| ModelDaemon {
            table: new_table(name, 1),
            offset: random.random_range(1..1_000) * SECOND + random.random_range(0..SECOND),
            incarnation: 1,
            up: true,
            ready: true,
            frozen_until: 0,
            suspended_at: None,
            side: 0,
            timer_at: Micros::MAX,
            inbox: Vec::new(),
            limits: limits.clone(),
        });
        let daemons: Vec<ModelDaemon> = daemons.collect();
        let indexes = names.iter().cloned().zip(0..).collect();
        let accounts = settings.accounts.len();
        let limits = limits.iter().map(|(_, limit)| vec![(0, *limit)]).collect();
        Self {
            random,
            now: 0,
            sequence: 0,
            events: BinaryHeap::new(),
            contents: HashMap::new(),
            daemons,
            names,
            indexes,
            members: vec![vec![false; count]; count],
            store: None,
            store_is_up: true,
            waiting: HashMap::new(),
            last_query: 0,
            last_side: 0,
            limits,
            report: ModelReport::new(accounts, count),
            settings,
        }
    }

    /// Runs the model and checks that no account exceeds its bound.
    pub(crate) fn run(mut self) -> ModelReport {
        for daemon in 0..self.settings.daemons {
            self.push(0, ModelEvent::Limits(daemon));
            let at = self.random.random_range(0..DISCOVERY);
            self.push(
                at,
                ModelEvent::Members {
                    daemon,
                    exact: true,
                },
            );
        }
        for account in 0..self.settings.accounts.len() {
            self.schedule_arrival(account);
        }
        for (at, fault) in self.settings.faults.clone() {
            self.push(at, ModelEvent::Fault(fault));
        }
        self.push(SECOND, ModelEvent::Confirm);
        while let Some(Reverse((at, id))) = self.events.pop() {
            if at > self.settings.duration {
                break;
            }
            self.now = at;
            let event = self.contents.remove(&id).unwrap();
            self.handle(event);
        }
        self.report.finish(&self.settings, &self.limits);
        self.report
    }

    fn push(&mut self, at: Micros, event: ModelEvent) {
        self.sequence += 1;
        self.contents.insert(self.sequence, event);
        self.events.push(Reverse((at, self.sequence)));
    }

    fn handle(&mut self, event: ModelEvent) {
        match event {
            ModelEvent::Arrival(account) => {
                self.arrive(account);
                self.schedule_arrival(account);
            }
            ModelEvent::Datagram { from, to, message } => self.receive(from, to, message),
            ModelEvent::Timer(daemon) => {
                if self.daemons[daemon].timer_at == self.now {
                    self.daemons[daemon].timer_at = Micros::MAX;
                    self.turn(daemon);
                }
            }
            ModelEvent::Members { daemon, exact } => self.update_members(daemon, exact),
            ModelEvent::Record { daemon } => self.read_record(daemon),
            ModelEvent::Write { daemon, entry } => self.write_record(daemon, entry),
            ModelEvent::Confirm => {
                for daemon in 0..self.daemons.len() {
                    if self.runs(daemon) && self.reads_store(daemon) {
                        let now = self.local(daemon);
                        self.daemons[daemon].table.confirm_fleet(now, now);
                    }
                }
                self.push(self.now + SECOND, ModelEvent::Confirm);
            }
            ModelEvent::Limits(daemon) => {
                // A frozen process reads the configuration when it continues.
                if self.runs(daemon) {
                    let now = self.local(daemon);
                    let limits = self.latest_limits();
                    self.daemons[daemon].limits.clone_from(&limits);
                    self.daemons[daemon].table.set_limits(now, limits);
                    self.turn(daemon);
                }
            }
            ModelEvent::Fault(fault) => self.apply_fault(fault),
            ModelEvent::Start(daemon) => self.start(daemon),
            ModelEvent::Resume(daemon) => self.resume(daemon),
            ModelEvent::Heal(daemon) => {
                self.daemons[daemon].side = 0;
                self.connectivity_changed();
            }
            ModelEvent::StoreBack => {
                self.store_is_up = true;
                self.spread_record();
            }
        }
    }

    fn local(&self, daemon: usize) -> TimePoint {
        TimePoint(self.now + self.daemons[daemon].offset)
    }

    fn runs(&self, daemon: usize) -> bool {
        let daemon = &self.daemons[daemon];
        daemon.up && daemon.frozen_until <= self.now
    }

    fn reaches(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.daemons[a], &self.daemons[b]);
        a.up && b.up && a.side == b.side
    }

    /// Whether the daemon has the directory's changes: cut off sides don't.
    fn reads_store(&self, daemon: usize) -> bool {
        self.store_is_up && self.daemons[daemon].side == 0
    }

    fn latest_limits(&self) -> Vec<(RateKey, RateLimit)> {
        let accounts = self.settings.accounts.iter().zip(&self.limits);
        accounts
            .map(|(account, limits)| (account.key, limits.last().unwrap().1))
            .collect()
    }

    fn schedule_arrival(&mut self, account: usize) {
        let spec = &self.settings.accounts[account];
        let now = self.now;
        let hot = spec
            .hot
            .iter()
            .find(|(from, until, _)| (*from..*until).contains(&now));
        let rate = spec.demand * hot.map_or(1.0, |(_, _, factor)| *factor);
        let wait = -(1.0 - self.random.random::<f64>()).ln() / rate;
        let at = now + ((wait.min(1_000.0) * 1e6) as Micros).max(1);
        // A change of the demand takes effect at once.
        let starts = spec.hot.iter().map(|(from, _, _)| *from);
        let next = starts.filter(|from| *from > now && *from < at).min();
        self.push(next.unwrap_or(at), ModelEvent::Arrival(account));
    }

    fn arrive(&mut self, account: usize) {
        let spec = &self.settings.accounts[account];
        let choices = match spec.daemons.is_empty() {
            true => self.daemons.len(),
            false => spec.daemons.len(),
        };
        let chosen = self.random.random_range(0..choices);
        let daemon = match spec.daemons.is_empty() {
            true => chosen,
            false => spec.daemons[chosen],
        };
        let key = spec.key;
        let now = self.now;
        let is_hot = |(from, until, _): &(Micros, Micros, f64)| {
            // Tokens used up in that time are missing for a while.
            (*from..*until + 5 * SECOND).contains(&now)
        };
        let keeps_to_rate = !spec.hot.iter().any(is_hot) && now > 5 * SECOND;
        if !self.runs(daemon) || !self.daemons[daemon].ready {
            return;
        }
        let counted = keeps_to_rate && self.daemons[daemon].side == 0;
        let local = self.local(daemon);
        self.last_query += 1;
        let query = QueryId(self.last_query);
        self.report.record_arrival(account, counted);
        let table = &mut self.daemons[daemon].table;
        let admission = match self.settings.never_waits {
            true if table.try_take(local, key) => RateAdmission::Admitted,
            true => RateAdmission::Refused {
                retry_after: Duration::ZERO,
            },
            false => table.request(local, key, query),
        };
        let waiting = Waiting {
            arrived_at: now,
            account,
            counted,
        };
        match admission {
            RateAdmission::Pending => {
                self.waiting.insert((daemon, query.0), waiting);
            }
            admission => self.decide(waiting, admission),
        }
        self.turn(daemon);
    }

    fn decide(&mut self, waiting: Waiting, admission: RateAdmission) {
        let Waiting {
            arrived_at,
            account,
            counted,
        } = waiting;
        let delay = self.now - arrived_at;
        // The model's timers are up to 50 us late.
        assert!(
            delay <= 100_000 || !counted,
            "a request waited for {delay} us"
        );
        let admitted = admission == RateAdmission::Admitted;
        self.report
            .record_decision(account, self.now, delay, admitted, counted);
    }

    /// Runs the due timers of a daemon, as after each turn of its loop.
    fn turn(&mut self, daemon: usize) {
        if !self.runs(daemon) {
            return;
        }
        let now = self.local(daemon);
        let mut actions = Vec::new();
        if self.daemons[daemon].table.next_wakeup() <= now {
            self.daemons[daemon].table.on_timer(now, &mut actions);
        }
        self.carry_out(daemon, actions);
        let wakeup = self.daemons[daemon].table.next_wakeup();
        if wakeup == TimePoint::NEVER {
            return;
        }
        let offset = self.daemons[daemon].offset;
        let at = wakeup.0.saturating_sub(offset).max(self.now + 50);
        if at < self.daemons[daemon].timer_at {
            self.daemons[daemon].timer_at = at;
            self.push(at, ModelEvent::Timer(daemon));
        }
    }

    fn carry_out(&mut self, daemon: usize, actions: Vec<RateAction>) {
        for action in actions {
            match action {
                RateAction::Send { to, message } => self.send(daemon, &to, message),
                RateAction::Decided { query, admission } => {
                    if let Some(waiting) = self.waiting.remove(&(daemon, query.0)) {
                        self.decide(waiting, admission);
                    }
                }
                RateAction::WriteFleet {
                    record,
                    expected_revision,
                } => {
                    if self.reads_store(daemon) {
                        let revision = expected_revision;
                        let entry = FleetEntry { record, revision };
                        self.push(self.now + 10_000, ModelEvent::Write { daemon, entry });
                    }
                }
                RateAction::Log(event) => self.report.record_event(self.now, daemon, event),
            }
        }
    }

    fn send(&mut self, from: usize, to: &DaemonName, message: RateMessage) {
        let bytes = match self.settings.measures_bytes {
            true => datagram_bytes(&self.names[from], &message),
            false => 0,
        };
        self.report.record_message(from, bytes);
        let to = self.indexes[to];
        if !self.reaches(from, to) || self.random.random_bool(self.settings.loss) {
            return;
        }
        let copies = 1 + u32::from(self.random.random_bool(self.settings.repeated));
        for _ in 0..copies {
            let mut delay = self.random.random_range(500..15_000);
            if self.random.random_bool(self.settings.late) {
                delay = self.random.random_range(15_000..3 * SECOND);
            }
            let message = message.clone();
            self.push(self.now + delay, ModelEvent::Datagram { from, to, message });
        }
    }

    fn receive(&mut self, from: usize, to: usize, message: RateMessage) {
        if !self.daemons[to].up {
            return;
        }
        if !self.runs(to) {
            if self.daemons[to].inbox.len() < 300 {
                self.daemons[to].inbox.push((from, message));
            }
            return;
        }
        let message = RateMessage::from_note(&message.to_note());
        let now = self.local(to);
        let mut actions = Vec::new();
        self.daemons[to]
            .table
            .on_message(now, &self.names[from], &message, &mut actions);
        self.carry_out(to, actions);
        self.turn(to);
    }

    fn update_members(&mut self, daemon: usize, exact: bool) {
        if !self.runs(daemon) {
            return;
        }
        for other in 0..self.daemons.len() {
            let reached =
                self.reaches(daemon, other) && self.daemons[other].frozen_until <= self.now;
            let known = self.members[daemon][other];
            let cut = self.daemons[other].up && !self.settings.cuts_are_noticed;
            self.members[daemon][other] = reached || (known && (!exact || cut));
        }
        let members = (0..self.daemons.len())
            .filter(|other| *other != daemon && self.members[daemon][*other])
            .map(|other| RateMember {
                daemon: self.names[other].clone(),
                capacity: CpuCapacity(100),
            });
        let members = members.collect();
        let now = self.local(daemon);
        self.daemons[daemon].table.set_members(now, members);
        self.turn(daemon);
    }

    fn connectivity_changed(&mut self) {
        for daemon in 0..self.daemons.len() {
            let soon = self.now + self.random.random_range(10_000..DISCOVERY);
            self.push(
                soon,
                ModelEvent::Members {
                    daemon,
                    exact: false,
                },
            );
            let later = self.now + DETECTION + self.random.random_range(0..500_000);
            self.push(
                later,
                ModelEvent::Members {
                    daemon,
                    exact: true,
                },
            );
        }
        self.spread_record();
    }

    fn spread_record(&mut self) {
        for daemon in 0..self.daemons.len() {
            let at = self.now + self.random.random_range(5_000..SECOND);
            self.push(at, ModelEvent::Record { daemon });
        }
    }

    fn read_record(&mut self, daemon: usize) {
        if !self.runs(daemon) || !self.reads_store(daemon) {
            return;
        }
        self.daemons[daemon].ready = true;
        if let Some(entry) = self.store.clone() {
            let now = self.local(daemon);
            self.daemons[daemon].table.set_fleet(now, entry);
            self.turn(daemon);
        }
    }

    fn write_record(&mut self, daemon: usize, entry: FleetEntry) {
        let revision = self.store.as_ref().map_or(0, |entry| entry.revision);
        if !self.reads_store(daemon) || entry.revision != revision {
            return;
        }
        self.report.writes += 1;
        self.store = Some(FleetEntry {
            record: entry.record,
            revision: revision + 1,
        });
        self.spread_record();
    }

    fn start(&mut self, daemon: usize) {
        let name = self.names[daemon].clone();
        let limits = self.latest_limits();
        let state = &mut self.daemons[daemon];
        state.incarnation += 1;
        state.table = new_table(&name, state.incarnation);
        state.up = true;
        state.ready = false;
        state.timer_at = Micros::MAX;
        state.limits.clone_from(&limits);
        for other in &mut self.members[daemon] {
            *other = false;
        }
        let now = self.local(daemon);
        self.daemons[daemon].table.set_limits(now, limits);
        self.connectivity_changed();
        self.push(self.now + 20_000, ModelEvent::Record { daemon });
    }

    fn resume(&mut self, daemon: usize) {
        let state = &mut self.daemons[daemon];
        if !state.up || state.frozen_until > self.now {
            return;
        }
        if let Some(since) = state.suspended_at.take() {
            // Its clock stood still.
            let period = self.now - since;
            state.offset -= period;
            let now = TimePoint(self.now + state.offset);
            state.table.on_suspended(now, Duration::from_micros(period));
        }
        state.timer_at = Micros::MAX;
        let inbox = std::mem::take(&mut state.inbox);
        // Requests and datagrams that came meanwhile, in either order.
        for (from, message) in inbox {
            self.receive(from, daemon, message);
        }
        self.turn(daemon);
        self.push(self.now + SECOND, ModelEvent::Limits(daemon));
        self.connectivity_changed();
    }
}

fn new_table(name: &DaemonName, incarnation: u64) -> RateTable {
    RateTable::new(RateSettings {
        daemon: name.clone(),
        capacity: CpuCapacity(100),
        incarnation,
    })
}

/// Size of the datagram that carries the message.
fn datagram_bytes(from: &DaemonName, message: &RateMessage) -> usize {
    let note = Some(Note::Rate(message.to_note()));
    let body = DatagramBody {
        from: from.to_string(),
        zone: "zone-1".into(),
        cell: "+100m".into(),
        incarnation: 1_700_000_000_000_000,
        bundle_version: 0,
        bundle_digest: 0,
        body: None::<Body>,
        notes: vec![NoteEntry { note }],
        revision: 1,
        view: u64::MAX,
        peer: "10.0.0.100:20000".into(),
    };
    policy::peers::seal_datagram(&[0; 32], &body).len()
}
