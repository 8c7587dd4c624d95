//! `pollentally accept`.

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
        EXIT_CODES, //
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

/// Writes of one key before the store counts as down.
const WRITE_ATTEMPTS: u32 = 3;

const ACCEPTED: &str = "accepted";
const FOLLOWED: &str = "followed";

/// Arguments of `accept`.
#[derive(Clone, Debug)]
pub(crate) struct AcceptArgs {
    store: StoreArgs,
    json: bool,
    bundle: PathBuf,
}

/// The parser of `accept`.
pub(crate) fn parser() -> OptionParser<AcceptArgs> {
    let store = store_args();
    let json = long("json").help("Print JSON").switch();
    let bundle = positional("SIGNED").help("Bundle signed by as many signers as required");
    construct!(AcceptArgs {
        store,
        json,
        bundle
    })
    .to_options()
    .descr(HELP)
    .footer(EXIT_CODES)
}

#[derive(Serialize)]
struct AcceptReport {
    version: u64,
    digest: String,
    // `accepted` or `followed`.
    state: &'static str,
}

/// Writes the parts, then swaps the head.
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
        FOLLOWED => "was in force and has been followed by another",
        _ => "is in force",
    };
    print_line(&format!("version {} {text}", report.version))
}

async fn accept(
    store: &OperatorStore,
    path: &Path,
    signed: &SignedBundle,
) -> Result<&'static str, CliError> {
    let (chain, revision) = store.chain().await?;
    let ours = signed.head.clone().unwrap_or_default();
    if let Some(held) = chain.in_force().and_then(|held| held.signed.head.as_ref()) {
        if ours.version <= held.version {
            return settled(&ours, held);
        }
    }
    check_offer(path, chain, signed)?;
    write_parts(store, signed).await?;
    swap_head(store, &ours, revision).await
}

fn check_offer(path: &Path, chain: BundleChain, signed: &SignedBundle) -> Result<(), CliError> {
    let refused = |refusal| CliError::refused(path.display(), refusal);
    let found = signed.head.as_ref().map_or(0, |head| head.version);
    let expected = chain.version().0 + 1;
    check_parts(signed).map_err(refused)?;
    let mut next = chain;
    let verdict = next.offer(signed).map_err(refused)?;
    if verdict == OfferOutcome::Accepted && found != expected {
        return Err(refused(BundleError::VersionGap {
            expected: BundleVersion(expected),
            found: BundleVersion(found),
        }));
    }
    Ok(())
}

// The list of parts is not signed: with a wrong one, no daemon could put the body together.
fn check_parts(signed: &SignedBundle) -> Result<(), BundleError> {
    let listed = signed.head.as_ref().map_or(&[][..], |head| &head.parts);
    let cut = split_parts(&signed.body);
    for index in 0..listed.len().max(cut.len()) {
        if listed.get(index) != cut.get(index).map(|(entry, _)| entry) {
            return Err(BundleError::PartMismatch { index });
        }
    }
    Ok(())
}

// A part's key is its digest: one that is there already is the same.
async fn write_parts(store: &OperatorStore, signed: &SignedBundle) -> Result<(), CliError> {
    for (entry, bytes) in split_parts(&signed.body) {
        let key = part_key(&entry.digest);
        let mut outcome = WriteOutcome::Lost;
        for _ in 0..WRITE_ATTEMPTS {
            outcome = store.put(&key, bytes, 0).await?;
            if outcome != WriteOutcome::Lost {
                break;
            }
        }
        if outcome == WriteOutcome::Lost {
            return Err(store.broken("no answer to the write of a part; nothing is in force yet"));
        }
    }
    Ok(())
}

async fn swap_head(
    store: &OperatorStore,
    ours: &BundleHead,
    revision: u64,
) -> Result<&'static str, CliError> {
    let value = ours.encode_to_vec();
    let mut revision = revision;
    for _ in 0..WRITE_ATTEMPTS {
        if store.put(HEAD_KEY, &value, revision).await? == WriteOutcome::Written {
            return Ok(ACCEPTED);
        }
        let found = store.head().await.map_err(unsettled)?;
        let head = found.as_ref().map(|(head, _)| head);
        if resolve_accept(ours, head) != AcceptOutcome::NotWritten {
            return settled(ours, head.unwrap_or(ours));
        }
        revision = found.map_or(0, |(_, revision)| revision);
    }
    Err(store.broken("no answer to the write of the head; accept the same file again"))
}

// The write may have taken effect: the same command settles it once the store answers.
fn unsettled(error: CliError) -> CliError {
    match error {
        CliError::Store { url, problem } => CliError::Store {
            url,
            problem: format!("{problem}; the version may be in force: accept the same file again"),
        },
        other => other,
    }
}

fn settled(ours: &BundleHead, found: &BundleHead) -> Result<&'static str, CliError> {
    let signers = found.signatures.iter().map(|entry| entry.signer.as_str());
    let signers: Vec<&str> = signers.collect();
    match resolve_accept(ours, Some(found)) {
        AcceptOutcome::Accepted => Ok(ACCEPTED),
        AcceptOutcome::Followed(_) => Ok(FOLLOWED),
        AcceptOutcome::Indeterminate(version) => Err(CliError::Unclear { version }),
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
