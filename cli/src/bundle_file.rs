//! Bundle files: YAML sources, and signed bundles in their protobuf form.

use std::{
    fs,
    path::Path, //
};

use policy::bundle::{
    draft_bundle,
    BundleChain,
    BundleError,
    SignerSet, //
};
use prost::Message;
use schema::{
    bundle::{
        BundleBody,
        SignedBundle, //
    },
    locate_error,
    parse_yaml,
    DeploymentSpec, //
};

use crate::cli_error::CliError;

/// Reads a bundle in YAML and validates it with the code that the daemons use.
pub(crate) fn read_validated(path: &Path) -> Result<BundleBody, CliError> {
    let (text, body) = read_yaml(path)?;
    validate_body(path, &text, &body)?;
    Ok(body)
}

/// Reads a bundle in YAML without validating it; also returns the text.
pub(crate) fn read_yaml(path: &Path) -> Result<(String, BundleBody), CliError> {
    let text = fs::read_to_string(path).map_err(|error| CliError::file_error(path, error))?;
    let body = parse_yaml(&path.display().to_string(), &text)?;
    Ok((text, body))
}

/// Reads the body of a signed bundle, or else of a bundle in YAML.
pub(crate) fn read_body(path: &Path) -> Result<BundleBody, CliError> {
    match read_signed(path) {
        Ok(signed) => decode_signed_body(path, &signed),
        Err(_) => Ok(read_yaml(path)?.1),
    }
}

/// Reads a signed bundle without verifying its signatures.
pub(crate) fn read_signed(path: &Path) -> Result<SignedBundle, CliError> {
    let bytes = fs::read(path).map_err(|error| CliError::file_error(path, error))?;
    let signed = SignedBundle::decode(bytes.as_slice()).ok();
    let complete = signed.filter(|signed| signed.head.is_some() && !signed.body.is_empty());
    complete.ok_or_else(|| CliError::NotSigned { path: path.into() })
}

/// Writes a signed bundle and replaces the file if it exists.
pub(crate) fn write_signed(path: &Path, signed: &SignedBundle) -> Result<(), CliError> {
    let bytes = signed.encode_to_vec();
    fs::write(path, bytes).map_err(|error| CliError::file_error(path, error))
}

fn decode_signed_body(path: &Path, signed: &SignedBundle) -> Result<BundleBody, CliError> {
    let body = policy::bundle::decode_body(&signed.body);
    body.map_err(|error| CliError::bundle_rejected(path.display(), error))
}

/// Validates `body` by drafting it as a first version. Errors name file, line and field.
fn validate_body(path: &Path, text: &str, body: &BundleBody) -> Result<(), CliError> {
    let file = path.display().to_string();
    let locate = |error| CliError::Schema(locate_error(&file, text, error));
    let first_version = BundleBody {
        version: 1,
        parent: String::new(),
        ..body.clone()
    };
    let spec = DeploymentSpec::from_body(&first_version).map_err(locate)?;
    let trust = SignerSet::from_specs(&first_version.signers, first_version.signers_required)
        .map_err(locate)?;
    match draft_bundle(&BundleChain::new(spec.deployment, trust), &first_version) {
        Ok(_) => Ok(()),
        Err(BundleError::InvalidBody(error)) => Err(locate(error)),
        Err(error) => Err(CliError::bundle_rejected(file, error)),
    }
}
