//! Full state syncs between two daemons: on joining, and when their member digests differ.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use rand::seq::IndexedRandom;
use schema::{
    peer::{
        note_entry::Note,
        NoteEntry,
        SyncBody, //
    },
    TimePoint, //
};

use super::{
    note_rules::drain_note,
    MemberState,
    PeerAction,
    PeerCore, //
};

/// Maximum delay with which the VM list shows a daemon.
const VM_LIST_LAG_MAX: Duration = Duration::from_secs(60);
/// The minimum time between syncs grows by `sync_interval_min` for each group of this many members.
const MEMBERS_PER_INTERVAL: usize = 512;

impl PeerCore {
    /// All members, drain marks and quarantines known to this daemon, as notes.
    pub(super) fn sync_body(&self) -> SyncBody {
        let mut notes = vec![Note::Member(self.local.to_entry())];
        for member in self.table.iter() {
            notes.push(Note::Member(member.to_entry()));
        }
        for (vm, until) in &self.drains {
            notes.push(drain_note(vm, *until));
        }
        for note in self.quarantines.values() {
            notes.push(Note::Quarantine(note.clone()));
        }
        let notes = notes.into_iter().map(|note| NoteEntry { note: Some(note) });
        SyncBody {
            notes: notes.collect(),
        }
    }

    /// Addresses of daemons to sync with on joining: the seeds, the VM list and the contacts in the
    /// store, without this daemon.
    pub(super) fn join_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.settings.seeds.clone();
        addresses.extend(&self.vm_list_addresses);
        addresses.extend(&self.contacts);
        addresses.retain(|address| *address != self.local.address);
        addresses
    }

    /// Requests a sync from a random seed or VM list address, unless a sync is pending, or one
    /// has succeeded and other daemons are known.
    pub(super) fn join(&mut self, now: TimePoint, actions: &mut Vec<PeerAction>) {
        let alone = self.daemon_count() == 1;
        if (self.joined && !alone) || self.sync_pending {
            return;
        }
        let addresses = self.join_addresses();
        if let Some(to) = addresses.choose(&mut self.random).copied() {
            self.request_sync(now, to, actions);
        }
    }

    /// Requests a sync from a daemon at one of `addresses` that is not known to live, also while another sync
    /// is pending: that may be with a daemon that is gone. So groups that don't know each other meet.
    pub(super) fn meet(
        &mut self,
        now: TimePoint,
        addresses: &[SocketAddr],
        actions: &mut Vec<PeerAction>,
    ) {
        let is_known = |address: &SocketAddr| {
            let mut members = self.table.iter();
            members.any(|member| member.is_active() && member.address == *address)
        };
        let strangers = addresses.iter().copied();
        let strangers = strangers.filter(|address| *address != self.local.address);
        let strangers: Vec<SocketAddr> = strangers.filter(|address| !is_known(address)).collect();
        if let Some(to) = strangers.choose(&mut self.random).copied() {
            self.request_sync(now, to, actions);
        }
    }

    /// Requests a sync from a daemon whose member digest (`view`) differs. While notes are queued
    /// no sync is made, because the notes may remove the difference.
    pub(super) fn compare_digest(
        &mut self,
        now: TimePoint,
        from: SocketAddr,
        view: u64,
        actions: &mut Vec<PeerAction>,
    ) {
        let equal = view == self.table.digest(&self.local);
        if equal || !self.notes.is_empty() || now < self.next_sync || self.sync_pending {
            return;
        }
        self.request_sync(now, from, actions);
    }

    /// Stores the addresses of the VM list. Declares a daemon of another data centre dead if the
    /// list does not name it, and for `VM_LIST_LAG_MAX` it sent nothing and its state did not
    /// change. Possibly no daemon is left in that data centre to report the death.
    pub(super) fn apply_vm_list(
        &mut self,
        now: TimePoint,
        addresses: Vec<SocketAddr>,
        actions: &mut Vec<PeerAction>,
    ) {
        self.vm_list_addresses = addresses;
        if self.vm_list_addresses.is_empty() {
            return;
        }
        let mut unlisted = Vec::new();
        for member in self.table.active_outside_zone(&self.local.zone) {
            let silent = now.since(member.last_heard.max(member.state_since)) >= VM_LIST_LAG_MAX;
            if silent && !self.vm_list_addresses.contains(&member.address) {
                unlisted.push(member.clone());
            }
        }
        for member in unlisted {
            actions.push(PeerAction::MemberGone {
                daemon: member.daemon.clone(),
                incarnation: member.incarnation,
            });
            self.store_member(now, member, MemberState::Dead);
        }
    }

    fn request_sync(&mut self, now: TimePoint, to: SocketAddr, actions: &mut Vec<PeerAction>) {
        let intervals = 1 + self.table.len() / MEMBERS_PER_INTERVAL;
        self.next_sync = now + self.settings.sync_interval_min * intervals as u32;
        self.sync_pending = true;
        self.counts.syncs_requested += 1;
        let body = self.sync_body();
        actions.push(PeerAction::RequestSync { to, body });
    }
}
