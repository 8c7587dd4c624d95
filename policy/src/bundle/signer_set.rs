//! Signers of a bundle version.

use ed25519_dalek::VerifyingKey;
use schema::{
    bundle::{
        SignatureEntry,
        SignerSpec, //
    },
    settings::TrustSettings,
    BundleDigest,
    SchemaError,
    SignerName, //
};

use super::{
    verify_signature,
    BundleError, //
};

/// The signers that may sign a version, and how many of them must.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SignerSet {
    /// Names and ed25519 public keys.
    pub signers: Vec<(SignerName, [u8; 32])>,
    /// Number of distinct signers required.
    pub required: u32,
}

impl SignerSet {
    /// Validates the signers listed in a bundle or a signer rotation.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] for an invalid or duplicate name or key, and for a number of
    /// signatures that is 0 or exceeds the number of signers.
    pub fn from_specs(specs: &[SignerSpec], required: u32) -> Result<Self, SchemaError> {
        let mut signers: Vec<(SignerName, [u8; 32])> = Vec::new();
        for (index, spec) in specs.iter().enumerate() {
            let field = format!("signers[{index}]");
            let name: SignerName = spec
                .name
                .parse()
                .map_err(|error: SchemaError| error.at(&field, &spec.name))?;
            let key = parse_public_key(&field, &spec.key)?;
            if signers
                .iter()
                .any(|listed| listed.0 == name || listed.1 == key)
            {
                return Err(SchemaError::bad_field(
                    field,
                    name,
                    "a name and a key that no other signer has",
                ));
            }
            signers.push((name, key));
        }
        if required == 0 || required as usize > signers.len() {
            return Err(SchemaError::bad_field(
                "required",
                required,
                "1 to the number of signers",
            ));
        }
        Ok(Self { signers, required })
    }

    /// Validates the signers listed in a daemon's settings.
    ///
    /// # Errors
    ///
    /// As [`SignerSet::from_specs`].
    pub fn from_settings(settings: &TrustSettings) -> Result<Self, SchemaError> {
        let mut specs = Vec::new();
        for signer in &settings.signers {
            specs.push(SignerSpec {
                name: signer.name.clone(),
                key: signer.key.clone(),
            });
        }
        Self::from_specs(&specs, settings.required)
    }

    /// Whether both sets have the same signers, in any order, and require the same number of
    /// signatures.
    pub fn matches(&self, other: &Self) -> bool {
        let sorted = |set: &Self| {
            let mut signers = set.signers.clone();
            signers.sort();
            signers
        };
        self.required == other.required && sorted(self) == sorted(other)
    }

    /// The public key listed for `signer`.
    pub fn key(&self, signer: &str) -> Option<&[u8; 32]> {
        let listed = self
            .signers
            .iter()
            .find(|listed| listed.0.as_str() == signer);
        listed.map(|(_, key)| key)
    }

    /// Checks that enough distinct signers have signed `digest`, and that every signature is valid.
    ///
    /// # Errors
    ///
    /// A [`BundleError`] that names the invalid signature or the number of signatures found.
    pub fn check_signatures(
        &self,
        digest: &BundleDigest,
        signatures: &[SignatureEntry],
    ) -> Result<(), BundleError> {
        let mut checked: Vec<&str> = Vec::new();
        for entry in signatures {
            let signer = entry.signer.clone();
            if checked.contains(&entry.signer.as_str()) {
                return Err(BundleError::DuplicateSigner { signer });
            }
            let Some(key) = self.key(&entry.signer) else {
                return Err(BundleError::UnknownSigner { signer });
            };
            if !verify_signature(key, digest, &entry.signature) {
                return Err(BundleError::InvalidSignature { signer });
            }
            checked.push(&entry.signer);
        }
        let found = checked.len() as u32;
        if found < self.required {
            return Err(BundleError::TooFewSignatures {
                required: self.required,
                found,
            });
        }
        Ok(())
    }
}

fn parse_public_key(field: &str, text: &str) -> Result<[u8; 32], SchemaError> {
    let invalid_key = || SchemaError::bad_field(field, text, "hex of an ed25519 public key");
    let mut key = [0; 32];
    hex::decode_to_slice(text, &mut key).map_err(|_| invalid_key())?;
    VerifyingKey::from_bytes(&key).map_err(|_| invalid_key())?;
    Ok(key)
}
