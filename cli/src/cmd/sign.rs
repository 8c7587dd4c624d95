//! `pollentally sign`.

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
        read_checked,
        read_signed,
        write_signed, //
    },
    cli_error::{
        CliError,
        EXIT_CODES, //
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

const HELP: &str = "Sign a bundle as the version after the one in force";

/// Arguments of `sign`.
#[derive(Clone, Debug)]
pub(crate) struct SignArgs {
    store: StoreArgs,
    signer: String,
    key: PathBuf,
    out: PathBuf,
    json: bool,
    bundle: PathBuf,
}

/// The parser of `sign`.
pub(crate) fn parser() -> OptionParser<SignArgs> {
    let store = store_args();
    let signer = long("signer")
        .help("Your name as a signer")
        .argument("NAME");
    let key = long("key").help("Your private key").argument("FILE");
    let out = long("out")
        .help("File for the signed bundle")
        .argument("FILE");
    let json = long("json").help("Print JSON").switch();
    let bundle = positional("BUNDLE").help("Bundle in YAML, or signed by others already");
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
    .footer(EXIT_CODES)
}

#[derive(Serialize)]
struct SignReport {
    version: u64,
    digest: String,
    signatures: usize,
    required: u32,
}

/// Drafts the next version unless others have, adds a signature and writes the file.
pub(crate) fn run(args: &SignArgs) -> Result<(), CliError> {
    let signer: SignerName = args
        .signer
        .parse()
        .map_err(|error: SchemaError| error.at("--signer", &args.signer))?;
    let key = read_key(&args.key)?;
    let store = OperatorStore::open(&args.store)?;
    let (chain, _) = block_on(store.chain())??;
    let mut draft = draft_of(&args.bundle, &chain)?;
    add_signature(&chain, &mut draft, &signer, &key).map_err(|refusal| match refusal {
        BundleError::DuplicateSigner { .. } => CliError::SignedAlready {
            signer: signer.clone(),
        },
        other => CliError::refused(args.bundle.display(), other),
    })?;
    write_signed(&args.out, &draft)?;
    report(args, &chain, &draft)
}

fn draft_of(path: &Path, chain: &BundleChain) -> Result<SignedBundle, CliError> {
    if let Ok(signed) = read_signed(path) {
        return Ok(signed);
    }
    let body = read_checked(path)?;
    draft_bundle(chain, &body).map_err(|refusal| CliError::refused(path.display(), refusal))
}

fn report(args: &SignArgs, chain: &BundleChain, draft: &SignedBundle) -> Result<(), CliError> {
    let signers = chain
        .next_signers()
        .map_err(|refusal| CliError::refused("the version in force", refusal))?;
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
        short(&report.digest),
        report.signatures,
        report.required,
        args.out.display()
    ))
}

fn short(digest: &str) -> &str {
    digest.get(..12).unwrap_or(digest)
}
