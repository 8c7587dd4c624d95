//! Forwarding by routes: a request goes to one replica of a service, or to one replica of each
//! shard, and its answer is the replica's, or the greatest records of all.
//!
//! The unit of health, load and budgets is the service, which routes share. Time and replies come
//! in as events, and what to send and to answer goes out as actions.

mod attempt_dispatch;
mod attempt_results;
mod forward_action;
mod forward_answer;
mod forward_call;
mod forward_engine;
mod forward_event;
mod forward_failure;
mod forward_reply;
mod forward_settings;
mod forward_status;
mod latency_sketch;
mod logged_event;
mod part_queue;
mod pending_request;
mod record_merge;
mod replica_record;
mod replica_registry;
mod request_completion;
mod request_part;
mod retry_budget;
mod route_index;
mod route_state;
mod service_state;
mod weighted_balancer;

pub use forward_action::{
    ForwardAction,
    ForwardOrder, //
};
pub use forward_answer::{
    ForwardAnswer,
    RefusalReason, //
};
pub use forward_call::ForwardCall;
pub use forward_engine::ForwardEngine;
pub use forward_event::ForwardEvent;
pub use forward_failure::ForwardFailure;
pub use forward_reply::ForwardReply;
pub use forward_settings::ForwardSettings;
pub use forward_status::ForwardStatus;
pub use latency_sketch::LatencySketch;
pub use logged_event::ForwardNote;
pub use part_queue::{
    WaitLine,
    WaitingPart, //
};
pub use record_merge::{
    merge_records,
    RECORD_BYTES, //
};
pub use replica_record::ReplicaKey;
pub use replica_registry::{
    PickOutcome,
    ReplicaFleet, //
};
pub use retry_budget::ExtraBudget;
pub use route_index::RouteIndex;
pub use weighted_balancer::SplitWheel;
