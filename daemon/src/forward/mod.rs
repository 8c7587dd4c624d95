//! Forwarding on the users' platform: sockets around `policy::forward` and `policy::directory`.

mod arrived_request;
mod call_desk;
mod caller_reply;
mod desk_event;
mod forward_calls;
mod forward_feed;
mod forward_front;
mod forward_life;
mod forward_loop;
mod forward_metrics;
mod forward_notes;
mod forward_peers;
mod link_shelf;
mod replica_exchange;
mod run_forward;
mod store_reader;

pub use run_forward::{
    read_boot,
    run_forward, //
};
