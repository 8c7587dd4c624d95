//! Checks whether this daemon reaches the replicas, and what follows from the outcome.

use schema::{
    QueryId,
    TimePoint,
    ZoneName, //
};

use super::{
    pending_request::RelayState,
    reach_monitor::ReachChange,
    replica_record::ReplicaRecord,
    ForwardAction,
    ForwardEngine,
    LinkLoss,
    LoggedEvent,
    ReplicaKey, //
};

impl ForwardEngine {
    /// Whether this daemon has lost its links to all replicas.
    pub fn is_stranded(&self) -> bool {
        self.reach.lost().is_some()
    }

    /// Runs the timers of the link checks and of the questions to helpers.
    pub(super) fn check_links(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        if self.reach.next_wakeup() <= now {
            let count = self.reach.checks_due(now);
            self.start_checks(now, count, actions);
            self.reach.end_unchecked(now);
            if self.reach.turn_silent(now) {
                self.hand_over_pending(now, actions);
            }
        }
        for to in self.helpers.asks_due(now) {
            self.ask_helper(now, to, actions);
        }
    }

    /// Handles the end of a health check.
    pub(super) fn on_health_checked(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        answered: bool,
        actions: &mut Vec<ForwardAction>,
    ) {
        match self.reach.record_check(now, key, answered) {
            None => {}
            Some(ReachChange::Lost(evidence)) => {
                actions.push(ForwardAction::Log(LoggedEvent::LinksLost { evidence }));
                self.helpers.start(now);
                self.check_links(now, actions);
            }
            Some(ReachChange::Regained(period)) => {
                actions.push(ForwardAction::Log(LoggedEvent::LinksRegained { period }));
                self.helpers.stop();
                // Connections that were open before may be dead, and failures since then were none of
                // the replicas.
                for (key, record) in &mut self.registry.records {
                    record.forgive(now);
                    actions.push(ForwardAction::CloseIdle { replica: *key });
                }
            }
        }
    }

    /// Hands over the requests that wait for replicas, once there is a helper. Until then their attempts
    /// go on: replicas that are only slow may still reply.
    pub(super) fn hand_over_pending(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        let Some((loss, _)) = self.reach.lost() else {
            return;
        };
        let queries: Vec<QueryId> = self.requests.keys().copied().collect();
        for query in queries {
            let Some(mut request) = self.requests.remove(&query) else {
                continue;
            };
            // Replies may still come on open connections if only new ones fail.
            let waits = loss == LinkLoss::Unconnected && request.is_in_flight();
            let (placement, tried) = (&request.placement, &request.helpers_tried);
            let route = &request.spec().name;
            let has_helper = self.helpers.choose(now, route, placement, tried).is_some();
            let is_direct = request.relay == RelayState::Direct;
            if is_direct && request.may_be_relayed() && !waits {
                if has_helper {
                    self.relay_request(now, &mut request, actions);
                } else if let Some(to) = self.helpers.ask_at_home(now, placement) {
                    self.ask_helper(now, to, actions);
                }
            }
            self.requests.insert(query, request);
            self.complete_or_schedule(now, query, actions);
        }
    }

    /// Starts health checks of `count` replicas: of different services and data centres where possible,
    /// those that have shown no sign of a loss first.
    fn start_checks(&mut self, now: TimePoint, count: usize, actions: &mut Vec<ForwardAction>) {
        let mut left = count;
        while left > 0 {
            let Some(key) = self.next_checked(now) else {
                return;
            };
            left -= 1;
            self.reach.start_check(key);
            self.last_checked = key;
            let record = &self.registry.records[&key];
            actions.push(ForwardAction::CheckHealth {
                replica: key,
                service: record.entry.service.clone(),
                address: record.entry.address,
            });
        }
    }

    fn next_checked(&self, now: TimePoint) -> Option<ReplicaKey> {
        let records = self.registry.records.iter();
        let usable = records.filter(|(key, record)| {
            let rests = now < record.statements.rest_until;
            let usable = record.is_wanted() && !rests && self.registry.is_configured(record);
            usable && !self.reach.is_checked(**key)
        });
        let checked = |service: usize, zone: &ZoneName| {
            let records = self.registry.records.iter();
            let running = records.filter(|(key, _)| self.reach.is_checked(**key));
            let (mut services, mut zones) = (0, 0);
            for (_, record) in running {
                services += usize::from(record.service == service);
                zones += usize::from(record.entry.zone == *zone);
            }
            (services, zones)
        };
        let rank = |(key, record): &(&ReplicaKey, &ReplicaRecord)| {
            let (services, zones) = checked(record.service, &record.entry.zone);
            // Replicas take turns.
            let turn = key.0.wrapping_sub(self.last_checked.0 + 1);
            (services, self.reach.is_suspicious(**key), zones, turn)
        };
        usable.min_by_key(rank).map(|(key, _)| *key)
    }
}
