//! Every decision of pollentally, free of input and output.
//!
//! The structs here take events with the time they happened at and give back actions. They read no
//! clock, draw no seed of their own and iterate in a fixed order, so that a run can be repeated
//! exactly.

pub mod bundle;
pub mod charges;
pub mod claims;
pub mod directory;
pub mod engine;
pub mod forward;
pub mod limits;
pub mod peers;
pub mod replicas;
pub mod store;
