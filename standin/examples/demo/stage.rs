//! Stand-ins and daemons of one deployment.

use std::{
    net::SocketAddr,
    thread::{
        self,
        JoinHandle, //
    },
    time::{
        Duration,
        Instant,
        SystemTime, //
    },
};

use daemon::{
    config::{
        parse_settings,
        DaemonConfig, //
    },
    discard_logger,
    run_blocking,
    BoundAddresses,
    DaemonError,
    RunControl,
    RunHandle,
    StopReport, //
};
use ed25519_dalek::SigningKey;
use http::StatusCode;
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
    charges::ChargeRollup,
};
use prost::Message;
use schema::{
    bundle::{
        BundleBody,
        SignedBundle,
        SignerSpec, //
    },
    peer::RosterBody,
    DeploymentSpec, //
};
use standin::{
    FleetServer,
    FleetSettings,
    ServiceTime,
    StoreServer,
    StoreSettings,
    TaskHost, //
};
use tokio::runtime::{
    Builder,
    Runtime, //
};

use crate::{
    caller::CallerDesk,
    stage_error::StageError, //
};

/// Seed of the demo's signing key.
const KEY_SEED: [u8; 32] = [7; 32];
const SIGNER: &str = "demo";
/// Longest wait for daemons to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a repeated charge counts once.
const CHARGE_WINDOW: Duration = Duration::from_secs(3600);
const ROSTER_PREFIX: &str = "charges-roster/";
const READY_PAUSE: Duration = Duration::from_millis(5);

/// A daemon on a thread of its own.
pub(crate) struct DaemonThread {
    pub(crate) name: String,
    pub(crate) caller: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
    handle: RunHandle,
    join: JoinHandle<Result<StopReport, DaemonError>>,
}

/// Everything that runs for one deployment.
pub(crate) struct DemoStage {
    pub(crate) spec: DeploymentSpec,
    pub(crate) fleet: FleetServer,
    pub(crate) daemons: Vec<DaemonThread>,
    pub(crate) in_force_after: Duration,
    store: StoreServer,
}

impl DemoStage {
    /// Starts stand-ins and a daemon in each data centre, then accepts the bundle.
    pub(crate) fn open(body: BundleBody) -> Result<Self, StageError> {
        let key = SigningKey::from_bytes(&KEY_SEED);
        let body = for_demo(body, &key);
        let spec = DeploymentSpec::from_body(&BundleBody {
            version: 1,
            ..body.clone()
        })?;
        let store = StoreServer::spawn(StoreSettings::default())?;
        let fleet = FleetServer::start(&spec, fleet_settings()?)?;
        let mut daemons = Vec::new();
        let mut seed = None;
        for place in 0..spec.zones.len() {
            let daemon = start_daemon(&spec, &store, &fleet, &key, place, seed)?;
            // The first daemon is the one that the others join by.
            seed = seed.or(Some(daemon.peer));
            daemons.push(daemon);
        }
        let signed = sign(&spec, &body, &key)?;
        let accepted = Instant::now();
        accept(&store, &signed)?;
        wait_ready(&daemons)?;
        Ok(Self {
            spec,
            fleet,
            daemons,
            in_force_after: accepted.elapsed(),
            store,
        })
    }

    /// An idempotency key of now.
    pub(crate) fn once_key(&self) -> String {
        let age = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        format!("{}-demo", age.unwrap_or_default().as_secs())
    }

    /// Stops the daemons gracefully and adds up the charges in the store.
    pub(crate) fn close(self) -> Result<u64, StageError> {
        for daemon in &self.daemons {
            daemon.handle.stop();
        }
        for daemon in self.daemons {
            let report = daemon.join.join().map_err(|_| StageError::DaemonGone)??;
            if report.requests_cut > 0 {
                return Err(StageError::StopCut(report.requests_cut));
            }
        }
        Ok(stored_units(&self.store))
    }
}

// The demo's own signer, and as many daemons as it starts.
fn for_demo(body: BundleBody, key: &SigningKey) -> BundleBody {
    BundleBody {
        signers: vec![SignerSpec {
            name: SIGNER.into(),
            key: hex::encode(key.verifying_key().to_bytes()),
        }],
        signers_required: 1,
        daemons: body.zones.len() as u32,
        ..body
    }
}

fn fleet_settings() -> Result<FleetSettings, StageError> {
    let hosts = [TaskHost::spawn()?, TaskHost::spawn()?];
    Ok(FleetSettings {
        hosts: hosts.to_vec(),
        service: ServiceTime {
            straggler_ppm: 20_000,
            ..ServiceTime::default()
        },
        ..FleetSettings::default()
    })
}

fn start_daemon(
    spec: &DeploymentSpec,
    store: &StoreServer,
    fleet: &FleetServer,
    key: &SigningKey,
    place: usize,
    seed: Option<SocketAddr>,
) -> Result<DaemonThread, StageError> {
    let (zone, region) = &spec.zones[place];
    let name = format!("{zone}-d1");
    let seed = seed.map(|peer| format!("'{peer}'")).unwrap_or_default();
    let text = format!(
        "name: {name}
deployment: {}
zone: {zone}
region: {region}
listen: {{ caller: '127.0.0.1:0', admin: '127.0.0.1:0', peer: '127.0.0.1:0' }}
peer_key: '{}'
seeds: [{seed}]
platform: {{ store: '{}', vms: '{}', vms_interval_ms: 100 }}
trust: {{ required: 1, signers: [{{ name: {SIGNER}, key: '{}' }}] }}
stop: {{ quiet_ms: 50, bound_ms: 5000 }}
",
        spec.deployment,
        hex::encode([9; 32]),
        store.url(),
        fleet.vms().url(),
        hex::encode(key.verifying_key().to_bytes()),
    );
    let config = parse_settings("demo settings", &text, |_| {})?;
    let daemon = spawn_daemon(name.clone(), config)?;
    fleet.list_daemon(&name, daemon.caller, daemon.peer, zone.as_str());
    Ok(daemon)
}

fn spawn_daemon(name: String, config: DaemonConfig) -> Result<DaemonThread, StageError> {
    let (control, mut handle) = RunControl::new();
    let join = thread::Builder::new()
        .name(name.clone())
        .spawn(move || run_blocking(config, discard_logger(), control))?;
    let started = new_runtime()?.block_on(&mut handle.started);
    let Ok(BoundAddresses {
        caller,
        admin,
        peer,
    }) = started
    else {
        join.join().map_err(|_| StageError::DaemonGone)??;
        return Err(StageError::DaemonGone);
    };
    Ok(DaemonThread {
        name,
        caller,
        admin,
        peer,
        handle,
        join,
    })
}

fn sign(
    spec: &DeploymentSpec,
    body: &BundleBody,
    key: &SigningKey,
) -> Result<SignedBundle, StageError> {
    let trust = SignerSet::from_specs(&body.signers, body.signers_required)?;
    let chain = BundleChain::new(spec.deployment.clone(), trust);
    let mut signed = draft_bundle(&chain, body)?;
    add_signature(&chain, &mut signed, &SIGNER.parse()?, key)?;
    Ok(signed)
}

fn accept(store: &StoreServer, signed: &SignedBundle) -> Result<(), StageError> {
    let runtime = new_runtime()?;
    let client = daemon::store::StoreClient::new(&store.url(), READY_TIMEOUT)?;
    runtime.block_on(async {
        for (entry, bytes) in split_parts(&signed.body) {
            client.write(&part_key(&entry.digest), bytes, 0, 0).await?;
        }
        let head = signed.head.clone().unwrap_or_default();
        client.write(HEAD_KEY, &head.encode_to_vec(), 0, 0).await?;
        Ok(())
    })
}

fn wait_ready(daemons: &[DaemonThread]) -> Result<(), StageError> {
    let desk = CallerDesk::new()?;
    let until = Instant::now() + READY_TIMEOUT;
    for daemon in daemons {
        while desk.probe(daemon.admin, "/ready") != Some(StatusCode::OK) {
            if Instant::now() > until {
                return Err(StageError::NotReady(daemon.name.clone()));
            }
            thread::sleep(READY_PAUSE);
        }
    }
    Ok(())
}

fn new_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Units that the store holds, each charge counted once.
fn stored_units(store: &StoreServer) -> u64 {
    let mut rollup = ChargeRollup::new(CHARGE_WINDOW);
    for key in store.keys() {
        let value = store.value(&key).filter(|_| key.starts_with(ROSTER_PREFIX));
        let Some((bytes, _)) = value else {
            continue;
        };
        rollup.add_roster(&RosterBody::decode(bytes.as_slice()).unwrap_or_default());
    }
    loop {
        let segments = rollup.next_segments();
        if segments.is_empty() {
            break;
        }
        for (start, sequence, key) in segments {
            let value = store.value(&key).map(|(bytes, _)| bytes);
            rollup.add_segment(&start, sequence, value.as_deref());
        }
    }
    let report = rollup.report();
    report.users.values().map(|total| total.units.0).sum()
}
