//! Randomized soak test: daemon processes run against stand-ins for the platform while overlapping
//! faults are injected from outside. What callers and replicas see shows whether the guarantees to
//! callers hold.
//!
//! CI runs the seeds below. `SOAK_SEEDS=100..150 cargo test -p pollentally-daemon --test
//! forward_soak -- --ignored` runs others, three at a time. There are no clock faults, because all
//! daemons share the clock of the machine.

#![allow(clippy::unwrap_used)]

mod forward_cluster;

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
        Arc,
        Mutex, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use forward_cluster::{
    wait_for,
    DaemonProcess,
    ForwardCluster, //
};
use platform_standin::{
    call,
    reply_records,
    CallerReply,
    FakeReplica,
    LinkFault,
    LinkProxy,
    ReplicaFault,
    ReplicaFleet,
    RouteText,
    StoreFault, //
};
use rand::{
    rngs::StdRng,
    seq::IndexedRandom,
    Rng,
    SeedableRng, //
};

/// Seeds that CI runs. A seed that has failed is added here, with the cause of the failure.
const SEEDS: [u64; 3] = [1, 2, 3];
/// In one of this many seeds daemons lose their links to all replicas. The replicas that a request
/// crashes are left out there: they have no proxies, which would hide a crash.
const STRANDED_DIVISOR: u64 = 3;
/// How long faults are injected.
const FAULT_PERIOD: Duration = Duration::from_secs(8);
/// Time after the last fault before the guarantees hold: `settleWindowMs`, and a restart.
const SETTLE_PERIOD: Duration = Duration::from_secs(6);
/// Longest time from a drain until the replica gets no new requests (`drainMs`).
const DRAIN_PERIOD: Duration = Duration::from_secs(3);
const SHARDS: [&str; 3] = ["s1", "s2", "s3"];
/// Retries of a request that crashes its replicas that may reach replicas once the guarantees hold.
const LATE_RETRIES_MAX: usize = 3;
/// Pause between two retries of the caller whose request crashes replicas.
const CRASH_PAUSE: Duration = Duration::from_millis(250);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn routes(version: u64) -> Vec<RouteText> {
    let mut routes = vec![
        RouteText::single("/one/", "s1"),
        RouteText {
            safe: false,
            ..RouteText::single("/once/", "s2")
        },
        RouteText {
            services: SHARDS.to_vec(),
            min_share: 0.6,
            ..RouteText::single("/all/", "s1")
        },
    ];
    // The route of the request that crashes its replicas moves.
    let fragile = ["s4", "s4", "s5"][version as usize % 3];
    routes.push(RouteText::single("/fragile/", fragile));
    if version.is_multiple_of(2) {
        routes.push(RouteText::single("/extra/", "s3"));
    }
    routes
}

/// A replica behind a proxy that injects network faults.
struct ProxiedReplica {
    name: String,
    replica: FakeReplica,
    proxy: LinkProxy,
}

/// State shared by the callers and the test.
struct CallerState {
    addresses: Mutex<Vec<SocketAddr>>,
    finished: AtomicBool,
    settled: AtomicBool,
    last_number: AtomicU64,
    violations: Mutex<Vec<String>>,
    /// Ids of requests whose refusal says that they have not run.
    refused: Mutex<Vec<String>>,
    /// Requests and successes after the faults, when the guarantees hold.
    requests: AtomicU64,
    successes: AtomicU64,
}

struct SoakRun {
    cluster: ForwardCluster,
    store: LinkProxy,
    daemons: Vec<DaemonProcess>,
    replicas: Vec<ProxiedReplica>,
    /// Replicas without a proxy that one request crashes, of two services; none if daemons are stranded.
    fleets: Vec<ReplicaFleet>,
    state: Arc<CallerState>,
    random: StdRng,
    version: u64,
}

impl SoakRun {
    fn start(seed: u64) -> Self {
        let mut cluster = ForwardCluster::start(&routes(1));
        let store = LinkProxy::start(cluster.store.address());
        cluster.store_address = store.address();
        let mut replicas = Vec::new();
        for shard in SHARDS {
            for zone in ["z1", "z2"] {
                let name = format!("i-{shard}-{zone}");
                let replica = FakeReplica::start(&cluster.store, shard, &name, zone);
                let proxy = LinkProxy::start(replica.address());
                replica.register_at(proxy.address(), &cluster.store, "ready");
                replicas.push(ProxiedReplica {
                    name,
                    replica,
                    proxy,
                });
            }
        }
        let zones = ["z1", "z1", "z2", "z2"];
        let services: &[&str] = match seed.is_multiple_of(STRANDED_DIVISOR) {
            true => &[],
            false => &["s4", "s5"],
        };
        let fleets = services.iter();
        let fleets = fleets.map(|service| ReplicaFleet::start(&cluster.store, service, &zones));
        let fleets = fleets.collect();
        let daemons: Vec<_> = ["z1", "z1", "z2"]
            .map(|zone| cluster.ready_daemon(zone))
            .into();
        let state = Arc::new(CallerState {
            addresses: Mutex::new(daemons.iter().map(DaemonProcess::callers).collect()),
            finished: AtomicBool::new(false),
            settled: AtomicBool::new(false),
            last_number: AtomicU64::new(0),
            violations: Mutex::default(),
            refused: Mutex::default(),
            requests: AtomicU64::new(0),
            successes: AtomicU64::new(0),
        });
        Self {
            cluster,
            store,
            daemons,
            replicas,
            fleets,
            state,
            random: StdRng::seed_from_u64(seed),
            version: 1,
        }
    }

    /// Injects a random fault, or ends one.
    fn inject_fault(&mut self) {
        let daemon = self.random.random_range(0..self.daemons.len());
        let number = u8::try_from(daemon + 1).unwrap();
        let zone = if number < 3 { "z1" } else { "z2" };
        let replica = self.random.random_range(0..self.replicas.len());
        let kinds = if self.fleets.is_empty() { 25 } else { 16 };
        match self.random.random_range(0..kinds) {
            0 => {
                self.daemons[daemon].signal("STOP");
                thread::sleep(ms(self.random.random_range(50..900)));
                self.daemons[daemon].signal("CONT");
            }
            1 => {
                self.daemons[daemon].signal("KILL");
                self.daemons[daemon].wait();
                thread::sleep(ms(self.random.random_range(0..400)));
                self.daemons[daemon] = self.cluster.spawn_as(number, zone);
            }
            2 => {
                self.daemons[daemon].signal("TERM");
                // The new process takes the addresses of the old one, which must have ended.
                let code = self.daemons[daemon].wait();
                assert!(matches!(code, Some(0 | 5)), "{code:?}");
                self.daemons[daemon] = self.cluster.spawn_as(number, zone);
            }
            3 => self.daemons[daemon].signal("HUP"),
            4 | 5 => {
                let faults = [
                    StoreFault::None,
                    StoreFault::None,
                    StoreFault::Busy,
                    StoreFault::Silent,
                    StoreFault::Slow(ms(250)),
                ];
                self.cluster
                    .store
                    .set_fault(*faults.choose(&mut self.random).unwrap());
            }
            6 => self.cluster.store.compact(),
            7 => {
                self.version += 1;
                self.cluster.configure(self.version, &routes(self.version));
            }
            8 | 9 => {
                let faults = [
                    ReplicaFault::None,
                    ReplicaFault::None,
                    ReplicaFault::Sheds,
                    ReplicaFault::Fails,
                    ReplicaFault::WrongId,
                    ReplicaFault::Unsigned,
                    ReplicaFault::Truncates,
                    ReplicaFault::Slow(ms(400)),
                ];
                let fault = *faults.choose(&mut self.random).unwrap();
                self.replicas[replica].replica.set_fault(fault);
            }
            10 | 11 => {
                let fault = self.link_fault();
                self.replicas[replica].proxy.set_fault(fault);
            }
            12 => {
                let fault = self.link_fault();
                self.store.set_fault(fault);
            }
            13 | 14 => {
                let limits: [&[&str]; 5] = [&[], &["0"], &["20"], &["200"], &["none"]];
                let limit = limits.choose(&mut self.random).unwrap();
                self.replicas[replica].replica.set_limits(limit);
            }
            22.. => {
                let rests: [&[(&str, &str)]; 4] = [
                    &[],
                    &[("retry-after", "0.5")],
                    &[("retry-after", "2")],
                    &[("retry-after", "soon")],
                ];
                let rest = rests.choose(&mut self.random).unwrap();
                let replica = &self.replicas[replica].replica;
                replica.set_headers(rest);
                replica.set_fault(ReplicaFault::Sheds);
            }
            16.. => {
                let faults = [
                    LinkFault::None,
                    LinkFault::Silent,
                    LinkFault::Reset,
                    LinkFault::RefuseNew,
                ];
                let fault = *faults.choose(&mut self.random).unwrap();
                let pid = self.daemons[daemon].pid();
                for proxied in &self.replicas {
                    proxied.proxy.set_fault_of(pid, fault);
                }
                thread::sleep(ms(self.random.random_range(0..1_500)));
            }
            _ => {
                let proxied = &self.replicas[replica];
                proxied.replica.unregister(&self.cluster.store);
                thread::sleep(ms(self.random.random_range(0..300)));
                proxied
                    .replica
                    .register_at(proxied.proxy.address(), &self.cluster.store, "ready");
            }
        }
        thread::sleep(ms(self.random.random_range(20..250)));
    }

    fn link_fault(&mut self) -> LinkFault {
        let faults = [
            LinkFault::None,
            LinkFault::None,
            LinkFault::Delay(ms(80)),
            LinkFault::Silent,
            LinkFault::OneWay,
            LinkFault::Reset,
        ];
        *faults.choose(&mut self.random).unwrap()
    }

    fn clear_faults(&mut self) {
        self.cluster.store.set_fault(StoreFault::None);
        self.store.set_fault(LinkFault::None);
        for proxied in &self.replicas {
            proxied.replica.set_fault(ReplicaFault::None);
            proxied.replica.set_limits(&[]);
            proxied.replica.set_headers(&[]);
            proxied.proxy.set_fault(LinkFault::None);
            for daemon in &self.daemons {
                proxied.proxy.set_fault_of(daemon.pid(), LinkFault::None);
            }
            proxied
                .replica
                .register_at(proxied.proxy.address(), &self.cluster.store, "ready");
        }
    }

    /// Runs the whole test and returns the violations found.
    fn run(mut self) -> Vec<String> {
        let mut callers: Vec<_> = (0..6).map(|_| spawn_caller(self.state.clone())).collect();
        if !self.fleets.is_empty() {
            callers.push(spawn_crashing_caller(self.state.clone()));
        }
        let end = Instant::now() + FAULT_PERIOD;
        while Instant::now() < end {
            self.inject_fault();
            self.restart_crashed();
        }
        self.clear_faults();
        for daemon in &self.daemons {
            wait_for("the daemon is ready after the faults", || daemon.is_ready());
        }
        self.wait(SETTLE_PERIOD);
        let settled_at = Instant::now();
        self.state.settled.store(true, Ordering::SeqCst);
        let draining = self.random.random_range(0..self.replicas.len());
        let proxied = &self.replicas[draining];
        proxied
            .replica
            .register_at(proxied.proxy.address(), &self.cluster.store, "draining");
        self.wait(DRAIN_PERIOD);
        let proxied = &self.replicas[draining];
        let runs = proxied.replica.runs();
        self.wait(ms(1_500));
        let proxied = &self.replicas[draining];
        let mut violations = Vec::new();
        if proxied.replica.runs() > runs {
            violations.push(format!("{} got requests after its drain", proxied.name));
        }
        self.state.finished.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.join().unwrap();
        }
        violations.extend(self.state.violations.lock().unwrap().drain(..));
        self.check_runs(&mut violations);
        self.check_crashing_runs(settled_at, &mut violations);
        let requests = self.state.requests.load(Ordering::SeqCst);
        let successes = self.state.successes.load(Ordering::SeqCst);
        if requests < 50 || successes * 100 < requests * 95 {
            violations.push(format!(
                "{successes} of {requests} requests succeeded after the faults were cleared"
            ));
        }
        for daemon in self.daemons.iter().filter(|_| !violations.is_empty()) {
            eprintln!("== {:?}\n{}", daemon.ip, daemon.log());
        }
        violations
    }

    fn restart_crashed(&mut self) {
        for fleet in &mut self.fleets {
            fleet.restart_crashed(&self.cluster.store);
        }
    }

    /// Lets time pass, in which crashed replicas are started again.
    fn wait(&mut self, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            self.restart_crashed();
            thread::sleep(ms(10));
        }
    }

    /// Checks that few retries of the request that crashes replicas reached them after `settled_at`,
    /// and none that was refused.
    fn check_crashing_runs(&mut self, settled_at: Instant, violations: &mut Vec<String>) {
        self.restart_crashed();
        let runs = self.fleets.iter().flat_map(ReplicaFleet::crashing_runs);
        let runs: Vec<(Instant, String)> = runs.collect();
        let late = runs.iter().filter(|(at, _)| *at > settled_at);
        let late: BTreeSet<&String> = late.map(|(_, id)| id).collect();
        if late.len() > LATE_RETRIES_MAX {
            violations.push(format!("retries that crashed replicas: {late:?}"));
        }
        if !self.fleets.is_empty() && runs.len() < 3 {
            violations.push(format!("only {} crashes under a request", runs.len()));
        }
        let refused = self.state.refused.lock().unwrap();
        let ran = runs.iter().filter(|(_, id)| refused.contains(id));
        violations.extend(ran.map(|(_, id)| format!("{id} ran although it was refused")));
    }

    /// Checks that refused requests have not run and that others ran at most once where required.
    fn check_runs(&self, violations: &mut Vec<String>) {
        let runs = |id: &str| {
            self.replicas
                .iter()
                .map(|proxied| proxied.replica.runs_of(id))
                .sum::<u32>()
        };
        for id in self.state.refused.lock().unwrap().iter() {
            if runs(id) > 0 {
                violations.push(format!(
                    "{id} ran although its refusal says that it did not"
                ));
            }
        }
        for number in 1..=self.state.last_number.load(Ordering::SeqCst) {
            let id = format!("once-{number}");
            if runs(&id) > 1 {
                violations.push(format!("{id} ran {} times", runs(&id)));
            }
        }
    }
}

fn spawn_caller(state: Arc<CallerState>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        while !state.finished.load(Ordering::SeqCst) {
            let number = state.last_number.fetch_add(1, Ordering::SeqCst) + 1;
            let settled = state.settled.load(Ordering::SeqCst);
            let address = {
                let addresses = state.addresses.lock().unwrap();
                addresses[number as usize % addresses.len()]
            };
            let route = ["one", "once", "all"][number as usize / 3 % 3];
            let id = format!("{route}-{number}");
            let reply = call(
                address,
                &format!("GET /{route}/x"),
                &id,
                REQUEST_TIMEOUT,
                b"",
            );
            if let Some(violation) = find_violation(route, &id, &reply) {
                state
                    .violations
                    .lock()
                    .unwrap()
                    .push(format!("{violation}: {id} {reply:?}"));
            }
            if matches!(reply.status, 429 | 503) {
                state.refused.lock().unwrap().push(id);
            }
            if settled {
                state.requests.fetch_add(1, Ordering::SeqCst);
                state
                    .successes
                    .fetch_add(u64::from(reply.status == 200), Ordering::SeqCst);
            }
            thread::sleep(ms(8));
        }
    })
}

/// Sends a request that crashes each replica on which it runs, again and again.
fn spawn_crashing_caller(state: Arc<CallerState>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        let mut number = 0;
        while !state.finished.load(Ordering::SeqCst) {
            number += 1;
            let address = {
                let addresses = state.addresses.lock().unwrap();
                addresses[number % addresses.len()]
            };
            let id = format!("crash-{number}");
            let line = format!("POST /fragile/crashes-replicas?try={}", number % 4);
            let reply = call(address, &line, &id, REQUEST_TIMEOUT, b"body");
            if matches!(reply.status, 429 | 503) {
                state.refused.lock().unwrap().push(id);
            }
            thread::sleep(CRASH_PAUSE);
        }
    })
}

/// What is wrong with a reply; these rules hold during faults too.
fn find_violation(route: &str, id: &str, reply: &CallerReply) -> Option<&'static str> {
    if matches!(reply.status, 400..=407 | 409..=420 | 422..=428) {
        return Some("a refusal that blames the caller");
    }
    if reply.status != 200 {
        return None;
    }
    if !reply.complete {
        return Some("a truncated answer");
    }
    let names: Option<Vec<String>> = match route {
        "all" => reply
            .stamps()
            .iter()
            .map(|stamp| name_in(stamp, id))
            .collect(),
        _ => name_in(reply.header("server-stamp"), id).map(|name| vec![name]),
    };
    let Some(names) = names else {
        return Some("a stamp of another request");
    };
    if route != "all" {
        return (reply.body != reply_records(&names[0])).then_some("the body of another replica");
    }
    let shards: BTreeSet<&str> = names
        .iter()
        .filter_map(|name| name.split('-').nth(1))
        .collect();
    let missing = reply.header("missing-parts").parse();
    if shards.len() != names.len() || missing != Ok(SHARDS.len() - names.len()) {
        return Some("wrong stamps or a wrong count of missing shards");
    }
    if (names.len() as f64) < 0.6 * SHARDS.len() as f64 {
        return Some("too few shards");
    }
    let all: Vec<u8> = names.iter().flat_map(|name| reply_records(name)).collect();
    let mut records: Vec<&[u8]> = all.chunks(16).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(3);
    (reply.body != records.concat()).then_some("not the greatest records")
}

/// The name of the replica in `stamp`, if it is the stamp of a reply to the request `id`.
fn name_in(stamp: &str, id: &str) -> Option<String> {
    let name = stamp
        .strip_prefix("stamp.")?
        .strip_suffix(id)?
        .strip_suffix('.')?;
    Some(name.to_string())
}

fn run_seed(seed: u64) {
    let violations = SoakRun::start(seed).run();
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

#[test]
fn committed_seeds() {
    let runs = SEEDS.map(|seed| thread::spawn(move || run_seed(seed)));
    for run in runs {
        run.join().unwrap();
    }
}

#[test]
#[ignore = "takes minutes; runs the seeds in SOAK_SEEDS"]
fn given_seeds() {
    let range = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "100..103".into());
    let (from, to) = range.split_once("..").unwrap();
    let seeds: Vec<u64> = (from.parse().unwrap()..to.parse().unwrap()).collect();
    let mut failed = Vec::new();
    for chunk in seeds.chunks(3) {
        let runs: Vec<_> = chunk
            .iter()
            .copied()
            .map(|seed| (seed, thread::spawn(move || run_seed(seed))))
            .collect();
        for (seed, run) in runs {
            if run.join().is_err() {
                failed.push(seed);
            }
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}
