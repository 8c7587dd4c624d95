//! The subcommands, one module each.

pub(crate) mod accept;
pub(crate) mod check;
pub(crate) mod completion;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod explain;
pub(crate) mod history;
pub(crate) mod keygen;
pub(crate) mod load;
pub(crate) mod query;
pub(crate) mod sign;
pub(crate) mod status;
