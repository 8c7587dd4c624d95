//! Versions of the signed deployment bundle: encoding, signatures, storage, and the order in which
//! versions take effect.

mod active_bundle;
mod bundle_bytes;
mod bundle_chain;
mod bundle_draft;
mod bundle_error;
mod bundle_layout;
mod bundle_repair;
mod signer_set;

pub use active_bundle::ActiveBundle;
pub use bundle_bytes::{
    canonical_bytes,
    decode_body,
    sign_digest,
    statement_digest,
    verify_signature, //
};
pub use bundle_chain::{
    BundleChain,
    OfferOutcome, //
};
pub use bundle_draft::{
    add_signature,
    draft_bundle,
    resolve_accept,
    AcceptOutcome, //
};
pub use bundle_error::BundleError;
pub use bundle_layout::{
    join_parts,
    part_key,
    split_parts,
    BODY_MAX_BYTES,
    HEAD_KEY,
    PART_MAX_BYTES,
    PART_PREFIX, //
};
pub use bundle_repair::repair_calls;
pub use signer_set::SignerSet;
