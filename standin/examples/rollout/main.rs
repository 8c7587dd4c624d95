//! Measures the time from the acceptance of a bundle until it is in force at eight daemons in three
//! data centres, and the rate of the store calls meanwhile.
//!
//! `cargo run --release -p pollentally-standin --example rollout -- [CHANGES]`

mod rollout_error;

use std::{
    env,
    io::{
        Read,
        Write, //
    },
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpStream, //
    },
    process::ExitCode,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use daemon::{
    config::{
        ListenConfig,
        PlatformConfig,
        TrustConfig, //
    },
    discard_logger,
    run_blocking,
    store::{
        StoreClient,
        StoreError, //
    },
    DaemonConfig,
    RunControl,
    RunHandle,
    StatusBody, //
};
use ed25519_dalek::SigningKey;
use hdrhistogram::Histogram;
use policy::{
    bundle::{
        add_signature,
        draft_bundle,
        part_key,
        split_parts,
        BundleChain,
        SignerSet,
        HEAD_KEY, //
    },
    store::StoreReply, //
};
use prost::Message;
use schema::{
    bundle::{
        BundleBody,
        GroupSpec,
        SignedBundle,
        SignerSpec,
        ZoneSpec, //
    },
    DeploymentSpec, //
};
use standin::{
    CallCounts,
    FleetServer,
    FleetSettings,
    StoreFault,
    StoreServer,
    StoreSettings,
    TaskHost, //
};
use tokio::runtime::{
    Builder,
    Runtime, //
};

use crate::rollout_error::RolloutError;

const ZONES: [&str; 3] = ["kochi", "kollam", "kozhikode"];
const DAEMONS: usize = 8;
const SIGNER: &str = "ann";
const DEFAULT_CHANGES: u64 = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(2);
pub(crate) const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(10);
const ISOLATED_STARTS: usize = 20;
const IDLE_TIME: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

struct DaemonThread {
    admin: SocketAddr,
    peer: SocketAddr,
    handle: RunHandle,
}

struct RolloutCluster {
    runtime: Runtime,
    key: SigningKey,
    chain: BundleChain,
    revision: u64,
    store: StoreServer,
    /// Another port to the same store, which the daemons of the last data centre use.
    far_store: StoreServer,
    daemons: Vec<DaemonThread>,
    fleet: FleetServer,
}

fn main() -> ExitCode {
    match measure() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rollout: {error}");
            ExitCode::FAILURE
        }
    }
}

fn measure() -> Result<(), RolloutError> {
    let changes = match env::args().nth(1) {
        Some(text) => text.parse().map_err(|_| RolloutError::InvalidValue)?,
        None => DEFAULT_CHANGES,
    };
    let mut cluster = RolloutCluster::start()?;
    cluster.measure_changes("all daemons reach the store", changes)?;
    let before = cluster.store_calls();
    thread::sleep(IDLE_TIME);
    print_calls("idle", before, cluster.store_calls(), IDLE_TIME);
    cluster.far_store.set_fault(StoreFault::Down);
    cluster.measure_changes("two daemons without the store", changes)?;
    cluster.start_isolated_daemons(ISOLATED_STARTS)?;
    for daemon in &cluster.daemons {
        daemon.handle.stop();
        daemon.handle.stop();
    }
    Ok(())
}

impl RolloutCluster {
    fn start() -> Result<Self, RolloutError> {
        let key = SigningKey::from_bytes(&[7; 32]);
        let body = bundle_body(&key, 0);
        let versioned_body = BundleBody { version: 1, ..body };
        let spec = DeploymentSpec::from_body(&versioned_body)?;
        let host = TaskHost::spawn()?;
        let store = StoreServer::start(&host, StoreSettings::default())?;
        let far_store = store.second_port(&host)?;
        let fleet = FleetServer::start(&spec, FleetSettings::default())?;
        let trust = SignerSet::from_specs(&versioned_body.signers, 1)?;
        let mut daemons = Vec::new();
        for index in 0..DAEMONS {
            let zone = index % ZONES.len();
            let zone_store = if zone == 2 { &far_store } else { &store };
            daemons.push(start_daemon(index, zone_store, &fleet, &trust, Vec::new())?);
        }
        Ok(Self {
            runtime: Builder::new_current_thread().enable_all().build()?,
            key,
            chain: BundleChain::new(spec.deployment.clone(), trust),
            revision: 0,
            store,
            far_store,
            daemons,
            fleet,
        })
    }

    /// Rolls out `changes` versions and prints the distribution of the times until they were in
    /// force at all daemons, and the rate of store calls.
    fn measure_changes(&mut self, label: &str, changes: u64) -> Result<(), RolloutError> {
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)
            .map_err(|_| RolloutError::InvalidValue)?;
        // The first change is not measured, because the daemons may still be joining.
        self.roll_out_version()?;
        thread::sleep(Duration::from_secs(2));
        let before = self.store_calls();
        let started = Instant::now();
        for _ in 0..changes {
            times.saturating_record(self.roll_out_version()?.as_micros() as u64);
        }
        let millis = |micros: u64| micros as f64 / 1_000.0;
        println!(
            "{label}: {changes} changes, in force everywhere after p50 {:.1} ms, p99 {:.1} ms, \
             max {:.1} ms",
            millis(times.value_at_quantile(0.5)),
            millis(times.value_at_quantile(0.99)),
            millis(times.max())
        );
        print_calls(label, before, self.store_calls(), started.elapsed());
        Ok(())
    }

    /// Writes the next version and returns the time from the store's reply until the version is in
    /// force at all daemons.
    fn roll_out_version(&mut self) -> Result<Duration, RolloutError> {
        let body = bundle_body(&self.key, self.chain.version().0);
        let mut signed = draft_bundle(&self.chain, &body)?;
        add_signature(&self.chain, &mut signed, &SIGNER.parse()?, &self.key)?;
        self.chain.offer(&signed)?;
        let version = self.chain.version().0;
        self.write_bundle(version, &signed)?;
        let accepted = Instant::now();
        for daemon in &self.daemons {
            while version_at(daemon.admin)? < version {
                if accepted.elapsed() > ROLLOUT_TIMEOUT {
                    return Err(RolloutError::NotInForce(version));
                }
                thread::sleep(POLL_INTERVAL);
            }
        }
        Ok(accepted.elapsed())
    }

    fn write_bundle(&mut self, version: u64, signed: &SignedBundle) -> Result<(), RolloutError> {
        let client = StoreClient::new(&self.store.url(), CALL_TIMEOUT)?;
        let head = signed.head.clone().unwrap_or_default().encode_to_vec();
        let expect = self.revision;
        let reply: Result<StoreReply, StoreError> = self.runtime.block_on(async {
            for (entry, bytes) in split_parts(&signed.body) {
                client.write(&part_key(&entry.digest), bytes, 0, 0).await?;
            }
            client.write(HEAD_KEY, &head, expect, 0).await
        });
        let StoreReply::Written { revision } = reply? else {
            return Err(RolloutError::NotWritten(version));
        };
        self.revision = revision;
        Ok(())
    }

    /// Starts daemons without state in the last data centre while it reaches neither the store nor
    /// the VM list, and prints the time until they were ready with the current version in force.
    fn start_isolated_daemons(&mut self, count: usize) -> Result<(), RolloutError> {
        self.fleet.vms().set_down(true);
        let seeds: Vec<SocketAddr> = self.daemons.iter().map(|daemon| daemon.peer).collect();
        let mut times = Vec::new();
        for round in 0..count {
            let started = Instant::now();
            let index = 2 + ZONES.len() * (10 + round);
            let zone_seeds = seeds.iter().skip(2).step_by(ZONES.len()).copied().collect();
            let daemon = start_daemon(
                index,
                &self.far_store,
                &self.fleet,
                self.chain.initial_signers(),
                zone_seeds,
            )?;
            while !is_ready(daemon.admin)? {
                if started.elapsed() > ROLLOUT_TIMEOUT {
                    return Err(RolloutError::NotReady);
                }
                thread::sleep(POLL_INTERVAL);
            }
            times.push(started.elapsed());
            if version_at(daemon.admin)? != self.chain.version().0 {
                return Err(RolloutError::NotInForce(self.chain.version().0));
            }
            self.daemons.push(daemon);
        }
        times.sort();
        println!(
            "{count} daemons started in a data centre without the platform: ready after a median of \
             {:?}, at most {:?}",
            times[count / 2],
            times[count - 1]
        );
        Ok(())
    }

    fn store_calls(&self) -> CallCounts {
        let (near, far) = (self.store.counts(), self.far_store.counts());
        CallCounts {
            reads: near.reads + far.reads,
            writes: near.writes + far.writes,
            watches: near.watches + far.watches,
        }
    }
}

fn print_calls(label: &str, before: CallCounts, after: CallCounts, time: Duration) {
    let rate = |before: u64, after: u64| (after - before) as f64 / time.as_secs_f64();
    println!(
        "{label}: store calls per second of all daemons and the operator: {:.2} reads, {:.2} writes, \
         {:.2} watches",
        rate(before.reads, after.reads),
        rate(before.writes, after.writes),
        rate(before.watches, after.watches)
    );
}

fn bundle_body(key: &SigningKey, round: u64) -> BundleBody {
    let zones = ZONES.iter().map(|zone| ZoneSpec {
        name: (*zone).into(),
        region: (*zone).into(),
    });
    BundleBody {
        deployment: "trust".into(),
        signers: vec![SignerSpec {
            name: SIGNER.into(),
            key: hex::encode(key.verifying_key().to_bytes()),
        }],
        signers_required: 1,
        daemons: DAEMONS as u32,
        zones: zones.collect(),
        groups: vec![GroupSpec {
            name: "plank-finder".into(),
            mode: "scatter".into(),
            shard_count: 10,
            replicas: 3,
            slots: 2,
            connections: 25,
            connect_us: 5_000 + round as u32 % 2,
            ..GroupSpec::default()
        }],
        ..BundleBody::default()
    }
}

fn start_daemon(
    index: usize,
    store: &StoreServer,
    fleet: &FleetServer,
    trust: &SignerSet,
    seeds: Vec<SocketAddr>,
) -> Result<DaemonThread, RolloutError> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let zone = ZONES[index % ZONES.len()];
    let name = format!("{zone}-d{index}");
    let config = DaemonConfig {
        name: name.parse()?,
        deployment: "trust".parse()?,
        zone: zone.parse()?,
        region: zone.parse()?,
        listen: ListenConfig {
            caller: any_port,
            admin: any_port,
            peer: any_port,
        },
        platform: PlatformConfig {
            store: Some(
                store
                    .url()
                    .parse()
                    .map_err(|_| RolloutError::InvalidValue)?,
            ),
            vms: Some(
                fleet
                    .vms()
                    .url()
                    .parse()
                    .map_err(|_| RolloutError::InvalidValue)?,
            ),
            ..PlatformConfig::default()
        },
        seeds,
        trust: TrustConfig {
            signers: trust.signers.clone(),
            required: trust.required,
        },
        ..DaemonConfig::default()
    };
    let (control, mut handle) = RunControl::new();
    thread::Builder::new().name(name.clone()).spawn(move || {
        if let Err(error) = run_blocking(config, discard_logger(), control) {
            eprintln!("rollout: {error}");
        }
    })?;
    let runtime = Builder::new_current_thread().build()?;
    let bound = runtime.block_on(&mut handle.started);
    let bound = bound.map_err(|_| RolloutError::NotStarted)?;
    fleet.list_daemon(&name, bound.caller, bound.peer, zone);
    Ok(DaemonThread {
        admin: bound.admin,
        peer: bound.peer,
        handle,
    })
}

fn is_ready(admin: SocketAddr) -> Result<bool, RolloutError> {
    Ok(http_get(admin, "/ready")?.starts_with("HTTP/1.1 200"))
}

fn http_get(admin: SocketAddr, path: &str) -> Result<String, RolloutError> {
    let mut stream = TcpStream::connect(admin)?;
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

fn version_at(admin: SocketAddr) -> Result<u64, RolloutError> {
    let text = http_get(admin, "/status")?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let status: StatusBody = serde_json::from_str(body)?;
    Ok(status.bundle_version)
}
