//! The upstreams of a whole deployment.

use std::{
    collections::BTreeMap,
    net::SocketAddr, //
};

use schema::{
    platform::VmEntry,
    DeploymentSpec,
    GroupSpec,
    ShardPlan,
    SpanSet,
    ZoneName, //
};

use crate::{
    upstream_work::link_table,
    DrainMode,
    FleetSettings,
    RunLog,
    StandinError,
    TaskHost,
    UpstreamCounts,
    UpstreamServer,
    UpstreamSettings,
    VmServer,
    VmSettings, //
};

/// All upstreams of a bundle, their VM list, and the run log that they share.
///
/// The replicas of a shard are placed in different data centres as long as there are enough of
/// them. An upstream is named `<group>-<shard>-<replica>`.
#[derive(Debug)]
pub struct FleetServer {
    upstreams: BTreeMap<String, UpstreamServer>,
    vms: VmServer,
    log: RunLog,
}

impl FleetServer {
    /// Starts the upstreams of `spec` and adds them to the VM list.
    ///
    /// # Errors
    ///
    /// Returns an error if no port or thread is available.
    pub fn start(spec: &DeploymentSpec, settings: FleetSettings) -> Result<Self, StandinError> {
        let mut settings = settings;
        if settings.hosts.is_empty() {
            settings.hosts.push(TaskHost::spawn()?);
        }
        let vm_settings = VmSettings {
            lag: settings.list_lag,
        };
        let mut fleet = Self {
            upstreams: BTreeMap::new(),
            vms: VmServer::start(&settings.hosts[0], vm_settings)?,
            log: RunLog::default(),
        };
        for group in &spec.groups {
            for (index, shard) in group.shards.iter().enumerate() {
                for replica in 0..group.replicas {
                    let zone_index = index + replica as usize;
                    fleet.start_upstream(spec, &settings, group, shard, zone_index, replica)?;
                }
            }
        }
        let entries: Vec<VmEntry> = fleet
            .upstreams
            .values()
            .map(|server| server.vm_entry())
            .collect();
        fleet.vms.put(entries);
        Ok(fleet)
    }

    fn start_upstream(
        &mut self,
        spec: &DeploymentSpec,
        settings: &FleetSettings,
        group: &GroupSpec,
        shard: &ShardPlan,
        zone_index: usize,
        replica: u32,
    ) -> Result<(), StandinError> {
        let index = self.upstreams.len();
        let (zone, _) = &spec.zones[zone_index % spec.zones.len()];
        let vm = format!("{}-{}-{replica}", group.name, shard.name);
        let upstream = UpstreamSettings {
            vm: vm.clone(),
            zone: zone.to_string(),
            group: group.name.to_string(),
            shard: shard.name.to_string(),
            serves: shard.span.into(),
            slots: group.slots,
            queue: group.slots * settings.queue_per_slot,
            connections: group.connections,
            connect_delay: group.connect,
            service: settings.service,
            links: if settings.link_delays {
                link_table(spec, zone)
            } else {
                BTreeMap::new()
            },
            seed: settings.seed.wrapping_add(index as u64),
            ..settings.base.clone()
        };
        let host = &settings.hosts[index % settings.hosts.len()];
        let server = UpstreamServer::start(host, upstream, &self.log)?;
        self.upstreams.insert(vm, server);
        Ok(())
    }

    /// The VM list of the upstreams and of daemons added by [`FleetServer::list_daemon`].
    pub fn vms(&self) -> &VmServer {
        &self.vms
    }

    /// The run log that all upstreams share.
    pub fn log(&self) -> &RunLog {
        &self.log
    }

    /// All upstreams with their names, in name order.
    pub fn upstreams(&self) -> impl Iterator<Item = (&str, &UpstreamServer)> {
        self.upstreams
            .iter()
            .map(|(name, server)| (name.as_str(), server))
    }

    /// The upstream named `vm`.
    ///
    /// # Errors
    ///
    /// [`StandinError::UnknownVm`] if there is none.
    pub fn upstream(&self, vm: &str) -> Result<&UpstreamServer, StandinError> {
        let found = self.upstreams.get(vm);
        found.ok_or_else(|| StandinError::UnknownVm(vm.into()))
    }

    /// Changes the settings of every upstream.
    pub fn adjust_all(&self, mut change: impl FnMut(&mut UpstreamSettings)) {
        for server in self.upstreams.values() {
            server.adjust(&mut change);
        }
    }

    /// Adds a daemon to the VM list.
    pub fn list_daemon(&self, name: &str, caller: SocketAddr, peer: SocketAddr, zone: &str) {
        let entry = VmEntry {
            name: name.into(),
            address: caller.to_string(),
            peer: peer.to_string(),
            zone: zone.into(),
            role: "daemon".into(),
            group: String::new(),
            shard: String::new(),
            state: "live".into(),
        };
        self.vms.put([entry]);
    }

    /// Kills an upstream: its port and connections close, and the VM list does not change.
    ///
    /// # Errors
    ///
    /// [`StandinError::UnknownVm`] if there is none.
    pub fn kill(&self, vm: &str) -> Result<(), StandinError> {
        self.upstream(vm).map(UpstreamServer::kill)
    }

    /// Restarts a killed upstream with a new warm-up period, ends its drain and lists it as live.
    ///
    /// # Errors
    ///
    /// [`StandinError::UnknownVm`] if there is none.
    pub fn restart(&self, vm: &str) -> Result<(), StandinError> {
        let server = self.upstream(vm)?;
        server.adjust(|settings| settings.drain = DrainMode::Off);
        server.restart();
        self.vms.set_state(vm, "live");
        Ok(())
    }

    /// Drains an upstream; if `listed`, the VM list also shows it as leaving.
    ///
    /// # Errors
    ///
    /// [`StandinError::UnknownVm`] if there is none.
    pub fn drain(&self, vm: &str, mode: DrainMode, listed: bool) -> Result<(), StandinError> {
        self.upstream(vm)?.adjust(|settings| settings.drain = mode);
        if listed {
            self.vms.set_state(vm, "leaving");
        }
        Ok(())
    }

    /// Makes every task of an upstream take `factor` times as long.
    ///
    /// # Errors
    ///
    /// [`StandinError::UnknownVm`] if there is none.
    pub fn slow(&self, vm: &str, factor: f64) -> Result<(), StandinError> {
        self.upstream(vm)?
            .adjust(|settings| settings.slowdown_factor = factor);
        Ok(())
    }

    /// Partitions a data centre from all others: calls between it and the upstreams of the others,
    /// in either direction, are never answered.
    pub fn isolate_zone(&self, zone: &ZoneName) {
        let others = self.other_zones(zone);
        self.adjust_all(|settings| {
            if settings.zone == zone.as_str() {
                settings.blocked_zones = others.clone();
            } else {
                settings.blocked_zones.push(zone.to_string());
            }
        });
    }

    /// Ends all partitions between data centres.
    pub fn heal_zones(&self) {
        self.adjust_all(|settings| settings.blocked_zones.clear());
    }

    /// Changes the keys that all replicas of a shard serve.
    pub fn repartition(&self, group: &str, shard: &str, serves: &SpanSet) {
        self.adjust_all(|settings| {
            if settings.group == group && settings.shard == shard {
                settings.serves = serves.clone();
            }
        });
    }

    /// The counters of all upstreams combined: totals are summed, of peaks the highest is kept.
    pub fn counts(&self) -> UpstreamCounts {
        let mut sum = UpstreamCounts::default();
        for server in self.upstreams.values() {
            sum.add(&server.counts());
        }
        sum
    }

    fn other_zones(&self, zone: &ZoneName) -> Vec<String> {
        let mut zones: Vec<String> = self
            .upstreams
            .values()
            .map(|server| server.settings().zone)
            .filter(|other| other != zone.as_str())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }
}
