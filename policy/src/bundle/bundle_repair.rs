//! Restoring the version in force in a store that was restored from an old backup.

use prost::Message;
use schema::bundle::BundleHead;

use super::{
    part_key,
    split_parts,
    ActiveBundle,
    HEAD_KEY, //
};
use crate::store::StoreCall;

/// Returns the store calls, in order, that write the version in force to the store. There are none
/// if the store has this version, a higher one, or the head of another deployment.
///
/// `found` is the head in the store with its revision. All parts are created before the head is
/// written, and the write of the head fails if the head has changed in the meantime, so that
/// several daemons can repair the store at once. No operator is needed, since the version carries
/// its signatures.
pub fn repair_calls(bundle: &ActiveBundle, found: Option<(&BundleHead, u64)>) -> Vec<StoreCall> {
    let Some(head) = &bundle.signed.head else {
        return Vec::new();
    };
    let expect = match found {
        None => 0,
        Some((found, _)) if found.deployment != head.deployment => return Vec::new(),
        Some((found, _)) if found.version >= head.version => return Vec::new(),
        Some((_, revision)) => revision,
    };
    let mut calls = Vec::new();
    for (entry, bytes) in split_parts(&bundle.signed.body) {
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
