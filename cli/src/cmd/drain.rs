//! `pollentally drain`: edits the drain orders in a bundle.

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
        read_validated,
        read_yaml, //
    },
    cli_error::{
        CliError,
        EXIT_CODES_HELP, //
    },
    output::{
        print_json,
        print_line, //
    },
};

const HELP: &str = "Add or lift drain orders for upstream VMs in a bundle's YAML";
const HELP_NOTE: &str = "Drain orders take effect once the bundle is signed and accepted.";

/// YAML key of the drain orders, at the top level of a bundle.
const DRAINS_KEY: &str = "drains:";

/// Parsed arguments of `drain`.
#[derive(Clone, Debug)]
pub(crate) struct DrainArgs {
    lift: bool,
    json: bool,
    bundle: PathBuf,
    vms: Vec<String>,
}

/// Builds the argument parser of `drain`.
pub(crate) fn parser() -> OptionParser<DrainArgs> {
    let lift = long("lift")
        .help("Lift the drain orders of these VMs")
        .switch();
    let json = long("json").help("Print JSON").switch();
    let bundle = positional("BUNDLE").help("Bundle in YAML, rewritten in place");
    let vms = positional("VM")
        .help("Name of an upstream VM")
        .some("give at least one VM");
    construct!(DrainArgs {
        lift,
        json,
        bundle,
        vms
    })
    .to_options()
    .descr(HELP)
    .header(HELP_NOTE)
    .footer(EXIT_CODES_HELP)
}

/// Updates the drain orders in the file, validates the result and prints them.
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
    let text = replace_drains(&text, &drains);
    fs::write(&args.bundle, text).map_err(|error| CliError::file_error(&args.bundle, error))?;
    read_validated(&args.bundle)?;
    if args.json {
        return print_json(&drains);
    }
    for vm in &drains {
        print_line(&format!("draining: {vm}"))?;
    }
    print_line(&format!("{} drain orders", drains.len()))
}

// Replaces the block of the key and leaves all other lines, including comments, unchanged.
fn replace_drains(text: &str, drains: &BTreeSet<String>) -> String {
    let mut output = String::new();
    let mut in_block = false;
    for line in text.lines() {
        if line.starts_with(DRAINS_KEY) {
            in_block = true;
            continue;
        }
        let in_value = line.starts_with([' ', '-', '\t']);
        in_block = in_block && in_value;
        if in_block {
            continue;
        }
        output.push_str(line);
        output.push('\n');
    }
    if drains.is_empty() {
        return output;
    }
    output.push_str(DRAINS_KEY);
    output.push('\n');
    for vm in drains {
        output.push_str(&format!("  - \"{vm}\"\n"));
    }
    output
}
