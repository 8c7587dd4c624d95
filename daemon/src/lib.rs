//! The daemon: sockets, timers, spans and metrics around the decisions of the `policy` crate.
//!
//! One event loop owns all state. Tasks on the same thread do input and output and report to the
//! loop by events on a channel.

mod admin_routes;
mod answer_context;
mod bound_addresses;
mod bundle_watch;
mod caller_error;
mod caller_port;
mod caller_request;
mod caller_routes;
mod clock;
pub mod config;
mod connection_pool;
mod core_settings;
mod counted_stream;
mod daemon_core;
mod daemon_error;
pub mod events;
mod exchange;
mod flags;
mod forward;
mod head_repair;
mod intake;
mod lifecycle;
mod logs;
mod loop_actions;
mod loop_charges;
mod loop_event;
mod loop_lifecycle;
mod loop_notes;
mod loop_peers;
mod loop_status;
mod loop_store;
mod metrics;
mod peer_entry;
pub mod peering;
mod read_allowance;
mod reply_check;
mod request_writer;
mod run;
mod run_control;
mod running_call;
mod serving_view;
mod signals;
mod span_queue;
mod status_body;
pub mod store;
mod trace_context;
mod upstream_link;
mod vm_poll;

pub use answer_context::{
    answer_status,
    AnswerContext, //
};
pub use bound_addresses::BoundAddresses;
pub use caller_error::CallerError;
pub use caller_request::CallerHeaders;
pub use clock::DaemonClock;
pub use config::DaemonConfig;
pub use daemon_error::DaemonError;
pub use exchange::ExchangeFailure;
pub use flags::{
    daemon_flags,
    DaemonFlags, //
};
pub use forward::{
    read_boot,
    run_forward, //
};
pub use lifecycle::{
    DaemonLife,
    LifeEvent,
    LifePhase, //
};
pub use logs::{
    discard_logger,
    stderr_logger,
    StdoutLogger, //
};
pub use peer_entry::PeerEntry;
pub use reply_check::check_reply;
pub use run::{
    run,
    run_blocking,
    run_with,
    StopReport, //
};
pub use run_control::{
    RunControl,
    RunHandle, //
};
pub use status_body::{
    GroupEntry,
    StatusBody, //
};
pub use trace_context::{
    TraceContext,
    TraceError, //
};
pub use vm_poll::parse_replicas;
