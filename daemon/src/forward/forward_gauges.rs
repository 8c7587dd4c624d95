//! Publishes the state of the forwarding loop as gauges.

use schema::TimePoint;

use super::forward_loop::ForwardLoop;

impl ForwardLoop {
    /// Sets all gauges.
    pub(super) fn publish_gauges(&self, now: TimePoint) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.in_flight.set(gauge(self.requests.len()));
        self.metrics
            .idle_connections
            .set(gauge(self.idle_pool.count()));
        let age = self.feed.age(now).unwrap_or_default();
        self.metrics.directory_age.set(age.as_secs_f64());
        let status = self.engine.status(now);
        for (state, count) in status.replicas {
            let label = [("state", state)];
            self.metrics
                .replicas
                .get_or_create(&label)
                .set(gauge(count));
        }
        for (service, budget_left) in status.budgets {
            let label = [("service", service.to_string())];
            let budget_left = i64::from(budget_left);
            self.metrics
                .retry_budget
                .get_or_create(&label)
                .set(budget_left);
        }
        self.metrics.limits.clear();
        self.metrics.limit_shares.clear();
        for (replica, limit, share) in status.limits {
            let label = [("replica", replica.to_string())];
            let limits = &self.metrics.limits;
            limits.get_or_create(&label).set(limit.per_second());
            self.metrics.limit_shares.get_or_create(&label).set(share);
        }
        let rates = self.engine.rates();
        if rates.limit_count() > 0 {
            let is_authority = *rates.authority() == self.vm;
            self.metrics.rate_share.set(rates.share());
            self.metrics.rate_pledges.set(gauge(rates.pledged_count()));
            self.metrics.rate_authority.set(i64::from(is_authority));
            let counts = rates.counts();
            let counts = [
                ("admitted", counts.admitted),
                ("refused", counts.refused),
                ("waited", counts.waited),
                ("asks", counts.asks),
                ("answers", counts.answers),
                ("tokens_issued", counts.granted),
            ];
            for (kind, count) in counts {
                let counter = self.metrics.rate_counts.get_or_create(&[("kind", kind)]);
                counter.inc_by(count.saturating_sub(counter.get()));
            }
        }
        self.metrics
            .stranded
            .set(i64::from(status.lost_links.is_some()));
        let returned = i64::try_from(status.quota_returned).unwrap_or(i64::MAX);
        self.metrics.quota_returned.set(returned);
        self.metrics.relayed.set(gauge(status.relayed));
        self.metrics.evacuated.set(gauge(status.evacuated.len()));
        self.metrics.waiting_parts.set(gauge(status.waiting));
        self.metrics.quarantined.set(gauge(status.quarantined));
    }
}
