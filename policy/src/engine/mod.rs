//! The query engine: admission, dispatch to replicas, and the answer of each request.
//!
//! A request is split into parts, one contiguous key range each. An attempt sends one part to one
//! replica. A hedge is a second attempt at a part whose first attempt is still in flight; a retry
//! follows a failed attempt. Hedges spend tokens of the group's budget, and so do retries after a
//! refusal for lack of a slot, a failed run or a bad reply. A query is identified by the
//! fingerprint of its group and body; it is unproven until a replica has answered it without
//! crashing.

mod arrival;
mod attempt_failure;
mod attempt_record;
mod attempt_tracker;
mod claim_verdict;
mod claims;
mod completion;
mod crash_detector;
mod dispatch;
mod engine_action;
mod engine_event;
mod engine_note;
mod engine_settings;
mod engine_status;
mod group_counts;
mod group_state;
mod latency_window;
mod placed_replica;
mod query_answer;
mod query_call;
mod query_engine;
mod query_reason;
mod query_run;
mod replica_load;
mod replica_reply;
mod reports;
mod run_answer;
mod send_order;
mod silence_detector;
mod snapshot_choice;
mod span_part;

pub use attempt_failure::AttemptFailure;
pub use claim_verdict::ClaimVerdict;
pub use engine_action::EngineAction;
pub use engine_event::EngineEvent;
pub use engine_note::EngineNote;
pub use engine_settings::EngineSettings;
pub use engine_status::{
    EngineStatus,
    GroupStatus, //
};
pub use group_counts::GroupCounts;
pub use placed_replica::PlacedReplica;
pub use query_answer::{
    AnswerOutcome,
    QueryAnswer, //
};
pub use query_call::QueryCall;
pub use query_engine::QueryEngine;
pub use query_reason::QueryReason;
pub use replica_load::ReplicaLoad;
pub use replica_reply::{
    ReplicaReply,
    ResultItem, //
};
pub use send_order::SendOrder;
pub use snapshot_choice::SnapshotChoice;
