//! Calls to the platform's store, as the decisions ask for them.

mod retry_delay;
mod store_call;

pub use retry_delay::RetryDelay;
pub use store_call::{
    StoreCall,
    StoreReply, //
};
