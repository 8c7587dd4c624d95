//! This daemon's shares in the retry budgets, which all daemons spend together.

use schema::TimePoint;

use super::ReplicaRegistry;

/// Share of the retry budget's slack that is used. The rest covers daemons that this one does not
/// know of, and attempts of an earlier window that arrive late.
const SLACK_SHARE: f64 = 0.6;
/// Part of that share which the daemons that gather for others divide among themselves.
const DELEGATE_SLACK_SHARE: f64 = 0.6;

impl ReplicaRegistry {
    /// Takes an extra attempt out of the retry budget of a service; returns false if none is left.
    /// A request past its goal (`late`) may not use the last half of the budget, which is kept for
    /// requests that can still be in time.
    pub(super) fn spend_budget(&mut self, now: TimePoint, service: usize, late: bool) -> bool {
        let slack = self.budget_slack(now, service);
        let budget = &mut self.services[service].budget;
        budget.set_slack(slack);
        (!late || budget.has_half_left()) && budget.try_spend(now)
    }

    /// Whether the retry budget of a service allows another attempt.
    pub(super) fn has_budget(&mut self, now: TimePoint, service: usize) -> bool {
        let slack = self.budget_slack(now, service);
        let budget = &mut self.services[service].budget;
        budget.set_slack(slack);
        budget.allows(now)
    }

    /// This daemon's part of the retry budget's slack, which all daemons share. It is zero while no
    /// other daemon is known, and for the first window after the start, because the daemon does not
    /// know what it spent before a restart. Daemons that gather for others get a part of it for
    /// themselves.
    fn budget_slack(&mut self, now: TimePoint, service: usize) -> f64 {
        let started_at = *self.started_at.get_or_insert(now);
        if self.daemons < 2 || now.since(started_at) < self.settings.retry_budget_window {
            return 0.0;
        }
        let slack = self.settings.retry_budget_slack * SLACK_SHARE;
        let even = slack / f64::from(self.daemons);
        let state = &self.services[service];
        match state.sharers {
            Some(sharers) => {
                let own = slack * DELEGATE_SLACK_SHARE / f64::from(sharers.max(1));
                own + even * (1.0 - DELEGATE_SLACK_SHARE)
            }
            None if state.gathered_elsewhere => even * (1.0 - DELEGATE_SLACK_SHARE),
            None => even,
        }
    }
}
