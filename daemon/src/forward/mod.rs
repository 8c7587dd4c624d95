//! Forwarding on the users' platform: sockets around `policy::forward` and `policy::directory`.

mod call_desk;
mod desk_event;
mod directory_watch;
mod forward_front;
mod forward_loop;
mod forward_metrics;
mod forward_notes;
mod link_shelf;
mod replica_exchange;
mod run_forward;

pub use run_forward::{
    read_boot,
    run_forward, //
};
