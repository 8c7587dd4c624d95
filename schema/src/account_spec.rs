//! Client accounts of the configuration.

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::{
    AccountName,
    KeyDigest,
    RegionName, //
};

/// What an account may request, over all daemons together.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AccountQuota {
    /// Requests a second.
    pub per_second: f64,
    /// Requests in addition to the rate.
    pub burst: f64,
}

/// A client account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AccountSpec {
    /// Name of the account, which replicas are told.
    pub name: AccountName,
    /// Digests of its API keys.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// Priority of its requests, which goes before that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// Its quota; `None` if it has none.
    pub quota: Option<AccountQuota>,
    /// Regions in which its requests may be served; empty for all.
    pub homes: SmallVec<[RegionName; 2]>,
}
