//! Estimates of the work of requests and of the load of replicas, from which replicas are chosen,
//! queues are ordered and requests are admitted.

mod work_settings;

pub use work_settings::{
    WorkSettings,
    WORK_PARTS, //
};
