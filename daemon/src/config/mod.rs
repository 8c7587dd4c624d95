//! Settings of a daemon: parsing, checks and defaults.

mod daemon_config;
mod limit_config;
mod network_config;
mod report_config;
mod settings_file;
mod trust_config;

pub use daemon_config::DaemonConfig;
pub use limit_config::{
    LimitConfig,
    StopConfig, //
};
pub use network_config::{
    ListenConfig,
    PlatformConfig, //
};
pub use report_config::{
    LogConfig,
    TraceConfig, //
};
pub use settings_file::{
    parse_settings,
    read_settings, //
};
pub use trust_config::TrustConfig;

use std::{
    str::FromStr,
    time::Duration, //
};

use http::Uri;
use schema::SchemaError;

fn parse_name<T: FromStr<Err = SchemaError>>(field: &str, text: &str) -> Result<T, SchemaError> {
    text.parse()
        .map_err(|error: SchemaError| error.at(field, text))
}

/// Parses `text`; an error says that `expected` was expected.
fn parse_value<T: FromStr>(
    field: &str,
    text: &str,
    expected: &'static str,
) -> Result<T, SchemaError> {
    text.parse()
        .map_err(|_| SchemaError::bad_field(field, text, expected))
}

/// Parses an HTTP URL; an empty text becomes `None`.
fn parse_url(field: &str, text: &str) -> Result<Option<Uri>, SchemaError> {
    if text.is_empty() {
        return Ok(None);
    }
    let expected = "a URL like http://192.0.2.1:7000";
    let uri: Uri = parse_value(field, text, expected)?;
    if uri.scheme_str() != Some("http") || uri.authority().is_none() {
        return Err(SchemaError::bad_field(field, text, expected));
    }
    Ok(Some(uri))
}

/// Converts milliseconds; 0 selects the default.
fn millis_or_default(value: u32, default: Duration) -> Duration {
    if value == 0 {
        return default;
    }
    Duration::from_millis(value.into())
}

/// Returns `value`, or the default where it is 0.
fn number_or_default(value: u32, default: u32) -> u32 {
    if value == 0 {
        return default;
    }
    value
}
