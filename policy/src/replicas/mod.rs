//! The pool of replicas: which of them may get a sub-query, and how many requests at once.

mod attempt_outcome;
mod connection_share;
mod latency_median;
mod pick_criteria;
mod picked_replica;
mod pool_settings;
mod replica_group;
mod replica_health;
mod replica_limit;
mod replica_picker;
mod replica_pool;
mod replica_state;
mod replica_view;
mod span_index;

pub use attempt_outcome::AttemptOutcome;
pub use connection_share::{
    ConnectionShare,
    JOIN_PERIOD, //
};
pub use pick_criteria::{
    PickCriteria,
    PickResult, //
};
pub use picked_replica::PickedReplica;
pub use pool_settings::PoolSettings;
pub use replica_pool::ReplicaPool;
pub use replica_state::DRAIN_PERIOD;
pub use replica_view::ReplicaView;
