//! Settings of a fleet.

use std::time::Duration;

use crate::{
    ServiceTime,
    TaskHost,
    UpstreamSettings, //
};

/// Settings of a [`FleetServer`](crate::FleetServer).
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Runtimes that the upstreams are distributed over; if empty, all share one new thread.
    pub hosts: Vec<TaskHost>,
    /// Delay until readers see a change of the VM list.
    pub list_lag: Duration,
    /// Whether to apply the bundle's network delays between data centres.
    pub link_delays: bool,
    /// Service time of a task.
    pub service: ServiceTime,
    /// Queue capacity of an upstream, in tasks for each of its slots.
    pub queue_per_slot: u32,
    /// Upstream settings that the bundle does not define.
    pub base: UpstreamSettings,
    /// Seed of service times and random faults; each upstream derives its own from it.
    pub seed: u64,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            hosts: Vec::new(),
            list_lag: Duration::ZERO,
            link_delays: true,
            service: ServiceTime::default(),
            queue_per_slot: 4,
            base: UpstreamSettings::default(),
            seed: 1,
        }
    }
}
