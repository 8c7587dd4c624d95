//! Drafting, signing and splitting of bundles, and the outcome of writing a head.

#![allow(clippy::expect_used)]

mod bundle_kit;

use bundle_kit::{
    body,
    key,
    name,
    sign_with,
    signer_set, //
};
use policy::bundle::{
    add_signature,
    draft_bundle,
    join_parts,
    resolve_accept,
    split_parts,
    AcceptOutcome,
    BundleChain,
    BundleError,
    OfferOutcome,
    PART_MAX_BYTES, //
};
use schema::{
    bundle::{
        BundleHead,
        ShardSpec, //
    },
    BundleVersion, //
};

fn chain() -> BundleChain {
    BundleChain::new(name("trust"), signer_set(&["ana", "bo"], 2))
}

#[test]
fn draft_with_wrong_version_or_parent_is_rejected() {
    let chain = chain();
    let mut later_version = body();
    later_version.version = 3;
    let error = draft_bundle(&chain, &later_version).expect_err("gap");
    assert!(matches!(error, BundleError::VersionGap { .. }));
    let mut other_parent = body();
    other_parent.parent = "ab".repeat(32);
    let error = draft_bundle(&chain, &other_parent).expect_err("parent");
    assert!(matches!(error, BundleError::ParentMismatch { .. }));
}

#[test]
fn only_listed_keys_can_sign_and_only_once() {
    let chain = chain();
    let mut draft = draft_bundle(&chain, &body()).expect("draft");
    let cases = [
        ("eve", "eve", "eve may not sign this version"),
        ("ana", "bo", "the key is not the one listed for ana"),
    ];
    for (signer, key_name, message) in cases {
        let error = add_signature(&chain, &mut draft, &name(signer), &key(key_name));
        assert_eq!(error.expect_err(signer).to_string(), message);
    }
    add_signature(&chain, &mut draft, &name("ana"), &key("ana")).expect("first");
    let error = add_signature(&chain, &mut draft, &name("ana"), &key("ana"));
    assert_eq!(error.expect_err("twice").to_string(), "ana signed twice");
}

fn head_of(version: u64, digest: &str, parent: &str) -> BundleHead {
    BundleHead {
        version,
        digest: digest.into(),
        parent: parent.into(),
        ..BundleHead::default()
    }
}

#[test]
fn later_read_shows_the_outcome_of_a_lost_write() {
    let offered = head_of(5, "e", "d");
    let cases = [
        ("nothing there", None, AcceptOutcome::NotWritten),
        (
            "parent",
            Some(head_of(4, "d", "c")),
            AcceptOutcome::NotWritten,
        ),
        (
            "offered",
            Some(head_of(5, "e", "d")),
            AcceptOutcome::Accepted,
        ),
        (
            "rival at our number",
            Some(head_of(5, "x", "d")),
            AcceptOutcome::Conflict(BundleVersion(5)),
        ),
        (
            "offered and one more",
            Some(head_of(6, "f", "e")),
            AcceptOutcome::Followed(BundleVersion(6)),
        ),
        (
            "rival and one more",
            Some(head_of(6, "y", "x")),
            AcceptOutcome::Conflict(BundleVersion(6)),
        ),
        (
            "far on",
            Some(head_of(9, "z", "y")),
            AcceptOutcome::Indeterminate(BundleVersion(9)),
        ),
        (
            "older, not our parent",
            Some(head_of(3, "c", "b")),
            AcceptOutcome::Conflict(BundleVersion(3)),
        ),
    ];
    for (label, found, outcome) in cases {
        assert_eq!(resolve_accept(&offered, found.as_ref()), outcome, "{label}");
    }
}

#[test]
fn body_of_one_megabyte_is_split_and_joined() {
    let mut chain = chain();
    let signed = sign_with(&chain, &["ana", "bo"], |body| {
        let group = &mut body.groups[0];
        group.mode = "scatter".into();
        group.once = false;
        for start in 0..32_768 {
            group.shards.push(ShardSpec {
                name: format!("shard-with-a-long-name-{start}"),
                start: 2 * start,
                end: 2 * start + 2,
            });
        }
    });
    assert!(signed.body.len() > 1_000_000);
    let head = signed.head.as_ref().expect("head");
    let mut parts = Vec::new();
    for (entry, bytes) in split_parts(&signed.body) {
        assert!(bytes.len() <= PART_MAX_BYTES);
        assert!(head.parts.contains(&entry));
        parts.push(bytes.to_vec());
    }
    assert_eq!(join_parts(&head.parts, &parts), Ok(signed.body.clone()));
    assert_eq!(chain.offer(&signed), Ok(OfferOutcome::Accepted));
    let missing = join_parts(&head.parts, &parts[1..]);
    assert_eq!(missing, Err(BundleError::PartMismatch { index: 0 }));
    parts[1][7] ^= 1;
    let damaged = join_parts(&head.parts, &parts);
    assert_eq!(damaged, Err(BundleError::PartMismatch { index: 1 }));
}
