//! Requests to the platform's key-value store, their replies and the backoff between retries.

mod retry_delay;
mod store_call;

pub use retry_delay::RetryDelay;
pub use store_call::{
    StoreCall,
    StoreReply, //
};
