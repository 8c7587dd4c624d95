//! Whether a request that arrives has a client account, and what becomes of it without one.

use std::sync::Arc;

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
    forward::RouteIndex,
};
use schema::{
    AccountName,
    AccountSpec,
    BundleVersion,
    DaemonName,
    KeyDigest,
    MemberBuild, //
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

    /// Whether a member is of a build that checks API keys.
    fn checks_keys(&self, daemon: &DaemonName) -> bool {
        let mut members = self.peers.members();
        let member = members.find(|member| member.daemon == *daemon);
        member.is_some_and(|member| MemberBuild::of_cell(&member.cell) >= MemberBuild::SharesRates)
    }
}
