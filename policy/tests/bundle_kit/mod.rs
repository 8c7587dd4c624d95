//! Helpers that build and sign bundles for tests.

#![allow(clippy::expect_used, dead_code)]

use std::str::FromStr;

use ed25519_dalek::SigningKey;
use policy::bundle::{
    add_signature,
    draft_bundle,
    BundleChain,
    SignerSet, //
};
use schema::bundle::{
    BundleBody,
    GroupSpec,
    SignedBundle,
    SignerSpec,
    ZoneSpec, //
};

/// The private key of the signer `name`, derived from the name.
pub(crate) fn key(name: &str) -> SigningKey {
    SigningKey::from_bytes(blake3::hash(name.as_bytes()).as_bytes())
}

/// The bundle entry of the signer `name`.
pub(crate) fn signer(name: &str) -> SignerSpec {
    SignerSpec {
        name: name.into(),
        key: hex::encode(key(name).verifying_key().to_bytes()),
    }
}

/// Parses a valid name.
pub(crate) fn name<T: FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("name")
}

/// The signers of these names, `required` of whom must sign.
pub(crate) fn signer_set(names: &[&str], required: u32) -> SignerSet {
    let specs: Vec<_> = names.iter().map(|name| signer(name)).collect();
    SignerSet::from_specs(&specs, required).expect("signers")
}

/// A small valid body, signed by `ana` and `bo`.
pub(crate) fn body() -> BundleBody {
    BundleBody {
        deployment: "trust".into(),
        signers: vec![signer("ana"), signer("bo")],
        signers_required: 2,
        daemons: 8,
        zones: vec![ZoneSpec {
            name: "kochi".into(),
            region: "south".into(),
        }],
        groups: vec![GroupSpec {
            name: "receipts".into(),
            mode: "single".into(),
            once: true,
            replicas: 5,
            slots: 4,
            connections: 100,
            connect_us: 1000,
            ..GroupSpec::default()
        }],
        ..BundleBody::default()
    }
}

/// Drafts the next version on `chain` with the body changed by `edit`, signed by `names`.
pub(crate) fn sign_with(
    chain: &BundleChain,
    names: &[&str],
    edit: impl Fn(&mut BundleBody),
) -> SignedBundle {
    let mut body = body();
    edit(&mut body);
    let mut draft = draft_bundle(chain, &body).expect("draft");
    for signer in names {
        add_signature(chain, &mut draft, &name(signer), &key(signer)).expect("signature");
    }
    draft
}
