//! What route tables hold beyond the fields that older builds know.
//!
//! Messages between daemons are encoded without field numbers, so that a table keeps the form that older
//! builds decode. The newer fields travel beside it.

use serde::{
    Deserialize,
    Serialize, //
};
use smallvec::SmallVec;

use crate::{
    AccountSpec,
    BundleVersion,
    ColdLimit,
    RegionName,
    RouteTable,
    ServiceName, //
};

/// The newer fields of one route table.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TableExtension {
    /// Version of the table to which the fields belong.
    pub version: BundleVersion,
    /// Positions of the routes that need no API key.
    pub public: Vec<u32>,
    /// Positions of the routes with homes, each with its homes.
    pub homes: Vec<(u32, SmallVec<[RegionName; 2]>)>,
    /// The client accounts.
    pub accounts: Vec<AccountSpec>,
    /// Whether requests need an API key.
    pub needs_keys: bool,
    /// Services whose replicas bear less while they are cold.
    pub cold_limits: Vec<(ServiceName, ColdLimit)>,
}

impl TableExtension {
    /// The newer fields of `table`.
    pub fn of(table: &RouteTable) -> Self {
        let mut extension = Self {
            version: table.version,
            accounts: table.accounts.clone(),
            needs_keys: table.needs_keys,
            cold_limits: table.cold_limits.clone(),
            ..Self::default()
        };
        for (position, route) in (0..).zip(&table.routes) {
            if route.public {
                extension.public.push(position);
            }
            if !route.homes.is_empty() {
                extension.homes.push((position, route.homes.clone()));
            }
        }
        extension
    }

    /// Sets the fields in the table to which they belong.
    pub fn apply(self, table: &mut RouteTable) {
        table.accounts = self.accounts;
        table.needs_keys = self.needs_keys;
        table.cold_limits = self.cold_limits;
        for position in self.public {
            if let Some(route) = table.routes.get_mut(position as usize) {
                route.public = true;
            }
        }
        for (position, homes) in self.homes {
            if let Some(route) = table.routes.get_mut(position as usize) {
                route.homes = homes;
            }
        }
    }
}
