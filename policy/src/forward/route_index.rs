//! Finds the route of a request.

use std::collections::BTreeMap;

use compact_str::CompactString;
use schema::RouteTable;

/// A table with its routes by host and prefix. A look-up costs one search for each slash in the
/// path.
#[derive(Clone, Debug, Default)]
pub struct RouteIndex {
    /// The table.
    pub table: RouteTable,
    places: BTreeMap<CompactString, BTreeMap<CompactString, usize>>,
}

impl RouteIndex {
    /// The index of `table`. Of two routes with the same host and prefix the first one counts.
    pub fn new(table: RouteTable) -> Self {
        let mut places: BTreeMap<CompactString, BTreeMap<CompactString, usize>> = BTreeMap::new();
        for (place, route) in table.routes.iter().enumerate() {
            let prefixes = places.entry(route.host.clone()).or_default();
            prefixes.entry(route.prefix.clone()).or_insert(place);
        }
        Self { table, places }
    }

    /// Place in the table of the route with the longest prefix that begins `path`, among those of
    /// `host`, a name with or without a port.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let name = host.split(':').next().unwrap_or(host);
        let prefixes = match self.places.get(name) {
            Some(prefixes) => prefixes,
            None => self.places.get(name.to_ascii_lowercase().as_str())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(place) = prefixes.get(&path[..=slash]) {
                return Some(*place);
            }
            end = slash;
        }
        None
    }
}
