//! `pollentally history`: lists bundle versions or reconciles charges.

use std::net::SocketAddr;

use bpaf::{
    construct,
    long,
    OptionParser,
    Parser, //
};
use policy::bundle::{
    decode_body,
    part_key,
    BundleChain, //
};
use schema::{
    bundle::BundleBody,
    BundleDigest, //
};
use serde::Serialize;

use crate::{
    charge_history::{
        print_charges,
        reconcile, //
    },
    cli_error::{
        CliError,
        EXIT_CODES_HELP, //
    },
    operator_store::{
        store_args,
        OperatorStore,
        StoreArgs, //
    },
    output::{
        new_table,
        print_json,
        print_line,
        print_table, //
    },
    runtime::block_on,
};

const HELP: &str = "List the accepted bundle versions, newest first, or reconcile the charges";

/// Largest value of `--days`.
const DAYS_MAX: u64 = 31;

/// Parsed arguments of `history`.
#[derive(Clone, Debug)]
pub(crate) struct HistoryArgs {
    store: StoreArgs,
    limit: usize,
    charges: bool,
    days: u64,
    daemons: Vec<SocketAddr>,
    json: bool,
}

/// Builds the argument parser of `history`.
pub(crate) fn parser() -> OptionParser<HistoryArgs> {
    let store = store_args();
    let limit = long("limit")
        .help("Largest number of versions listed")
        .argument("COUNT")
        .fallback(20)
        .display_fallback();
    let charges = long("charges")
        .help("Reconcile the charges instead, and count those answered, charged, waiting and lost")
        .switch();
    let days = long("days")
        .help("Number of days whose charges are read, today included")
        .argument("COUNT")
        .fallback(1)
        .display_fallback();
    let daemons = long("daemon")
        .help("Admin address of a running daemon, to include charges it has not written yet")
        .argument("ADDRESS")
        .many();
    let json = long("json").help("Print JSON").switch();
    construct!(HistoryArgs {
        store,
        limit,
        charges,
        days,
        daemons,
        json
    })
    .to_options()
    .descr(HELP)
    .footer(EXIT_CODES_HELP)
}

#[derive(Serialize)]
struct VersionEntry {
    version: u64,
    digest: String,
    // Empty for all but the version in force: the store keeps no signatures of earlier ones.
    signed_by: Vec<String>,
    groups: usize,
    drains: usize,
}

/// Prints the versions from the head back along the parents that the store still holds, or
/// reconciles the charges.
pub(crate) fn run(args: &HistoryArgs) -> Result<(), CliError> {
    let store = OperatorStore::open(&args.store)?;
    if args.charges {
        return print_reconciliation(args, &store);
    }
    let versions = block_on(read_versions(&store, args.limit))??;
    if args.json {
        return print_json(&versions);
    }
    let mut table = new_table(&["version", "digest", "signed by", "groups", "drains"]);
    for entry in &versions {
        table.add_row([
            entry.version.to_string(),
            entry.digest.chars().take(12).collect(),
            format_signers(&entry.signed_by),
            entry.groups.to_string(),
            entry.drains.to_string(),
        ]);
    }
    print_table(&table)?;
    let oldest = versions.last().map_or(1, |entry| entry.version);
    if oldest > 1 {
        print_line(&format!("versions before {oldest} are not listed"))?;
    }
    Ok(())
}

fn print_reconciliation(args: &HistoryArgs, store: &OperatorStore) -> Result<(), CliError> {
    if args.days == 0 || args.days > DAYS_MAX {
        return Err(CliError::BadArgument {
            option: "--days",
            value: args.days.to_string(),
            expected: "1 to 31",
        });
    }
    let report = block_on(reconcile(store, args.days, &args.daemons))??;
    print_charges(&report, args.json)
}

async fn read_versions(store: &OperatorStore, limit: usize) -> Result<Vec<VersionEntry>, CliError> {
    let (chain, _) = store.read_chain().await?;
    let (mut body, signed_by) = read_in_force(&chain)?;
    let mut digest = chain
        .in_force()
        .map(|bundle| bundle.digest.to_string())
        .unwrap_or_default();
    let mut entries = vec![version_entry(&body, digest, signed_by)];
    while entries.len() < limit && !body.parent.is_empty() {
        digest = body.parent.clone();
        let Some(parent) = read_body(store, &digest).await? else {
            break;
        };
        body = parent;
        entries.push(version_entry(&body, digest, Vec::new()));
    }
    Ok(entries)
}

fn read_in_force(chain: &BundleChain) -> Result<(BundleBody, Vec<String>), CliError> {
    let bundle = chain.in_force().ok_or(CliError::NoBundle)?;
    let body = decode_body(&bundle.signed.body)
        .map_err(|error| CliError::bundle_rejected("the version in force", error))?;
    let head = bundle.signed.head.clone().unwrap_or_default();
    let signers = head.signatures.into_iter().map(|entry| entry.signer);
    Ok((body, signers.collect()))
}

// The only part of a small body has the digest of the body as its key. A body of several parts is
// not found.
async fn read_body(store: &OperatorStore, digest: &str) -> Result<Option<BundleBody>, CliError> {
    let Some((bytes, _)) = store.get(&part_key(digest)).await? else {
        return Ok(None);
    };
    if BundleDigest::of(&bytes).to_string() != digest {
        return Ok(None);
    }
    Ok(decode_body(&bytes).ok())
}

fn version_entry(body: &BundleBody, digest: String, signed_by: Vec<String>) -> VersionEntry {
    VersionEntry {
        version: body.version,
        digest,
        signed_by,
        groups: body.groups.len(),
        drains: body.drains.len(),
    }
}

fn format_signers(signers: &[String]) -> String {
    if signers.is_empty() {
        return "-".into();
    }
    signers.join(", ")
}
