//! Putting the version in force back into a store that came back from an old copy.

use prost::Message;
use schema::bundle::BundleHead;

use super::{
    part_key,
    split_parts,
    InForce,
    HEAD_KEY, //
};
use crate::store::StoreCall;

/// The calls, in their order, that bring the store's head up to the version in force; none where
/// the store has it, a later one, or the head of another deployment.
///
/// `found` is the head in the store with its revision. Every part is created before the head is
/// swapped, and the swap fails where the head has changed meanwhile: several daemons may do this
/// at once. The version is signed, so that putting it back needs no operator.
pub fn repair_calls(held: &InForce, found: Option<(&BundleHead, u64)>) -> Vec<StoreCall> {
    let Some(head) = &held.signed.head else {
        return Vec::new();
    };
    let expect = match found {
        None => 0,
        Some((found, _)) if found.deployment != head.deployment => return Vec::new(),
        Some((found, _)) if found.version >= head.version => return Vec::new(),
        Some((_, revision)) => revision,
    };
    let mut calls = Vec::new();
    for (entry, bytes) in split_parts(&held.signed.body) {
        calls.push(StoreCall::Write {
            key: part_key(&entry.digest),
            value: bytes.to_vec(),
            expect: 0,
            lease: 0,
        });
    }
    calls.push(StoreCall::Write {
        key: HEAD_KEY.into(),
        value: head.encode_to_vec(),
        expect,
        lease: 0,
    });
    calls
}
