//! Recognition of a request that a caller sends again under another request id.

use std::net::IpAddr;

use schema::{
    QueryPrint,
    ServiceName, //
};
use xxhash_rust::xxh3::{
    xxh3_64,
    Xxh3, //
};

/// What stays the same when a caller sends a request again: its content and the caller's address.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestIdentity {
    /// Hash of method, host, path with query, and body.
    pub content: QueryPrint,
    /// Hash of the IP address from which the request came.
    pub caller: u64,
}

impl RequestIdentity {
    /// Computes the identity of a request. `target` is the path with the query.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8], caller: IpAddr) -> Self {
        let mut hasher = Xxh3::new();
        for text in [method, host, target] {
            hasher.update(text.as_bytes());
            // None of the three can contain a NUL byte, so it separates them.
            hasher.update(&[0]);
        }
        hasher.update(body);
        let caller = match caller {
            IpAddr::V4(address) => xxh3_64(&address.octets()),
            IpAddr::V6(address) => xxh3_64(&address.octets()),
        };
        Self {
            content: QueryPrint(hasher.digest128()),
            caller,
        }
    }

    /// The fingerprint under which a replica of `service` that crashed is counted against this
    /// request of this caller.
    pub fn caller_print(&self, service: &ServiceName) -> QueryPrint {
        self.print(service, &self.caller.to_le_bytes())
    }

    /// The same for the request, whichever caller sends it.
    pub fn content_print(&self, service: &ServiceName) -> QueryPrint {
        self.print(service, &[])
    }

    fn print(&self, service: &ServiceName, caller: &[u8]) -> QueryPrint {
        let mut hasher = Xxh3::new();
        hasher.update(&self.content.0.to_le_bytes());
        hasher.update(caller);
        hasher.update(service.as_str().as_bytes());
        QueryPrint(hasher.digest128())
    }
}
