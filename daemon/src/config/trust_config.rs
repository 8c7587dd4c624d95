//! Signers of the first bundle.

use schema::{
    settings::TrustSettings,
    SchemaError,
    SignerName, //
};

use super::parse_name;

/// Signers that a daemon trusts until it has a bundle.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TrustConfig {
    /// Names and ed25519 public keys.
    pub signers: Vec<(SignerName, [u8; 32])>,
    /// Number of different signers that must have signed the bundle.
    pub required: u32,
}

impl TrustConfig {
    /// Converts the settings as parsed from the file.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] for an invalid name or key, or for a `required` of 0 or above the
    /// number of signers.
    pub fn from_settings(settings: &TrustSettings) -> Result<Self, SchemaError> {
        let mut signers = Vec::new();
        for (index, signer) in settings.signers.iter().enumerate() {
            let name = parse_name(&format!("trust.signers[{index}].name"), &signer.name)?;
            let field = format!("trust.signers[{index}].key");
            signers.push((name, parse_key(&field, &signer.key)?));
        }
        if settings.required == 0 || settings.required as usize > signers.len() {
            return Err(SchemaError::bad_field(
                "trust.required",
                settings.required,
                "1 to the number of signers",
            ));
        }
        Ok(Self {
            signers,
            required: settings.required,
        })
    }
}

/// Parses a 32-byte key in hex.
pub(super) fn parse_key(field: &str, text: &str) -> Result<[u8; 32], SchemaError> {
    let mut key = [0; 32];
    hex::decode_to_slice(text, &mut key)
        .map_err(|_| SchemaError::bad_field(field, text, "64 characters of hex"))?;
    Ok(key)
}
