//! The regions in which a request may be served.

use schema::{
    MemberBuild,
    RegionName, //
};
use smallvec::SmallVec;

/// The regions in which a request may be served.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestPlacement {
    /// The allowed regions; `None` if all are.
    homes: Option<SmallVec<[RegionName; 2]>>,
}

impl RequestPlacement {
    /// The regions that are on both lists, those of the route and of the client account. An empty list
    /// allows any region.
    pub fn new(route: &[RegionName], account: &[RegionName]) -> Self {
        let homes = match (route.is_empty(), account.is_empty()) {
            (true, true) => None,
            (false, true) => Some(route.iter().cloned().collect()),
            (true, false) => Some(account.iter().cloned().collect()),
            (false, false) => {
                let both = route.iter().filter(|region| account.contains(region));
                Some(both.cloned().collect())
            }
        };
        Self { homes }
    }

    /// Whether a member of the given build in `region` may get the request, and with it its body. Older
    /// builds don't know home regions, and would serve it anywhere.
    pub fn allows_member(&self, build: MemberBuild, region: Option<&RegionName>) -> bool {
        self.is_anywhere() || (build >= MemberBuild::SharesRates && self.allows(region))
    }

    /// Whether any region is allowed.
    pub fn is_anywhere(&self) -> bool {
        self.homes.is_none()
    }

    /// Whether the request may be served in `region`, which is `None` for a place whose region is unknown.
    pub fn allows(&self, region: Option<&RegionName>) -> bool {
        match (&self.homes, region) {
            (None, _) => true,
            (Some(homes), Some(region)) => homes.contains(region),
            (Some(_), None) => false,
        }
    }
}
