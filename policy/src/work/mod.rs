//! Estimates of the work of requests and of the load of replicas, from which replicas are chosen,
//! queues are ordered and requests are admitted.

mod replica_work;
mod service_work;
mod work_estimate;
mod work_settings;

pub(crate) use replica_work::decay;
pub use replica_work::ReplicaWork;
pub use service_work::ServiceWork;
pub use work_estimate::WorkEstimate;
pub use work_settings::WorkSettings;
