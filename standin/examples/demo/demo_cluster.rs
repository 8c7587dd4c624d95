//! The stand-ins and daemons of one deployment.

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
    caller::CallerClient,
    demo_error::DemoError, //
};

/// Seed of the demo's signing key.
const KEY_SEED: [u8; 32] = [7; 32];
const SIGNER: &str = "demo";
/// Timeout for all daemons to become ready, and of the store client's calls.
const READY_TIMEOUT: Duration = Duration::from_secs(5);
/// Window in which the repetition of a charge is recognized as a duplicate.
const CHARGE_WINDOW: Duration = Duration::from_secs(3600);
const ROSTER_PREFIX: &str = "charges-roster/";
const READY_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A daemon that runs on its own thread.
pub(crate) struct DaemonThread {
    pub(crate) name: String,
    pub(crate) caller: SocketAddr,
    admin: SocketAddr,
    peer: SocketAddr,
    handle: RunHandle,
    join: JoinHandle<Result<StopReport, DaemonError>>,
}

/// The stand-ins and daemons of one deployment, running.
pub(crate) struct DemoCluster {
    pub(crate) spec: DeploymentSpec,
    pub(crate) fleet: FleetServer,
    pub(crate) daemons: Vec<DaemonThread>,
    pub(crate) activation_time: Duration,
    store: StoreServer,
}

impl DemoCluster {
    /// Starts the stand-ins and one daemon in each data centre, writes the signed bundle to the
    /// store and waits until the daemons are ready.
    pub(crate) fn start(body: BundleBody) -> Result<Self, DemoError> {
        let key = SigningKey::from_bytes(&KEY_SEED);
        let body = with_demo_signer(body, &key);
        let spec = DeploymentSpec::from_body(&BundleBody {
            version: 1,
            ..body.clone()
        })?;
        let store = StoreServer::spawn(StoreSettings::default())?;
        let fleet = FleetServer::start(&spec, fleet_settings()?)?;
        let mut daemons = Vec::new();
        let mut seed = None;
        for index in 0..spec.zones.len() {
            let daemon = start_daemon(&spec, &store, &fleet, &key, index, seed)?;
            // The later daemons join the cluster through the first one.
            seed = seed.or(Some(daemon.peer));
            daemons.push(daemon);
        }
        let signed = sign_bundle(&spec, &body, &key)?;
        let accepted = Instant::now();
        accept_bundle(&store, &signed)?;
        wait_until_ready(&daemons)?;
        Ok(Self {
            spec,
            fleet,
            daemons,
            activation_time: accepted.elapsed(),
            store,
        })
    }

    /// An idempotency key that carries the current time in seconds.
    pub(crate) fn once_key(&self) -> String {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        format!("{}-demo", since_epoch.unwrap_or_default().as_secs())
    }

    /// Stops the daemons gracefully and returns the sum of the charges in the store.
    pub(crate) fn stop(self) -> Result<u64, DemoError> {
        for daemon in &self.daemons {
            daemon.handle.stop();
        }
        for daemon in self.daemons {
            let report = daemon.join.join().map_err(|_| DemoError::DaemonEnded)??;
            if report.requests_cut > 0 {
                return Err(DemoError::StopCut(report.requests_cut));
            }
        }
        Ok(stored_units(&self.store))
    }
}

// Replaces the signers by the demo's own and sets the number of daemons that the demo starts.
fn with_demo_signer(body: BundleBody, key: &SigningKey) -> BundleBody {
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

fn fleet_settings() -> Result<FleetSettings, DemoError> {
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
    index: usize,
    seed: Option<SocketAddr>,
) -> Result<DaemonThread, DemoError> {
    let (zone, region) = &spec.zones[index];
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

fn spawn_daemon(name: String, config: DaemonConfig) -> Result<DaemonThread, DemoError> {
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
        join.join().map_err(|_| DemoError::DaemonEnded)??;
        return Err(DemoError::DaemonEnded);
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

fn sign_bundle(
    spec: &DeploymentSpec,
    body: &BundleBody,
    key: &SigningKey,
) -> Result<SignedBundle, DemoError> {
    let trust = SignerSet::from_specs(&body.signers, body.signers_required)?;
    let chain = BundleChain::new(spec.deployment.clone(), trust);
    let mut signed = draft_bundle(&chain, body)?;
    add_signature(&chain, &mut signed, &SIGNER.parse()?, key)?;
    Ok(signed)
}

fn accept_bundle(store: &StoreServer, signed: &SignedBundle) -> Result<(), DemoError> {
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

fn wait_until_ready(daemons: &[DaemonThread]) -> Result<(), DemoError> {
    let client = CallerClient::new()?;
    let deadline = Instant::now() + READY_TIMEOUT;
    for daemon in daemons {
        while client.get_status(daemon.admin, "/ready") != Some(StatusCode::OK) {
            if Instant::now() > deadline {
                return Err(DemoError::NotReady(daemon.name.clone()));
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
    }
    Ok(())
}

fn new_runtime() -> std::io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}

/// Charge units in the store; a duplicate of a charge is not counted.
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
