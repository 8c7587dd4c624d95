//! Errors of bundles that are not accepted.

use schema::{
    BundleDigest,
    BundleVersion,
    SchemaError,
    SignerName, //
};
use thiserror::Error;

/// The reason why a bundle must not take effect.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum BundleError {
    /// The message does not contain a head.
    #[error("the bundle has no head")]
    HeadMissing,
    /// The bundle belongs to another deployment.
    #[error("the bundle is for deployment {found}, expected {expected}")]
    DeploymentMismatch {
        /// Deployment that this chain belongs to.
        expected: String,
        /// Deployment that the bundle names.
        found: String,
    },
    /// The version is lower than the one in force.
    #[error("version {offered} is lower than version {in_force}, which is in force")]
    LowerVersion {
        /// Version that is in force.
        in_force: BundleVersion,
        /// Version of the bundle offered.
        offered: BundleVersion,
    },
    /// The version is in force with different contents.
    #[error(
        "version {version} is in force with digest {in_force}; digest {offered} can't replace it"
    )]
    VersionConflict {
        /// Version that is in force and offered.
        version: BundleVersion,
        /// Digest of the bundle in force.
        in_force: BundleDigest,
        /// Digest of the bundle offered.
        offered: BundleDigest,
    },
    /// The bundle directly succeeds the version in force, but names another parent.
    #[error("the bundle names parent {found}, but the previous version has digest {expected}")]
    ParentMismatch {
        /// Digest of the previous version.
        expected: String,
        /// Parent that the bundle names.
        found: String,
    },
    /// The version is not the one after the version in force.
    #[error("the bundle has version {found}, the next one is {expected}")]
    VersionGap {
        /// Version after the one in force.
        expected: BundleVersion,
        /// Version that the bundle names.
        found: BundleVersion,
    },
    /// The digest in the head differs from that of the body.
    #[error("the head names digest {head}, but the body has digest {body}")]
    DigestMismatch {
        /// Digest that the head names.
        head: String,
        /// Digest of the bytes of the body.
        body: BundleDigest,
    },
    /// A field has different values in the head and the body.
    #[error("head and body have different values for {field}")]
    HeadMismatch {
        /// Name of the field.
        field: &'static str,
    },
    /// The bytes of the body do not decode, or are not the canonical encoding of the decoded body.
    #[error("the body is not in the canonical encoding")]
    NotCanonical,
    /// The body exceeds the maximum size.
    #[error("the body has {bytes} bytes, more than the maximum of {max}")]
    TooLarge {
        /// Size of the body, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        max: usize,
    },
    /// A part is missing, or its digest or size differs from its entry in the head.
    #[error("part {index} is missing or does not match its entry in the head")]
    PartMismatch {
        /// Index of the part in the head, from 0.
        index: usize,
    },
    /// Fewer distinct signers have signed than the previous version requires.
    #[error("the bundle has {found} of {required} signatures")]
    TooFewSignatures {
        /// Number of distinct signers required.
        required: u32,
        /// Number of valid signatures found.
        found: u32,
    },
    /// A signer is not listed in the previous version.
    #[error("{signer} may not sign this version")]
    UnknownSigner {
        /// The signer.
        signer: String,
    },
    /// A signer has signed more than once.
    #[error("{signer} signed twice")]
    DuplicateSigner {
        /// The signer.
        signer: String,
    },
    /// A signature is not valid for the digest and the key of its signer.
    #[error("the signature of {signer} is invalid")]
    InvalidSignature {
        /// The signer.
        signer: String,
    },
    /// The key for signing is not the one listed for the signer.
    #[error("the key is not the one listed for {signer}")]
    WrongKey {
        /// The signer.
        signer: SignerName,
    },
    /// The signer rotations in the head are not in order of their versions.
    #[error("the signer rotation of version {version} is out of order")]
    RotationOrder {
        /// Version of the rotation.
        version: BundleVersion,
    },
    /// The body has an invalid field, so that no daemon could apply it.
    #[error("the bundle is invalid: {0}")]
    InvalidBody(#[from] SchemaError),
}
