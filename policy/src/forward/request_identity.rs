//! Recognition of a request that a caller sends again under another request id.

use std::net::IpAddr;

use schema::{
    CrashSite,
    QueryPrint,
    ServiceName, //
};
use xxhash_rust::xxh3::{
    xxh3_64,
    Xxh3, //
};

use super::CrashKey;

/// What stays the same when a caller sends a request again, and what may differ.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestIdentity {
    /// Hash of the path without the query, and of the body.
    pub content: QueryPrint,
    /// Hash of method, host and query, which may differ when the request is sent again; not 0.
    pub variant: u32,
    /// Hash of the IP address from which the request came.
    pub caller: u64,
}

impl RequestIdentity {
    /// Computes the identity of a request. `target` is the path with the query.
    pub fn of(method: &str, host: &str, target: &str, body: &[u8], caller: IpAddr) -> Self {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        // None of the texts can contain a NUL byte, so it separates them.
        let mut content = Xxh3::new();
        content.update(path.as_bytes());
        content.update(&[0]);
        content.update(body);
        let mut variant = Xxh3::new();
        for text in [method, host, query] {
            variant.update(text.as_bytes());
            variant.update(&[0]);
        }
        let caller = match caller {
            IpAddr::V4(address) => xxh3_64(&address.octets()),
            IpAddr::V6(address) => xxh3_64(&address.octets()),
        };
        Self {
            content: QueryPrint(content.digest128()),
            variant: site_hash(variant.digest()),
            caller,
        }
    }

    /// By what a crash of a replica of `service` is counted against this request of this caller, in
    /// whatever form the caller sends it.
    pub fn caller_key(&self, service: &ServiceName) -> CrashKey {
        self.key(&self.caller.to_le_bytes(), self.variant, service)
    }

    /// The same for the request in exactly this form. Other forms may be harmless, and say nothing of it.
    pub fn form_key(&self, service: &ServiceName) -> CrashKey {
        let mut suffix = [0; 12];
        suffix[..8].copy_from_slice(&self.caller.to_le_bytes());
        suffix[8..].copy_from_slice(&self.variant.to_le_bytes());
        self.key(&suffix, 0, service)
    }

    /// The same for the request in exactly this form, whichever caller sends it. Other callers may
    /// send harmless requests with the same path, so their forms are kept apart.
    pub fn content_key(&self, service: &ServiceName) -> CrashKey {
        self.key(&self.variant.to_le_bytes(), self.variant, service)
    }

    /// The fingerprint of this request of this caller.
    pub fn caller_print(&self) -> QueryPrint {
        self.print(&self.caller.to_le_bytes())
    }

    fn key(&self, suffix: &[u8], variant: u32, service: &ServiceName) -> CrashKey {
        CrashKey {
            print: self.print(suffix),
            site: CrashSite {
                variant,
                service: site_hash(xxh3_64(service.as_str().as_bytes())),
            },
        }
    }

    fn print(&self, suffix: &[u8]) -> QueryPrint {
        let mut hasher = Xxh3::new();
        hasher.update(&self.content.0.to_le_bytes());
        hasher.update(suffix);
        QueryPrint(hasher.digest128())
    }
}

/// Shortens a hash for a [`CrashSite`], in which 0 has a meaning of its own.
fn site_hash(hash: u64) -> u32 {
    (hash as u32).max(1)
}
