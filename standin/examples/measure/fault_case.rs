//! The fault cases of the measurement.

use std::{
    sync::Arc,
    time::Duration, //
};

use schema::{
    DeploymentSpec,
    GroupMode,
    KeySpan,
    SpanSet, //
};
use standin::{
    DrainMode,
    FleetServer,
    StoreFault,
    StoreServer, //
};

use crate::{
    daemon_set::DaemonSet,
    MeasureError, //
};

/// A query that contains this text crashes the upstream that runs it.
pub(crate) const CRASH_MARKER: &str = "crash-this-upstream";
/// Factor by which tasks take longer on the slow replica of each shard.
const SLOW_FACTOR: f64 = 20.0;
/// Share of stragglers among the sub-queries, and the factor by which they take longer.
const STRAGGLER_PPM: u32 = 20_000;
const STRAGGLER_FACTOR: f64 = 10.0;
/// Phases of an upstream's restart: it drains, is down, and warms up.
const DRAIN_TIME: Duration = Duration::from_millis(400);
const RESTART_TIME: Duration = Duration::from_millis(300);
const WARM_UP_TIME: Duration = Duration::from_millis(800);

/// A fault that is injected during a run, named as in the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FaultCase {
    None,
    Stragglers,
    SlowReplica,
    LostReplica,
    RollingRestart,
    Load120,
    Load200,
    SilentLinks,
    Repartition,
    RollingIndex,
    CrashQuery,
    ZoneCut,
    StoreDown,
    DaemonsRestart,
}

impl FaultCase {
    /// All cases with their names in the table, in its order.
    pub(crate) const ALL: [(&'static str, Self); 14] = [
        ("none", Self::None),
        ("stragglers", Self::Stragglers),
        ("slow-replica", Self::SlowReplica),
        ("lost-replica", Self::LostReplica),
        ("rolling-restart", Self::RollingRestart),
        ("load-120", Self::Load120),
        ("load-200", Self::Load200),
        ("silent-links", Self::SilentLinks),
        ("repartition", Self::Repartition),
        ("rolling-index", Self::RollingIndex),
        ("crash-query", Self::CrashQuery),
        ("zone-cut", Self::ZoneCut),
        ("store-down", Self::StoreDown),
        ("daemons-restart", Self::DaemonsRestart),
    ];

    /// Load of the case as a share of the upstreams' slots; `base` is the load without overload.
    pub(crate) fn load(self, base: f64) -> f64 {
        match self {
            Self::Load120 => 1.2,
            Self::Load200 => 2.0,
            _ => base,
        }
    }

    /// Applies the settings that hold from the start of the run.
    pub(crate) fn prepare(self, fleet: &FleetServer) {
        match self {
            Self::Stragglers => fleet.adjust_all(|settings| {
                settings.service.straggler_ppm = STRAGGLER_PPM;
                settings.service.straggler_factor = STRAGGLER_FACTOR;
            }),
            Self::RollingRestart => fleet.adjust_all(|settings| settings.warm_up = WARM_UP_TIME),
            Self::CrashQuery => fleet.adjust_all(|settings| {
                settings.crash_marker = CRASH_MARKER.into();
                settings.restart_after = Some(RESTART_TIME);
            }),
            _ => {}
        }
    }

    /// Injects the fault after a third of a run of `length`. If the fault changes over time, blocks
    /// until its last step.
    pub(crate) fn inject(
        self,
        spec: &Arc<DeploymentSpec>,
        fleet: &FleetServer,
        store: &StoreServer,
        daemons: &mut DaemonSet,
        length: Duration,
    ) -> Result<(), MeasureError> {
        let third = length / 3;
        let targets = || fleet.upstreams().filter(|(name, _)| name.ends_with("-0"));
        std::thread::sleep(third);
        match self {
            Self::SlowReplica => {
                targets().try_for_each(|(name, _)| fleet.slow(name, SLOW_FACTOR))?
            }
            Self::LostReplica => targets().try_for_each(|(name, _)| fleet.kill(name))?,
            Self::RollingRestart => restart_upstreams(fleet, length - third)?,
            Self::SilentLinks => targets().for_each(|(_, server)| server.blackhole_connections()),
            Self::Repartition => repartition(spec, fleet, third),
            Self::RollingIndex => roll_snapshots(fleet, third),
            Self::ZoneCut => {
                fleet.isolate_zone(&spec.zones[0].0);
                std::thread::sleep(third);
                fleet.heal_zones();
            }
            Self::StoreDown => {
                store.set_fault(StoreFault::Down);
                std::thread::sleep(third);
                store.set_fault(StoreFault::None);
            }
            Self::DaemonsRestart => daemons.restart_all(spec)?,
            _ => {}
        }
        Ok(())
    }
}

/// Restarts the replicas numbered 0 in batches, each batch with a drain and a warm-up.
fn restart_upstreams(fleet: &FleetServer, length: Duration) -> Result<(), MeasureError> {
    let names: Vec<String> = fleet
        .upstreams()
        .map(|(name, _)| name.to_string())
        .filter(|name| name.ends_with("-0"))
        .collect();
    let batch_count =
        (length.as_millis() / (DRAIN_TIME + RESTART_TIME).as_millis()).max(1) as usize;
    for batch in names.chunks(names.len().div_ceil(batch_count)) {
        batch
            .iter()
            .try_for_each(|name| fleet.drain(name, DrainMode::Marked, true))?;
        std::thread::sleep(DRAIN_TIME);
        batch.iter().try_for_each(|name| fleet.kill(name))?;
        std::thread::sleep(RESTART_TIME);
        batch.iter().try_for_each(|name| fleet.restart(name))?;
    }
    Ok(())
}

/// Moves the upper half of the first shard of each scatter group to the second one, and back after
/// `pause`.
fn repartition(spec: &DeploymentSpec, fleet: &FleetServer, pause: Duration) {
    let groups = || {
        spec.groups
            .iter()
            .filter(|group| group.mode == GroupMode::Scatter)
    };
    for group in groups() {
        let [first, second] = &group.shards[..2] else {
            continue;
        };
        let middle = first.span.start() + first.span.size() / 2;
        let (Ok(first_span), Ok(second_span)) = (
            KeySpan::new(first.span.start(), middle),
            KeySpan::new(middle, second.span.end()),
        ) else {
            continue;
        };
        fleet.repartition(
            group.name.as_str(),
            second.name.as_str(),
            &SpanSet::from(second_span),
        );
        fleet.repartition(
            group.name.as_str(),
            first.name.as_str(),
            &SpanSet::from(first_span),
        );
    }
    std::thread::sleep(pause);
    for group in groups() {
        for shard in &group.shards[..2] {
            fleet.repartition(
                group.name.as_str(),
                shard.name.as_str(),
                &SpanSet::from(shard.span),
            );
        }
    }
}

/// Adds snapshot 2 to the replicas of one number after another, then removes snapshot 1 in the same
/// order.
fn roll_snapshots(fleet: &FleetServer, length: Duration) {
    let steps: [(&str, &[u64]); 6] = [
        ("-0", &[1, 2]),
        ("-1", &[1, 2]),
        ("-2", &[1, 2]),
        ("-0", &[2]),
        ("-1", &[2]),
        ("-2", &[2]),
    ];
    for (suffix, snapshots) in steps {
        for (name, server) in fleet.upstreams() {
            if name.ends_with(suffix) {
                server.adjust(|settings| settings.snapshots = snapshots.to_vec());
            }
        }
        std::thread::sleep(length / steps.len() as u32);
    }
}
