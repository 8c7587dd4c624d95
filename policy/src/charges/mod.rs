//! Charges: created when an answer is delivered, copied to peers, written to the store in sealed
//! segments, and counted once by their tokens.

mod charge_counts;
mod charge_event;
mod charge_ledger;
mod charge_report;
mod charge_rollup;
mod charge_settings;
mod charge_token;
mod copy_peer;
mod copy_state;
mod held_copies;
mod ledger_copies;
mod ledger_entry;
mod ledger_roster;
mod ledger_store;
mod segment_key;
mod user_total;
mod waiting_segment;

pub use charge_counts::ChargeCounts;
pub use charge_event::{
    ChargeAction,
    ChargeEvent, //
};
pub use charge_ledger::ChargeLedger;
pub use charge_report::{
    ChargeReport,
    LostCharges, //
};
pub use charge_rollup::ChargeRollup;
pub use charge_settings::ChargeSettings;
pub use charge_token::ChargeToken;
pub use copy_peer::CopyPeer;
pub use copy_state::CopyState;
pub use segment_key::{
    roster_key,
    segment_key,
    DAY_SECONDS, //
};
pub use user_total::UserTotal;
