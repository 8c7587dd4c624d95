//! `pollentally accept`: puts a signed bundle in force.

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
use policy::bundle::{
    part_key,
    resolve_accept,
    split_parts,
    AcceptOutcome,
    BundleChain,
    BundleError,
    OfferOutcome,
    HEAD_KEY, //
};
use prost::Message;
use schema::{
    bundle::{
        BundleHead,
        SignedBundle, //
    },
    BundleVersion, //
};
use serde::Serialize;

use crate::{
    bundle_file::read_signed,
    cli_error::{
        CliError,
        EXIT_CODES_HELP, //
    },
    operator_store::{
        store_args,
        OperatorStore,
        StoreArgs,
        WriteOutcome, //
    },
    output::{
        print_json,
        print_line, //
    },
    runtime::block_on,
};

const HELP: &str = "Put a signed bundle in force";

/// Attempts to write one key before the command fails.
const WRITE_ATTEMPTS: u32 = 3;

const ACCEPTED: &str = "accepted";
const SUPERSEDED: &str = "followed";

/// Parsed arguments of `accept`.
#[derive(Clone, Debug)]
pub(crate) struct AcceptArgs {
    store: StoreArgs,
    json: bool,
    bundle: PathBuf,
}

/// Builds the argument parser of `accept`.
pub(crate) fn parser() -> OptionParser<AcceptArgs> {
    let store = store_args();
    let json = long("json").help("Print JSON").switch();
    let bundle = positional("SIGNED").help("Bundle with the required number of signatures");
    construct!(AcceptArgs {
        store,
        json,
        bundle
    })
    .to_options()
    .descr(HELP)
    .footer(EXIT_CODES_HELP)
}

#[derive(Serialize)]
struct AcceptReport {
    version: u64,
    digest: String,
    // `accepted`: in force. `followed`: accepted earlier and since superseded.
    state: &'static str,
}

/// Writes the parts of the bundle, then replaces the head by a conditional write.
pub(crate) fn run(args: &AcceptArgs) -> Result<(), CliError> {
    let signed = read_signed(&args.bundle)?;
    let store = OperatorStore::open(&args.store)?;
    let state = block_on(accept(&store, &args.bundle, &signed))??;
    let head = signed.head.unwrap_or_default();
    let report = AcceptReport {
        version: head.version,
        digest: head.digest,
        state,
    };
    if args.json {
        return print_json(&report);
    }
    let text = match report.state {
        SUPERSEDED => "was accepted earlier and has been superseded by a later version",
        _ => "is in force",
    };
    print_line(&format!("version {} {text}", report.version))
}

async fn accept(
    store: &OperatorStore,
    path: &Path,
    signed: &SignedBundle,
) -> Result<&'static str, CliError> {
    let (chain, revision) = store.read_chain().await?;
    let proposed = signed.head.clone().unwrap_or_default();
    if let Some(current) = chain
        .in_force()
        .and_then(|current| current.signed.head.as_ref())
    {
        if proposed.version <= current.version {
            return outcome_of(&proposed, current);
        }
    }
    validate_offer(path, chain, signed)?;
    write_parts(store, signed).await?;
    replace_head(store, &proposed, revision).await
}

fn validate_offer(path: &Path, chain: BundleChain, signed: &SignedBundle) -> Result<(), CliError> {
    let rejected = |error| CliError::bundle_rejected(path.display(), error);
    let offered_version = signed.head.as_ref().map_or(0, |head| head.version);
    let expected = chain.version().0 + 1;
    validate_parts(signed).map_err(rejected)?;
    let mut candidate = chain;
    let outcome = candidate.offer(signed).map_err(rejected)?;
    if outcome == OfferOutcome::Accepted && offered_version != expected {
        return Err(rejected(BundleError::VersionGap {
            expected: BundleVersion(expected),
            found: BundleVersion(offered_version),
        }));
    }
    Ok(())
}

// The signatures do not cover the list of parts: with a wrong list, daemons could not assemble the
// body.
fn validate_parts(signed: &SignedBundle) -> Result<(), BundleError> {
    let listed_parts = signed.head.as_ref().map_or(&[][..], |head| &head.parts);
    let expected_parts = split_parts(&signed.body);
    for index in 0..listed_parts.len().max(expected_parts.len()) {
        if listed_parts.get(index) != expected_parts.get(index).map(|(entry, _)| entry) {
            return Err(BundleError::PartMismatch { index });
        }
    }
    Ok(())
}

// The key of a part contains its digest, so a part that already exists has the same content and a
// conflict needs no handling.
async fn write_parts(store: &OperatorStore, signed: &SignedBundle) -> Result<(), CliError> {
    for (entry, bytes) in split_parts(&signed.body) {
        let key = part_key(&entry.digest);
        let mut outcome = WriteOutcome::Unknown;
        for _ in 0..WRITE_ATTEMPTS {
            outcome = store.put(&key, bytes, 0).await?;
            if outcome != WriteOutcome::Unknown {
                break;
            }
        }
        if outcome == WriteOutcome::Unknown {
            return Err(store.store_error(
                "no reply to the write of a bundle part; \
                 the version in force is unchanged: accept the same file again",
            ));
        }
    }
    Ok(())
}

async fn replace_head(
    store: &OperatorStore,
    proposed: &BundleHead,
    revision: u64,
) -> Result<&'static str, CliError> {
    let value = proposed.encode_to_vec();
    let mut revision = revision;
    for _ in 0..WRITE_ATTEMPTS {
        if store.put(HEAD_KEY, &value, revision).await? == WriteOutcome::Written {
            return Ok(ACCEPTED);
        }
        let found = store.read_head().await.map_err(with_retry_hint)?;
        let head = found.as_ref().map(|(head, _)| head);
        if resolve_accept(proposed, head) != AcceptOutcome::NotWritten {
            return outcome_of(proposed, head.unwrap_or(proposed));
        }
        revision = found.map_or(0, |(_, revision)| revision);
    }
    Err(store.store_error("no reply to the write of the bundle head: accept the same file again"))
}

// The head may have been written: running the command again resolves this once the store answers.
fn with_retry_hint(error: CliError) -> CliError {
    match error {
        CliError::Store { url, problem } => CliError::Store {
            url,
            problem: format!("{problem}; the bundle may be in force: accept the same file again"),
        },
        other => other,
    }
}

fn outcome_of(proposed: &BundleHead, found: &BundleHead) -> Result<&'static str, CliError> {
    let signers = found.signatures.iter().map(|entry| entry.signer.as_str());
    let signers: Vec<&str> = signers.collect();
    match resolve_accept(proposed, Some(found)) {
        AcceptOutcome::Accepted => Ok(ACCEPTED),
        AcceptOutcome::Followed(_) => Ok(SUPERSEDED),
        AcceptOutcome::Indeterminate(version) => Err(CliError::WriteIndeterminate { version }),
        AcceptOutcome::NotWritten => Err(CliError::Conflict {
            version: BundleVersion(found.version),
            signers: signers.join(" and "),
        }),
        AcceptOutcome::Conflict(version) => Err(CliError::Conflict {
            version,
            signers: signers.join(" and "),
        }),
    }
}
