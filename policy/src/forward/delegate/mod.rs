//! Hands the shards of a gather to a few daemons near their replicas, the *delegates*.
//!
//! The live daemons, the registered replicas and the outcomes of earlier hand-overs come in; the daemons that
//! get some shards of a gather come out. All daemons rank the same candidates in the same order, so that no
//! message is needed to agree. Nothing here knows how a request travels between daemons.

mod branch_answer;
mod branch_failures;
mod delegate_choice;
mod delegate_dispatch;
mod delegate_record;
mod delegate_table;
mod gather_branch;
mod gather_plan;

pub use branch_answer::BranchAnswer;
pub(super) use delegate_choice::wanted_services;
pub(super) use delegate_table::DelegateTable;
pub(super) use gather_branch::GatherBranch;
pub(super) use gather_plan::GatherPlan;
