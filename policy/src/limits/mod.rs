//! Admission control, the budget of hedges and retries, and the quarantine of queries that crash
//! replicas.

mod admission_controller;
mod admission_request;
mod attempt_budget;
mod concurrency_limit;
mod fair_queue;
mod group_admission;
mod quarantine_notice;
mod quarantine_table;

pub use admission_controller::{
    AdmissionController,
    AdmissionSettings, //
};
pub use admission_request::{
    AdmissionDecision,
    AdmissionRequest, //
};
pub use attempt_budget::{
    AttemptBudget,
    AttemptUrgency, //
};
pub use quarantine_notice::{
    QuarantineNotice,
    QuarantineStatus, //
};
pub use quarantine_table::{
    QuarantineTable,
    QUARANTINE_PERIOD, //
};
