//! Table of the other daemons of the deployment.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

use schema::{
    DaemonName,
    TimePoint,
    ZoneName, //
};
use xxhash_rust::xxh3::Xxh3;

use super::{
    MemberState,
    PeerMember, //
};

/// All known members except this daemon. Two daemons that know the same members have equal digests.
#[derive(Clone, Debug, Default)]
pub(super) struct MemberTable {
    members: BTreeMap<DaemonName, PeerMember>,
    digest: u64,
}

impl MemberTable {
    pub(super) fn get(&self, daemon: &DaemonName) -> Option<&PeerMember> {
        self.members.get(daemon)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &PeerMember> {
        self.members.values()
    }

    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Digest over all members, including `local`, the entry of this daemon.
    pub(super) fn digest(&self, local: &PeerMember) -> u64 {
        self.digest.wrapping_add(member_hash(local))
    }

    pub(super) fn insert(&mut self, member: PeerMember) {
        self.digest = self.digest.wrapping_add(member_hash(&member));
        if let Some(previous) = self.members.insert(member.daemon.clone(), member) {
            self.digest = self.digest.wrapping_sub(member_hash(&previous));
        }
    }

    /// Records that a datagram arrived from `daemon`, and the bundle version in force there.
    pub(super) fn record_contact(
        &mut self,
        daemon: &DaemonName,
        now: TimePoint,
        bundle: schema::BundleVersion,
    ) {
        if let Some(member) = self.members.get_mut(daemon) {
            member.last_heard = now;
            member.bundle = member.bundle.max(bundle);
        }
    }

    /// Removes members that have been dead for at least `dead_retention`.
    pub(super) fn remove_expired_dead(&mut self, now: TimePoint, dead_retention: Duration) {
        let mut expired = Vec::new();
        for member in self.members.values() {
            if member.state == MemberState::Dead && now.since(member.state_since) >= dead_retention
            {
                expired.push(member.daemon.clone());
            }
        }
        for daemon in expired {
            if let Some(member) = self.members.remove(&daemon) {
                self.digest = self.digest.wrapping_sub(member_hash(&member));
            }
        }
    }

    /// Members of `zone` that are not dead.
    pub(super) fn active_in_zone(&self, zone: &ZoneName) -> Vec<&PeerMember> {
        let members = self.members.values();
        members
            .filter(|member| member.is_active() && member.zone == *zone)
            .collect()
    }

    /// Members of all other zones that are not dead.
    pub(super) fn active_outside_zone(&self, zone: &ZoneName) -> Vec<&PeerMember> {
        let members = self.members.values();
        members
            .filter(|member| member.is_active() && member.zone != *zone)
            .collect()
    }

    pub(super) fn address(&self, daemon: &DaemonName) -> Option<SocketAddr> {
        self.members.get(daemon).map(|member| member.address)
    }
}

/// Contribution of a member to the digest. It is 0 for dead members, because daemons remove them at
/// different times.
fn member_hash(member: &PeerMember) -> u64 {
    if member.state == MemberState::Dead {
        return 0;
    }
    let mut hasher = Xxh3::new();
    hasher.update(member.daemon.as_str().as_bytes());
    hasher.update(&member.incarnation.0.to_le_bytes());
    hasher.update(&member.revision.to_le_bytes());
    hasher.update(&[member.state.code() as u8]);
    hasher.digest()
}
