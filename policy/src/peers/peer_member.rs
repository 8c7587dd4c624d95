//! Membership entry of a daemon.

use std::net::SocketAddr;

use compact_str::CompactString;
use schema::{
    peer::MemberEntry,
    BundleVersion,
    DaemonName,
    Incarnation,
    MemberBuild,
    TimePoint,
    ZoneName, //
};

use super::MemberState;

/// Entry of a daemon in the member table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerMember {
    /// Name, unique in the deployment.
    pub daemon: DaemonName,
    /// Address on which it listens for datagrams and streams of peers.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub zone: ZoneName,
    /// Cell within the data centre; empty if the data centre has only one.
    pub cell: CompactString,
    /// Identifies the start of the daemon that this entry describes. An entry with a higher
    /// incarnation replaces one with a lower.
    pub incarnation: Incarnation,
    /// Raised only by the daemon itself, to refute entries from others.
    pub revision: u32,
    /// Membership state as known to this daemon.
    pub state: MemberState,
    /// When this daemon stored `state`.
    pub state_since: TimePoint,
    /// Highest bundle version that its datagrams have carried; 0 if none was received.
    pub bundle: BundleVersion,
    /// When its last datagram arrived; 0 if none was received.
    pub last_heard: TimePoint,
}

impl PeerMember {
    /// Converts from the wire format; returns `None` if a field is invalid.
    pub(super) fn from_entry(now: TimePoint, entry: &MemberEntry) -> Option<Self> {
        Some(Self {
            daemon: entry.name.parse().ok()?,
            address: entry.peer.parse().ok()?,
            zone: entry.zone.parse().ok()?,
            cell: entry.cell.as_str().into(),
            incarnation: Incarnation(entry.incarnation),
            revision: entry.revision,
            state: MemberState::from_code(entry.state)?,
            state_since: now,
            bundle: BundleVersion(0),
            last_heard: TimePoint(0),
        })
    }

    /// Converts to the wire format.
    pub(super) fn to_entry(&self) -> MemberEntry {
        MemberEntry {
            name: self.daemon.to_string(),
            peer: self.address.to_string(),
            zone: self.zone.to_string(),
            cell: self.cell.to_string(),
            incarnation: self.incarnation.0,
            state: self.state.code(),
            revision: self.revision,
        }
    }

    /// What its build understands.
    pub fn build(&self) -> MemberBuild {
        MemberBuild::of_cell(&self.cell)
    }

    /// Key that decides which of two entries for a daemon wins: the higher incarnation, then the
    /// higher revision, then the later state.
    pub(super) fn precedence(&self) -> (Incarnation, u32, MemberState) {
        (self.incarnation, self.revision, self.state)
    }

    /// Whether the daemon still takes part in the protocol. All states except `Dead` do.
    pub fn is_active(&self) -> bool {
        self.state != MemberState::Dead
    }
}
