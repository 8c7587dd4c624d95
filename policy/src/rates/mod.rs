//! Rates that all daemons together keep: quotas of client accounts, and rates of cold replicas.
//!
//! Each daemon of the fleet record has an equal share of every rate. It pledges its share to one daemon, the
//! authority, which issues tokens from the shares that it has got. See docs/design/rates.md.

mod ask_log;
mod authority_choice;
mod fleet_writer;
mod key_state;
mod rate_action;
mod rate_bucket;
mod rate_event;
mod rate_key;
mod rate_limit;
mod rate_message;
mod rate_plan;
mod rate_settings;
mod rate_status;
mod rate_table;
mod share_ledger;
mod table_asks;
mod table_grants;
mod token_stock;

pub use rate_action::RateAction;
pub use rate_event::RateEvent;
pub use rate_key::RateKey;
pub use rate_limit::RateLimit;
pub use rate_message::{
    RateEntry,
    RateMessage,
    RateStamp, //
};
pub use rate_settings::{
    RateMember,
    RateSettings, //
};
pub use rate_status::{
    RateCounts,
    RateStatus, //
};
pub use rate_table::{
    RateAdmission,
    RateTable, //
};
