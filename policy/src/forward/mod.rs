//! Forwarding by routes. A request goes to one replica of a service, and that replica's reply is
//! the answer; or it goes to one replica of each shard (a gather), and the answer merges the
//! greatest records of all replies.
//!
//! Health, load and retry budgets are kept per service, so that routes share them. The engine does
//! no I/O: it takes replies and the current time as events, and returns sends and answers as
//! actions.
//!
//! Terms: an *attempt* is one send of a request to one replica; a replica sends a *reply*, and the
//! caller gets an *answer*. *Extra* attempts are hedges (sent while another attempt is late) and
//! retries (sent after one failed).

mod account_admission;
#[cfg(test)]
mod account_admission_tests;
mod arrival_refusal;
mod attempt_dispatch;
mod attempt_results;
mod budget_shares;
mod cold_replicas;
mod crash_evidence;
mod crash_key;
mod crash_probes;
mod crash_record;
mod crash_refusal;
mod crash_reports;
mod crash_scope;
mod crash_sites;
mod crash_table;
mod crash_trials;
mod delegate;
mod demand_meter;
mod exchange_history;
mod forward_action;
mod forward_answer;
mod forward_call;
mod forward_engine;
mod forward_event;
mod forward_failure;
mod forward_reply;
mod forward_settings;
mod forward_status;
mod helper_record;
mod helper_table;
mod latency_sketch;
mod limit_division;
mod limit_evidence;
mod limit_statement;
mod limit_table;
mod link_checks;
mod link_loss;
mod logged_event;
mod part_queue;
mod pending_request;
mod probe_outcome;
mod rate_exchange;
mod reach_monitor;
mod record_merge;
mod relay_command;
mod relay_context;
mod relay_dispatch;
mod relay_intake;
mod relay_offer;
mod relay_outcome;
mod relay_peer;
mod relay_terms;
mod replica_choice;
mod replica_limit;
mod replica_record;
mod replica_registry;
mod replica_statements;
mod request_completion;
mod request_identity;
mod request_part;
mod retry_budget;
mod route_index;
mod route_state;
mod seen_crash;
mod service_state;
mod statement_evidence;
mod statement_table;
mod token_bucket;
mod trial_claim;
mod trial_dispatch;
mod weighted_balancer;

pub use crash_key::CrashKey;
pub use crash_refusal::CrashRefusal;
pub use crash_scope::CrashScope;
pub use crash_table::CrashTable;
pub use crash_trials::SuspectSend;
pub use delegate::BranchAnswer;
pub use exchange_history::{
    ExchangeHistory,
    RequestMark, //
};
pub use forward_action::{
    ForwardAction,
    SendCommand, //
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
pub use limit_statement::LimitStatement;
pub use link_loss::{
    LinkLoss,
    LossEvidence, //
};
pub use logged_event::LoggedEvent;
pub use part_queue::{
    PartQueue,
    QueuedPart, //
};
pub use probe_outcome::ProbeOutcome;
pub use record_merge::{
    merge_records,
    RECORD_BYTES, //
};
pub use relay_command::RelayCommand;
pub use relay_offer::{
    RelayOffer,
    RelayRefusal, //
};
pub use relay_outcome::RelayOutcome;
pub use relay_peer::RelayPeer;
pub use relay_terms::{
    BranchTerms,
    RelayTerms, //
};
pub use replica_choice::PickOutcome;
pub use replica_record::ReplicaKey;
pub use replica_registry::ReplicaRegistry;
pub use replica_statements::{
    ReplicaStatements,
    UnreadableStatement, //
};
pub use request_identity::RequestIdentity;
pub use retry_budget::RetryBudget;
pub use route_index::RouteIndex;
pub use seen_crash::SeenCrash;
pub use token_bucket::TokenBucket;
pub use trial_claim::{
    claim_trial,
    combined_notice,
    ClaimOutcome, //
};
pub use weighted_balancer::WeightedBalancer;
