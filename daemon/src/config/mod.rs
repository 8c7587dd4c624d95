//! Settings of a daemon: border type, conversion, defaults.

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

/// Parses `text` as a name.
fn name_of<T: FromStr<Err = SchemaError>>(field: &str, text: &str) -> Result<T, SchemaError> {
    text.parse()
        .map_err(|error: SchemaError| error.at(field, text))
}

/// Parses `text` as what `expected` says.
fn value_of<T: FromStr>(field: &str, text: &str, expected: &'static str) -> Result<T, SchemaError> {
    text.parse()
        .map_err(|_| SchemaError::bad_field(field, text, expected))
}

/// Parses an HTTP URL; empty text is `None`.
fn url_of(field: &str, text: &str) -> Result<Option<Uri>, SchemaError> {
    if text.is_empty() {
        return Ok(None);
    }
    let expected = "a URL like http://192.0.2.1:7000";
    let uri: Uri = value_of(field, text, expected)?;
    if uri.scheme_str() != Some("http") || uri.authority().is_none() {
        return Err(SchemaError::bad_field(field, text, expected));
    }
    Ok(Some(uri))
}

/// Milliseconds of the border type; 0 takes the default.
fn millis_or(value: u32, base: Duration) -> Duration {
    if value == 0 {
        return base;
    }
    Duration::from_millis(value.into())
}

/// A number of the border type; 0 takes the default.
fn number_or(value: u32, base: u32) -> u32 {
    if value == 0 {
        return base;
    }
    value
}
