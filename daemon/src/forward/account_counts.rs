//! Counts the requests of client accounts.

use std::collections::BTreeSet;

use schema::AccountName;

use super::forward_metrics::{
    AccountLabels,
    ForwardMetrics, //
};

/// Accounts with counters of their own. The configuration may name any number.
const COUNTED_MAX: usize = 64;
/// Label of the accounts beyond them. No account has it, see [`AccountCounts::count`].
const OTHER: &str = "other";

/// The accounts with counters of their own: those that came first.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountCounts {
    counted: BTreeSet<AccountName>,
}

impl AccountCounts {
    /// Counts a request of `account` that ended as `result`. An account whose name is that of the common label
    /// is counted there.
    pub(super) fn count(
        &mut self,
        metrics: &ForwardMetrics,
        account: &AccountName,
        result: &'static str,
    ) {
        if self.counted.len() < COUNTED_MAX && !self.counted.contains(account) {
            self.counted.insert(account.clone());
        }
        let label = match self.counted.contains(account) {
            true => account.as_str(),
            false => OTHER,
        };
        let labels = AccountLabels {
            account: label.into(),
            result,
        };
        metrics.account_requests.get_or_create(&labels).inc();
    }
}
