//! Rates that all daemons together keep: quotas of client accounts, and rates of cold replicas.

mod rate_action;
mod rate_key;
mod rate_limit;
mod rate_table;

pub use rate_action::RateAction;
pub use rate_key::RateKey;
pub use rate_limit::RateLimit;
pub use rate_table::{
    RateAdmission,
    RateTable, //
};
