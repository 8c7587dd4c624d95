//! Canonical encoding, digests and signatures of bundles.

use ed25519_dalek::{
    Signature,
    Signer,
    SigningKey,
    VerifyingKey, //
};
use prost::Message;
use schema::{
    bundle::{
        BundleBody,
        BundleHead,
        RotationEntry,
        StatementBody, //
    },
    BundleDigest, //
};

use super::{
    BundleError,
    BODY_MAX_BYTES, //
};

/// Domain separator of the signed digest, so that a signature made for another purpose is not valid
/// for a bundle.
const STATEMENT_PREFIX: &[u8] = b"pollentally bundle statement 1\0";

/// Encodes `body` canonically: as protobuf, with fields in the order of their numbers.
pub fn canonical_bytes(body: &BundleBody) -> Vec<u8> {
    body.encode_to_vec()
}

/// Decodes the canonical encoding of a body.
///
/// # Errors
///
/// [`BundleError::TooLarge`], or [`BundleError::NotCanonical`] if the bytes do not decode or differ
/// from the canonical encoding of the decoded body.
pub fn decode_body(bytes: &[u8]) -> Result<BundleBody, BundleError> {
    if bytes.len() > BODY_MAX_BYTES {
        return Err(BundleError::TooLarge {
            bytes: bytes.len(),
            max: BODY_MAX_BYTES,
        });
    }
    let body = BundleBody::decode(bytes).map_err(|_| BundleError::NotCanonical)?;
    if canonical_bytes(&body) != bytes {
        return Err(BundleError::NotCanonical);
    }
    Ok(body)
}

/// Computes the digest that the signers of a version sign. It covers the fields of the head, and
/// the signers that the body names for the next version.
pub fn statement_digest(head: &BundleHead, body: &BundleBody) -> BundleDigest {
    digest_of(StatementBody {
        deployment: head.deployment.clone(),
        version: head.version,
        digest: head.digest.clone(),
        parent: head.parent.clone(),
        signers: body.signers.clone(),
        signers_required: body.signers_required,
    })
}

/// Computes the digest that the signers of an earlier version signed, from the entry of its signer
/// rotation, without the body.
pub(super) fn rotation_digest(deployment: &str, entry: &RotationEntry) -> BundleDigest {
    digest_of(StatementBody {
        deployment: deployment.into(),
        version: entry.version,
        digest: entry.digest.clone(),
        parent: entry.parent.clone(),
        signers: entry.signers.clone(),
        signers_required: entry.signers_required,
    })
}

/// Signs a digest and returns the signature in hex.
pub fn sign_digest(key: &SigningKey, digest: &BundleDigest) -> String {
    hex::encode(key.sign(&digest.0).to_bytes())
}

/// Whether `signature`, in hex, is a valid signature of `digest` by the public key `key`.
pub fn verify_signature(key: &[u8; 32], digest: &BundleDigest, signature: &str) -> bool {
    let mut bytes = [0; 64];
    if hex::decode_to_slice(signature, &mut bytes).is_err() {
        return false;
    }
    let Ok(key) = VerifyingKey::from_bytes(key) else {
        return false;
    };
    key.verify_strict(&digest.0, &Signature::from_bytes(&bytes))
        .is_ok()
}

fn digest_of(statement: StatementBody) -> BundleDigest {
    let mut bytes = STATEMENT_PREFIX.to_vec();
    bytes.extend(statement.encode_to_vec());
    BundleDigest::of(&bytes)
}
