//! Bounds the connections of callers and other daemons and the memory for what they send.

mod body_reader;
mod intake_gate;
mod intake_metrics;
mod intake_slot;
mod port_gates;

pub(crate) use body_reader::{
    read_body,
    BodyFailure, //
};
pub(crate) use intake_gate::IntakeGate;
use intake_metrics::IntakeMetrics;
pub(crate) use intake_slot::IntakeSlot;
pub(crate) use port_gates::PortGates;
