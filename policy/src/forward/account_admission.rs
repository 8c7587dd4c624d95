//! Admits requests by the quota of their client account, and ends those whose API key has been revoked.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    AccountSpec,
    QueryId,
    TimePoint, //
};

use super::{
    pending_request::{
        PendingRequest,
        RelayState, //
    },
    ForwardAction,
    ForwardAnswer,
    ForwardEngine,
    RefusalReason, //
};
use crate::rates::{
    RateAdmission,
    RateKey,
    RateTable, //
};

/// The rates of client accounts at this daemon, and the requests that wait for them.
#[derive(Clone, Debug, Default)]
pub(super) struct AccountAdmissions {
    /// The rate of each request that waits for the decision on it. One that ends meanwhile stays here until the
    /// decision comes, which may have to be given back.
    pub(super) undecided: BTreeMap<QueryId, RateKey>,
    /// Admissions of requests that did not run.
    pub(super) given_back: u64,
}

impl AccountAdmissions {
    /// Returns the admission of a request that did not run, if it has one.
    pub(super) fn give_back(
        &mut self,
        now: TimePoint,
        request: &mut PendingRequest,
        rates: &mut RateTable,
    ) {
        if let Some(key) = request.charged.take() {
            rates.give_back(now, key);
            self.given_back += 1;
        }
    }
}

impl ForwardEngine {
    /// Asks for the admission of a request for which nothing has been sent. Requests without a quota are
    /// admitted, and so are those that another daemon has relayed, which has asked.
    pub(super) fn ask_rate(&mut self, now: TimePoint, request: &PendingRequest) -> RateAdmission {
        match quota_key(request) {
            Some(key) => self.rates.request(now, key, request.query),
            None => RateAdmission::Admitted,
        }
    }

    /// Sends a request on, holds it or refuses it, as its admission says.
    pub(super) fn follow_admission(
        &mut self,
        now: TimePoint,
        mut request: PendingRequest,
        admission: RateAdmission,
        actions: &mut Vec<ForwardAction>,
    ) {
        let query = request.query;
        let key = quota_key(&request);
        match (admission, key) {
            (RateAdmission::Refused { retry_after }, _) => {
                let answer = ForwardAnswer::NotRun {
                    reason: RefusalReason::Quota,
                    retry_after,
                };
                actions.push(ForwardAction::Answer { query, answer });
            }
            (RateAdmission::Pending, Some(key)) => {
                self.admissions.undecided.insert(query, key);
                request.relay = RelayState::Unadmitted;
                self.requests.insert(query, request);
                self.complete_or_schedule(now, query, actions);
            }
            (RateAdmission::Admitted | RateAdmission::Pending, key) => {
                request.charged = key;
                self.start_request(now, request, actions);
            }
        }
    }

    /// Handles the decision on a request that waits for the rate of its account. If the request has ended, the
    /// admission is given back.
    pub fn on_rate_decided(
        &mut self,
        now: TimePoint,
        query: QueryId,
        admission: RateAdmission,
        actions: &mut Vec<ForwardAction>,
    ) {
        if admission == RateAdmission::Pending {
            return;
        }
        let Some(key) = self.admissions.undecided.remove(&query) else {
            return;
        };
        let waits = |request: &PendingRequest| request.relay == RelayState::Unadmitted;
        if !self.requests.get(&query).is_some_and(waits) {
            if admission == RateAdmission::Admitted {
                self.rates.give_back(now, key);
                self.admissions.given_back += 1;
            }
            return;
        }
        let Some(mut request) = self.requests.remove(&query) else {
            return;
        };
        self.request_timers.remove(&(request.timer_at, query));
        request.timer_at = TimePoint::NEVER;
        request.relay = RelayState::Direct;
        if admission == RateAdmission::Admitted {
            // The replicas may have become unavailable meanwhile.
            request.charged = Some(key);
            if self.refuse_unsendable(now, &request, actions) {
                let rates = &mut self.rates;
                self.admissions.give_back(now, &mut request, rates);
                return;
            }
            if now >= request.answer_by {
                self.requests.insert(query, request);
                self.complete_or_schedule(now, query, actions);
                return;
            }
        }
        self.follow_admission(now, request, admission, actions);
    }

    /// Answers the requests among `queries` that no replica may have run: their API keys have been revoked.
    pub(super) fn on_keys_revoked(
        &mut self,
        now: TimePoint,
        queries: &[QueryId],
        actions: &mut Vec<ForwardAction>,
    ) {
        for query in queries {
            let Some(request) = self.requests.get(query) else {
                continue;
            };
            if request.may_have_run() {
                continue;
            }
            let answer = ForwardAnswer::NotRun {
                reason: RefusalReason::KeyRevoked,
                retry_after: Duration::ZERO,
            };
            self.complete(now, *query, answer, actions);
        }
    }
}

/// The rate that a request has to ask; `None` if its account has none or another daemon has asked.
fn quota_key(request: &PendingRequest) -> Option<RateKey> {
    let account: &AccountSpec = request.account.as_deref()?;
    let asks = account.quota.is_some() && request.terms.is_none();
    asks.then(|| RateKey::of_account(&account.name))
}
