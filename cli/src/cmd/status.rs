//! `pollentally status`: shows the status of daemons.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use bpaf::{
    construct,
    long,
    positional,
    OptionParser,
    Parser, //
};
use daemon::StatusBody;
use http::StatusCode;
use serde::Serialize;

use crate::{
    cli_error::{
        CliError,
        EXIT_CODES_HELP, //
    },
    http_client::HttpClient,
    output::{
        new_table,
        print_json,
        print_line,
        print_table, //
    },
    runtime::block_on,
};

const HELP: &str = "Show the status of daemons";

/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Parsed arguments of `status`.
#[derive(Clone, Debug)]
pub(crate) struct StatusArgs {
    json: bool,
    daemons: Vec<SocketAddr>,
}

/// Builds the argument parser of `status`.
pub(crate) fn parser() -> OptionParser<StatusArgs> {
    let json = long("json").help("Print JSON").switch();
    let daemons = positional("ADDRESS")
        .help("Admin address of a daemon")
        .some("give at least one daemon");
    construct!(StatusArgs { json, daemons })
        .to_options()
        .descr(HELP)
        .footer(EXIT_CODES_HELP)
}

#[derive(Serialize)]
struct DaemonReport {
    address: SocketAddr,
    status: Option<StatusBody>,
    problem: String,
}

#[derive(Serialize)]
struct FleetReport {
    // Highest bundle version in force on any daemon that answered.
    bundle_version: u64,
    // Daemons with a lower bundle version.
    behind: Vec<String>,
    draining: Vec<String>,
    // Data centres that at least one daemon has evacuated, with the daemons that have not.
    evacuated: Vec<EvacuationReport>,
    quarantined: Vec<String>,
    store_down_at: Vec<String>,
    charges_waiting: u64,
    limits: Vec<LimitReport>,
    daemons: Vec<DaemonReport>,
}

// An evacuated data centre, and the daemons that don't know of it.
#[derive(Serialize)]
struct EvacuationReport {
    zone: String,
    behind: Vec<String>,
}

// The limit that a replica names, and one daemon's share of it.
#[derive(Serialize)]
struct LimitReport {
    replica: String,
    limit: f64,
    daemon: String,
    share: f64,
}

/// Asks all daemons at once and prints their status; fails if one does not answer.
pub(crate) fn run(args: &StatusArgs) -> Result<(), CliError> {
    let daemons = block_on(query_all(&args.daemons))?;
    let unanswered = daemons
        .iter()
        .filter(|daemon| daemon.status.is_none())
        .count();
    let total = daemons.len();
    let report = fleet_report(daemons);
    if args.json {
        print_json(&report)?;
    } else {
        print_report(&report)?;
    }
    if unanswered > 0 {
        return Err(CliError::UnansweredDaemons {
            count: unanswered,
            total,
        });
    }
    Ok(())
}

async fn query_all(daemons: &[SocketAddr]) -> Vec<DaemonReport> {
    let client = HttpClient::new(STATUS_TIMEOUT);
    let mut tasks = Vec::new();
    for address in daemons {
        let client = client.clone();
        let address = *address;
        tasks.push(tokio::spawn(
            async move { query_daemon(&client, address).await },
        ));
    }
    let mut reports = Vec::new();
    for task in tasks {
        reports.extend(task.await.ok());
    }
    reports
}

async fn query_daemon(client: &HttpClient, address: SocketAddr) -> DaemonReport {
    let (status, problem) = match client.get(address, "/status").await {
        Ok((StatusCode::OK, body)) => match serde_json::from_slice(&body) {
            Ok(status) => (Some(status), String::new()),
            Err(error) => (None, error.to_string()),
        },
        Ok((code, _)) => (None, format!("HTTP status {code}")),
        Err(error) => (None, error.to_string()),
    };
    DaemonReport {
        address,
        status,
        problem,
    }
}

fn fleet_report(daemons: Vec<DaemonReport>) -> FleetReport {
    let statuses: Vec<&StatusBody> = daemons
        .iter()
        .filter_map(|daemon| daemon.status.as_ref())
        .collect();
    let highest_version = statuses
        .iter()
        .map(|daemon| daemon.bundle_version)
        .max()
        .unwrap_or(0);
    let names_where = |matches_filter: &dyn Fn(&StatusBody) -> bool| {
        let matching = statuses.iter().filter(|daemon| matches_filter(daemon));
        matching
            .map(|daemon| daemon.name.clone())
            .collect::<Vec<String>>()
    };
    let behind = names_where(&|daemon| daemon.bundle_version < highest_version);
    let store_down_at = names_where(&|daemon| daemon.store == "down");
    let draining = sorted_unique(statuses.iter().flat_map(|daemon| daemon.draining.clone()));
    let quarantined = sorted_unique(
        statuses
            .iter()
            .flat_map(|daemon| daemon.quarantined.clone()),
    );
    let zones = sorted_unique(statuses.iter().flat_map(|daemon| daemon.evacuated.clone()));
    let evacuated = zones.into_iter().map(|zone| EvacuationReport {
        behind: names_where(&|daemon| !daemon.evacuated.contains(&zone)),
        zone,
    });
    let evacuated = evacuated.collect();
    let mut limits = Vec::new();
    for daemon in &statuses {
        for limit in &daemon.limits {
            limits.push(LimitReport {
                replica: limit.replica.clone(),
                limit: limit.limit,
                daemon: daemon.name.clone(),
                share: limit.share,
            });
        }
    }
    limits.sort_by(|a, b| (&a.replica, &a.daemon).cmp(&(&b.replica, &b.daemon)));
    let charges_waiting = statuses.iter().map(|daemon| daemon.charges_waiting).sum();
    FleetReport {
        bundle_version: highest_version,
        behind,
        draining,
        evacuated,
        quarantined,
        store_down_at,
        charges_waiting,
        limits,
        daemons,
    }
}

fn sorted_unique(names: impl Iterator<Item = String>) -> Vec<String> {
    let mut names: Vec<String> = names.collect();
    names.sort();
    names.dedup();
    names
}

fn print_report(report: &FleetReport) -> Result<(), CliError> {
    let mut table = new_table(&[
        "daemon",
        "zone",
        "phase",
        "bundle",
        "requests",
        "sent",
        "store",
        "charges waiting",
    ]);
    for daemon in &report.daemons {
        let Some(status) = &daemon.status else {
            table.add_row([
                daemon.address.to_string(),
                "-".into(),
                daemon.problem.clone(),
            ]);
            continue;
        };
        table.add_row([
            status.name.clone(),
            status.zone.clone(),
            status.phase.clone(),
            status.bundle_version.to_string(),
            status.requests.to_string(),
            status.attempts.to_string(),
            status.store.clone(),
            status.charges_waiting.to_string(),
        ]);
    }
    print_table(&table)?;
    print_line(&format!("bundle in force: {}", report.bundle_version))?;
    print_list("behind", &report.behind)?;
    print_list("store down at", &report.store_down_at)?;
    print_list("draining", &report.draining)?;
    print_list("quarantined", &report.quarantined)?;
    print_evacuated(&report.evacuated)?;
    print_stranded(&report.daemons)?;
    print_limits(&report.limits)
}

fn print_evacuated(evacuated: &[EvacuationReport]) -> Result<(), CliError> {
    if evacuated.is_empty() {
        return Ok(());
    }
    let mut table = new_table(&["evacuated", "not yet at"]);
    for report in evacuated {
        table.add_row([report.zone.clone(), report.behind.join(" ")]);
    }
    print_table(&table)
}

fn print_stranded(daemons: &[DaemonReport]) -> Result<(), CliError> {
    let statuses = daemons.iter().filter_map(|daemon| daemon.status.as_ref());
    let stranded = statuses.filter_map(|status| Some((status, status.stranded.as_ref()?)));
    let mut table = new_table(&["stranded", "for", "evidence", "helpers"]);
    for (status, loss) in stranded {
        table.add_row([
            status.name.clone(),
            format!("{:.1} s", loss.lost_for_ms as f64 / 1000.0),
            loss.evidence.clone(),
            loss.helpers.join(" "),
        ]);
    }
    if table.row_count() == 0 {
        return Ok(());
    }
    print_table(&table)
}

fn print_limits(limits: &[LimitReport]) -> Result<(), CliError> {
    if limits.is_empty() {
        return Ok(());
    }
    let mut table = new_table(&["limit of", "requests/s", "daemon", "its share"]);
    for limit in limits {
        table.add_row([
            limit.replica.clone(),
            format!("{:.1}", limit.limit),
            limit.daemon.clone(),
            format!("{:.1}", limit.share),
        ]);
    }
    print_table(&table)
}

fn print_list(title: &str, names: &[String]) -> Result<(), CliError> {
    if names.is_empty() {
        return Ok(());
    }
    print_line(&format!("{title}: {}", names.join(" ")))
}
