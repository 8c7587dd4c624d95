//! `pollentally check`: validates a bundle or the settings of a daemon.

use std::path::{
    Path,
    PathBuf, //
};

use bpaf::{
    construct,
    long,
    positional,
    OptionParser,
    Parser, //
};
use daemon::{
    config::read_settings,
    read_boot, //
};
use schema::{
    bundle::BundleBody,
    DeploymentSpec,
    GroupMode,
    GroupSpec, //
};
use serde::Serialize;

use crate::{
    bundle_file::read_validated,
    cli_error::{
        CliError,
        EXIT_CODES_HELP, //
    },
    output::{
        new_table,
        print_json,
        print_line,
        print_table, //
    },
};

const HELP: &str =
    "Validate a bundle or a daemon's settings with the checks that the daemon itself makes";

/// Parsed arguments of `check`.
#[derive(Clone, Debug)]
pub(crate) struct CheckArgs {
    json: bool,
    subject: CheckSubject,
}

/// File to validate.
#[derive(Clone, Debug)]
enum CheckSubject {
    /// A bundle in YAML.
    Bundle(PathBuf),
    /// Settings of a daemon in YAML.
    Settings(PathBuf),
    /// Settings of a daemon in the JSON form that the platform writes.
    Platform(PathBuf),
}

/// Builds the argument parser of `check`.
pub(crate) fn parser() -> OptionParser<CheckArgs> {
    let json = long("json").help("Print JSON").switch();
    let settings = long("settings")
        .help("Daemon settings in YAML, as read by pollentallyd --settings")
        .argument("FILE")
        .map(CheckSubject::Settings);
    let platform = long("platform")
        .help("Daemon settings written by the platform, as read by pollentallyd --platform")
        .argument("FILE")
        .map(CheckSubject::Platform);
    let bundle = positional("BUNDLE")
        .help("Bundle in YAML")
        .map(CheckSubject::Bundle);
    let subject = construct!([settings, platform, bundle]);
    construct!(CheckArgs { json, subject })
        .to_options()
        .descr(HELP)
        .footer(EXIT_CODES_HELP)
}

#[derive(Serialize)]
struct GroupReport {
    group: String,
    mode: &'static str,
    once: bool,
    shards: usize,
    upstreams: usize,
    slots: u64,
    connections_per_daemon: u32,
}

#[derive(Serialize)]
struct CheckReport {
    deployment: String,
    daemons: u32,
    zones: usize,
    signers: usize,
    signers_required: u32,
    groups: Vec<GroupReport>,
}

/// Validates the file and prints a summary of it.
pub(crate) fn run(args: &CheckArgs) -> Result<(), CliError> {
    let path = match &args.subject {
        CheckSubject::Bundle(path) => path,
        CheckSubject::Settings(path) => {
            let config = read_settings(path, |_| ())?;
            return print_daemon_report(
                args.json,
                path,
                config.name.as_str(),
                config.zone.as_str(),
            );
        }
        CheckSubject::Platform(path) => {
            let boot = read_boot(path)?;
            return print_daemon_report(args.json, path, boot.vm.as_str(), boot.zone.as_str());
        }
    };
    let body = read_validated(path)?;
    let report = check_report(&body)?;
    if args.json {
        return print_json(&report);
    }
    print_report(&report)
}

#[derive(Serialize)]
struct DaemonReport<'a> {
    daemon: &'a str,
    zone: &'a str,
}

fn print_daemon_report(json: bool, path: &Path, daemon: &str, zone: &str) -> Result<(), CliError> {
    if json {
        return print_json(&DaemonReport { daemon, zone });
    }
    print_line(&format!(
        "{}: ok; daemon {daemon} in data centre {zone}",
        path.display()
    ))
}

fn check_report(body: &BundleBody) -> Result<CheckReport, CliError> {
    let versioned = BundleBody {
        version: body.version.max(1),
        ..body.clone()
    };
    let spec = DeploymentSpec::from_body(&versioned)?;
    let groups = spec.groups.iter();
    Ok(CheckReport {
        deployment: spec.deployment.to_string(),
        daemons: spec.daemons,
        zones: spec.zones.len(),
        signers: spec.signers.len(),
        signers_required: spec.signers_required,
        groups: groups.map(|group| group_report(&spec, group)).collect(),
    })
}

fn group_report(spec: &DeploymentSpec, group: &GroupSpec) -> GroupReport {
    let upstreams = group.shards.len() * group.replicas as usize;
    GroupReport {
        group: group.name.to_string(),
        mode: match group.mode {
            GroupMode::Scatter => "scatter",
            GroupMode::Single => "single",
        },
        once: group.once,
        shards: group.shards.len(),
        upstreams,
        slots: upstreams as u64 * u64::from(group.slots),
        connections_per_daemon: group.connections / spec.daemons,
    }
}

fn print_report(report: &CheckReport) -> Result<(), CliError> {
    let mut table = new_table(&[
        "group",
        "mode",
        "once",
        "shards",
        "upstreams",
        "slots",
        "connections/daemon",
    ]);
    for group in &report.groups {
        table.add_row([
            group.group.clone(),
            group.mode.into(),
            if group.once { "yes" } else { "no" }.into(),
            group.shards.to_string(),
            group.upstreams.to_string(),
            group.slots.to_string(),
            group.connections_per_daemon.to_string(),
        ]);
    }
    print_table(&table)?;
    print_line(&format!(
        "{}: ok; daemons {}, data centres {}, signatures required {} of {}",
        report.deployment, report.daemons, report.zones, report.signers_required, report.signers
    ))
}
