//! Forwarding daemon on the users' platform: sockets and timers around the decisions of
//! `policy::forward` and `policy::directory`.

mod account_counts;
mod account_log;
mod arrived_request;
mod caller_reply;
mod contact_store;
mod crash_store;
mod crash_tasks;
mod directory_calls;
mod exchange_call;
mod fleet_store;
mod forward_feed;
mod forward_gauges;
mod forward_life;
mod forward_log;
mod forward_loop;
mod forward_loop_status;
mod forward_metrics;
mod forward_peers;
mod forward_requests;
mod idle_pool;
mod inbox_event;
mod pending_request;
mod relay_messages;
mod relay_tasks;
mod replica_exchange;
mod replica_health;
mod replica_probe;
mod reply_budget;
mod request_access;
mod request_handler;
mod run_forward;
mod settings_watch;
mod source_log;
mod store_reader;

pub use run_forward::{
    read_boot,
    run_forward, //
};
