//! Other daemons, as far as relays are concerned.

use schema::{
    CpuCapacity,
    DaemonName,
    MemberBuild,
    ZoneName, //
};

use crate::rates::RateMember;

/// Another live daemon, which may forward requests for this one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RelayPeer {
    /// Its name.
    pub daemon: DaemonName,
    /// Its data centre.
    pub zone: ZoneName,
    /// Its processor capacity; 0 if it does not gather for others.
    pub capacity: CpuCapacity,
    /// What its build understands.
    pub build: MemberBuild,
}

impl RelayPeer {
    /// Its entry among the daemons that share rates; `None` if its build does not share them.
    pub(super) fn rate_member(&self) -> Option<RateMember> {
        (self.build >= MemberBuild::SharesRates).then(|| RateMember {
            daemon: self.daemon.clone(),
            capacity: self.capacity,
        })
    }
}
