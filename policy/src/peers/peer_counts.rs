//! Counters of peer traffic and failure detection.

/// Counters of membership since the start of the daemon.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeerCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent, without IP and UDP headers.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub received: u64,
    /// Bytes of the datagrams accepted, without IP and UDP headers.
    pub received_bytes: u64,
    /// Datagrams dropped because they were not authentic, of another format version, or malformed,
    /// or named this daemon as their sender.
    pub rejected: u64,
    /// Notes dropped because the queue was full.
    pub notes_dropped: u64,
    /// Suspicions raised by this daemon's probes.
    pub suspicions_raised: u64,
    /// Times that this daemon refuted an entry that outranked its own.
    pub refutations: u64,
    /// Syncs requested by this daemon.
    pub syncs_requested: u64,
}
