//! The bundle version in force, and the checks for its successors.

use std::sync::Arc;

use schema::{
    bundle::{
        BundleBody,
        BundleHead,
        SignedBundle, //
    },
    BundleDigest,
    BundleVersion,
    DeploymentName,
    DeploymentSpec, //
};

use super::{
    bundle_bytes::rotation_digest,
    decode_body,
    statement_digest,
    ActiveBundle,
    BundleError,
    SignerSet, //
};

/// The result of offering a valid bundle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The bundle was put in force.
    Accepted,
    /// The bundle was already in force.
    Unchanged,
}

/// The bundle version in force of one deployment, which only a higher version can replace.
///
/// A version must be signed by the signers that its predecessor names. If versions were missed, the
/// signer rotations between are proved by the signed entries in the head. A daemon without state
/// starts from the signers in its settings.
#[derive(Clone, Debug)]
pub struct BundleChain {
    deployment: DeploymentName,
    initial_signers: SignerSet,
    in_force: Option<Arc<ActiveBundle>>,
}

impl BundleChain {
    /// Creates a chain with no version in force, which trusts `initial_signers`.
    pub fn new(deployment: DeploymentName, initial_signers: SignerSet) -> Self {
        Self {
            deployment,
            initial_signers,
            in_force: None,
        }
    }

    /// The signers trusted while no version is in force.
    pub fn initial_signers(&self) -> &SignerSet {
        &self.initial_signers
    }

    /// The version in force; `None` until the first one is accepted.
    pub fn in_force(&self) -> Option<&Arc<ActiveBundle>> {
        self.in_force.as_ref()
    }

    /// The number of the version in force; 0 if there is none.
    pub fn version(&self) -> BundleVersion {
        let bundle = self.in_force.as_ref();
        bundle.map_or(BundleVersion(0), |bundle| bundle.spec.version)
    }

    /// Puts `signed` in force if it is valid and higher than the version in force.
    ///
    /// # Errors
    ///
    /// The reason why the bundle must not take effect; the version in force stays.
    pub fn offer(&mut self, signed: &SignedBundle) -> Result<OfferOutcome, BundleError> {
        let head = signed.head.as_ref().ok_or(BundleError::HeadMissing)?;
        self.check_order(head)?;
        let digest = check_digest(head, &signed.body)?;
        if self.is_in_force(&digest) {
            return Ok(OfferOutcome::Unchanged);
        }
        let body = decode_body(&signed.body)?;
        check_head(head, &body)?;
        let signers = self.expected_signers(head)?;
        signers.check_signatures(&statement_digest(head, &body), &head.signatures)?;
        let spec = DeploymentSpec::from_body(&body)?;
        SignerSet::from_specs(&body.signers, body.signers_required)?;
        self.in_force = Some(Arc::new(ActiveBundle {
            spec,
            digest,
            signed: signed.clone(),
        }));
        Ok(OfferOutcome::Accepted)
    }

    /// Whether `version` is higher than the version in force and thus worth fetching.
    pub fn is_newer(&self, version: BundleVersion) -> bool {
        version > self.version()
    }

    /// The signers that must sign the successor of the version in force.
    ///
    /// # Errors
    ///
    /// [`BundleError::InvalidBody`] if the version in force names none.
    pub fn next_signers(&self) -> Result<SignerSet, BundleError> {
        let Some(bundle) = &self.in_force else {
            return Ok(self.initial_signers.clone());
        };
        Ok(SignerSet {
            signers: bundle.spec.signers.clone(),
            required: bundle.spec.signers_required,
        })
    }

    fn is_in_force(&self, digest: &BundleDigest) -> bool {
        let bundle = self.in_force.as_ref();
        bundle.is_some_and(|bundle| bundle.digest == *digest)
    }

    fn check_order(&self, head: &BundleHead) -> Result<(), BundleError> {
        if head.deployment != self.deployment.as_str() {
            return Err(BundleError::DeploymentMismatch {
                expected: self.deployment.to_string(),
                found: head.deployment.clone(),
            });
        }
        let Some(bundle) = &self.in_force else {
            return Ok(());
        };
        let offered = BundleVersion(head.version);
        if offered < bundle.spec.version {
            return Err(BundleError::LowerVersion {
                in_force: bundle.spec.version,
                offered,
            });
        }
        let expected = bundle.digest.to_string();
        if offered == bundle.spec.version && head.digest != expected {
            return Err(BundleError::VersionConflict {
                version: offered,
                in_force: bundle.digest,
                offered: head.digest.parse()?,
            });
        }
        let is_successor = offered.0 == bundle.spec.version.0 + 1;
        if is_successor && head.parent != expected {
            return Err(BundleError::ParentMismatch {
                expected,
                found: head.parent.clone(),
            });
        }
        Ok(())
    }

    /// The signers that must have signed `head`, found by verifying its signer rotations from the
    /// first one that this daemon does not know.
    fn expected_signers(&self, head: &BundleHead) -> Result<SignerSet, BundleError> {
        let mut signers = self.next_signers()?;
        let mut last_version = self.version().0;
        let first = self.first_unknown_rotation(head)?;
        for entry in head.rotations.iter().skip(first) {
            if entry.version <= last_version || entry.version >= head.version {
                return Err(BundleError::RotationOrder {
                    version: BundleVersion(entry.version),
                });
            }
            signers
                .check_signatures(&rotation_digest(&head.deployment, entry), &entry.signatures)?;
            signers = SignerSet::from_specs(&entry.signers, entry.signers_required)?;
            last_version = entry.version;
        }
        Ok(signers)
    }

    /// The index of the first signer rotation to verify: the first after the version in force, or,
    /// if none is in force, the first after the last rotation to the signers in the settings.
    fn first_unknown_rotation(&self, head: &BundleHead) -> Result<usize, BundleError> {
        let mut first = 0;
        for (index, entry) in head.rotations.iter().enumerate() {
            let is_known = match &self.in_force {
                Some(bundle) => entry.version <= bundle.spec.version.0,
                None => SignerSet::from_specs(&entry.signers, entry.signers_required)?
                    .matches(&self.initial_signers),
            };
            if is_known {
                first = index + 1;
            }
        }
        Ok(first)
    }
}

fn check_digest(head: &BundleHead, body: &[u8]) -> Result<BundleDigest, BundleError> {
    let digest = BundleDigest::of(body);
    if head.digest != digest.to_string() {
        return Err(BundleError::DigestMismatch {
            head: head.digest.clone(),
            body: digest,
        });
    }
    Ok(digest)
}

fn check_head(head: &BundleHead, body: &BundleBody) -> Result<(), BundleError> {
    let fields = [
        ("deployment", head.deployment == body.deployment),
        ("version", head.version == body.version),
        ("parent", head.parent == body.parent),
    ];
    for (field, is_equal) in fields {
        if !is_equal {
            return Err(BundleError::HeadMismatch { field });
        }
    }
    Ok(())
}
