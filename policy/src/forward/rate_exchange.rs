//! Connects the rates that all daemons share with the forwarding engine.

use schema::{
    AccountSpec,
    DaemonName,
    TimePoint, //
};

use super::{
    ForwardAction,
    ForwardEngine,
    LoggedEvent, //
};
use crate::rates::{
    RateAction,
    RateKey,
    RateLimit,
    RateMessage,
    RateTable, //
};

impl ForwardEngine {
    /// The rates that all daemons share.
    pub fn rates(&self) -> &RateTable {
        &self.rates
    }

    /// Takes the quotas of the accounts over.
    pub(super) fn apply_quotas(&mut self, now: TimePoint, accounts: &[AccountSpec]) {
        let Some(bounds) = self.quota_bounds else {
            return;
        };
        let limits = accounts.iter().filter_map(|account| {
            let quota = account.quota.filter(|quota| quota.per_second > 0.0)?;
            let limit = RateLimit::bounded(quota.per_second, quota.burst, &bounds);
            Some((RateKey::of_account(&account.name), limit))
        });
        self.rates.set_limits(now, limits.collect());
    }

    /// Handles a message of another daemon.
    pub(super) fn on_rates_received(
        &mut self,
        now: TimePoint,
        from: &DaemonName,
        message: &RateMessage,
        actions: &mut Vec<ForwardAction>,
    ) {
        let mut rate_actions = Vec::new();
        self.rates.on_message(now, from, message, &mut rate_actions);
        self.carry_out_rates(now, rate_actions, actions);
    }

    /// Does what is due for the rates.
    pub(super) fn run_rates(&mut self, now: TimePoint, actions: &mut Vec<ForwardAction>) {
        if self.rates.next_wakeup() > now {
            return;
        }
        let mut rate_actions = Vec::new();
        self.rates.on_timer(now, &mut rate_actions);
        self.carry_out_rates(now, rate_actions, actions);
    }

    fn carry_out_rates(
        &mut self,
        now: TimePoint,
        rate_actions: Vec<RateAction>,
        actions: &mut Vec<ForwardAction>,
    ) {
        for action in rate_actions {
            match action {
                RateAction::Send { to, message } => {
                    actions.push(ForwardAction::ShareRates { to, message });
                }
                RateAction::Decided { query, admission } => {
                    self.on_rate_decided(now, query, admission, actions);
                }
                RateAction::WriteFleet {
                    record,
                    expected_revision,
                } => actions.push(ForwardAction::WriteFleet {
                    record,
                    expected_revision,
                }),
                RateAction::Log(event) => {
                    actions.push(ForwardAction::Log(LoggedEvent::RatesChanged(event)));
                }
            }
        }
    }
}
