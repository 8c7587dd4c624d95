//! The catalogue of log events. `docs/EVENTS.md` lists the same.

use slog::Level;

/// A kind of log event. Its code never changes its meaning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventKind {
    /// The number that operators search for.
    pub code: &'static str,
    /// Severity.
    pub level: Level,
    /// The text of the line.
    pub message: &'static str,
}

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $code:literal $level:ident $message:literal;)*) => {
        $(
            $(#[$doc])*
            pub const $name: EventKind = EventKind {
                code: $code,
                level: Level::$level,
                message: $message,
            };
        )*

        /// Every kind of event, in the order of their codes.
        pub const CATALOGUE: &[EventKind] = &[$($name),*];
    };
}

catalogue! {
    /// The ports are bound.
    STARTED = "E1001" Info "daemon started";
    /// A bundle is in force and the placement is known.
    READY = "E1002" Info "daemon ready";
    /// A stop was asked for.
    STOP_ASKED = "E1003" Info "stop asked, not ready from now on";
    /// The quiet time is over.
    DRAINING = "E1004" Info "no new connections, finishing what is in flight";
    /// The stop finished all in flight.
    STOPPED = "E1005" Info "daemon stopped, nothing cut";
    /// The stop was cut short.
    STOP_CUT = "E1006" Error "daemon stopped, requests cut";
    /// A bundle took effect.
    BUNDLE_APPLIED = "E2001" Info "bundle in force";
    /// A bundle was refused.
    BUNDLE_REFUSED = "E2002" Error "bundle refused";
    /// The VM list can't be read.
    LIST_FAILED = "E2003" Warning "VM list not read";
    /// The VM list can be read again.
    LIST_BACK = "E2004" Info "VM list read again";
    /// The store can't be reached.
    STORE_FAILED = "E2005" Warning "store not reached";
    /// The store can be reached again.
    STORE_BACK = "E2006" Info "store reached again";
    /// The version in force was put back into the store.
    HEAD_REPAIRED = "E2007" Warning "bundle put back into the store";
    /// An upstream was ejected.
    REPLICA_EJECTED = "E3001" Warning "upstream ejected";
    /// An upstream was taken back.
    REPLICA_RESTORED = "E3002" Info "upstream restored";
    /// An upstream drains.
    REPLICA_DRAINING = "E3003" Info "upstream drains, no new work";
    /// A query was quarantined.
    QUERY_QUARANTINED = "E3004" Error "query quarantined, it kills upstreams";
    /// A connection got no byte.
    CONNECTION_SILENT = "E3005" Warning "connection silent, closed";
    /// A group refuses requests.
    GROUP_OVERLOADED = "E3006" Warning "group overloaded, refusing requests";
    /// A reply of an upstream was no reply to the attempt.
    REPLY_BAD = "E3007" Warning "bad reply of an upstream";
    /// The daemons known changed.
    PEERS_CHANGED = "E4001" Info "daemons changed";
    /// A daemon is dead or leaving.
    PEER_GONE = "E4002" Warning "daemon dead or leaving";
    /// Charges reached the bound.
    CHARGES_FULL = "E5001" Error "charges at the bound, refusing requests";
    /// Charges were lost.
    CHARGES_LOST = "E5002" Error "charges lost";
    /// Spans could not be exported.
    SPANS_LOST = "E6001" Warning "spans not exported";
    /// A request has its answer, or its caller has left.
    REQUEST_ENDED = "E7001" Info "request ended";
    /// A request is sent to a further replica of a service.
    SENT_AGAIN = "E7002" Info "sent to another replica";
    /// A replica brought no usable reply.
    ATTEMPT_FAILED = "E7003" Warning "attempt failed";
    /// A replica is registered, anew or with another state.
    REPLICA_LISTED = "E7004" Info "replica registered";
    /// A replica is registered no more.
    REPLICA_UNLISTED = "E7005" Info "replica gone from the directory";
    /// A replica gets no work for a while.
    REPLICA_AVOIDED = "E7006" Warning "replica not reached, avoided";
    /// A route table took effect.
    TABLE_APPLIED = "E7007" Info "route table in force";
    /// An item of the directory can't be read.
    ITEM_UNREAD = "E7008" Warning "directory item not read";
    /// The settings file has changed.
    SETTINGS_CHANGED = "E7009" Info "settings changed, in use from the next start";
    /// A daemon that reads the directory did not answer.
    READER_FAILED = "E7010" Warning "reader of the directory did not answer";
    /// A replica that was avoided has replied.
    REPLICA_BACK = "E7011" Info "replica reached again";
    /// A request was refused at its arrival.
    REQUEST_REFUSED = "E7012" Info "request refused at arrival";
}

/// Logs an event of the catalogue with fields: `log_event!(log, events::READY, "key" => value)`.
#[macro_export]
macro_rules! log_event {
    ($log:expr, $kind:path) => {
        slog::log!($log, $kind.level, "", "{}", $kind.message; "event" => $kind.code)
    };
    ($log:expr, $kind:path, $($fields:tt)*) => {
        slog::log!(
            $log, $kind.level, "", "{}", $kind.message;
            "event" => $kind.code, $($fields)*
        )
    };
}
