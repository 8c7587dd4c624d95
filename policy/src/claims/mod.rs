//! Claims of idempotency keys in the store. A request that may run only once needs a claim before
//! it is sent.

mod claim_counts;
mod claim_event;
mod claim_location;
mod claim_manager;
mod claim_record;
mod claim_replies;
mod claim_settings;
mod claim_state;
mod lease_cache;

pub use claim_counts::ClaimCounts;
pub use claim_event::{
    ClaimAction,
    ClaimEvent, //
};
pub use claim_location::ClaimLocation;
pub use claim_manager::ClaimManager;
pub use claim_record::{
    record_answer,
    restore_answer, //
};
pub use claim_settings::ClaimSettings;
