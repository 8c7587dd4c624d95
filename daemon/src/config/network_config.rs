//! Addresses that the daemon listens on, and the platform's URLs.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration, //
};

use http::Uri;
use schema::{
    settings::{
        ListenSettings,
        PlatformSettings, //
    },
    SchemaError, //
};

use super::{
    millis_or_default,
    parse_url,
    parse_value, //
};

const ADDRESS_EXPECTED: &str = "an IP address and a port like 192.0.2.1:7100";

/// Addresses the daemon listens on; with port 0 the kernel assigns a port.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenConfig {
    /// Port for callers, HTTP.
    pub caller: SocketAddr,
    /// Port for operators, HTTP.
    pub admin: SocketAddr,
    /// Port for other daemons, UDP and TCP on the same port number.
    pub peer: SocketAddr,
}

impl Default for ListenConfig {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            caller: local(7100),
            admin: local(7101),
            peer: local(7102),
        }
    }
}

impl ListenConfig {
    /// Converts the settings as parsed from the file; an empty address selects the default.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] for a text that is not a socket address.
    pub fn from_settings(settings: &ListenSettings) -> Result<Self, SchemaError> {
        let defaults = Self::default();
        Ok(Self {
            caller: address_or_default("listen.caller", &settings.caller, defaults.caller)?,
            admin: address_or_default("listen.admin", &settings.admin, defaults.admin)?,
            peer: address_or_default("listen.peer", &settings.peer, defaults.peer)?,
        })
    }
}

/// URLs and timeouts of the platform's services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformConfig {
    /// Base URL of the store.
    pub store: Option<Uri>,
    /// URL of the VM list.
    pub vms: Option<Uri>,
    /// Timeout of a store call.
    pub store_timeout: Duration,
    /// Interval at which the VM list is read.
    pub vms_interval: Duration,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            store: None,
            vms: None,
            store_timeout: Duration::from_millis(500),
            vms_interval: Duration::from_millis(1000),
        }
    }
}

impl PlatformConfig {
    /// Converts the settings as parsed from the file; 0 selects the default.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] for a text that is not an HTTP URL.
    pub fn from_settings(settings: &PlatformSettings) -> Result<Self, SchemaError> {
        let defaults = Self::default();
        Ok(Self {
            store: parse_url("platform.store", &settings.store)?,
            vms: parse_url("platform.vms", &settings.vms)?,
            store_timeout: millis_or_default(settings.store_timeout_ms, defaults.store_timeout),
            vms_interval: millis_or_default(settings.vms_interval_ms, defaults.vms_interval),
        })
    }
}

fn address_or_default(
    field: &str,
    text: &str,
    default: SocketAddr,
) -> Result<SocketAddr, SchemaError> {
    if text.is_empty() {
        return Ok(default);
    }
    parse_value(field, text, ADDRESS_EXPECTED)
}
