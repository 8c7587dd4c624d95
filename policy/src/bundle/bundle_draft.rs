//! Drafting and signing of bundles by operators, and the outcome of accepting one.

use ed25519_dalek::SigningKey;
use schema::{
    bundle::{
        BundleBody,
        BundleHead,
        RotationEntry,
        SignatureEntry,
        SignedBundle, //
    },
    BundleDigest,
    BundleVersion,
    DeploymentSpec,
    SignerName, //
};

use super::{
    canonical_bytes,
    decode_body,
    sign_digest,
    split_parts,
    statement_digest,
    BundleChain,
    BundleError,
    SignerSet, //
};

/// The outcome of the compare-and-swap of a head, as concluded from a later read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AcceptOutcome {
    /// The head is the one offered.
    Accepted,
    /// The write took effect, and this version has succeeded it.
    Followed(BundleVersion),
    /// The write has not taken effect: the head is still the one that it was to replace.
    NotWritten,
    /// Another head was written instead; this is its version.
    Conflict(BundleVersion),
    /// The head is this version, more than one higher, so that it does not show whether the write
    /// took effect before.
    Indeterminate(BundleVersion),
}

/// Drafts the unsigned successor of the version in force in `chain`.
///
/// A version of 0 and an empty parent are filled in. If the version in force rotated the signers,
/// the proof of that rotation is added to the head.
///
/// # Errors
///
/// [`BundleError::VersionGap`] or [`BundleError::ParentMismatch`] if the body names another version
/// or parent, and [`BundleError::InvalidBody`] with the invalid field.
pub fn draft_bundle(chain: &BundleChain, body: &BundleBody) -> Result<SignedBundle, BundleError> {
    let mut body = body.clone();
    set_version_and_parent(chain, &mut body)?;
    DeploymentSpec::from_body(&body)?;
    SignerSet::from_specs(&body.signers, body.signers_required)?;
    let bytes = canonical_bytes(&body);
    decode_body(&bytes)?;
    let parts = split_parts(&bytes).into_iter().map(|(entry, _)| entry);
    let head = BundleHead {
        deployment: body.deployment.clone(),
        version: body.version,
        digest: BundleDigest::of(&bytes).to_string(),
        parent: body.parent.clone(),
        signatures: Vec::new(),
        rotations: collect_rotations(chain)?,
        parts: parts.collect(),
    };
    Ok(SignedBundle {
        head: Some(head),
        body: bytes,
    })
}

/// Adds the signature of `signer` to a draft that succeeds the version in force in `chain`.
///
/// # Errors
///
/// [`BundleError::UnknownSigner`], [`BundleError::WrongKey`], [`BundleError::DuplicateSigner`], and
/// the errors of a draft that does not decode.
pub fn add_signature(
    chain: &BundleChain,
    draft: &mut SignedBundle,
    signer: &SignerName,
    key: &SigningKey,
) -> Result<(), BundleError> {
    let signers = chain.next_signers()?;
    let body = decode_body(&draft.body)?;
    let head = draft.head.as_mut().ok_or(BundleError::HeadMissing)?;
    let Some(listed) = signers.key(signer.as_str()) else {
        return Err(BundleError::UnknownSigner {
            signer: signer.to_string(),
        });
    };
    if *listed != key.verifying_key().to_bytes() {
        return Err(BundleError::WrongKey {
            signer: signer.clone(),
        });
    }
    let mut signed = head.signatures.iter();
    if signed.any(|entry| entry.signer == signer.as_str()) {
        return Err(BundleError::DuplicateSigner {
            signer: signer.to_string(),
        });
    }
    let digest = statement_digest(head, &body);
    head.signatures.push(SignatureEntry {
        signer: signer.to_string(),
        signature: sign_digest(key, &digest),
    });
    Ok(())
}

/// Concludes the outcome of a compare-and-swap to `offered`, whose reply was lost or reported
/// another head, from the head `found` in the store since then.
pub fn resolve_accept(offered: &BundleHead, found: Option<&BundleHead>) -> AcceptOutcome {
    let Some(found) = found else {
        return AcceptOutcome::NotWritten;
    };
    let version = BundleVersion(found.version);
    if found.digest == offered.digest {
        return AcceptOutcome::Accepted;
    }
    if found.version < offered.version {
        return if found.digest == offered.parent {
            AcceptOutcome::NotWritten
        } else {
            AcceptOutcome::Conflict(version)
        };
    }
    if found.version == offered.version {
        return AcceptOutcome::Conflict(version);
    }
    if found.version > offered.version + 1 {
        return AcceptOutcome::Indeterminate(version);
    }
    if found.parent == offered.digest {
        AcceptOutcome::Followed(version)
    } else {
        AcceptOutcome::Conflict(version)
    }
}

fn set_version_and_parent(chain: &BundleChain, body: &mut BundleBody) -> Result<(), BundleError> {
    let next_version = chain.version().0 + 1;
    if body.version == 0 {
        body.version = next_version;
    }
    if body.version != next_version {
        return Err(BundleError::VersionGap {
            expected: BundleVersion(next_version),
            found: BundleVersion(body.version),
        });
    }
    let bundle = chain.in_force();
    let parent = bundle.map_or_else(String::new, |bundle| bundle.digest.to_string());
    if body.parent.is_empty() {
        body.parent = parent.clone();
    }
    if body.parent != parent {
        return Err(BundleError::ParentMismatch {
            expected: parent,
            found: body.parent.clone(),
        });
    }
    Ok(())
}

/// The signer rotations up to and including that of the version in force.
fn collect_rotations(chain: &BundleChain) -> Result<Vec<RotationEntry>, BundleError> {
    let Some(bundle) = chain.in_force() else {
        return Ok(Vec::new());
    };
    let head = bundle.signed.head.as_ref();
    let head = head.ok_or(BundleError::HeadMissing)?;
    let mut rotations = head.rotations.clone();
    let signers = chain.next_signers()?;
    let previous_signers = match rotations.last() {
        Some(entry) => SignerSet::from_specs(&entry.signers, entry.signers_required)?,
        None => chain.initial_signers().clone(),
    };
    if signers.matches(&previous_signers) {
        return Ok(rotations);
    }
    let body = decode_body(&bundle.signed.body)?;
    rotations.push(RotationEntry {
        version: head.version,
        signers: body.signers,
        signers_required: body.signers_required,
        signatures: head.signatures.clone(),
        digest: head.digest.clone(),
        parent: head.parent.clone(),
    });
    Ok(rotations)
}
