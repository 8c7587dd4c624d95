//! Store, VM list and upstreams of a bundle, for trying the daemon and the operators' command.
//!
//! `cargo run --example playground -- BUNDLE SETTINGS [SECONDS]` starts what the bundle names,
//! writes the settings of a daemon in its first data centre to a file, and runs until standard
//! input ends, or for the seconds given.

use std::{
    env, fs,
    io::{
        self,
        Read, //
    },
    process::ExitCode,
    thread::sleep,
    time::{
        Duration,
        Instant, //
    },
};

use schema::{
    bundle::BundleBody,
    parse_yaml,
    DeploymentSpec,
    SchemaError, //
};
use standin::{
    FleetServer,
    FleetSettings,
    StandinError,
    StoreServer,
    StoreSettings, //
};
use thiserror::Error;

/// An input that ends within this time was closed from the start: nobody types that fast.
const CLOSED_WITHIN: Duration = Duration::from_millis(200);

#[derive(Debug, Error)]
enum PlaygroundError {
    #[error("usage: playground BUNDLE SETTINGS [SECONDS]")]
    Usage,
    #[error("standard input was closed from the start; run it from a terminal or give SECONDS")]
    NoInput,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Schema(#[from] SchemaError),
    #[error("{0}")]
    Standin(#[from] StandinError),
}

fn main() -> ExitCode {
    match play() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("playground: {error}");
            ExitCode::FAILURE
        }
    }
}

fn play() -> Result<(), PlaygroundError> {
    let mut args = env::args().skip(1);
    let (Some(bundle), Some(settings)) = (args.next(), args.next()) else {
        return Err(PlaygroundError::Usage);
    };
    let seconds: Option<u64> = match args.next() {
        Some(text) => Some(text.parse().map_err(|_| PlaygroundError::Usage)?),
        None => None,
    };
    let text = fs::read_to_string(&bundle)?;
    let body: BundleBody = parse_yaml(&bundle, &text)?;
    let spec = DeploymentSpec::from_body(&BundleBody {
        version: body.version.max(1),
        ..body
    })?;
    let store = StoreServer::spawn(StoreSettings::default())?;
    let fleet = FleetServer::start(&spec, FleetSettings::default())?;
    fs::write(&settings, settings_text(&spec, &store, &fleet))?;
    println!(
        "{}: {} upstreams run; settings are in {settings}; {} stops them",
        spec.deployment,
        fleet.upstreams().count(),
        match seconds {
            Some(seconds) => format!("the end of {seconds} s"),
            None => "end of input".into(),
        }
    );
    if let Some(seconds) = seconds {
        sleep(Duration::from_secs(seconds));
        return Ok(());
    }
    let start = Instant::now();
    let read = io::stdin().read_to_end(&mut Vec::new())?;
    if read == 0 && start.elapsed() < CLOSED_WITHIN {
        return Err(PlaygroundError::NoInput);
    }
    Ok(())
}

fn settings_text(spec: &DeploymentSpec, store: &StoreServer, fleet: &FleetServer) -> String {
    let (zone, region) = &spec.zones[0];
    let mut text = format!(
        "name: {zone}-d1
deployment: {}
zone: {zone}
region: {region}
peer_key: \"{}\"
platform:
  store: {}
  vms: {}
trust:
  required: {}
  signers:
",
        spec.deployment,
        "5a".repeat(32),
        store.url(),
        fleet.vms().url(),
        spec.signers_required
    );
    for (name, key) in &spec.signers {
        text += &format!("    - {{ name: {name}, key: \"{}\" }}\n", hex::encode(key));
    }
    text
}
