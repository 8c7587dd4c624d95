//! Measures both deployments at their full size under each fault case and compares the current
//! policy with a naive one: `cargo run --release --example measure -- --help`.

mod answer_check;
mod caller_client;
mod case_row;
mod daemon_set;
mod fault_case;
mod load_run;
mod naive_frontend;
mod plot;

use std::{
    path::PathBuf,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration, //
};

use bpaf::Bpaf;
use schema::{
    bundle::BundleBody,
    DeploymentSpec,
    SchemaError, //
};
use standin::{
    FleetServer,
    FleetSettings,
    ServiceTime,
    StandinError,
    StoreServer,
    StoreSettings,
    TaskHost,
    UpstreamSettings, //
};

use crate::{
    case_row::{
        CaseRow,
        CounterIncrease, //
    },
    daemon_set::{
        ClusterPlan,
        DaemonSet, //
    },
    fault_case::{
        FaultCase,
        CRASH_MARKER, //
    },
    load_run::{
        rates,
        FrontendList,
        LoadSettings, //
    },
};

/// Time for the daemons to connect, and then length of the warm-up load, before the measurement.
const WARM_UP_TIME: Duration = Duration::from_millis(1500);
/// Number of threads that send the load.
const LOAD_THREADS: u64 = 3;
/// Number of threads that the upstreams are distributed over.
const FLEET_THREADS: usize = 3;

/// Measures both deployments under fault cases and prints a table. All traffic is on loopback.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct MeasureFlags {
    /// Bundle to run, by its folder under deploy/; may be given more than once. Default: trust and
    /// hajtas.
    #[bpaf(argument("NAME"))]
    deployment: Vec<String>,
    /// Policy: naive, current or both. Default: both.
    #[bpaf(argument("NAME"), fallback("both".into()))]
    policy: String,
    /// Fault case to run; may be given more than once. Default: all.
    #[bpaf(argument("NAME"))]
    case: Vec<String>,
    /// Length of each run, in seconds. Default: 9.
    #[bpaf(argument("S"), fallback(9.0))]
    seconds: f64,
    /// Load of the cases without overload, as a share of the upstreams' slots. Default: 0.25.
    #[bpaf(argument("SHARE"), fallback(0.25))]
    load: f64,
    /// Deadline of each request, in milliseconds. Default: 350.
    #[bpaf(argument("MS"), fallback(350))]
    deadline: u64,
    /// Seed of arrivals, service times and faults. Default: 1.
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Print JSON lines instead of a table.
    json: bool,
    /// Also print outcomes and faults below each row.
    detail: bool,
    /// Draw the latency distribution of each deployment's first case into FILE.
    #[bpaf(argument("FILE"))]
    svg: Option<PathBuf>,
}

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MeasureError {
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Schema(#[from] SchemaError),
    #[error(transparent)]
    Standin(#[from] StandinError),
    #[error(transparent)]
    Daemon(#[from] daemon::DaemonError),
    #[error("a daemon or naive frontend did not start")]
    NotStarted,
    #[error("invalid URL of a stand-in")]
    BadUrl,
    #[error("unknown {0}: {1}")]
    Unknown(&'static str, String),
    #[error("a load thread panicked")]
    LoadEnded,
    #[error("failed to draw the plot: {0}")]
    Plot(String),
}

fn main() -> Result<(), MeasureError> {
    let flags = measure_flags().run();
    let deployments = given_or_all(&flags.deployment, &["trust", "hajtas"]);
    let cases = given_or_all(&flags.case, &FaultCase::ALL.map(|(name, _)| name));
    let policies: &[&str] = match flags.policy.as_str() {
        "both" => &["naive", "current"],
        "naive" => &["naive"],
        "current" => &["current"],
        other => return Err(MeasureError::Unknown("policy", other.into())),
    };
    if !flags.json {
        println!("{}", CaseRow::header());
    }
    let mut curves = Vec::new();
    let mut wrong = 0;
    for deployment in &deployments {
        for name in &cases {
            let known_case = FaultCase::ALL.iter().find(|(known, _)| known == name);
            let &(name, case) =
                known_case.ok_or_else(|| MeasureError::Unknown("case", name.clone()))?;
            for policy in policies {
                let row = run_case(&flags, deployment, policy, name, case)?;
                print_row(&flags, &row);
                if *policy == "current" {
                    wrong += row.wrong;
                }
                curves.push(plot::LatencyCurve {
                    name: format!("{deployment} {policy} {name}"),
                    sorted_ms: row.sorted_ms,
                });
            }
        }
    }
    if let Some(path) = &flags.svg {
        plot::draw(path, "Latency", &curves)
            .map_err(|error| MeasureError::Plot(error.to_string()))?;
    }
    if wrong > 0 {
        eprintln!("found {wrong} wrong answers of the current policy");
        std::process::exit(1);
    }
    Ok(())
}

fn given_or_all(given: &[String], all: &[&str]) -> Vec<String> {
    if given.is_empty() {
        return all.iter().map(ToString::to_string).collect();
    }
    given.to_vec()
}

fn print_row(flags: &MeasureFlags, row: &CaseRow) {
    if flags.json {
        println!("{}", serde_json::to_string(row).unwrap_or_default());
        return;
    }
    println!("{row}");
    if flags.detail {
        println!("         {:?} {:?}", row.outcomes, row.faults);
    }
}

fn load_spec(name: &str) -> Result<Arc<DeploymentSpec>, MeasureError> {
    let path = PathBuf::from(format!("deploy/{name}/bundle.yaml"));
    let text =
        std::fs::read_to_string(&path).map_err(|error| MeasureError::File(path.clone(), error))?;
    let mut body: BundleBody = schema::parse_yaml(&path.to_string_lossy(), &text)?;
    // The committed file is a draft whose version is set when it is signed.
    body.version = body.version.max(1);
    Ok(Arc::new(DeploymentSpec::from_body(&body)?))
}

fn run_case(
    flags: &MeasureFlags,
    deployment: &str,
    policy: &str,
    name: &str,
    case: FaultCase,
) -> Result<CaseRow, MeasureError> {
    let spec = load_spec(deployment)?;
    let service = ServiceTime {
        median: Duration::from_millis(8),
        sigma: 0.4,
        ..ServiceTime::default()
    };
    // The mean of a lognormal distribution is higher than its median.
    let mean_service_time = service
        .median
        .mul_f64((service.sigma * service.sigma / 2.0).exp());
    let hosts: Result<Vec<_>, _> = (0..FLEET_THREADS).map(|_| TaskHost::spawn()).collect();
    let fleet = FleetServer::start(
        &spec,
        FleetSettings {
            hosts: hosts?,
            list_lag: Duration::from_secs(2),
            service,
            base: UpstreamSettings {
                warm_up: Duration::ZERO,
                ..UpstreamSettings::default()
            },
            seed: flags.seed,
            ..FleetSettings::default()
        },
    )?;
    case.prepare(&fleet);
    let store = StoreServer::spawn(StoreSettings::default())?;
    let plan = ClusterPlan {
        spec: spec.clone(),
        fleet: &fleet,
        store: store.url(),
        seed: flags.seed,
    };
    let mut daemons = match policy {
        "naive" => DaemonSet::start_naive(&plan)?,
        _ => DaemonSet::start(&plan)?,
    };
    let frontends: FrontendList = Arc::new(Mutex::new(daemons.addresses.clone()));
    let length = Duration::from_secs_f64(flags.seconds);
    std::thread::sleep(WARM_UP_TIME);
    let settings = LoadSettings {
        seed: flags.seed,
        length: WARM_UP_TIME,
        rates: rates(&spec, mean_service_time, flags.load),
        deadline: Duration::from_millis(flags.deadline),
        request_prefix: "warm".into(),
        crash_query: None,
    };
    start_load(settings.clone(), &frontends)?
        .join()
        .map_err(|_| MeasureError::LoadEnded)??;
    let before = fleet.counts();
    let settings = LoadSettings {
        seed: flags.seed + 1,
        length,
        rates: rates(&spec, mean_service_time, case.load(flags.load)),
        request_prefix: "run".into(),
        crash_query: (case == FaultCase::CrashQuery).then(|| CRASH_MARKER.into()),
        ..settings
    };
    let load = start_load(settings, &frontends)?;
    case.inject(&spec, &fleet, &store, &mut daemons, length)?;
    let samples = load.join().map_err(|_| MeasureError::LoadEnded)??;
    let after = fleet.counts();
    let increase = CounterIncrease {
        tasks: after.tasks - before.tasks,
        crashes: after.crashes - before.crashes,
    };
    daemons.stop();
    Ok(CaseRow::new(
        [deployment, policy, name],
        length,
        &samples,
        &increase,
        &fleet,
    ))
}

type LoadThread = std::thread::JoinHandle<Result<Vec<load_run::LoadSample>, MeasureError>>;

/// Starts threads that send the load, each an equal part of the rate. The returned thread collects
/// their samples.
fn start_load(
    settings: LoadSettings,
    frontends: &FrontendList,
) -> Result<LoadThread, MeasureError> {
    let mut parts = Vec::new();
    for part in 0..LOAD_THREADS {
        let mut settings = settings.clone();
        settings.seed = settings.seed.wrapping_mul(LOAD_THREADS).wrapping_add(part);
        settings.request_prefix = format!("{}-{part}", settings.request_prefix);
        settings.crash_query = settings.crash_query.filter(|_| part == 0);
        for (_, rate) in &mut settings.rates {
            *rate /= LOAD_THREADS as f64;
        }
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let frontends = frontends.clone();
        let run = move || runtime.block_on(load_run::run(settings, frontends));
        parts.push(std::thread::spawn(run));
    }
    Ok(std::thread::spawn(move || {
        let mut samples = Vec::new();
        for part in parts {
            samples.extend(part.join().map_err(|_| MeasureError::LoadEnded)?);
        }
        Ok(samples)
    }))
}
