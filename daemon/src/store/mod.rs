//! Clients of the store and the VM list that the settings name.

mod http_call;
mod store_client;
mod store_counts;
mod store_error;
mod vm_list;

pub(crate) use http_call::HttpCall;
pub use store_client::StoreClient;
pub use store_counts::StoreCounts;
pub use store_error::StoreError;
pub use vm_list::VmClient;
