//! The decision logic of pollentally as state machines without I/O.
//!
//! Each state machine takes events with a timestamp and returns the actions that the caller must
//! carry out. It reads no clock, is seeded by its caller and iterates in a fixed order, so that a
//! run with the same events gives the same actions.

pub mod accounts;
pub mod bundle;
pub mod charges;
pub mod claims;
pub mod directory;
pub mod engine;
pub mod forward;
pub mod intake;
pub mod limits;
pub mod peers;
pub mod places;
pub mod rates;
pub mod replicas;
mod rotation;
pub mod store;
pub mod work;
