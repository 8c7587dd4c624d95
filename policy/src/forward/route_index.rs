//! Finds the route of a request.

use std::collections::BTreeMap;

use compact_str::CompactString;
use schema::RouteTable;

use crate::accounts::AccountIndex;

/// A route table indexed by host and path prefix. A look-up searches the prefixes of the host once
/// for each slash in the path.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// The indexed table.
    pub table: RouteTable,
    /// The client accounts of the table.
    pub accounts: AccountIndex,
    /// Route indexes by host and path prefix.
    by_host: BTreeMap<CompactString, BTreeMap<CompactString, usize>>,
}

impl RouteIndex {
    /// Indexes `table`. If two routes have the same host and prefix, the first one is used.
    pub fn new(table: RouteTable) -> Self {
        Self::replacing(table, None)
    }

    /// Indexes `table` like [`Self::new`], in place of `previous`.
    pub fn replacing(table: RouteTable, previous: Option<&Self>) -> Self {
        let accounts = AccountIndex::new(&table, previous.map(|previous| &previous.accounts));
        let mut by_host: BTreeMap<CompactString, BTreeMap<CompactString, usize>> = BTreeMap::new();
        for (index, route) in table.routes.iter().enumerate() {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.entry(route.prefix.clone()).or_insert(index);
        }
        Self {
            table,
            accounts,
            by_host,
        }
    }

    /// Index in the table of the route of `host` with the longest prefix of `path`. `host` may
    /// include a port, which is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.split(':').next().unwrap_or(host);
        let prefixes = match self.by_host.get(name) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(index) = prefixes.get(&path[..=slash]) {
                return Some(*index);
            }
            end = slash;
        }
        None
    }
}
