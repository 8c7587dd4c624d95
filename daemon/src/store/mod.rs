//! Clients of the platform's store and VM list.

mod http_client;
mod store_client;
mod store_counts;
mod store_error;
mod vm_client;

pub(crate) use http_client::HttpClient;
pub use store_client::StoreClient;
pub use store_counts::StoreCounts;
pub use store_error::StoreError;
pub use vm_client::VmClient;
