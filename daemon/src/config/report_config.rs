//! Settings of logs and traces.

use std::str::FromStr;

use http::Uri;
use schema::{
    settings::{
        LogSettings,
        TraceSettings, //
    },
    SchemaError, //
};
use slog::Level;

use super::{
    number_or_default,
    parse_url, //
};

/// Format and level of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogConfig {
    /// Whether to log JSON objects, one a line, instead of text for a terminal.
    pub json: bool,
    /// Least severe level that is logged.
    pub level: Level,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self {
            json: false,
            level: Level::Info,
        }
    }
}

impl LogConfig {
    /// Converts the settings as parsed from the file; an empty text selects the default.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] for an unknown format or level.
    pub fn from_settings(settings: &LogSettings) -> Result<Self, SchemaError> {
        let defaults = Self::default();
        let json = match settings.format.as_str() {
            "" => defaults.json,
            "terminal" => false,
            "json" => true,
            other => {
                return Err(SchemaError::bad_field(
                    "log.format",
                    other,
                    "terminal or json",
                ))
            }
        };
        let level = match settings.level.as_str() {
            "" => defaults.level,
            text => parse_level(text)?,
        };
        Ok(Self { json, level })
    }
}

/// Export of traces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TraceConfig {
    /// URL of the OTLP collector (HTTP); `None` disables the export.
    pub collector: Option<Uri>,
    /// Share of requests traced where the caller does not decide, in per cent.
    pub sample_pct: u32,
}

impl Default for TraceConfig {
    fn default() -> Self {
        Self {
            collector: None,
            sample_pct: 1,
        }
    }
}

impl TraceConfig {
    /// Converts the settings as parsed from the file; 0 selects the default.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] for an invalid URL or a share above 100.
    pub fn from_settings(settings: &TraceSettings) -> Result<Self, SchemaError> {
        if settings.sample_pct > 100 {
            return Err(SchemaError::bad_field(
                "trace.sample_pct",
                settings.sample_pct,
                "0 to 100",
            ));
        }
        Ok(Self {
            collector: parse_url("trace.collector", &settings.collector)?,
            sample_pct: number_or_default(settings.sample_pct, Self::default().sample_pct),
        })
    }
}

fn parse_level(text: &str) -> Result<Level, SchemaError> {
    let expected = "debug, info, warning or error";
    match text {
        "debug" | "info" | "warning" | "error" => {
            Level::from_str(text).map_err(|()| SchemaError::bad_field("log.level", text, expected))
        }
        other => Err(SchemaError::bad_field("log.level", other, expected)),
    }
}
