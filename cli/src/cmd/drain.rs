//! `pollentally drain`.

use std::{
    collections::BTreeSet,
    fs,
    path::PathBuf, //
};

use bpaf::{
    construct,
    long,
    positional,
    OptionParser,
    Parser, //
};
use schema::{
    SchemaError,
    VmName, //
};

use crate::{
    bundle_file::{
        read_checked,
        read_yaml, //
    },
    cli_error::{
        CliError,
        EXIT_CODES, //
    },
    output::{
        print_json,
        print_line, //
    },
};

const HELP: &str = "Put upstreams under a drain order, or lift it, in a bundle's YAML";
const NOTE: &str = "The order is in force once the bundle is signed and accepted.";

/// The bundle's key for drain orders.
const DRAINS_KEY: &str = "drains:";

/// Arguments of `drain`.
#[derive(Clone, Debug)]
pub(crate) struct DrainArgs {
    lift: bool,
    json: bool,
    bundle: PathBuf,
    vms: Vec<String>,
}

/// The parser of `drain`.
pub(crate) fn parser() -> OptionParser<DrainArgs> {
    let lift = long("lift").help("Lift the order instead").switch();
    let json = long("json").help("Print JSON").switch();
    let bundle = positional("BUNDLE").help("Bundle in YAML, rewritten in place");
    let vms = positional("VM")
        .help("Names of upstream VMs")
        .some("name at least one VM");
    construct!(DrainArgs {
        lift,
        json,
        bundle,
        vms
    })
    .to_options()
    .descr(HELP)
    .header(NOTE)
    .footer(EXIT_CODES)
}

/// Rewrites the list of drain orders and prints it.
pub(crate) fn run(args: &DrainArgs) -> Result<(), CliError> {
    let (text, body) = read_yaml(&args.bundle)?;
    let mut drains: BTreeSet<String> = body.drains.into_iter().collect();
    for vm in &args.vms {
        let name: VmName = vm
            .parse()
            .map_err(|error: SchemaError| error.at("VM", vm))?;
        if args.lift {
            drains.remove(name.as_str());
        } else {
            drains.insert(name.to_string());
        }
    }
    let text = with_drains(&text, &drains);
    fs::write(&args.bundle, text).map_err(|error| CliError::file(&args.bundle, error))?;
    read_checked(&args.bundle)?;
    if args.json {
        return print_json(&drains);
    }
    for vm in &drains {
        print_line(&format!("draining: {vm}"))?;
    }
    print_line(&format!("{} drain orders", drains.len()))
}

// Replaces the block of the key and leaves every other line, comments included, as it is.
fn with_drains(text: &str, drains: &BTreeSet<String>) -> String {
    let mut kept = String::new();
    let mut in_block = false;
    for line in text.lines() {
        if line.starts_with(DRAINS_KEY) {
            in_block = true;
            continue;
        }
        let continues = line.starts_with([' ', '-', '\t']);
        in_block = in_block && continues;
        if in_block {
            continue;
        }
        kept.push_str(line);
        kept.push('\n');
    }
    if drains.is_empty() {
        return kept;
    }
    kept.push_str(DRAINS_KEY);
    kept.push('\n');
    for vm in drains {
        kept.push_str(&format!("  - \"{vm}\"\n"));
    }
    kept
}
