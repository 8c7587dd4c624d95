//! Limits on memory use and on the time of a stop.

use std::time::Duration;

use policy::intake::{
    IntakeError,
    IntakeSettings, //
};
use schema::{
    settings::{
        LimitSettings,
        StopSettings, //
    },
    SchemaError, //
};

use super::{
    millis_or_default,
    number_or_default, //
};

const BYTES_PER_MEGABYTE: u64 = 1024 * 1024;

/// Limits on the daemon's memory use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitConfig {
    /// Largest number of requests in flight and waiting.
    pub requests: u32,
    /// Largest size of the charges that wait for the store, in bytes.
    pub charge_bytes: u32,
    /// Largest header block of a caller's request, in bytes.
    pub header_bytes: u32,
    /// Largest reply of an upstream, in bytes.
    pub reply_bytes: u32,
    /// Memory that the daemon may use, in bytes.
    pub memory_bytes: u64,
    /// File descriptors that the daemon may open.
    pub descriptors: u32,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            requests: 4096,
            charge_bytes: 32 * 1024 * 1024,
            header_bytes: 8 * 1024,
            reply_bytes: 1024 * 1024,
            memory_bytes: 512 * BYTES_PER_MEGABYTE,
            // As many as 2 x `requests` connections of callers need.
            descriptors: 16_584,
        }
    }
}

impl LimitConfig {
    /// Converts the settings as parsed from the file; 0 selects the default.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] where memory or descriptors are too few to serve callers.
    pub fn from_settings(settings: &LimitSettings) -> Result<Self, SchemaError> {
        let defaults = Self::default();
        let memory_bytes = match settings.memory_mb {
            0 => defaults.memory_bytes,
            megabytes => u64::from(megabytes) * BYTES_PER_MEGABYTE,
        };
        let descriptors = number_or_default(settings.descriptors, defaults.descriptors);
        match IntakeSettings::of_callers(Some(memory_bytes), Some(descriptors)) {
            Ok(_) => {}
            Err(IntakeError::MemoryTooSmall { .. }) => {
                let field = "limits.memory_mb";
                let value = settings.memory_mb;
                return Err(SchemaError::bad_field(field, value, "4 or more"));
            }
            Err(IntakeError::TooFewDescriptors { .. }) => {
                let field = "limits.descriptors";
                return Err(SchemaError::bad_field(field, descriptors, "232 or more"));
            }
        }
        Ok(Self {
            memory_bytes,
            descriptors,
            requests: number_or_default(settings.requests, defaults.requests),
            charge_bytes: number_or_default(settings.charge_bytes, defaults.charge_bytes),
            header_bytes: number_or_default(settings.header_bytes, defaults.header_bytes),
            reply_bytes: number_or_default(settings.reply_bytes, defaults.reply_bytes),
        })
    }
}

/// Time limits of a graceful stop.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StopConfig {
    /// Time in which the daemon reports that it is not ready but still accepts requests.
    pub quiet: Duration,
    /// Longest duration of the whole stop; requests still in flight then are cut.
    pub bound: Duration,
}

impl Default for StopConfig {
    fn default() -> Self {
        Self {
            quiet: Duration::from_millis(5_000),
            bound: Duration::from_millis(30_000),
        }
    }
}

impl StopConfig {
    /// Converts the settings as parsed from the file; 0 selects the default.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadField`] where `bound` is not longer than `quiet`.
    pub fn from_settings(settings: &StopSettings) -> Result<Self, SchemaError> {
        let defaults = Self::default();
        let stop = Self {
            quiet: millis_or_default(settings.quiet_ms, defaults.quiet),
            bound: millis_or_default(settings.bound_ms, defaults.bound),
        };
        if stop.bound <= stop.quiet {
            let value = stop.bound.as_millis();
            return Err(SchemaError::bad_field(
                "stop.bound_ms",
                value,
                "more than stop.quiet_ms",
            ));
        }
        Ok(stop)
    }
}
