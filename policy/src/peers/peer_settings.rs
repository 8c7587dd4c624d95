//! Settings of the membership protocol.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use compact_str::CompactString;
use schema::{
    DaemonName,
    Incarnation,
    ZoneName, //
};

/// Identity of this daemon and parameters of the membership protocol.
#[derive(Clone, Debug)]
pub struct PeerSettings {
    /// Name of this daemon.
    pub daemon: DaemonName,
    /// Address on which this daemon listens for peers.
    pub address: SocketAddr,
    /// Data centre of this daemon.
    pub zone: ZoneName,
    /// Cell within the data centre; empty if the data centre has only one.
    pub cell: CompactString,
    /// Identifies this start of the daemon, by its time. The daemon raises it if others know a
    /// higher one.
    pub incarnation: Incarnation,
    /// Key of the deployment with which peer messages are authenticated.
    pub key: [u8; 32],
    /// Peer addresses of the daemons to contact for joining, besides those in the VM list.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random choice of daemons and of the jitter.
    pub random_seed: u64,
    /// Average time between two probes.
    pub probe_period: Duration,
    /// Time to wait for a direct answer before indirect probes are sent. Also the least time
    /// between two requests for the same bundle version.
    pub ping_timeout: Duration,
    /// Number of daemons that are asked to probe a daemon that did not answer directly.
    pub indirect_probes: usize,
    /// Time that a suspected daemon has to refute before it is declared dead.
    pub suspect_timeout: Duration,
    /// Number of daemons that each push of new notes goes to; one of them is in another data centre
    /// if possible.
    pub fanout: usize,
    /// Probe periods between two pings to another data centre.
    pub periods_per_remote_ping: u32,
    /// Delay before new notes are pushed, so that one datagram carries several.
    pub push_delay: Duration,
    /// Time for which a dead daemon stays in the member table. Also the time after which a leaving
    /// daemon is declared dead.
    pub dead_retention: Duration,
    /// Minimum time between two sync requests; it grows with the number of members.
    pub sync_interval_min: Duration,
    /// Maximum number of queued notes.
    pub notes_max: usize,
    /// Maximum number of members, of drain marks, and of quarantines; it applies to each table.
    pub table_entries_max: usize,
}

impl PeerSettings {
    /// Returns settings with the default times and limits, no cell and no seed addresses.
    pub fn new(
        daemon: DaemonName,
        address: SocketAddr,
        zone: ZoneName,
        incarnation: Incarnation,
        key: [u8; 32],
    ) -> Self {
        Self {
            daemon,
            address,
            zone,
            cell: CompactString::default(),
            incarnation,
            key,
            seeds: Vec::new(),
            random_seed: incarnation.0,
            probe_period: Duration::from_secs(1),
            ping_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspect_timeout: Duration::from_secs(3),
            fanout: 4,
            periods_per_remote_ping: 4,
            push_delay: Duration::from_millis(20),
            dead_retention: Duration::from_secs(60 * 60),
            sync_interval_min: Duration::from_secs(5),
            notes_max: 4_096,
            table_entries_max: 16_384,
        }
    }
}
