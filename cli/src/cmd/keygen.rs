//! `pollentally keygen`: generates a signing key.

use std::path::PathBuf;

use bpaf::{
    construct,
    long,
    positional,
    OptionParser,
    Parser, //
};
use ed25519_dalek::SigningKey;
use rand::{
    rngs::OsRng,
    TryRngCore, //
};
use schema::{
    bundle::SignerSpec,
    SchemaError,
    SignerName, //
};

use crate::{
    cli_error::{
        CliError,
        EXIT_CODES_HELP, //
    },
    key_file::write_key,
    output::{
        print_json,
        print_line, //
    },
};

const HELP: &str = "Generate a key pair for signing bundles";

/// Parsed arguments of `keygen`.
#[derive(Clone, Debug)]
pub(crate) struct KeygenArgs {
    json: bool,
    out: PathBuf,
    signer: String,
}

/// Builds the argument parser of `keygen`.
pub(crate) fn parser() -> OptionParser<KeygenArgs> {
    let json = long("json").help("Print JSON").switch();
    let out = long("out")
        .help("New file for the private key, readable by its owner only")
        .argument("FILE");
    let signer = positional("SIGNER").help("Name of the signer");
    construct!(KeygenArgs { json, out, signer })
        .to_options()
        .descr(HELP)
        .footer(EXIT_CODES_HELP)
}

/// Writes the private key and prints the public key as an entry of the bundle's `signers` list.
pub(crate) fn run(args: &KeygenArgs) -> Result<(), CliError> {
    let signer: SignerName = args
        .signer
        .parse()
        .map_err(|error: SchemaError| error.at("SIGNER", &args.signer))?;
    let mut seed = [0; 32];
    OsRng
        .try_fill_bytes(&mut seed)
        .map_err(std::io::Error::other)?;
    let key = SigningKey::from_bytes(&seed);
    write_key(&args.out, &key)?;
    let spec = SignerSpec {
        name: signer.to_string(),
        key: hex::encode(key.verifying_key().to_bytes()),
    };
    if args.json {
        return print_json(&spec);
    }
    print_line("signers:")?;
    print_line(&format!("  - name: {}", spec.name))?;
    print_line(&format!("    key: \"{}\"", spec.key))
}
