//! Which bundles a chain puts in force, and which it rejects.

#![allow(clippy::expect_used)]

mod bundle_kit;

use bundle_kit::{
    body,
    key,
    name,
    sign_with,
    signer,
    signer_set, //
};
use policy::bundle::{
    add_signature,
    draft_bundle,
    BundleChain,
    BundleError,
    OfferOutcome, //
};
use schema::{
    bundle::{
        BundleBody,
        BundleHead,
        SignedBundle, //
    },
    BundleVersion, //
};

fn chain() -> BundleChain {
    BundleChain::new(name("trust"), signer_set(&["ana", "bo"], 2))
}

fn accept_next(
    chain: &mut BundleChain,
    names: &[&str],
    edit: impl Fn(&mut BundleBody),
) -> SignedBundle {
    let signed = sign_with(chain, names, edit);
    assert_eq!(chain.offer(&signed), Ok(OfferOutcome::Accepted));
    signed
}

fn head(signed: &mut SignedBundle) -> &mut BundleHead {
    signed.head.as_mut().expect("head")
}

#[test]
fn lower_version_is_rejected_and_same_version_is_unchanged() {
    let mut chain = chain();
    assert!(chain.in_force().is_none());
    let first = accept_next(&mut chain, &["ana", "bo"], |_| {});
    let second = accept_next(&mut chain, &["bo", "ana"], |body| body.daemons = 5);
    assert_eq!(chain.version(), BundleVersion(2));
    assert_eq!(chain.offer(&second), Ok(OfferOutcome::Unchanged));
    let result = chain.offer(&first);
    assert!(matches!(result, Err(BundleError::LowerVersion { .. })));
    assert_eq!(chain.in_force().expect("in force").spec.daemons, 5);
}

type Edit = fn(&mut SignedBundle);
type Check = fn(&BundleError) -> bool;

const FORGERIES: &[(&str, Edit, Check)] = &[
    (
        "no head",
        |signed| signed.head = None,
        |error| matches!(error, BundleError::HeadMissing),
    ),
    (
        "other deployment",
        |signed| head(signed).deployment = "hajtas".into(),
        |error| matches!(error, BundleError::DeploymentMismatch { .. }),
    ),
    (
        "body changed",
        |signed| signed.body[3] ^= 1,
        |error| matches!(error, BundleError::DigestMismatch { .. }),
    ),
    (
        "body with bytes added",
        |signed| {
            signed.body.extend([0xf8, 0x07, 0x01]);
            let digest = schema::BundleDigest::of(&signed.body);
            head(signed).digest = digest.to_string();
        },
        |error| matches!(error, BundleError::NotCanonical),
    ),
    (
        "version raised in the head",
        |signed| head(signed).version = 9,
        |error| matches!(error, BundleError::HeadMismatch { field: "version" }),
    ),
    (
        "other parent",
        |signed| head(signed).parent = "00".repeat(32),
        |error| matches!(error, BundleError::ParentMismatch { .. }),
    ),
    (
        "one signature of two",
        |signed| head(signed).signatures.truncate(1),
        |error| matches!(error, BundleError::TooFewSignatures { found: 1, .. }),
    ),
    (
        "one signer twice",
        |signed| head(signed).signatures[1] = head(signed).signatures[0].clone(),
        |error| matches!(error, BundleError::DuplicateSigner { .. }),
    ),
    (
        "unknown signer",
        |signed| head(signed).signatures[1].signer = "eve".into(),
        |error| matches!(error, BundleError::UnknownSigner { .. }),
    ),
    (
        "signature damaged",
        |signed| {
            head(signed).signatures[1]
                .signature
                .replace_range(0..2, "zz")
        },
        |error| matches!(error, BundleError::InvalidSignature { .. }),
    ),
    (
        "signature of the other signer",
        |signed| {
            head(signed).signatures[1].signature = head(signed).signatures[0].signature.clone()
        },
        |error| matches!(error, BundleError::InvalidSignature { .. }),
    ),
];

#[test]
fn forged_bundles_are_rejected() {
    for (label, edit, check) in FORGERIES {
        let mut chain = chain();
        accept_next(&mut chain, &["ana", "bo"], |_| {});
        let mut forged = sign_with(&chain, &["ana", "bo"], |body| body.daemons = 7);
        edit(&mut forged);
        let error = chain.offer(&forged).expect_err(label);
        assert!(check(&error), "{label}: {error}");
        assert_eq!(chain.version(), BundleVersion(1), "{label}");
    }
}

#[test]
fn invalid_body_is_rejected_by_draft_and_chain() {
    let mut chain = chain();
    let mut invalid = body();
    invalid.groups[0].connections = 3;
    let draft = draft_bundle(&chain, &invalid).expect_err("command");
    assert!(matches!(draft, BundleError::InvalidBody(_)));
    // The same body signed, as if the command line had not checked it.
    invalid.version = 1;
    let bytes = policy::bundle::canonical_bytes(&invalid);
    let mut signed = sign_with(&chain, &[], |_| {});
    head(&mut signed).digest = schema::BundleDigest::of(&bytes).to_string();
    signed.body = bytes;
    for signer in ["ana", "bo"] {
        add_signature(&chain, &mut signed, &name(signer), &key(signer)).expect("signature");
    }
    let error = chain.offer(&signed).expect_err("daemon");
    assert_eq!(error, draft);
    assert!(chain.in_force().is_none());
}

#[test]
fn same_version_with_different_contents_is_rejected() {
    let mut chain = chain();
    let empty_chain = chain.clone();
    accept_next(&mut chain, &["ana", "bo"], |_| {});
    let conflicting = sign_with(&empty_chain, &["ana", "bo"], |body| body.daemons = 3);
    let error = chain.offer(&conflicting).expect_err("conflicting");
    assert!(matches!(error, BundleError::VersionConflict { .. }));
}

/// Versions 1 to 5, with signer rotations at 2 and 4.
fn chain_with_rotations() -> (BundleChain, Vec<SignedBundle>) {
    let mut chain = chain();
    let mut versions = vec![accept_next(&mut chain, &["ana", "bo"], |_| {})];
    let second = |body: &mut BundleBody| {
        body.signers = vec![signer("bo"), signer("cy")];
    };
    versions.push(accept_next(&mut chain, &["ana", "bo"], second));
    versions.push(accept_next(&mut chain, &["bo", "cy"], second));
    let fourth = |body: &mut BundleBody| {
        body.signers = vec![signer("cy"), signer("di"), signer("eli")];
        body.signers_required = 3;
    };
    versions.push(accept_next(&mut chain, &["bo", "cy"], fourth));
    versions.push(accept_next(&mut chain, &["cy", "di", "eli"], fourth));
    (chain, versions)
}

#[test]
fn daemon_without_state_follows_signer_rotations() {
    let (_, versions) = chain_with_rotations();
    for signed in &versions {
        let mut stateless = chain();
        assert_eq!(stateless.offer(signed), Ok(OfferOutcome::Accepted));
    }
    // Settings that name the signers of version 2 already, in another order.
    let mut stateless = BundleChain::new(name("trust"), signer_set(&["cy", "bo"], 2));
    assert_eq!(stateless.offer(&versions[4]), Ok(OfferOutcome::Accepted));
}

#[test]
fn daemon_with_an_older_version_can_skip_versions() {
    let (_, versions) = chain_with_rotations();
    for start in 0..4 {
        for end in start + 1..5 {
            let mut outdated = chain();
            assert_eq!(outdated.offer(&versions[start]), Ok(OfferOutcome::Accepted));
            assert_eq!(outdated.offer(&versions[end]), Ok(OfferOutcome::Accepted));
        }
    }
}

#[test]
fn signatures_of_former_signers_are_rejected() {
    let (mut chain, versions) = chain_with_rotations();
    let mut former = self::chain();
    former.offer(&versions[0]).expect("first");
    // A successor of version 1 signed by `ana` and `bo`, numbered as version 9.
    let mut forged = sign_with(&former, &[], |body| body.daemons = 3);
    let mut body = policy::bundle::decode_body(&forged.body).expect("body");
    body.version = 9;
    forged.body = policy::bundle::canonical_bytes(&body);
    let head = forged.head.as_mut().expect("head");
    head.version = 9;
    head.digest = schema::BundleDigest::of(&forged.body).to_string();
    for signer in ["ana", "bo"] {
        add_signature(&former, &mut forged, &name(signer), &key(signer)).expect("signature");
    }
    let error = chain.offer(&forged).expect_err("former signers");
    assert!(matches!(error, BundleError::UnknownSigner { .. }));
    assert_eq!(chain.version(), BundleVersion(5));
}

#[test]
fn signer_rotations_out_of_order_are_rejected() {
    let (_, versions) = chain_with_rotations();
    let mut last = versions[4].clone();
    head(&mut last).rotations.swap(0, 1);
    assert!(chain().offer(&last).is_err());
    let mut last = versions[4].clone();
    head(&mut last).rotations.remove(0);
    assert!(chain().offer(&last).is_err());
    let mut last = versions[4].clone();
    head(&mut last).rotations[1].signers_required = 1;
    assert!(chain().offer(&last).is_err());
}
