//! Metrics of the limits on callers' connections and bytes.

use prometheus_client::{
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry,
};

/// A label whose values are constants of the source.
type StaticLabel = [(&'static str, &'static str); 1];

/// Metrics of all ports. Clones share their values.
#[derive(Clone, Debug, Default)]
pub(crate) struct IntakeMetrics {
    /// Open connections, by port.
    pub(super) connections: Family<StaticLabel, Gauge>,
    /// Request bytes held, by port.
    pub(super) bytes: Family<StaticLabel, Gauge>,
    /// Connections closed to make room for others, by port.
    pub(super) dropped: Family<StaticLabel, Counter>,
    /// Requests refused for lack of room, by port.
    pub(super) refused: Family<StaticLabel, Counter>,
}

impl IntakeMetrics {
    /// Creates the metrics and adds them to `registry`.
    pub(crate) fn register(registry: &mut Registry) -> Self {
        let all = Self::default();
        registry.register(
            "intake_connections",
            "Open connections from callers and other daemons by port",
            all.connections.clone(),
        );
        registry.register(
            "intake_bytes",
            "Bytes held for requests that are read or served, by port",
            all.bytes.clone(),
        );
        registry.register(
            "intake_dropped",
            "Connections closed to make room for others, by port",
            all.dropped.clone(),
        );
        registry.register(
            "intake_refused",
            "Requests refused for lack of room, by port",
            all.refused.clone(),
        );
        all
    }
}
