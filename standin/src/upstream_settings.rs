//! Settings of upstreams.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    KeySpan,
    SpanSet, //
};

use crate::ServiceTime;

/// How an upstream drains before it leaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum DrainMode {
    /// It is not draining.
    #[default]
    Off,
    /// It reports in every reply that it is draining and still accepts tasks.
    Marked,
    /// It refuses new tasks.
    Refusing,
}

/// Settings of an [`UpstreamServer`](crate::UpstreamServer). All except the names, the slots and
/// the seed may be changed while it runs.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub zone: String,
    /// Service group of the upstream.
    pub group: String,
    /// Shard of the upstream.
    pub shard: String,
    /// Key spans that the upstream serves.
    pub serves: SpanSet,
    /// Number of tasks that run concurrently.
    pub slots: u32,
    /// Number of tasks that may wait for a slot; more are refused.
    pub queue: u32,
    /// Limit of the open connections; further ones are closed at once.
    pub connections: u32,
    /// Delay before the first request of a new connection is read.
    pub connect_delay: Duration,
    /// Time after a start during which tasks take longer than usual; zero for none.
    pub warm_up: Duration,
    /// Factor by which tasks take longer right after a start; it falls to one over the warm-up.
    pub cold_factor: f64,
    /// Identifiers of the available snapshots, oldest first.
    pub snapshots: Vec<u64>,
    /// Service time of a task.
    pub service: ServiceTime,
    /// Factor by which every task takes longer; one for none.
    pub slowdown_factor: f64,
    /// One-way network delay by data centre of the caller.
    pub links: BTreeMap<String, Duration>,
    /// Largest extra delay of a message between data centres, uniformly distributed from zero.
    pub link_jitter: Duration,
    /// Share of messages between data centres that are lost and retransmitted, in millionths.
    pub link_loss_ppm: u32,
    /// Time after which a lost message is retransmitted.
    pub retransmit: Duration,
    /// Data centres that a partition separates from the upstream; their calls are never answered.
    pub blocked_zones: Vec<String>,
    /// Whether and how the upstream drains.
    pub drain: DrainMode,
    /// A query that contains this text crashes the upstream; empty for none.
    pub crash_marker: String,
    /// Time from a crash until the upstream restarts; `None` for never.
    pub restart_after: Option<Duration>,
    /// Share of replies that are truncated half-way, in millionths.
    pub truncated_ppm: u32,
    /// Share of replies that are not valid JSON, in millionths.
    pub malformed_ppm: u32,
    /// Share of replies that return a wrong attempt identifier, in millionths.
    pub wrong_echo_ppm: u32,
    /// Share of tasks that run and then fail, in millionths.
    pub failed_ppm: u32,
    /// Whether the run log counts the runs of each query body.
    pub log_bodies: bool,
    /// Seed of service times and random faults.
    pub seed: u64,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            vm: "upstream-1".into(),
            zone: "zone-1".into(),
            group: "search".into(),
            shard: "0".into(),
            serves: KeySpan::ALL.into(),
            slots: 2,
            queue: 8,
            connections: 25,
            connect_delay: Duration::ZERO,
            warm_up: Duration::ZERO,
            cold_factor: 5.0,
            snapshots: vec![1],
            service: ServiceTime::default(),
            slowdown_factor: 1.0,
            links: BTreeMap::new(),
            link_jitter: Duration::ZERO,
            link_loss_ppm: 0,
            retransmit: Duration::from_millis(200),
            blocked_zones: Vec::new(),
            drain: DrainMode::Off,
            crash_marker: String::new(),
            restart_after: None,
            truncated_ppm: 0,
            malformed_ppm: 0,
            wrong_echo_ppm: 0,
            failed_ppm: 0,
            log_bodies: true,
            seed: 1,
        }
    }
}
