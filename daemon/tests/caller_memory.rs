//! Memory and descriptors of a daemon whose callers send large, slow or endless requests.
//!
//! Each test checks that the process lives, that its peak memory and its open descriptors stay within
//! what its settings file states, and that an ordinary request is answered afterwards.

#![allow(clippy::unwrap_used)]

mod bench;
mod caller_crowd;
mod forward_cluster;

use std::{
    fs,
    io::BufReader,
    net::SocketAddr,
    process::{
        Child,
        ChildStderr,
        Command,
        Stdio, //
    },
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use bench::{
    store_fixture::StoreFixture,
    wait_for_event, //
};
use caller_crowd::{
    chunked_body,
    counted_body,
    open_head,
    CallerCrowd, //
};
use forward_cluster::{
    get,
    wait_for,
    DaemonProcess,
    ForwardCluster, //
};
use platform_standin::{
    config_text,
    BabblingReplica,
    EndlessReply,
    FakeReplica,
    ReplicaFault,
    RouteText, //
};
use policy::peers::seal_stream;
use schema::peer::{
    stream_body::Body,
    HeaderField,
    RelayCall,
    StreamBody, //
};
use standin::{
    FleetServer,
    FleetSettings, //
};

/// Memory of the VM, in megabytes; less than the platform's smallest VM has, so that small crowds use it
/// up.
const MEMORY_MB: usize = 64;
/// Largest peak memory of the process.
const MEMORY_MAX: usize = MEMORY_MB * 1024 * 1024;
/// Descriptors of the platform's smallest VM.
const VM_FDS: usize = 2_870;
/// Descriptors where connections are to run out.
const FEW_FDS: usize = 700;
/// Descriptors that the platform reserves for files.
const RESERVED_FDS: usize = 200;
/// Largest body.
const BODY_BYTES: usize = 262_144;
/// Time without growth of its peak memory after which a daemon is taken to have read everything.
const SETTLE_PERIOD: Duration = Duration::from_millis(1_500);
/// Largest head that does not end: more than `maxHeaderBytes`.
const HEAD_BYTES: usize = 30_000;

static TURNS: Mutex<()> = Mutex::new(());

/// A daemon with limits, a served route `/one/` and a route `/slow/` whose replica answers late.
struct LimitedDaemon {
    _cluster: ForwardCluster,
    _served: FakeReplica,
    _slow: FakeReplica,
    daemon: DaemonProcess,
    /// Largest peak memory of the process.
    memory_max: usize,
    max_fds: usize,
    most_fds: usize,
    /// Lets the tests run one after the other, so that they share neither processor nor memory.
    _turn: MutexGuard<'static, ()>,
}

impl LimitedDaemon {
    fn start(max_fds: usize) -> Self {
        Self::start_with(MEMORY_MB, max_fds)
    }

    fn start_with(memory_mb: usize, max_fds: usize) -> Self {
        let turn = TURNS.lock().unwrap_or_else(PoisonError::into_inner);
        let routes = [
            RouteText::single("/one/", "s1"),
            RouteText {
                timeout_ms: 10_000,
                ..RouteText::single("/slow/", "s2")
            },
            RouteText::single("/endless/", "s3"),
        ];
        let mut cluster = ForwardCluster::start(&routes);
        let config = config_text(2, &routes);
        let config = config.replace("\"maxBodyBytes\":1000", "\"maxBodyBytes\":262144");
        assert!(config.contains("262144"));
        cluster.store.put("op/config", config);
        let served = FakeReplica::start(&cluster.store, "s1", "i-served", "z1");
        let slow = FakeReplica::start(&cluster.store, "s2", "i-slow", "z1");
        slow.set_fault(ReplicaFault::Slow(Duration::from_secs(8)));
        let daemon = cluster.limited_daemon("z1", memory_mb, max_fds);
        Self {
            _cluster: cluster,
            _served: served,
            _slow: slow,
            daemon,
            memory_max: memory_mb * 1024 * 1024,
            max_fds,
            most_fds: 0,
            _turn: turn,
        }
    }

    fn callers(&self) -> SocketAddr {
        self.daemon.callers()
    }

    /// Sends what the crowd has to send, and watches the daemon's descriptors meanwhile.
    fn send(&mut self, crowd: &mut CallerCrowd, piece_bytes: usize) {
        let mut turns = 0;
        crowd.send(piece_bytes, || {
            if turns % 50 == 0 {
                self.most_fds = self.most_fds.max(self.daemon.open_descriptors());
            }
            turns += 1;
        });
        self.most_fds = self.most_fds.max(self.daemon.open_descriptors());
    }

    /// Waits until the daemon has read what has been sent: until its peak memory no longer grows.
    fn settle(&mut self) {
        let mut peak = 0;
        let mut since = Instant::now();
        wait_for("the daemon has read what was sent", || {
            self.most_fds = self.most_fds.max(self.daemon.open_descriptors());
            let new_peak = self.daemon.peak_memory();
            if new_peak > peak {
                peak = new_peak;
                since = Instant::now();
            }
            // Above the bound the outcome is known.
            since.elapsed() > SETTLE_PERIOD || peak > self.memory_max
        });
    }

    /// Checks the bounds and that an ordinary request is answered.
    fn check(&mut self) {
        self.settle();
        let mut number = 0;
        let daemon = &self.daemon;
        wait_for("an ordinary request is answered", || {
            number += 1;
            get(daemon, "/one/x", &format!("ordinary-{number}")).status == 200
        });
        let most_fds = self.most_fds.max(daemon.open_descriptors());
        let peak = daemon.peak_memory();
        eprintln!(
            "peak {peak} of {} bytes, {most_fds} of {} descriptors",
            self.memory_max,
            self.max_fds - RESERVED_FDS
        );
        assert!(peak < self.memory_max, "{peak} bytes of memory");
        assert!(
            most_fds <= self.max_fds - RESERVED_FDS,
            "{most_fds} descriptors"
        );
    }
}

/// Guards against whole bodies of many requests that wait for a slow service at the same time.
#[test]
fn whole_bodies_at_once_stay_within_the_memory() {
    let mut limited = LimitedDaemon::start(VM_FDS);
    let mut crowd = CallerCrowd::connect(limited.callers(), 400, |number| {
        counted_body("/slow/x", &format!("w-{number}"), BODY_BYTES, BODY_BYTES)
    });
    limited.send(&mut crowd, BODY_BYTES);
    limited.check();
}

/// Guards against bodies that come piece by piece, most of them stopping one byte short.
#[test]
fn bodies_that_stop_short_stay_within_the_memory() {
    let mut limited = LimitedDaemon::start(VM_FDS);
    let mut crowd = CallerCrowd::connect(limited.callers(), 400, |number| {
        let sent = BODY_BYTES - usize::from(number % 10 != 0);
        counted_body("/one/x", &format!("p-{number}"), BODY_BYTES, sent)
    });
    limited.send(&mut crowd, 8_192);
    limited.check();
}

/// The same at full size: as many connections as the platform's callers open, on a VM of 160 MB.
#[test]
#[ignore = "opens 3,900 connections; run by hand, with POLLENTALLYD_BINARY set to a release build"]
fn a_full_crowd_of_bodies_stays_within_the_memory() {
    let mut limited = LimitedDaemon::start_with(160, VM_FDS);
    let mut crowd = CallerCrowd::connect(limited.callers(), 3_900, |number| {
        counted_body("/one/x", &format!("p-{number}"), BODY_BYTES, BODY_BYTES - 1)
    });
    eprintln!("{} connections opened", crowd.count());
    limited.send(&mut crowd, 8_192);
    limited.check();
}

/// Guards against chunked bodies without an end.
#[test]
fn chunked_bodies_stay_within_the_memory() {
    let mut limited = LimitedDaemon::start(VM_FDS);
    let mut crowd = CallerCrowd::connect(limited.callers(), 400, |number| {
        chunked_body("/one/x", &format!("c-{number}"), 16_000, 16)
    });
    limited.send(&mut crowd, 16_384);
    limited.check();
}

/// Guards against chunks of one byte, each of which takes more memory than its byte.
#[test]
fn one_byte_chunks_stay_within_the_memory() {
    let mut limited = LimitedDaemon::start(VM_FDS);
    let mut crowd = CallerCrowd::connect(limited.callers(), 64, |number| {
        chunked_body("/one/x", &format!("b-{number}"), 1, 40_000)
    });
    limited.send(&mut crowd, 65_536);
    limited.check();
}

/// Guards against heads that never end.
#[test]
fn endless_heads_stay_within_the_memory() {
    let mut limited = LimitedDaemon::start(VM_FDS);
    let mut crowd = CallerCrowd::connect(limited.callers(), 1_900, |number| {
        let mut head = open_head("/one/x", &format!("h-{number}"));
        while head.len() < HEAD_BYTES {
            head.push_str("X-Filler: ");
            head.push_str(&"y".repeat(1_000));
            head.push_str("\r\n");
        }
        head.into_bytes()
    });
    limited.send(&mut crowd, HEAD_BYTES);
    limited.check();
}

/// Guards against idle connections that take all descriptors.
#[test]
fn idle_connections_leave_descriptors() {
    let mut limited = LimitedDaemon::start(FEW_FDS);
    let mut crowd = CallerCrowd::connect(limited.callers(), 1_500, |_| Vec::new());
    limited.send(&mut crowd, 1);
    // Not all connections are accepted at once.
    thread::sleep(Duration::from_secs(1));
    limited.send(&mut crowd, 1);
    limited.check();
}

/// Guards against all kinds together, while ordinary callers send requests.
#[test]
fn a_mix_of_callers_stays_within_the_limits() {
    let mut limited = LimitedDaemon::start(FEW_FDS);
    let address = limited.callers();
    let mut crowd = mixed_crowd(address);
    let ordinary = thread::spawn(move || {
        for number in 0..50 {
            let line = "GET /one/x";
            let id = format!("mixed-{number}");
            platform_standin::call(address, line, &id, Duration::from_millis(200), b"");
        }
    });
    limited.send(&mut crowd, 16_384);
    ordinary.join().unwrap();
    limited.check();
}

fn mixed_crowd(address: SocketAddr) -> CallerCrowd {
    CallerCrowd::connect(address, 900, |number| {
        let id = format!("m-{number}");
        match number % 5 {
            0 => counted_body("/slow/x", &id, BODY_BYTES, BODY_BYTES),
            1 => counted_body("/one/x", &id, BODY_BYTES, BODY_BYTES - 1),
            2 => chunked_body("/one/x", &id, 16_000, 16),
            3 => open_head("/one/x", &id).into_bytes(),
            _ => Vec::new(),
        }
    })
}

/// Guards against the same where replicas send replies without an end at the same time.
#[test]
fn endless_replies_beside_the_crowd_stay_within_the_memory() {
    let mut limited = LimitedDaemon::start(FEW_FDS);
    let store = &limited._cluster.store;
    let replicas = ["i-e1", "i-e2"];
    let _endless =
        replicas.map(|name| BabblingReplica::start(store, "s3", name, "z1", EndlessReply::Body));
    let address = limited.callers();
    let mut crowd = mixed_crowd(address);
    let readers: Vec<_> = (0..24)
        .map(|number| {
            thread::spawn(move || {
                let id = format!("endless-{number}");
                let line = "GET /endless/x";
                platform_standin::call(address, line, &id, Duration::from_secs(3), b"");
            })
        })
        .collect();
    limited.send(&mut crowd, 16_384);
    limited.check();
    for reader in readers {
        reader.join().unwrap();
    }
}

/// Guards against a refusal that the caller cannot read because the connection is reset, against a
/// refused request that runs, and against stalled bodies that keep the room from whole ones.
#[test]
fn refusals_for_lack_of_room_are_read_and_not_run() {
    let mut limited = LimitedDaemon::start(VM_FDS);
    let mut crowd = CallerCrowd::connect(limited.callers(), 100, |number| {
        counted_body("/one/x", &format!("f-{number}"), BODY_BYTES, BODY_BYTES - 1)
    });
    limited.send(&mut crowd, 65_536);
    let body = vec![b'x'; BODY_BYTES];
    let timeout = Duration::from_secs(5);
    let line = "POST /one/x";
    let mut number = 0;
    // While the crowd is still waiting for room, another caller may be refused too.
    wait_for("a whole body is served", || {
        number += 1;
        let id = format!("whole-{number}");
        platform_standin::call(limited.callers(), line, &id, timeout, &body).status == 200
    });
    limited.settle();
    let answers = crowd.answers();
    let refused = answers.iter().flatten().filter(|answer| {
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(answer.contains("\r\nretry-after: 0.500\r\n"), "{answer}");
        true
    });
    // A quarter of the memory holds 64 bodies.
    assert!(refused.count() >= 36);
    let runs = (0..100).map(|number| limited._served.runs_of(&format!("f-{number}")));
    assert_eq!(runs.sum::<u32>(), 0);
    limited.check();
}

/// Guards against limits that callers within the usual limits reach in normal operation.
#[test]
fn normal_load_meets_no_limit() {
    let limited = LimitedDaemon::start(VM_FDS);
    let address = limited.callers();
    let callers: Vec<_> = (0..100)
        .map(|caller| {
            thread::spawn(move || {
                // Four callers send bodies of the largest size.
                let body = vec![b'x'; if caller < 4 { BODY_BYTES } else { 4_096 }];
                for number in 0..4 {
                    let id = format!("normal-{caller}-{number}");
                    let line = "POST /one/x";
                    let timeout = Duration::from_secs(5);
                    // A service that has just started is not sent all requests at once.
                    wait_for("the request is served", || {
                        let reply = platform_standin::call(address, line, &id, timeout, &body);
                        assert!([200, 503].contains(&reply.status), "{id} {reply:?}");
                        reply.status == 200
                    });
                }
            })
        })
        .collect();
    for caller in callers {
        assert!(caller.join().is_ok(), "{}", limited.daemon.log());
    }
    let metrics = limited.daemon.metrics();
    assert!(metrics.contains("pollentally_intake_connections{port=\"callers\"}"));
    for counter in ["intake_refused_total{", "intake_dropped_total{"] {
        assert!(!metrics.contains(counter), "{counter}");
    }
}

/// Guards against frames at the port for other daemons that stop one byte short.
#[test]
fn frames_of_peers_that_stop_short_stay_within_the_memory() {
    let mut limited = LimitedDaemon::start(VM_FDS);
    let peer_address = SocketAddr::from((limited.daemon.ip, 7410));
    let mut crowd = CallerCrowd::connect(peer_address, 400, |_| {
        let mut bytes = 1_000_000_u32.to_be_bytes().to_vec();
        bytes.resize(4 + 999_999, b'x');
        bytes
    });
    limited.send(&mut crowd, 65_536);
    limited.check();
}

/// Guards against relayed requests at that port that stop one byte short.
#[test]
fn relayed_requests_that_stop_short_stay_within_the_memory() {
    let mut limited = LimitedDaemon::start(VM_FDS);
    let peer_address = SocketAddr::from((limited.daemon.ip, 7410));
    let mut crowd = CallerCrowd::connect(peer_address, 400, |number| {
        let call = RelayCall {
            method: "POST".into(),
            target: "/one/x".into(),
            headers: vec![HeaderField {
                name: "host".into(),
                value: b"a.example".to_vec(),
            }],
            body: vec![b'x'; BODY_BYTES],
            caller: "127.0.0.1".into(),
            time_left_us: 1_000_000,
            ..RelayCall::default()
        };
        let frame = StreamBody {
            from: "d2".into(),
            call: number as u64 + 1,
            body: Some(Body::RelayCall(call)),
            ..StreamBody::default()
        };
        let sealed = seal_stream(&[0; 32], &frame);
        let mut bytes = (sealed.len() as u32).to_be_bytes().to_vec();
        bytes.extend_from_slice(&sealed[..sealed.len() - 1]);
        bytes
    });
    limited.send(&mut crowd, 65_536);
    limited.check();
}

/// A daemon of a signed bundle, started by a settings file that limits its memory.
struct BundleDaemon {
    child: Child,
    /// Kept open, so that the daemon can write its log.
    _log: BufReader<ChildStderr>,
    callers: SocketAddr,
    peers: SocketAddr,
    _fixture: StoreFixture,
    _fleet: FleetServer,
    _folder: tempfile::TempDir,
    _turn: MutexGuard<'static, ()>,
}

impl Drop for BundleDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl BundleDaemon {
    fn start() -> Self {
        let turn = TURNS.lock().unwrap_or_else(PoisonError::into_inner);
        let mut fixture = StoreFixture::new();
        let mut body = fixture.body();
        let policy = body.groups[0].policy.as_mut().unwrap();
        policy.body_max = BODY_BYTES as u32;
        fixture.accept_bundle(&body);
        let spec = bench::spec(&bench::body());
        let fleet = FleetServer::start(&spec, FleetSettings::default()).unwrap();
        let key = hex::encode(fixture.key.verifying_key().to_bytes());
        let text = format!(
            "name: entry\ndeployment: deployment\nzone: zone\nregion: region\n\
             peer_key: \"{}\"\n\
             platform:\n  store: {}\n  vms: {}\n  vms_interval_ms: 50\n\
             trust:\n  signers:\n    - name: ann\n      key: \"{key}\"\n  required: 1\n\
             log:\n  format: json\n\
             limits:\n  memory_mb: {MEMORY_MB}\n  descriptors: {VM_FDS}\n",
            "5a".repeat(32),
            fixture.store.url(),
            fleet.vms().url(),
        );
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("settings.yaml");
        fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_pollentallyd"))
            .arg("--settings")
            .arg(&path)
            .args(["--caller", "127.0.0.1:0", "--admin", "127.0.0.1:0"])
            .args(["--peer", "127.0.0.1:0"])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let started = wait_for_event(&mut log, "E1001");
        let address = |field: &str| started[field].as_str().unwrap().parse().unwrap();
        let (callers, peers) = (address("caller"), address("peer"));
        wait_for_event(&mut log, "E1002");
        Self {
            child,
            _log: log,
            callers,
            peers,
            _fixture: fixture,
            _fleet: fleet,
            _folder: folder,
            _turn: turn,
        }
    }

    fn peak_memory(&self) -> usize {
        forward_cluster::peak_memory(self.child.id())
    }

    /// Checks the bound and that an ordinary request is answered.
    fn check(&mut self) {
        let mut peak = 0;
        let mut since = Instant::now();
        wait_for("the daemon has read what was sent", || {
            let new_peak = self.peak_memory();
            if new_peak > peak {
                peak = new_peak;
                since = Instant::now();
            }
            since.elapsed() > SETTLE_PERIOD || peak > MEMORY_MAX
        });
        let mut number = 0;
        wait_for("an ordinary request is answered", || {
            number += 1;
            let head = format!("x-request-id: ordinary-{number}\r\nx-end-user: u\r\n");
            let request = bench::request("planks", &head, b"oak");
            bench::exchange(self.callers, &request).status == 200
        });
        let peak = self.peak_memory();
        eprintln!("peak {peak} of {MEMORY_MAX} bytes");
        assert!(peak < MEMORY_MAX, "{peak} bytes of memory");
        assert!(self.child.try_wait().unwrap().is_none());
    }
}

/// Guards against all kinds of bodies at the product's own interface.
#[test]
fn bodies_of_queries_stay_within_the_memory() {
    let mut daemon = BundleDaemon::start();
    let mut crowd = CallerCrowd::connect(daemon.callers, 400, |number| {
        let path = "/v1/query/planks";
        let headers = format!("q-{number}\r\nX-Request-Id: q-{number}\r\nX-End-User: u");
        match number % 2 {
            0 => counted_body(path, &headers, BODY_BYTES, BODY_BYTES - 1),
            _ => chunked_body(path, &headers, 16_000, 16),
        }
    });
    crowd.send(16_384, || {});
    daemon.check();
}

/// Guards against frames that stop one byte short at the port for other daemons of the product.
#[test]
fn frames_to_a_bundle_daemon_stay_within_the_memory() {
    let mut daemon = BundleDaemon::start();
    let mut crowd = CallerCrowd::connect(daemon.peers, 400, |_| {
        let mut bytes = 1_000_000_u32.to_be_bytes().to_vec();
        bytes.resize(4 + 999_999, b'x');
        bytes
    });
    crowd.send(65_536, || {});
    daemon.check();
}
