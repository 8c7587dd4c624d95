//! The forwarding engine: takes requests, replies and timers as events, and returns sends and
//! answers as actions.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use schema::{
    AttemptId,
    CrashNotice,
    QueryId,
    RateBounds,
    ReplicaEntry,
    ReplicaName,
    RouteName,
    RouteTarget,
    TimePoint,
    ZoneName, //
};
use smallvec::SmallVec;

use super::{
    account_admission::AccountAdmissions,
    crash_probes::CrashProbes,
    delegate::{
        wanted_services,
        DelegateTable, //
    },
    helper_table::HelperTable,
    pending_request::PendingRequest,
    reach_monitor::ReachMonitor,
    relay_context::RelayContext,
    relay_intake::RelayIntake,
    replica_record::ExpectedRun,
    route_state::RouteState,
    CrashTable,
    ForwardAction,
    ForwardAnswer,
    ForwardCall,
    ForwardEvent,
    ForwardSettings,
    LoggedEvent,
    RelayPeer,
    RelayRefusal,
    ReplicaKey,
    ReplicaRegistry,
    RequestIdentity,
    RouteIndex, //
};
use crate::{
    places::{
        RequestPlacement,
        UnknownHomes, //
    },
    rates::{
        RateSettings,
        RateTable, //
    },
};

/// Margin before the latency goal for delays that the daemon can't measure: that of the caller's
/// link (3 ms each way in the deployments, and as much again for a new connection) and the daemon's
/// own delays on a small machine.
const GOAL_MARGIN: Duration = Duration::from_millis(20);
/// Margin before the caller's deadline, so that the last possible answer still reaches the caller.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// An attempt in flight.
#[derive(Clone, Debug)]
pub(super) struct AttemptContext {
    /// The caller's request to which the attempt belongs.
    pub(super) query: QueryId,
    /// Index of the part within the request.
    pub(super) part: usize,
    /// The identity of that request.
    pub(super) identity: RequestIdentity,
    /// The replica to which the attempt was sent.
    pub(super) replica: ReplicaKey,
    /// The route whose latency statistics include the reply to this attempt.
    pub(super) route: RouteName,
    /// When the attempt was sent.
    pub(super) sent_at: TimePoint,
    /// What was expected of it; `None` if work is not estimated.
    pub(super) expected: Option<ExpectedRun>,
    /// When the attempt is cancelled if its request no longer needs it; `NEVER` while it is needed.
    pub(super) expires_at: TimePoint,
}

/// Decides for each request to which replicas it is sent, when it is hedged or retried, and when
/// and how it is answered.
#[derive(Debug)]
pub struct ForwardEngine {
    pub(super) registry: ReplicaRegistry,
    pub(super) routes: BTreeMap<RouteName, RouteState>,
    pub(super) requests: BTreeMap<QueryId, PendingRequest>,
    pub(super) attempts: BTreeMap<AttemptId, AttemptContext>,
    /// The time at which each pending request is processed next.
    pub(super) request_timers: BTreeSet<(TimePoint, QueryId)>,
    /// The time at which each attempt that is no longer needed is cancelled.
    pub(super) attempt_expiries: BTreeSet<(TimePoint, AttemptId)>,
    pub(super) last_attempt: u64,
    /// Broken attempts for which a probe decides whether the replica has crashed.
    pub(super) probes: CrashProbes,
    /// Crashes that count against requests.
    pub(super) crashes: CrashTable,
    /// Whether this daemon reaches the replicas.
    pub(super) reach: ReachMonitor,
    /// The replica whose health was checked last.
    pub(super) last_checked: ReplicaKey,
    /// Daemons that forward requests for this one while it does not.
    pub(super) helpers: HelperTable,
    /// Daemons that gather for this one while the links are there.
    pub(super) delegates: DelegateTable,
    /// Requests at other daemons.
    pub(super) relays: BTreeMap<AttemptId, RelayContext>,
    /// Requests of other daemons at this one.
    pub(super) intake: RelayIntake,
    /// Services with queued parts in which an attempt has just ended.
    pub(super) freed_services: Vec<usize>,
    /// Rates that all daemons share.
    pub(super) rates: RateTable,
    pub(super) quota_bounds: Option<RateBounds>,
    /// Requests that wait for the rate of their client account.
    pub(super) admissions: AccountAdmissions,
    /// Home regions that the deployment does not have.
    unknown_homes: UnknownHomes,
}

impl ForwardEngine {
    /// Creates an engine without replicas, routes or requests.
    pub fn new(settings: ForwardSettings) -> Self {
        let (zone, regions) = (settings.zone.clone(), settings.regions.clone());
        Self {
            reach: ReachMonitor::default(),
            last_checked: ReplicaKey::default(),
            helpers: HelperTable::new(zone, regions, settings.seed),
            delegates: DelegateTable::new(&settings),
            relays: BTreeMap::new(),
            intake: RelayIntake::default(),
            rates: RateTable::new(RateSettings {
                daemon: settings.daemon.clone(),
                capacity: settings.capacity,
                incarnation: settings.incarnation,
            }),
            quota_bounds: settings.quota_bounds,
            registry: ReplicaRegistry::new(settings),
            routes: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            request_timers: BTreeSet::new(),
            attempt_expiries: BTreeSet::new(),
            last_attempt: 0,
            probes: CrashProbes::default(),
            crashes: CrashTable::default(),
            freed_services: Vec::new(),
            admissions: AccountAdmissions::default(),
            unknown_homes: UnknownHomes::default(),
        }
    }

    /// Handles an event and appends the resulting actions to `actions`. Events about attempts and
    /// requests that have already ended are ignored.
    pub fn on_event(
        &mut self,
        now: TimePoint,
        event: ForwardEvent,
        actions: &mut Vec<ForwardAction>,
    ) {
        match event {
            ForwardEvent::Arrived { query, call } => self.on_arrival(now, query, call, actions),
            ForwardEvent::CallerGone { query } => self.on_caller_gone(now, query, actions),
            ForwardEvent::Replied { attempt, reply } => {
                self.on_reply(now, attempt, reply, actions);
            }
            ForwardEvent::Failed { attempt, failure } => {
                self.on_failure(now, attempt, failure, actions);
            }
            ForwardEvent::Probed { replica, outcome } => {
                self.on_probed(now, replica, outcome, actions);
            }
            ForwardEvent::CrashReported(notice) => self.on_crash_reported(now, notice, actions),
            ForwardEvent::CrashesRead(notice) => self.on_crashes_read(now, notice, actions),
            ForwardEvent::CrashesKept { print, kept } => {
                if !kept {
                    self.crashes.keep_failed(now, print);
                }
            }
            ForwardEvent::TrialClaimed {
                query,
                print,
                outcome,
            } => self.on_trial_claimed(now, query, print, outcome, actions),
            ForwardEvent::ReplicaListed(entry) => self.list_replica(now, entry, actions),
            ForwardEvent::ReplicaUnlisted(name) => self.unlist_replica(now, &name, actions),
            ForwardEvent::ZoneEvacuated { zone, evacuated } => {
                self.on_zone_evacuated(now, zone, evacuated, actions);
            }
            ForwardEvent::KeysRevoked { queries } => {
                self.on_keys_revoked(now, &queries, actions);
            }
            ForwardEvent::TableApplied(index) => self.apply_table(now, &index, actions),
            ForwardEvent::DaemonsCounted { daemons, others } => {
                self.registry.set_daemons(now, daemons, others);
            }
            ForwardEvent::LimitsReported { from, notice } => {
                self.on_limits_reported(now, &from, &notice, actions);
            }
            ForwardEvent::Connected { replica, opened } => {
                self.reach.record_connect(now, replica, opened);
            }
            ForwardEvent::HealthChecked { replica, answered } => {
                self.on_health_checked(now, replica, answered, actions);
            }
            ForwardEvent::ColdReported { replica, left } => {
                self.on_cold_reported(now, replica, left);
            }
            ForwardEvent::LeavingNamed { instances } => {
                self.on_leaving_named(now, &instances, actions);
            }
            ForwardEvent::RelayPeersListed(peers) => {
                let members = peers.iter().filter_map(RelayPeer::rate_member);
                self.rates.set_members(now, members.collect());
                self.delegates.set_peers(&peers);
                self.helpers.set_peers(peers);
            }
            ForwardEvent::OfferReceived { from, offer } => {
                self.on_offer(now, &from, offer, actions);
            }
            ForwardEvent::RelayEnded { attempt, outcome } => {
                self.on_relay_ended(now, attempt, outcome, actions);
            }
            ForwardEvent::BranchGathered { attempt, answer } => {
                self.on_branch_gathered(now, attempt, answer, actions);
            }
            ForwardEvent::RatesReceived { from, message } => {
                self.on_rates_received(now, &from, &message, actions);
            }
            ForwardEvent::FleetListed(entry) => self.rates.set_fleet(now, entry),
            ForwardEvent::DirectoryKnown { at } => self.rates.confirm_fleet(now, at),
            ForwardEvent::Suspended { period } => self.rates.on_suspended(now, period),
            ForwardEvent::TimerFired => {
                self.run_rates(now, actions);
                self.on_timer(now, actions);
                self.check_links(now, actions);
                self.update_borrowed(now);
                self.report_crashes(now, actions);
                self.share_limits(now, actions);
            }
        }
        self.serve_queues(now, actions);
    }

    /// When the daemon has to send `TimerFired`; [`TimePoint::NEVER`] if no timer is set.
    pub fn next_wakeup(&self) -> TimePoint {
        let timer = self
            .request_timers
            .first()
            .map_or(TimePoint::NEVER, |(at, _)| *at);
        let expiry = self
            .attempt_expiries
            .first()
            .map_or(TimePoint::NEVER, |(at, _)| *at);
        let shared = self.crashes.next_wakeup().min(self.crashes.next_check());
        let shared = shared.min(self.registry.limits.next_wakeup());
        let links = self.reach.next_wakeup().min(self.helpers.next_wakeup());
        let shared = shared.min(self.rates.next_wakeup());
        timer.min(expiry).min(shared).min(links)
    }

    /// Number of requests that have not been answered yet.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// The crashes that a daemon which joins has to know.
    pub fn crash_notices(&self) -> Vec<CrashNotice> {
        self.crashes.sync_notices()
    }

    /// The nearest usable replica of each service in the route table `index`, in the homes of its route. The daemon opens
    /// connections to these replicas before the first request needs them.
    pub fn nearest(&self, now: TimePoint, index: &RouteIndex) -> Vec<(ReplicaKey, SocketAddr)> {
        let routes = index.table.routes.iter();
        let own = routes.filter(|route| !self.gathers_elsewhere(&route.name));
        let mut nearest = BTreeMap::new();
        for route in own {
            let placement = RequestPlacement::new(&route.homes, &[]);
            for name in route.services() {
                nearest.extend(self.registry.nearest(now, name, &placement));
            }
        }
        nearest.into_iter().collect()
    }

    /// Applies a new route table: forgets the state of removed routes and updates the connection
    /// limits of services.
    fn apply_table(
        &mut self,
        now: TimePoint,
        index: &RouteIndex,
        actions: &mut Vec<ForwardAction>,
    ) {
        let table = &index.table;
        self.apply_quotas(now, &table.accounts);
        let regions = self.registry.settings.regions.values().collect();
        for (region, [routes, accounts]) in self.unknown_homes.apply_table(&regions, table) {
            actions.push(ForwardAction::Log(LoggedEvent::HomeUnknown {
                region,
                routes,
                accounts,
            }));
        }
        self.registry.set_services(&table.services);
        self.reach.set_listed(self.registry.listed_count());
        self.registry.set_cold_limits(now, table);
        let names: BTreeSet<&RouteName> = table.routes.iter().map(|route| &route.name).collect();
        self.routes.retain(|name, _| names.contains(name));
    }

    /// Starts or ends the evacuation of a data centre. Parts that are queued for a replica are looked at again:
    /// they go elsewhere, or have a choice again.
    fn on_zone_evacuated(
        &mut self,
        now: TimePoint,
        zone: ZoneName,
        evacuated: bool,
        actions: &mut Vec<ForwardAction>,
    ) {
        // A replica that registers in an unknown data centre later is evacuated all the same.
        let services = self.registry.set_evacuated(now, &zone, evacuated);
        self.freed_services.extend(services);
        if !evacuated {
            self.check_cold(&zone, actions);
        }
        if self.registry.knows_zone(&zone) {
            let event = LoggedEvent::ZoneEvacuated { zone, evacuated };
            actions.push(ForwardAction::Log(event));
        } else if evacuated {
            actions.push(ForwardAction::Log(LoggedEvent::ZoneUnknown { zone }));
        }
    }

    fn list_replica(
        &mut self,
        now: TimePoint,
        entry: ReplicaEntry,
        actions: &mut Vec<ForwardAction>,
    ) {
        let event = LoggedEvent::ReplicaListed {
            replica: entry.name.clone(),
            service: entry.service.clone(),
            draining: entry.draining,
        };
        let (replaced, changed) = self.registry.upsert(now, entry);
        if changed {
            actions.push(ForwardAction::Log(event));
        }
        if let Some(key) = replaced {
            self.forget_if_unused(now, key, actions);
        }
        self.reach.set_listed(self.registry.listed_count());
    }

    fn unlist_replica(
        &mut self,
        now: TimePoint,
        name: &ReplicaName,
        actions: &mut Vec<ForwardAction>,
    ) {
        let Some(key) = self.registry.unlist(name) else {
            return;
        };
        let replica = name.clone();
        actions.push(ForwardAction::Log(LoggedEvent::ReplicaUnlisted { replica }));
        self.reach.forget(key);
        self.reach.set_listed(self.registry.listed_count());
        self.forget_if_unused(now, key, actions);
    }

    /// Forgets a replica that has left the directory once it has no attempt in flight.
    pub(super) fn forget_if_unused(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        actions: &mut Vec<ForwardAction>,
    ) {
        if self.registry.remove_if_unused(now, key) {
            actions.push(ForwardAction::Forget { replica: key });
        }
    }

    fn on_arrival(
        &mut self,
        now: TimePoint,
        query: QueryId,
        call: ForwardCall,
        actions: &mut Vec<ForwardAction>,
    ) {
        if let Some(request) = self.accept_request(now, query, call, actions) {
            let admission = self.ask_rate(now, &request);
            self.follow_admission(now, request, admission, actions);
        }
    }

    /// Creates the state of a request that arrives, or answers it at once.
    pub(super) fn accept_request(
        &mut self,
        now: TimePoint,
        query: QueryId,
        call: ForwardCall,
        actions: &mut Vec<ForwardAction>,
    ) -> Option<PendingRequest> {
        let index = Arc::clone(&call.index);
        let spec = &index.table.routes[call.route];
        let mut request = PendingRequest::new(query, call.index, call.route, call.identity, now);
        let state = self.routes.entry(spec.name.clone()).or_default();
        let elapsed = state.elapsed(call.time_left);
        let time_left = call.time_left.unwrap_or(spec.timeout);
        request.hedge_delay = state.hedge_delay(spec.goal);
        request.deadline = call.time_left.map(|time_left| now + time_left);
        request.terms = call.terms;
        let account_homes = call
            .account
            .as_ref()
            .map_or(&[][..], |account| &account.homes);
        request.placement = RequestPlacement::new(&spec.homes, account_homes);
        request.account = call.account;
        let age = call.terms.map_or(Duration::ZERO, |terms| terms.age);
        let timeout = spec.timeout.saturating_sub(age);
        request.answer_by = now + timeout.min(time_left.saturating_sub(DEADLINE_MARGIN));
        if !spec.goal.is_zero() {
            request.goal_at = now + spec.goal.saturating_sub(elapsed + GOAL_MARGIN);
        }
        if let Some(branch) = call.terms.and_then(|terms| terms.branch) {
            request.goal_at = now + branch.goal_left;
        }
        let services = self.target_services(&spec.name, &spec.target);
        let Some(services) = wanted_services(services, &call.shards) else {
            let refusal = RelayRefusal::OldTable;
            let answer = ForwardAnswer::Declined { refusal };
            actions.push(ForwardAction::Answer { query, answer });
            return None;
        };
        request.create_parts(&services);
        if self.refuse_crashing(now, &mut request, actions) {
            return None;
        }
        if let Some(refusal) = self.refuse_relayed(now, &request) {
            let answer = ForwardAnswer::Declined { refusal };
            actions.push(ForwardAction::Answer { query, answer });
            return None;
        }
        if self.refuse_unsendable(now, &request, actions) {
            return None;
        }
        Some(request)
    }

    /// Sends a request for the first time, to replicas or to another daemon.
    pub(super) fn start_request(
        &mut self,
        now: TimePoint,
        mut request: PendingRequest,
        actions: &mut Vec<ForwardAction>,
    ) {
        let query = request.query;
        if self.reach.lost().is_some() && request.may_be_relayed() {
            self.relay_request(now, &mut request, actions);
        } else {
            self.intake.in_flight += u32::from(request.terms.is_some());
            if !self.claim_if_needed(now, &mut request, actions) {
                self.send_first(now, &mut request, actions);
            }
        }
        self.requests.insert(query, request);
        self.complete_or_schedule(now, query, actions);
    }

    /// Indexes of the services to which a new request is sent. For a split route, chooses one by
    /// weight.
    pub(super) fn target_services(
        &mut self,
        route: &RouteName,
        target: &RouteTarget,
    ) -> SmallVec<[usize; 16]> {
        match target {
            RouteTarget::Single(name) => SmallVec::from_slice(&[self.registry.index_of(name)]),
            RouteTarget::Gather { shards, .. } => {
                shards.iter().map(|s| self.registry.index_of(s)).collect()
            }
            RouteTarget::Split(parts) => {
                let weights: SmallVec<[f64; 4]> = parts.iter().map(|(_, weight)| *weight).collect();
                let state = self.routes.entry(route.clone()).or_default();
                let chosen = state.balancer.next(&weights);
                let (name, _) = &parts[chosen];
                SmallVec::from_slice(&[self.registry.index_of(name)])
            }
        }
    }
}
