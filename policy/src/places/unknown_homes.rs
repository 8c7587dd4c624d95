//! Home regions of routes and client accounts that the deployment does not have.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use schema::{
    RegionName,
    RouteTable, //
};

/// The home regions of the route table in force that the deployment does not have.
#[derive(Clone, Debug, Default)]
pub struct UnknownHomes {
    reported: BTreeSet<RegionName>,
}

impl UnknownHomes {
    /// Takes note of a new route table. Returns the unknown home regions that the previous one did not name,
    /// each with the number of routes and of client accounts that name it.
    pub fn apply_table(
        &mut self,
        known: &BTreeSet<&RegionName>,
        table: &RouteTable,
    ) -> Vec<(RegionName, [usize; 2])> {
        let mut unknown: BTreeMap<&RegionName, [usize; 2]> = BTreeMap::new();
        let routes = table.routes.iter().flat_map(|route| &route.homes);
        let accounts = table.accounts.iter().flat_map(|account| &account.homes);
        let named = routes.map(|home| (home, 0));
        for (home, kind) in named.chain(accounts.map(|home| (home, 1))) {
            if !known.contains(home) {
                unknown.entry(home).or_default()[kind] += 1;
            }
        }
        let before = std::mem::take(&mut self.reported);
        self.reported = unknown.keys().copied().cloned().collect();
        let new = unknown
            .into_iter()
            .filter(|(home, _)| !before.contains(*home));
        new.map(|(home, counts)| (home.clone(), counts)).collect()
    }
}
