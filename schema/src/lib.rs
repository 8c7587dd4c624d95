//! Messages and settings of pollentally, and the domain types they are converted to.
//!
//! The public modules hold the protobuf messages, which are generated from `schema/proto`.
//! Elsewhere in the workspace, code that makes decisions uses the validated domain types.

/// Messages that make up a bundle.
#[allow(missing_docs, unreachable_pub)]
pub mod bundle {
    include!("generated/bundle.rs");
}
/// Messages from the daemon to callers.
#[allow(missing_docs, unreachable_pub)]
pub mod caller {
    include!("generated/caller.rs");
}
/// Messages between daemons.
#[allow(missing_docs, unreachable_pub)]
pub mod peer {
    include!("generated/peer.rs");
}
/// Messages of the platform's store and of its VM list.
#[allow(missing_docs, unreachable_pub)]
pub mod platform {
    include!("generated/platform.rs");
}
/// Messages that make up the settings of a daemon.
#[allow(missing_docs, unreachable_pub)]
pub mod settings {
    include!("generated/settings.rs");
}
/// Messages between a daemon and an upstream.
#[allow(missing_docs, unreachable_pub)]
pub mod upstream {
    include!("generated/upstream.rs");
}

mod account_spec;
mod bundle_digest;
mod cold_bounds;
mod cold_limit;
mod contact_record;
mod cpu_capacity;
mod crash_notice;
mod crash_tally;
mod deployment_spec;
mod directory_event;
mod fleet_record;
mod group_policy;
mod group_spec;
mod key_digest;
mod key_span;
mod limit_notice;
mod member_build;
mod names;
mod numbers;
mod query_print;
mod rate_bounds;
mod replica_entry;
mod replica_load;
mod request_rate;
mod rest_period;
mod route_spec;
mod route_table;
mod schema_error;
mod shard_plan;
mod share_amount;
mod span_set;
mod table_extension;
mod time_point;
mod yaml;

pub use account_spec::{
    AccountQuota,
    AccountSpec, //
};
pub use bundle_digest::BundleDigest;
pub use cold_bounds::ColdBounds;
pub use cold_limit::ColdLimit;
pub use contact_record::ContactRecord;
pub use cpu_capacity::{
    CapacityError,
    CpuCapacity, //
};
pub use crash_notice::CrashNotice;
pub use crash_tally::{
    CrashSite,
    CrashTally,
    TallyList, //
};
pub use deployment_spec::DeploymentSpec;
pub use directory_event::DirectoryEvent;
pub use fleet_record::{
    FleetEntry,
    FleetRecord, //
};
pub use group_policy::GroupPolicy;
pub use group_spec::{
    GroupMode,
    GroupSpec, //
};
pub use key_digest::KeyDigest;
pub use key_span::{
    KeySpan,
    KEY_SPACE, //
};
pub use limit_notice::{
    LimitEntry,
    LimitNotice, //
};
pub use member_build::MemberBuild;
pub use names::{
    AccountName,
    CellName,
    DaemonName,
    DeploymentName,
    GroupName,
    IdempotencyKey,
    RegionName,
    ReplicaName,
    RequestId,
    RouteName,
    ServiceName,
    ShardName,
    SignerName,
    UserName,
    VmName,
    ZoneName, //
};
pub use numbers::{
    AttemptId,
    BundleVersion,
    ChargeUnits,
    CoverageShare,
    Incarnation,
    QueryId,
    SnapshotId, //
};
pub use query_print::QueryPrint;
pub use rate_bounds::RateBounds;
pub use replica_entry::ReplicaEntry;
pub use replica_load::{
    LoadError,
    ReplicaLoad, //
};
pub use request_rate::{
    RateError,
    RequestRate, //
};
pub use rest_period::{
    RestError,
    RestPeriod, //
};
pub use route_spec::{
    RouteSpec,
    RouteTarget, //
};
pub use route_table::{
    CallerLimits,
    RouteTable, //
};
pub use schema_error::SchemaError;
pub use shard_plan::ShardPlan;
pub use share_amount::ShareAmount;
pub use span_set::SpanSet;
pub use table_extension::TableExtension;
pub use time_point::TimePoint;
pub use yaml::{
    find_line,
    locate_error,
    parse_yaml, //
};
