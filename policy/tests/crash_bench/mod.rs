//! Daemons that pass reports of crashes on to each other, in simulated time.

#![allow(clippy::unwrap_used, dead_code)]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration, //
};

use policy::forward::{
    claim_trial,
    combined_notice,
    ClaimOutcome,
    ForwardAction,
    ForwardAnswer,
    ForwardCall,
    ForwardEngine,
    ForwardEvent,
    ForwardFailure,
    ForwardReply,
    ForwardSettings,
    LoggedEvent,
    ProbeOutcome,
    RefusalReason,
    RequestIdentity,
    RouteIndex,
    SendCommand, //
};
use schema::{
    CrashNotice,
    QueryId,
    QueryPrint,
    ReplicaEntry,
    RouteTable,
    RouteTarget,
    TimePoint, //
};

use crate::forward_kit::{
    ms,
    route,
    START, //
};

/// Time after which the platform counts retries of a request that has crashed three replicas.
pub(crate) const SETTLE_PERIOD: Duration = Duration::from_secs(4);

/// The request with content `content` of the caller with number `caller`.
pub(crate) fn identity(content: &str, caller: u8) -> RequestIdentity {
    RequestIdentity::of("GET", "h", content, b"", [10, 0, 0, caller].into())
}

/// Daemons that pass reports of crashes on to each other, and their actions.
pub(crate) struct CrashBench {
    pub(crate) now: TimePoint,
    pub(crate) engines: Vec<ForwardEngine>,
    pub(crate) index: Arc<RouteIndex>,
    /// Attempts sent and not ended, with their daemon.
    pub(crate) sent: Vec<(usize, SendCommand)>,
    pub(crate) answers: Vec<(QueryId, ForwardAnswer)>,
    pub(crate) logged: Vec<LoggedEvent>,
    pub(crate) probes: usize,
    /// Daemons that get no reports.
    pub(crate) cut_off: Vec<usize>,
    pub(crate) last_query: u64,
    /// The notices in the platform's store, and the daemons that don't reach it.
    pub(crate) store: BTreeMap<QueryPrint, CrashNotice>,
    pub(crate) without_store: Vec<usize>,
    /// Each send, with its time.
    pub(crate) send_log: Vec<(TimePoint, QueryId)>,
}

impl CrashBench {
    /// Daemons in data centre `a`, and `replicas` replicas of each service of the target.
    pub(crate) fn new(daemons: usize, target: RouteTarget, replicas: usize) -> Self {
        let mut bench = Self {
            now: START,
            engines: Vec::new(),
            index: Arc::default(),
            sent: Vec::new(),
            answers: Vec::new(),
            logged: Vec::new(),
            probes: 0,
            cut_off: Vec::new(),
            last_query: 0,
            send_log: Vec::new(),
            store: BTreeMap::new(),
            without_store: Vec::new(),
        };
        for _ in 0..daemons {
            bench.add_daemon();
        }
        bench.lead_to(target, replicas);
        bench
    }

    /// Changes the target of the route, and lists `replicas` replicas of each of its services.
    pub(crate) fn lead_to(&mut self, target: RouteTarget, replicas: usize) {
        let routes = vec![route("r", target)];
        let services: Vec<_> = routes[0].services().into_iter().cloned().collect();
        let table = RouteTable {
            routes,
            services: services.iter().map(|name| (name.clone(), 40)).collect(),
            ..RouteTable::default()
        };
        self.index = Arc::new(RouteIndex::new(table));
        for daemon in 0..self.engines.len() {
            let event = ForwardEvent::TableApplied(self.index.clone());
            self.notify(daemon, event);
        }
        for service in &services {
            for number in 0..replicas {
                self.list(&format!("{service}-{number}"), service.as_str(), false);
            }
        }
    }

    pub(crate) fn add_daemon(&mut self) {
        let settings = ForwardSettings {
            zone: "a".parse().unwrap(),
            regions: ["a", "b"]
                .map(|zone| (zone.parse().unwrap(), zone.parse().unwrap()))
                .into(),
            retry_budget_ratio: 10.0,
            retry_budget_slack: 10_000.0,
            ..ForwardSettings::default()
        };
        self.engines.push(ForwardEngine::new(settings));
        let event = ForwardEvent::TableApplied(self.index.clone());
        self.notify(self.engines.len() - 1, event);
    }

    pub(crate) fn list(&mut self, name: &str, service: &str, draining: bool) {
        for daemon in 0..self.engines.len() {
            let entry = ReplicaEntry {
                name: name.parse().unwrap(),
                service: service.parse().unwrap(),
                address: "127.0.0.1:1".parse().unwrap(),
                zone: "a".parse().unwrap(),
                slots: 4,
                draining,
                cold_left: Duration::ZERO,
                born_ms: 1,
            };
            self.notify(daemon, ForwardEvent::ReplicaListed(entry));
        }
    }

    pub(crate) fn notify(&mut self, daemon: usize, event: ForwardEvent) {
        let mut actions = Vec::new();
        self.engines[daemon].on_event(self.now, event, &mut actions);
        let (mut health_checks, mut claims) = (Vec::new(), Vec::new());
        for action in actions {
            match action {
                ForwardAction::Send(command) => {
                    self.send_log.push((self.now, command.query));
                    self.sent.push((daemon, command));
                }
                ForwardAction::Cancel { attempt } => {
                    self.sent
                        .retain(|(other, command)| (*other, command.attempt) != (daemon, attempt));
                }
                ForwardAction::Answer { query, answer } => self.answers.push((query, answer)),
                ForwardAction::Log(event) => self.logged.push(event),
                ForwardAction::Probe { .. } => self.probes += 1,
                ForwardAction::ReportCrash(notice) => self.report(daemon, &notice),
                ForwardAction::CheckHealth { replica, .. } => health_checks.push(replica),
                ForwardAction::KeepCrashes(notice) => {
                    let print = notice.print;
                    let kept = self.reaches_store(daemon);
                    if kept {
                        let stored = combined_notice(&notice, self.store.get(&print));
                        self.store.insert(print, stored);
                    }
                    self.notify(daemon, ForwardEvent::CrashesKept { print, kept });
                }
                ForwardAction::DropCrashes(print) => {
                    self.store.remove(&print);
                }
                ForwardAction::ClaimTrial { query, notice } => claims.push((query, notice)),
                // The replicas of these tests name no limits, no rates are shared, and the daemons keep
                // their links.
                ForwardAction::ShareLimits { .. }
                | ForwardAction::ShareRates { .. }
                | ForwardAction::WriteFleet { .. }
                | ForwardAction::AskHelper { .. }
                | ForwardAction::Relay(_)
                | ForwardAction::CloseIdle { .. }
                | ForwardAction::Forget { .. } => {}
            }
        }
        for (query, notice) in claims {
            let print = notice.print;
            let outcome = match claim_trial(self.now, &notice, self.store.get(&print)) {
                _ if !self.reaches_store(daemon) => ClaimOutcome::Unavailable,
                Ok(granted) => {
                    self.store.insert(print, granted.clone());
                    ClaimOutcome::Granted(granted)
                }
                Err(denied) => ClaimOutcome::Denied(*denied),
            };
            let event = ForwardEvent::TrialClaimed {
                query,
                print,
                outcome,
            };
            self.notify(daemon, event);
        }
        for replica in health_checks {
            let answered = true;
            self.notify(daemon, ForwardEvent::HealthChecked { replica, answered });
        }
    }

    pub(crate) fn report(&mut self, from: usize, notice: &CrashNotice) {
        for daemon in 0..self.engines.len() {
            let cut = self.cut_off.contains(&daemon) || self.cut_off.contains(&from);
            if daemon != from && !cut {
                self.notify(daemon, ForwardEvent::CrashReported(notice.clone()));
            }
        }
    }

    pub(crate) fn arrive(&mut self, daemon: usize, identity: RequestIdentity) -> QueryId {
        self.last_query += 1;
        let query = QueryId(self.last_query);
        let call = ForwardCall {
            index: self.index.clone(),
            route: 0,
            time_left: Some(ms(3_000)),
            identity,
            shards: Vec::new(),
            account: None,
            terms: None,
        };
        self.notify(daemon, ForwardEvent::Arrived { query, call });
        query
    }

    /// Lets time pass, so that timers fire.
    pub(crate) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        loop {
            let wakeups = self.engines.iter().map(ForwardEngine::next_wakeup);
            let at = wakeups.min().unwrap().max(self.now);
            if at > end {
                self.now = end;
                return;
            }
            self.now = at;
            for daemon in 0..self.engines.len() {
                if self.engines[daemon].next_wakeup() <= self.now {
                    self.notify(daemon, ForwardEvent::TimerFired);
                }
            }
        }
    }

    /// Attempts of a request that have not ended.
    pub(crate) fn attempts_of(&self, query: QueryId) -> Vec<(usize, SendCommand)> {
        let of_query = |(_, command): &&(usize, SendCommand)| command.query == query;
        self.sent.iter().filter(of_query).cloned().collect()
    }

    /// Breaks the connections of these attempts at once. Their replicas show `outcome` to a probe.
    pub(crate) fn break_attempts(
        &mut self,
        attempts: &[(usize, SendCommand)],
        outcome: ProbeOutcome,
    ) {
        self.now = self.now + ms(1);
        for (daemon, command) in attempts {
            let attempt = command.attempt;
            self.sent
                .retain(|(other, sent)| (*other, sent.attempt) != (*daemon, attempt));
            let failure = ForwardFailure::Broken;
            self.notify(*daemon, ForwardEvent::Failed { attempt, failure });
        }
        self.now = self.now + ms(1);
        for (daemon, command) in attempts {
            let replica = command.replica;
            self.notify(*daemon, ForwardEvent::Probed { replica, outcome });
        }
    }

    /// Crashes the replicas of all attempts of a request until none is left, as a request does that
    /// crashes each replica which begins it. Returns the number of replicas.
    pub(crate) fn crash_all(&mut self, query: QueryId) -> usize {
        let mut crashes = 0;
        loop {
            let attempts = self.attempts_of(query);
            if attempts.is_empty() {
                return crashes;
            }
            crashes += attempts.len();
            self.break_attempts(&attempts, ProbeOutcome::Refused);
            self.advance(ms(20));
        }
    }

    /// Replies to all attempts of a request until it has its answer.
    pub(crate) fn serve(&mut self, query: QueryId) {
        loop {
            let attempts = self.attempts_of(query);
            if attempts.is_empty() {
                return;
            }
            for (daemon, command) in attempts {
                self.serve_attempt(daemon, &command);
            }
        }
    }

    /// Replies to one attempt.
    pub(crate) fn serve_attempt(&mut self, daemon: usize, command: &SendCommand) {
        let attempt = command.attempt;
        self.sent
            .retain(|(other, sent)| (*other, sent.attempt) != (daemon, attempt));
        let reply = ForwardReply {
            status: 200,
            stamp: Some("stamp".into()),
            body: vec![1; 16].into(),
            ..ForwardReply::default()
        };
        self.notify(daemon, ForwardEvent::Replied { attempt, reply });
    }

    /// Replaces all daemons by new ones, as after a loss of power.
    pub(crate) fn restart_daemons(&mut self, target: RouteTarget, replicas: usize) {
        let daemons = self.engines.len();
        self.engines.clear();
        self.sent.clear();
        for _ in 0..daemons {
            self.add_daemon();
        }
        self.lead_to(target, replicas);
        for daemon in 0..daemons {
            self.read_store(daemon);
        }
    }

    /// Replaces one daemon by a new one, which reads the store before it serves.
    pub(crate) fn replace_daemon(&mut self, daemon: usize, target: RouteTarget, replicas: usize) {
        self.sent.retain(|(other, _)| *other != daemon);
        self.add_daemon();
        if let Some(added) = self.engines.pop() {
            self.engines[daemon] = added;
        }
        self.read_store(daemon);
        self.lead_to(target, replicas);
    }

    /// Lets a daemon read the store, as at its start or while no other daemon answers it.
    pub(crate) fn read_store(&mut self, daemon: usize) {
        if !self.reaches_store(daemon) {
            return;
        }
        for notice in self.store.clone().into_values() {
            self.notify(daemon, ForwardEvent::CrashesRead(notice));
        }
    }

    fn reaches_store(&self, daemon: usize) -> bool {
        !self.without_store.contains(&daemon)
    }

    pub(crate) fn answer(&self, query: QueryId) -> &ForwardAnswer {
        let mut answers = self.answers.iter();
        let answer = answers.find(|(answered, _)| *answered == query);
        &answer.unwrap().1
    }

    pub(crate) fn is_quarantined(&self, query: QueryId) -> bool {
        let reason = RefusalReason::Quarantined;
        matches!(self.answer(query), ForwardAnswer::NotRun { reason: found, .. } if *found == reason)
    }

    pub(crate) fn is_served(&self, query: QueryId) -> bool {
        matches!(
            self.answer(query),
            ForwardAnswer::Relayed { .. } | ForwardAnswer::Merged { .. }
        )
    }

    pub(crate) fn counted(&self) -> usize {
        let counted = |event: &&LoggedEvent| matches!(event, LoggedEvent::CrashCounted { .. });
        self.logged.iter().filter(counted).count()
    }
}

/// Counts the sends of a request that crashes its replicas as the platform does.
#[derive(Debug, Default)]
pub(crate) struct SendCount {
    pub(crate) crashes: usize,
    third_crash: Option<TimePoint>,
    pub(crate) late_sends: usize,
}

impl SendCount {
    /// Sends the request once more at each of `daemons` at the same moment, and crashes all replicas that
    /// get it.
    pub(crate) fn arrive(
        &mut self,
        bench: &mut CrashBench,
        daemons: &[usize],
        identity: impl Fn(usize) -> RequestIdentity,
    ) {
        let logged = bench.send_log.len();
        let arrivals = daemons.iter();
        let queries = arrivals.map(|daemon| bench.arrive(*daemon, identity(*daemon)));
        let queries: Vec<QueryId> = queries.collect();
        let answered = |bench: &CrashBench, query: &QueryId| {
            let mut answers = bench.answers.iter();
            answers.any(|(answered, _)| answered == query)
        };
        loop {
            let attempts = queries.iter().map(|query| bench.attempts_of(*query));
            let attempts: Vec<_> = attempts.flatten().collect();
            if attempts.is_empty() && queries.iter().all(|query| answered(bench, query)) {
                break;
            }
            bench.break_attempts(&attempts, ProbeOutcome::Refused);
            // A replica ends once, however many requests run on it.
            let ended: BTreeSet<&str> = attempts.iter().map(|(_, a)| a.name.as_str()).collect();
            self.crashes += ended.len();
            if self.crashes >= 3 {
                self.third_crash.get_or_insert(bench.now);
            }
            bench.advance(ms(20));
        }
        let third_crash = self.third_crash;
        let late = |at: TimePoint| third_crash.is_some_and(|third| at.since(third) > SETTLE_PERIOD);
        let sends = bench.send_log[logged..].iter();
        let of_queries = sends.filter(|(_, query)| queries.contains(query));
        self.late_sends += of_queries.filter(|(at, _)| late(*at)).count();
    }
}

pub(crate) fn single() -> RouteTarget {
    RouteTarget::Single("s0".parse().unwrap())
}
