//! The choice of the daemons that gather the shards of a route.

use std::{
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use schema::{
    DaemonName,
    RouteName,
    TimePoint,
    ZoneName, //
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    super::{
        pending_request::PendingRequest,
        replica_registry::CONNECTION_SHARE,
        ForwardEngine, //
    },
    gather_plan::ShardGroup,
    GatherPlan, //
};
use crate::places::RequestPlacement;

/// Connections to a replica that are planned for each delegate: one of its own data centre has a few
/// gathers at once and keeps one more for hedges of the others.
const DELEGATE_CONNECTIONS: f64 = 4.0;
/// Time after which a plan is made anew.
const PLAN_PERIOD: Duration = Duration::from_secs(1);

impl ForwardEngine {
    /// The plan for the route of a gather. It is made anew for another route table, for other daemons, and
    /// from time to time for the replicas.
    pub(super) fn plan_for(&mut self, now: TimePoint, request: &PendingRequest) -> Rc<GatherPlan> {
        let made_for = (self.delegates.generation, request.table_version());
        let name = &request.spec().name;
        let known = self.routes.get(name).and_then(|state| state.plan.as_ref());
        if let Some((made_at, known_for, plan)) = known {
            if *known_for == made_for && now.since(*made_at) < PLAN_PERIOD {
                return Rc::clone(plan);
            }
        }
        let services = self.target_services(name, &request.spec().target);
        // The plan is that of the route: homes of client accounts only exclude delegates of it.
        let placement = RequestPlacement::new(&request.spec().homes, &[]);
        let plan = Rc::new(self.make_plan(&services, &placement));
        let state = self.routes.entry(name.clone()).or_default();
        state.plan = Some((now, made_for, Rc::clone(&plan)));
        plan
    }

    /// Whether other daemons gather shards of a route for this one.
    pub(in super::super) fn gathers_elsewhere(&self, route: &RouteName) -> bool {
        let plan = self.routes.get(route).and_then(|state| state.plan.as_ref());
        plan.is_some_and(|(_, _, plan)| !plan.groups.is_empty())
    }

    /// Groups `services` by the data centre of their nearest replicas, and chooses the delegates of each.
    /// Where each daemon may hold a connection to each replica, it gathers itself.
    fn make_plan(&mut self, services: &[usize], placement: &RequestPlacement) -> GatherPlan {
        let states = services.iter().map(|index| &self.registry.services[*index]);
        let accepted = states.map(|state| state.max_connections).min();
        let shared = f64::from(accepted.unwrap_or(0)) * CONNECTION_SHARE;
        if shared >= f64::from(self.registry.daemons) {
            for service in services {
                self.registry.services[*service].set_gathered(None, false);
            }
            return GatherPlan::default();
        }
        let mut zones_of: Vec<SmallVec<[ZoneName; 4]>> = Vec::with_capacity(services.len());
        for service in services {
            zones_of.push(self.replica_zones(*service, placement));
        }
        let zones_seen: usize = zones_of.iter().map(SmallVec::len).sum();
        let zones_of_shard = (zones_seen as f64 / services.len() as f64).max(1.0);
        let wanted = (shared / DELEGATE_CONNECTIONS / zones_of_shard).ceil() as usize;
        let mut chosen: BTreeMap<&ZoneName, SmallVec<[DaemonName; 8]>> = BTreeMap::new();
        for zone in zones_of.iter().flatten() {
            chosen
                .entry(zone)
                .or_insert_with(|| self.delegates.delegates_in(zone, wanted));
        }
        let this = xxh3_64(self.delegates.daemon.as_str().as_bytes());
        let mut grouped: BTreeMap<&ZoneName, Vec<u32>> = BTreeMap::new();
        for (position, (service, zones)) in services.iter().zip(&zones_of).enumerate() {
            let nearest = zones.iter().min_by_key(|zone| {
                // Data centres that are equally far are divided among the daemons.
                let spread = this ^ xxh3_64(zone.as_str().as_bytes());
                (self.delegates.distance(zone), spread)
            });
            let Some(zone) = nearest else {
                continue;
            };
            let gathers = chosen[zone].contains(&self.delegates.daemon);
            let elsewhere = !gathers && !chosen[zone].is_empty();
            let sharers: usize = zones.iter().map(|zone| chosen[zone].len()).sum();
            let sharers = gathers.then_some(u32::try_from(sharers).unwrap_or(u32::MAX));
            self.registry.services[*service].set_gathered(sharers, elsewhere);
            if elsewhere {
                grouped.entry(zone).or_default().push(position as u32);
            }
        }
        let groups = grouped.into_iter().map(|(zone, parts)| ShardGroup {
            delegates: chosen[zone].clone(),
            parts,
        });
        GatherPlan {
            groups: groups.collect(),
        }
    }

    /// The data centres in which a service has replicas for requests with the given placement.
    fn replica_zones(
        &self,
        service: usize,
        placement: &RequestPlacement,
    ) -> SmallVec<[ZoneName; 4]> {
        let mut zones: SmallVec<[ZoneName; 4]> = SmallVec::new();
        for (_, record) in self.registry.candidates(service, placement) {
            if record.is_wanted() && !zones.contains(&record.entry.zone) {
                zones.push(record.entry.zone.clone());
            }
        }
        zones
    }
}

/// The services among `services` that another daemon wants, at the positions `shards`, or all of them if it
/// names none; `None` if the route has fewer.
pub(in super::super) fn wanted_services(
    services: SmallVec<[usize; 16]>,
    shards: &[u32],
) -> Option<SmallVec<[usize; 16]>> {
    if shards.is_empty() {
        return Some(services);
    }
    let wanted = shards.iter().map(|shard| services.get(*shard as usize));
    wanted.map(Option::<&usize>::copied).collect()
}
