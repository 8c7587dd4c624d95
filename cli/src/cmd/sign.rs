//! `pollentally sign`: adds a signature to a bundle.

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
    add_signature,
    draft_bundle,
    BundleChain,
    BundleError, //
};
use schema::{
    bundle::SignedBundle,
    SchemaError,
    SignerName, //
};
use serde::Serialize;

use crate::{
    bundle_file::{
        read_signed,
        read_validated,
        write_signed, //
    },
    cli_error::{
        CliError,
        EXIT_CODES_HELP, //
    },
    key_file::read_key,
    operator_store::{
        store_args,
        OperatorStore,
        StoreArgs, //
    },
    output::{
        print_json,
        print_line, //
    },
    runtime::block_on,
};

const HELP: &str = "Sign a bundle as the version that follows the one in force";

/// Parsed arguments of `sign`.
#[derive(Clone, Debug)]
pub(crate) struct SignArgs {
    store: StoreArgs,
    signer: String,
    key: PathBuf,
    out: PathBuf,
    json: bool,
    bundle: PathBuf,
}

/// Builds the argument parser of `sign`.
pub(crate) fn parser() -> OptionParser<SignArgs> {
    let store = store_args();
    let signer = long("signer")
        .help("Name of the signer, as in the list of signers")
        .argument("NAME");
    let key = long("key")
        .help("Private key of the signer")
        .argument("FILE");
    let out = long("out")
        .help("File for the signed bundle")
        .argument("FILE");
    let json = long("json").help("Print JSON").switch();
    let bundle =
        positional("BUNDLE").help("Bundle in YAML, or a signed bundle to add a signature to");
    construct!(SignArgs {
        store,
        signer,
        key,
        out,
        json,
        bundle
    })
    .to_options()
    .descr(HELP)
    .footer(EXIT_CODES_HELP)
}

#[derive(Serialize)]
struct SignReport {
    version: u64,
    digest: String,
    signatures: usize,
    required: u32,
}

/// Drafts the next version, or takes the signed bundle given, adds a signature and writes the file.
pub(crate) fn run(args: &SignArgs) -> Result<(), CliError> {
    let signer: SignerName = args
        .signer
        .parse()
        .map_err(|error: SchemaError| error.at("--signer", &args.signer))?;
    let key = read_key(&args.key)?;
    let store = OperatorStore::open(&args.store)?;
    let (chain, _) = block_on(store.read_chain())??;
    let mut draft = read_or_draft(&args.bundle, &chain)?;
    add_signature(&chain, &mut draft, &signer, &key).map_err(|error| match error {
        BundleError::DuplicateSigner { .. } => CliError::AlreadySigned {
            signer: signer.clone(),
        },
        other => CliError::bundle_rejected(args.bundle.display(), other),
    })?;
    write_signed(&args.out, &draft)?;
    print_report(args, &chain, &draft)
}

fn read_or_draft(path: &Path, chain: &BundleChain) -> Result<SignedBundle, CliError> {
    if let Ok(signed) = read_signed(path) {
        return Ok(signed);
    }
    let body = read_validated(path)?;
    draft_bundle(chain, &body).map_err(|error| CliError::bundle_rejected(path.display(), error))
}

fn print_report(
    args: &SignArgs,
    chain: &BundleChain,
    draft: &SignedBundle,
) -> Result<(), CliError> {
    let signers = chain
        .next_signers()
        .map_err(|error| CliError::bundle_rejected("the version in force", error))?;
    let head = draft.head.clone().unwrap_or_default();
    let report = SignReport {
        version: head.version,
        digest: head.digest,
        signatures: head.signatures.len(),
        required: signers.required,
    };
    if args.json {
        return print_json(&report);
    }
    print_line(&format!(
        "version {} ({}), {} of {} signatures: {}",
        report.version,
        short_digest(&report.digest),
        report.signatures,
        report.required,
        args.out.display()
    ))
}

fn short_digest(digest: &str) -> &str {
    digest.get(..12).unwrap_or(digest)
}
