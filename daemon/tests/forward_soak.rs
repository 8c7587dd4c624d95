//! A randomized soak: real daemons over stand-ins, with faults from outside that come in series and
//! overlap, and the users' promises checked from what callers and replicas see.
//!
//! CI runs the seeds below. `SOAK_SEEDS=100..150 cargo test -p pollentally-daemon --test forward_soak --
//! --ignored` runs others, three at a time. Clocks are not harmed: the daemons share the machine's.

#![allow(clippy::unwrap_used)]

mod forward_bench;

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

use forward_bench::{
    wait_for,
    DaemonStand,
    ForwardBench, //
};
use platform_standin::{
    call,
    reply_records,
    CallerReply,
    FakeReplica,
    LinkFault,
    LinkProxy,
    ReplicaFault,
    RouteText,
    StoreFault, //
};
use rand::{
    rngs::StdRng,
    seq::IndexedRandom,
    Rng,
    SeedableRng, //
};

/// Seeds that CI runs. One that ever failed stays here, with its cause.
const SEEDS: [u64; 2] = [1, 2];
/// Length of the part with faults.
const CHAOS: Duration = Duration::from_secs(8);
/// Time after the last fault in which nothing is promised (`settleWindowMs`, and a restart).
const SETTLE: Duration = Duration::from_secs(6);
/// Time from a drain to the last new work (`drainMs`).
const DRAIN: Duration = Duration::from_secs(3);
const SHARDS: [&str; 3] = ["s1", "s2", "s3"];
const PATIENCE: Duration = Duration::from_secs(2);

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
    if version.is_multiple_of(2) {
        routes.push(RouteText::single("/extra/", "s3"));
    }
    routes
}

/// A replica behind a proxy.
struct ProxiedReplica {
    name: String,
    replica: FakeReplica,
    proxy: LinkProxy,
}

/// What callers share with the soak.
struct CallerDesk {
    addresses: Mutex<Vec<SocketAddr>>,
    over: AtomicBool,
    calm: AtomicBool,
    last: AtomicU64,
    faults: Mutex<Vec<String>>,
    /// Ids that a refusal says have not run.
    refused: Mutex<Vec<String>>,
    /// Requests and successes in the calm part.
    asked: AtomicU64,
    served: AtomicU64,
}

struct SoakRun {
    bench: ForwardBench,
    store: LinkProxy,
    daemons: Vec<DaemonStand>,
    replicas: Vec<ProxiedReplica>,
    desk: Arc<CallerDesk>,
    random: StdRng,
    version: u64,
}

impl SoakRun {
    fn start(seed: u64) -> Self {
        let mut bench = ForwardBench::start(&routes(1));
        let store = LinkProxy::start(bench.store.address());
        bench.store_address = store.address();
        let mut replicas = Vec::new();
        for shard in SHARDS {
            for zone in ["z1", "z2"] {
                let name = format!("i-{shard}-{zone}");
                let replica = FakeReplica::start(&bench.store, shard, &name, zone);
                let proxy = LinkProxy::start(replica.address());
                replica.register_at(proxy.address(), &bench.store, "ready");
                replicas.push(ProxiedReplica {
                    name,
                    replica,
                    proxy,
                });
            }
        }
        let daemons: Vec<_> = ["z1", "z1", "z2"].map(|zone| bench.daemon(zone)).into();
        let desk = Arc::new(CallerDesk {
            addresses: Mutex::new(daemons.iter().map(DaemonStand::callers).collect()),
            over: AtomicBool::new(false),
            calm: AtomicBool::new(false),
            last: AtomicU64::new(0),
            faults: Mutex::default(),
            refused: Mutex::default(),
            asked: AtomicU64::new(0),
            served: AtomicU64::new(0),
        });
        Self {
            bench,
            store,
            daemons,
            replicas,
            desk,
            random: StdRng::seed_from_u64(seed),
            version: 1,
        }
    }

    /// One fault, or the end of one.
    fn harm(&mut self) {
        let place = self.random.random_range(0..self.daemons.len());
        let number = u8::try_from(place + 1).unwrap();
        let zone = if number < 3 { "z1" } else { "z2" };
        let replica = self.random.random_range(0..self.replicas.len());
        match self.random.random_range(0..14) {
            0 => {
                self.daemons[place].signal("STOP");
                thread::sleep(ms(self.random.random_range(50..900)));
                self.daemons[place].signal("CONT");
            }
            1 => {
                self.daemons[place].signal("KILL");
                self.daemons[place].wait();
                thread::sleep(ms(self.random.random_range(0..400)));
                self.daemons[place] = self.bench.spawn_as(number, zone);
            }
            2 => {
                self.daemons[place].signal("TERM");
                // The old process ends while others are harmed; the new one takes its addresses.
                let code = self.daemons[place].wait();
                assert!(matches!(code, Some(0 | 5)), "{code:?}");
                self.daemons[place] = self.bench.spawn_as(number, zone);
            }
            3 => self.daemons[place].signal("HUP"),
            4 | 5 => {
                let faults = [
                    StoreFault::None,
                    StoreFault::None,
                    StoreFault::Busy,
                    StoreFault::Silent,
                    StoreFault::Slow(ms(250)),
                ];
                self.bench
                    .store
                    .set_fault(*faults.choose(&mut self.random).unwrap());
            }
            6 => self.bench.store.compact(),
            7 => {
                self.version += 1;
                self.bench.configure(self.version, &routes(self.version));
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
            _ => {
                let one = &self.replicas[replica];
                one.replica.unregister(&self.bench.store);
                thread::sleep(ms(self.random.random_range(0..300)));
                one.replica
                    .register_at(one.proxy.address(), &self.bench.store, "ready");
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

    fn heal(&mut self) {
        self.bench.store.set_fault(StoreFault::None);
        self.store.set_fault(LinkFault::None);
        for one in &self.replicas {
            one.replica.set_fault(ReplicaFault::None);
            one.proxy.set_fault(LinkFault::None);
            one.replica
                .register_at(one.proxy.address(), &self.bench.store, "ready");
        }
    }

    /// A whole run; gives what was broken.
    fn play(mut self) -> Vec<String> {
        let callers: Vec<_> = (0..6).map(|_| spawn_caller(self.desk.clone())).collect();
        let end = Instant::now() + CHAOS;
        while Instant::now() < end {
            self.harm();
        }
        self.heal();
        for daemon in &self.daemons {
            wait_for("ready after the faults", || daemon.is_ready());
        }
        thread::sleep(SETTLE);
        self.desk.calm.store(true, Ordering::SeqCst);
        let leaving = self.random.random_range(0..self.replicas.len());
        let one = &self.replicas[leaving];
        one.replica
            .register_at(one.proxy.address(), &self.bench.store, "draining");
        thread::sleep(DRAIN);
        let runs = one.replica.runs();
        thread::sleep(ms(1_500));
        let mut broken = Vec::new();
        if one.replica.runs() > runs {
            broken.push(format!("{} got work after it left", one.name));
        }
        self.desk.over.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.join().unwrap();
        }
        broken.extend(self.desk.faults.lock().unwrap().drain(..));
        self.check_runs(&mut broken);
        let asked = self.desk.asked.load(Ordering::SeqCst);
        let served = self.desk.served.load(Ordering::SeqCst);
        if asked < 50 || served * 100 < asked * 95 {
            broken.push(format!("{served} of {asked} served once all was well"));
        }
        for daemon in self.daemons.iter().filter(|_| !broken.is_empty()) {
            eprintln!("== {:?}\n{}", daemon.ip, daemon.log());
        }
        broken
    }

    /// Runs of each request against what its caller was told.
    fn check_runs(&self, broken: &mut Vec<String>) {
        let runs = |id: &str| {
            self.replicas
                .iter()
                .map(|one| one.replica.runs_of(id))
                .sum::<u32>()
        };
        for id in self.desk.refused.lock().unwrap().iter() {
            if runs(id) > 0 {
                broken.push(format!("{id} was refused as not run, and ran"));
            }
        }
        for number in 1..=self.desk.last.load(Ordering::SeqCst) {
            let id = format!("once-{number}");
            if runs(&id) > 1 {
                broken.push(format!("{id} ran {} times", runs(&id)));
            }
        }
    }
}

fn spawn_caller(desk: Arc<CallerDesk>) -> thread::JoinHandle<()> {
    thread::spawn(move || {
        while !desk.over.load(Ordering::SeqCst) {
            let number = desk.last.fetch_add(1, Ordering::SeqCst) + 1;
            let calm = desk.calm.load(Ordering::SeqCst);
            let address = {
                let addresses = desk.addresses.lock().unwrap();
                addresses[number as usize % addresses.len()]
            };
            let kind = ["one", "once", "all"][number as usize / 3 % 3];
            let id = format!("{kind}-{number}");
            let reply = call(address, &format!("GET /{kind}/x"), &id, PATIENCE, b"");
            if let Some(fault) = fault_of(kind, &id, &reply) {
                desk.faults
                    .lock()
                    .unwrap()
                    .push(format!("{fault}: {id} {reply:?}"));
            }
            if matches!(reply.status, 429 | 503) {
                desk.refused.lock().unwrap().push(id);
            }
            if calm {
                desk.asked.fetch_add(1, Ordering::SeqCst);
                desk.served
                    .fetch_add(u64::from(reply.status == 200), Ordering::SeqCst);
            }
            thread::sleep(ms(8));
        }
    })
}

/// What is wrong with a reply, whatever happens meanwhile.
fn fault_of(kind: &str, id: &str, reply: &CallerReply) -> Option<&'static str> {
    if matches!(reply.status, 400..=407 | 409..=420 | 422..=428) {
        return Some("denied");
    }
    if reply.status != 200 {
        return None;
    }
    if !reply.complete {
        return Some("a cut answer");
    }
    let names: Option<Vec<String>> = match kind {
        "all" => reply
            .stamps()
            .iter()
            .map(|stamp| name_in(stamp, id))
            .collect(),
        _ => name_in(reply.header("server-stamp"), id).map(|name| vec![name]),
    };
    let Some(names) = names else {
        return Some("a signature of another request");
    };
    if kind != "all" {
        return (reply.body != reply_records(&names[0])).then_some("another body");
    }
    let shards: BTreeSet<&str> = names
        .iter()
        .filter_map(|name| name.split('-').nth(1))
        .collect();
    let missing = reply.header("missing-parts").parse();
    if shards.len() != names.len() || missing != Ok(SHARDS.len() - names.len()) {
        return Some("a false account of the shards");
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

/// The replica's name in a signature under the reply to `id`.
fn name_in(stamp: &str, id: &str) -> Option<String> {
    let name = stamp
        .strip_prefix("stamp.")?
        .strip_suffix(id)?
        .strip_suffix('.')?;
    Some(name.to_string())
}

fn soak(seed: u64) {
    let broken = SoakRun::start(seed).play();
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
}

#[test]
fn committed_seeds() {
    let runs = SEEDS.map(|seed| thread::spawn(move || soak(seed)));
    for run in runs {
        run.join().unwrap();
    }
}

#[test]
#[ignore = "takes minutes; the seeds are those of SOAK_SEEDS"]
fn given_seeds() {
    let range = std::env::var("SOAK_SEEDS").unwrap_or_else(|_| "100..103".into());
    let (from, to) = range.split_once("..").unwrap();
    let seeds: Vec<u64> = (from.parse().unwrap()..to.parse().unwrap()).collect();
    let mut failed = Vec::new();
    for few in seeds.chunks(3) {
        let runs: Vec<_> = few
            .iter()
            .copied()
            .map(|seed| (seed, thread::spawn(move || soak(seed))))
            .collect();
        for (seed, run) in runs {
            if run.join().is_err() {
                failed.push(seed);
            }
        }
    }
    assert!(failed.is_empty(), "seeds {failed:?}");
}
