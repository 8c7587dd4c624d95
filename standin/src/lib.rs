//! Stand-ins for the platform's services and the upstreams, for tests, examples and measurements.
//!
//! Every server listens on a loopback port assigned by the kernel, runs on a [`TaskHost`] and stops
//! when its handle is dropped. Faults can be turned on and off while a server runs.

mod blackhole_stream;
mod call_counts;
mod fleet_server;
mod fleet_settings;
mod item_source;
mod reply_body;
mod run_log;
mod server_port;
mod service_time;
mod standin_error;
mod store_data;
mod store_handler;
mod store_server;
mod store_settings;
mod task_host;
mod upstream_counts;
mod upstream_server;
mod upstream_settings;
mod upstream_work;
mod vm_server;

pub use call_counts::CallCounts;
pub use fleet_server::FleetServer;
pub use fleet_settings::FleetSettings;
pub use item_source::items_for;
pub use run_log::RunLog;
pub use service_time::ServiceTime;
pub use standin_error::StandinError;
pub use store_data::StoreCopy;
pub use store_server::StoreServer;
pub use store_settings::{
    StoreFault,
    StoreSettings, //
};
pub use task_host::TaskHost;
pub use upstream_counts::UpstreamCounts;
pub use upstream_server::UpstreamServer;
pub use upstream_settings::{
    DrainMode,
    UpstreamSettings, //
};
pub use vm_server::{
    VmServer,
    VmSettings, //
};

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

/// Locks `mutex`, ignoring poisoning: a panic in one task must not fail the others.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
