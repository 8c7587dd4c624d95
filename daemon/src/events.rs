//! The catalogue of log events, which `docs/EVENTS.md` lists for operators.

use slog::Level;

/// A kind of log event. A code is never reused for another meaning.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventKind {
    /// Identifies the kind in searches and alerts.
    pub code: &'static str,
    /// Severity with which the line is logged.
    pub level: Level,
    /// Text of the log line: what happened and what the daemon does next.
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

        /// Every kind of event, in ascending order of the codes.
        pub const CATALOGUE: &[EventKind] = &[$($name),*];
    };
}

catalogue! {
    /// The ports are bound.
    STARTED = "E1001" Info "daemon started; not ready until configuration and upstreams are known";
    /// The configuration is loaded and the upstreams are known.
    READY = "E1002" Info "daemon ready to serve requests";
    /// A stop was requested by signal or by whoever runs the daemon.
    STOP_REQUESTED = "E1003" Info
        "stop requested; reporting not ready, still accepting connections";
    /// The quiet period of the stop has ended.
    DRAINING = "E1004" Info "draining: accepting no new connections, finishing requests in flight";
    /// The daemon stopped with no request in flight.
    STOPPED = "E1005" Info "daemon stopped; no requests were cut";
    /// The stop ended with requests in flight.
    STOP_CUT = "E1006" Error
        "daemon stopped before all requests were answered; the remaining requests were cut";
    /// A bundle took effect.
    BUNDLE_APPLIED = "E2001" Info "bundle applied; requests use it from now on";
    /// A bundle is broken, not signed as required, or older than the one in force.
    BUNDLE_REFUSED = "E2002" Error "bundle rejected; the current bundle, if any, stays in force";
    /// The VM list can't be read.
    VM_LIST_FAILED = "E2003" Warning "can't read the VM list; keeping the last one and retrying";
    /// The VM list can be read again.
    VM_LIST_RECOVERED = "E2004" Info "VM list can be read again";
    /// The store can't be reached.
    STORE_FAILED = "E2005" Warning "store not reachable; keeping the last known state and retrying";
    /// The store can be reached again.
    STORE_RECOVERED = "E2006" Info "store reachable again";
    /// The store held no bundle or an older one than the one in force.
    HEAD_REPAIRED = "E2007" Warning "store had lost the bundle in force; wrote it back";
    /// An upstream was ejected because it failed too often.
    REPLICA_EJECTED = "E3001" Warning "upstream ejected; it gets no requests for a while";
    /// The ejection of an upstream has ended.
    REPLICA_RESTORED = "E3002" Info "ejected upstream restored; it gets requests again";
    /// An upstream is draining.
    REPLICA_DRAINING = "E3003" Info "upstream draining; it gets no new requests";
    /// A query was quarantined because upstreams died while they ran it.
    QUERY_QUARANTINED = "E3004" Error
        "query quarantined because it crashes upstreams; refusing requests with its fingerprint";
    /// An upstream kept a connection open without replying on it.
    CONNECTION_SILENT = "E3005" Warning
        "upstream did not reply while hedges did; closing its idle connections";
    /// A service group can't serve its requests in time.
    GROUP_OVERLOADED = "E3006" Warning "service group overloaded; refusing requests";
    /// An upstream's reply is malformed or does not belong to the attempt.
    BAD_REPLY = "E3007" Warning "invalid reply from an upstream; the attempt counts as failed";
    /// The set of known daemons changed.
    PEERS_CHANGED = "E4001" Info
        "set of known daemons changed; recomputing this daemon's share of the limits";
    /// Another daemon is dead or leaving.
    PEER_GONE = "E4002" Warning "daemon dead or leaving; no longer relying on it";
    /// The charges that wait for the store have reached their size limit.
    CHARGES_FULL = "E5001" Error
        "charges waiting for the store reached their limit; refusing requests";
    /// The stop ended before all charges were in the store.
    CHARGES_LOST = "E5002" Error
        "stopped before all charges were stored; charges without a copy on another daemon are lost";
    /// The collector did not accept a batch of spans.
    SPANS_LOST = "E6001" Warning "span export failed; dropping these spans";
    /// A request was answered, or its caller closed the connection.
    REQUEST_ENDED = "E7001" Info "request ended: answered, or its caller has left";
    /// A request is sent to a further replica of a service, as a hedge or a retry.
    EXTRA_ATTEMPT_SENT = "E7002" Info "sending the request to another replica as a hedge or retry";
    /// A replica brought no usable reply.
    ATTEMPT_FAILED = "E7003" Warning
        "attempt failed; another replica is tried where the retry rules allow it";
    /// A replica is in the directory, newly or with another state.
    REPLICA_LISTED = "E7004" Info "replica listed in the directory, newly or with a changed state";
    /// A replica is no longer in the directory.
    REPLICA_UNLISTED = "E7005" Info "replica removed from the directory; it gets no new requests";
    /// A replica could not be reached.
    REPLICA_AVOIDED = "E7006" Warning "replica not reachable; sending it no requests for a while";
    /// A route table took effect.
    TABLE_APPLIED = "E7007" Info "route table applied; new requests use it from now on";
    /// An item of the directory can't be read.
    ITEM_UNREADABLE = "E7008" Warning "can't read a directory item; ignoring it";
    /// The settings file changed while the daemon runs.
    SETTINGS_CHANGED = "E7009" Info
        "settings file changed; using its seeds, the other settings take effect at the next start";
    /// A daemon that reads the directory for others did not answer.
    READER_FAILED = "E7010" Warning
        "daemon that reads the directory did not answer; asking another source for a while";
    /// An avoided replica has replied.
    REPLICA_RECOVERED = "E7011" Info "avoided replica replied; it gets requests again";
    /// A request was refused before any replica was chosen.
    REQUEST_REFUSED = "E7012" Info "request refused on arrival; no replica was asked";
    /// A replica's process has ended while it ran requests.
    REPLICA_CRASHED = "E7013" Warning
        "replica crashed while it ran requests; counting the crash against each of them";
    /// A crash was counted against a request.
    CRASH_COUNTED = "E7014" Warning "crash counted against a request that ran on the replica";
    /// A request is refused from now on because it crashed replicas.
    REQUEST_QUARANTINED = "E7015" Error
        "request quarantined because it crashes replicas; refusing it at all daemons";
    /// Another daemon has counted crashes.
    CRASH_REPORTED = "E7016" Warning
        "another daemon reported crashes under a request; counting them here too";
    /// A request that crashed replicas was stopped.
    REQUEST_STOPPED = "E7017" Warning
        "request has crashed replicas; not sending it to another one";
    /// A success showed that a request does not crash each replica.
    CRASHES_REFUTED = "E7018" Info
        "request succeeded; crashes no longer count against it";
    /// A replica names another limit, or none any more.
    LIMIT_CHANGED = "E7019" Info "limit of a replica changed; sharing it with the other daemons";
    /// A reply names a limit that can't be read.
    LIMIT_UNREADABLE = "E7020" Warning
        "replica names a limit that is no rate of requests; keeping what was known";
    /// A request was not sent to a replica because of the replica's limit.
    REQUEST_HELD_BACK = "E7021" Info "limit of a replica holds a request back";
    /// The store has come back from an older copy.
    STORE_RESTORED = "E7022" Warning
        "store came back from an older copy; whole directory read again";
    /// The links to all replicas are lost.
    LINKS_LOST = "E7023" Warning
        "links to all replicas lost; asking other daemons to forward requests";
    /// The links to the replicas are back.
    LINKS_REGAINED = "E7024" Info
        "replicas answer health checks again; sending requests to them directly";
    /// Another daemon does not forward requests for this one.
    HELPER_REFUSED = "E7025" Info
        "other daemon forwards no requests for this one; asking the next";
    /// A request was sent to another daemon.
    REQUEST_RELAYED = "E7026" Info "links lost; sending the request to another daemon";
    /// The relay of a request ended.
    RELAY_ENDED = "E7027" Info "relay of the request ended";
    /// A replica said in a reply that it leaves.
    REPLICA_LEAVING = "E7028" Info "replica says that it leaves; sending it no new requests";
    /// A replica made a statement about itself that can't be read.
    STATEMENT_UNREADABLE = "E7029" Warning
        "statement of a replica about itself can't be read; ignoring it";
    /// A replica turned a request away and wants a rest from this daemon.
    REPLICA_RESTS = "E7030" Info "replica wants a rest; sending it no requests until its end";
    /// A daemon did not gather for this one.
    DELEGATE_AVOIDED = "E7031" Info "daemon near the replicas did not gather for this one; avoiding it";
    /// A request under which replicas have crashed was sent to a replica.
    SUSPECT_SENT = "E7032" Warning
        "request under which replicas have crashed was sent to a replica";
    /// The store has answered the claim of a trial, or could not be asked.
    TRIAL_CLAIMED = "E7033" Warning
        "trial of a refused request claimed in the store; sent on if granted, else refused";
    /// A replica has run a trial to its end.
    TRIAL_PASSED = "E7034" Info "trial of a refused request succeeded; it takes none of the trials";
    /// The store could not be told of crashes.
    CRASHES_NOT_KEPT = "E7035" Warning
        "can't keep the crashes under a request in the store; trying again in a second";
    /// The directory is read from another source.
    SOURCE_CHANGED = "E7036" Info "directory read from another source than before";
    /// The operator has evacuated a data centre.
    ZONE_EVACUATED = "E7037" Info "data centre evacuated; sending its replicas no new requests";
    /// The operator has ended the evacuation of a data centre.
    ZONE_READMITTED = "E7038" Info "evacuation of the data centre ended; its replicas get requests again";
    /// A trial has reached no replica.
    TRIAL_RETURNED = "E7039" Info
        "trial of a refused request reached no replica; it takes none of the trials";
    /// A request has no valid API key.
    KEY_REFUSED = "E7040" Info "request refused for lack of a valid API key; it did not run";
    /// The quota of a client account is used up.
    QUOTA_REFUSED = "E7041" Info "request refused because its account's quota is used up; it did not run";
    /// An API key was removed from the configuration while a request with it waited.
    KEY_REVOKED = "E7042" Info "request refused because its API key was revoked; it did not run";
    /// Another daemon has relayed a request whose account this one does not know.
    ACCOUNT_UNKNOWN = "E7043" Info
        "declined a relayed request because its account can't be told from this daemon's table";
    /// Another daemon issues the tokens of shared rates to this one.
    AUTHORITY_CHOSEN = "E7050" Info "authority for shared rates chosen";
    /// The record of the fleet has changed.
    FLEET_CHANGED = "E7051" Info "record of the fleet changed; each listed daemon has an equal share of all rates";
    /// This daemon changes the record of the fleet.
    FLEET_WRITTEN = "E7052" Info "writing the record of the fleet to the store";
    /// The store has not taken the record.
    FLEET_NOT_WRITTEN = "E7053" Warning "record of the fleet not written; trying again in some seconds";
    /// The machine was suspended.
    MACHINE_SUSPENDED = "E7054" Warning "machine was suspended; dropping tokens and pledges of shared rates";
    /// A home region that the settings file does not name.
    HOME_UNKNOWN = "E7060" Warning "home region is no region of this deployment; it matches no replica";
    /// An evacuation of a data centre that the settings file does not name.
    ZONE_UNKNOWN = "E7061" Warning "evacuation of an unknown data centre; it is ignored";
    /// The sizes of the limits on connections and request bytes.
    INTAKE_SIZED = "E7070" Info "limits on connections and request bytes set";
    /// Connections of a port have run out.
    CONNECTIONS_SHORT = "E7071" Warning
        "connections have run out; closing those that have waited longest for their callers";
    /// The room for request bytes of a port has run out.
    REQUEST_BYTES_SHORT = "E7072" Warning
        "room for request bytes has run out; refusing requests and dropping those without progress";
    /// The settings file changed and can't be used.
    SETTINGS_UNUSABLE = "E7073" Warning
        "can't use the changed settings file; the settings in force stay, and it is read again";
    /// The record of contacts in the store was read by a daemon that is alone, or written.
    CONTACTS_USED = "E7074" Info "looked for other daemons in the store";
    /// The environment switches parts of the work-aware forwarding on.
    WORK_PARTS_ON = "E7080" Warning
        "environment names parts of the work-aware forwarding to switch on; meant for measurements";
}

/// Logs an event of the catalogue with its code and the given fields:
/// `log_event!(log, events::READY, "key" => value)`.
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
