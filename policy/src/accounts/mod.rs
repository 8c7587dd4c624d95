//! Client accounts: which requests have one, and which are refused for lack of an API key.

mod account_index;
mod key_decision;

pub use account_index::AccountIndex;
pub use key_decision::{
    KeyDecision,
    KeyFault, //
};
