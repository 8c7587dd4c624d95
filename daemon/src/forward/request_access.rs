//! Whether a request that arrives has a client account, and what becomes of it without one.

use std::{
    rc::Rc,
    sync::Arc, //
};

use platform::{
    account_name,
    api_key,
    set_account, //
};
use policy::{
    accounts::{
        AccountIndex,
        KeyDecision,
        KeyFault, //
    },
    forward::{
        ForwardEvent,
        RouteIndex, //
    },
};
use schema::{
    AccountName,
    AccountSpec,
    DaemonName,
    KeyDigest,
    MemberBuild,
    TimePoint, //
};

use super::{
    arrived_request::ArrivedRequest,
    forward_loop::ForwardLoop, //
};

/// How a request was let in.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestAccess {
    /// Whether its key was checked, here or by the daemon that has relayed it. Otherwise its headers are passed
    /// on as the caller sent them.
    pub(super) checked: bool,
    /// Its account; `None` if it has none.
    pub(super) account: Option<Arc<AccountSpec>>,
    /// The digest of the key by which this daemon let it in.
    pub(super) key: Option<KeyDigest>,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AccessRefusal {
    /// It has no valid key.
    Key(KeyFault),
    /// Another daemon has relayed it, and this one does not know its account.
    NoAccount,
}

impl RequestAccess {
    /// Decides about a request by the key that it sends.
    fn by_key(
        accounts: &AccountIndex,
        headers: &http::HeaderMap,
        is_public: bool,
    ) -> Result<Self, AccessRefusal> {
        let key = api_key(headers);
        match accounts.decide(key, is_public) {
            KeyDecision::Unchecked => Ok(Self::default()),
            KeyDecision::Admitted(account) => Ok(Self {
                checked: true,
                account,
                key: key.flatten(),
            }),
            KeyDecision::Refused(fault) => Err(AccessRefusal::Key(fault)),
        }
    }

    /// The name of the account.
    pub(super) fn account_name(&self) -> Option<&AccountName> {
        self.account.as_ref().map(|account| &account.name)
    }

    /// Whether the request would still be let in by `accounts`.
    fn is_valid_in(&self, accounts: &AccountIndex) -> bool {
        match (&self.key, self.account_name()) {
            _ if !accounts.needs_keys() => true,
            (Some(key), _) => accounts.knows_key(key),
            (None, Some(account)) => accounts.named(account).is_some(),
            (None, None) => true,
        }
    }
}

impl ForwardLoop {
    /// Decides whether a request is let in. One that a member of a build with accounts has relayed names its
    /// account itself.
    pub(super) fn check_access(
        &self,
        arrived: &ArrivedRequest,
        index: &RouteIndex,
        is_public: bool,
    ) -> Result<RequestAccess, AccessRefusal> {
        let headers = &arrived.head.headers;
        let accounts = &index.accounts;
        let relayed = arrived.relayed.as_ref();
        let sender = relayed.filter(|relayed| self.checks_keys(&relayed.daemon));
        let Some(sender) = sender.filter(|_| accounts.needs_keys()) else {
            return RequestAccess::by_key(accounts, headers, is_public);
        };
        if !accounts.is_keyed_in(sender.table) {
            return Err(AccessRefusal::NoAccount);
        }
        let account = match account_name(headers) {
            Some(Some(name)) => Some(accounts.named(&name).ok_or(AccessRefusal::NoAccount)?),
            Some(None) => return Err(AccessRefusal::NoAccount),
            None => None,
        };
        Ok(RequestAccess {
            checked: true,
            account: account.cloned(),
            key: None,
        })
    }

    /// Checks the waiting requests against the accounts of a new table, before it is used: those that no replica
    /// may have run are answered with 401 if they would not be let in by it. Requests that came before any account was
    /// configured lose their key now, also where they go on.
    pub(super) fn revoke_access(&mut self, now: TimePoint, index: &RouteIndex) {
        let accounts = &index.accounts;
        if !accounts.needs_keys() {
            return;
        }
        let mut queries = Vec::new();
        for (query, request) in &mut self.requests {
            if !request.access.checked {
                let headers = &request.template.headers;
                let mut routes = index.table.routes.iter();
                let is_public = routes.any(|route| route.public && route.name == request.route);
                let access = RequestAccess::by_key(accounts, headers, is_public);
                if access.is_err() {
                    queries.push(*query);
                }
                request.access = access.unwrap_or_default();
                request.access.checked = true;
                let template = Rc::make_mut(&mut request.template);
                set_account(&mut template.headers, request.access.account_name());
            } else if !request.access.is_valid_in(accounts) {
                queries.push(*query);
            }
        }
        if queries.is_empty() {
            return;
        }
        queries.sort_unstable();
        self.dispatch(now, ForwardEvent::KeysRevoked { queries });
    }

    /// Whether a member is of a build that checks API keys.
    fn checks_keys(&self, daemon: &DaemonName) -> bool {
        let member = self.peers.member(daemon);
        member.is_some_and(|member| member.build() >= MemberBuild::SharesRates)
    }
}
