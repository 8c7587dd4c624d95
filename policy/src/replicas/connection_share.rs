//! How the connections that a replica accepts are divided among the daemons.
//!
//! No daemon knows the exact number of the others at every moment: a leaving daemon and its
//! replacement overlap, and after all daemons restart at once each of them is new. The division is
//! therefore safe without agreement. A daemon that has been up for [`JOIN_PERIOD`] holds the full
//! share, and one that has just started holds the smaller joining share. The replica accepts as
//! many full and as many joining shares as the bundle names daemons. The remainder of the division
//! is not used, since handing it out would need all daemons to see the same members at the same
//! time.

use std::time::Duration;

/// Time within which all other daemons know of a daemon that has started.
pub const JOIN_PERIOD: Duration = Duration::from_secs(3);

/// Number of connections to each replica that a daemon may hold.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ConnectionShare {
    /// Connections of a daemon that has just started.
    pub joining: u32,
    /// Connections of a daemon that all others know of.
    pub full: u32,
}

impl ConnectionShare {
    /// Divides `connections` among the `planned` daemons that the bundle names or the `live`
    /// daemons that are known, whichever are more. Leaving daemons count as live.
    pub fn divide(connections: u32, planned: u32, live: u32) -> Self {
        let planned = planned.max(1);
        let per_daemon = connections / planned;
        if per_daemon < 2 {
            return Self::one_or_none(connections, planned.max(live));
        }
        let joining = (per_daemon / 4).max(1);
        let full = (connections - joining * planned) / planned.max(live);
        if full < joining {
            return Self::one_or_none(connections, planned.max(live));
        }
        Self { joining, full }
    }

    /// The shares where there are too few connections for a joining share: a new daemon waits until
    /// the one that it replaces is gone.
    fn one_or_none(connections: u32, live: u32) -> Self {
        Self {
            joining: 0,
            full: u32::from(live <= connections),
        }
    }
}
