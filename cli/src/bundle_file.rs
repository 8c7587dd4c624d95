//! Bundle files: YAML as it is kept in version control, and signed.

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

/// Reads a bundle in YAML and checks it with the code that the daemons use.
pub(crate) fn read_checked(path: &Path) -> Result<BundleBody, CliError> {
    let (text, body) = read_yaml(path)?;
    check_body(path, &text, &body)?;
    Ok(body)
}

/// Reads a bundle in YAML.
pub(crate) fn read_yaml(path: &Path) -> Result<(String, BundleBody), CliError> {
    let text = fs::read_to_string(path).map_err(|error| CliError::file(path, error))?;
    let body = parse_yaml(&path.display().to_string(), &text)?;
    Ok((text, body))
}

/// Reads the body of a bundle in YAML or of a signed bundle.
pub(crate) fn read_either(path: &Path) -> Result<BundleBody, CliError> {
    match read_signed(path) {
        Ok(signed) => decode_signed(path, &signed),
        Err(_) => Ok(read_yaml(path)?.1),
    }
}

/// Reads a signed bundle.
pub(crate) fn read_signed(path: &Path) -> Result<SignedBundle, CliError> {
    let bytes = fs::read(path).map_err(|error| CliError::file(path, error))?;
    let signed = SignedBundle::decode(bytes.as_slice()).ok();
    let whole = signed.filter(|signed| signed.head.is_some() && !signed.body.is_empty());
    whole.ok_or_else(|| CliError::NotSigned { path: path.into() })
}

/// Writes a signed bundle.
pub(crate) fn write_signed(path: &Path, signed: &SignedBundle) -> Result<(), CliError> {
    let bytes = signed.encode_to_vec();
    fs::write(path, bytes).map_err(|error| CliError::file(path, error))
}

fn decode_signed(path: &Path, signed: &SignedBundle) -> Result<BundleBody, CliError> {
    let body = policy::bundle::decode_body(&signed.body);
    body.map_err(|refusal| CliError::refused(path.display(), refusal))
}

/// Drafts `body` as a first version, as a daemon would meet it. Errors name file, line and field.
fn check_body(path: &Path, text: &str, body: &BundleBody) -> Result<(), CliError> {
    let file = path.display().to_string();
    let located = |error| CliError::Schema(locate_error(&file, text, error));
    let first = BundleBody {
        version: 1,
        parent: String::new(),
        ..body.clone()
    };
    let spec = DeploymentSpec::from_body(&first).map_err(located)?;
    let trust = SignerSet::from_specs(&first.signers, first.signers_required).map_err(located)?;
    match draft_bundle(&BundleChain::new(spec.deployment, trust), &first) {
        Ok(_) => Ok(()),
        Err(BundleError::InvalidBody(error)) => Err(located(error)),
        Err(refusal) => Err(CliError::refused(file, refusal)),
    }
}
