//! Merging of received notes into the state of this daemon.

use std::time::Duration;

use schema::{
    peer::{
        note_entry::Note,
        DrainNote,
        NoteEntry,
        QuarantineNote, //
    },
    CrashNotice,
    DaemonName,
    LimitNotice,
    QueryPrint,
    TimePoint,
    VmName, //
};

use super::{
    note_queue::NoteKey,
    MemberState,
    PeerAction,
    PeerCore,
    PeerMember, //
};
use crate::{
    rates::RateMessage,
    rotation::entries_after, //
};

/// Largest time to expiry that is accepted for a drain mark or a quarantine.
const EXPIRY_MAX: Duration = Duration::from_secs(7 * 24 * 60 * 60);
/// Drain marks, and quarantines, that are queued again at a time.
const REPEATED_NOTES: usize = 2;
/// Maximum number of crashed upstreams stored for one query.
const DEATHS_PER_QUERY_MAX: usize = 8;

impl PeerCore {
    pub(super) fn merge_notes(
        &mut self,
        now: TimePoint,
        notes: Vec<NoteEntry>,
        actions: &mut Vec<PeerAction>,
    ) {
        for entry in notes {
            match entry.note {
                Some(Note::Member(entry)) => {
                    if let Some(member) = PeerMember::from_entry(now, &entry) {
                        self.merge_member(now, member, actions);
                    }
                }
                Some(Note::Drain(note)) => self.receive_drain(now, &note, actions),
                Some(Note::Quarantine(note)) => self.receive_quarantine(now, &note, actions),
                Some(Note::Crash(note)) => {
                    let notice = CrashNotice::from_note(&note);
                    actions.push(PeerAction::CrashReceived { notice });
                }
                // Notices of limits and rates are for their receiver only and come in datagrams, see
                // `take_notices`.
                Some(Note::Limit(_) | Note::Rate(_)) | None => {}
            }
        }
    }

    /// Passes the limits and rates in a datagram of the daemon `from` on.
    pub(super) fn take_notices(
        from: &DaemonName,
        notes: &[NoteEntry],
        actions: &mut Vec<PeerAction>,
    ) {
        for entry in notes {
            let from = from.clone();
            match &entry.note {
                Some(Note::Limit(note)) => {
                    let notice = LimitNotice::from_note(note);
                    actions.push(PeerAction::LimitsReceived { from, notice });
                }
                Some(Note::Rate(note)) => {
                    let message = RateMessage::from_note(note);
                    actions.push(PeerAction::RatesReceived { from, message });
                }
                _ => {}
            }
        }
    }

    /// Merges the entry of a datagram's sender. The datagram proves only that the sender ran with
    /// this entry at some time. It does not refute a suspicion or death of the same entry, because
    /// it may be old.
    pub(super) fn merge_sender(
        &mut self,
        now: TimePoint,
        sender: PeerMember,
        actions: &mut Vec<PeerAction>,
    ) {
        let current = self.table.get(&sender.daemon);
        let current = current.filter(|current| current.precedence() > sender.precedence());
        if let Some(current) = current.cloned() {
            // The sender may not know that it is suspected or declared dead, and must learn of it
            // to refute it.
            if current.state == MemberState::Suspect || current.state == MemberState::Dead {
                self.send_known_entry(sender.address, &current, actions);
            }
            return;
        }
        self.merge_member(now, sender, actions);
    }

    fn merge_member(&mut self, now: TimePoint, member: PeerMember, actions: &mut Vec<PeerAction>) {
        if member.daemon == self.local.daemon {
            self.refute(now, &member);
            return;
        }
        let current = self.table.get(&member.daemon);
        if current.is_some_and(|current| member.precedence() <= current.precedence()) {
            return;
        }
        let table_full = self.table.len() >= self.settings.table_entries_max;
        let unknown_dead = current.is_none() && member.state == MemberState::Dead;
        if unknown_dead || (current.is_none() && table_full) {
            return;
        }
        let already_gone = current.is_some_and(|current| {
            current.incarnation == member.incarnation && current.state >= MemberState::Leaving
        });
        if member.state >= MemberState::Leaving && !already_gone {
            actions.push(PeerAction::MemberGone {
                daemon: member.daemon.clone(),
                incarnation: member.incarnation,
            });
        }
        let state = member.state;
        self.store_member(now, member, state);
    }

    /// Stores `member` with `state` in the table and queues the entry for other daemons.
    pub(super) fn store_member(
        &mut self,
        now: TimePoint,
        mut member: PeerMember,
        state: MemberState,
    ) {
        member.state = state;
        member.state_since = now;
        if let Some(current) = self.table.get(&member.daemon) {
            if current.incarnation == member.incarnation {
                member.bundle = current.bundle;
                member.last_heard = current.last_heard;
            }
        }
        let entry = member.to_entry();
        let key = NoteKey::Member(member.daemon.clone());
        self.table.insert(member);
        self.members_changed = true;
        self.queue_note(now, key, Note::Member(entry));
    }

    /// Raises this daemon's revision above the one in `claim`, another daemon's entry for it.
    fn refute(&mut self, now: TimePoint, claim: &PeerMember) {
        if claim.precedence() <= self.local.precedence() {
            return;
        }
        // An incarnation is the start time. If the clock was set back before this start, other
        // daemons know an earlier start with a higher incarnation.
        if claim.incarnation > self.local.incarnation {
            self.local.incarnation = schema::Incarnation(claim.incarnation.0 + 1);
        }
        self.local.revision = claim.revision + 1;
        self.counts.refutations += 1;
        self.queue_local_entry(now);
    }

    fn receive_drain(&mut self, now: TimePoint, note: &DrainNote, actions: &mut Vec<PeerAction>) {
        let Ok(vm) = note.vm.parse::<VmName>() else {
            return;
        };
        let until = TimePoint(note.until_us);
        if self.merge_drain(now, vm.clone(), until) {
            actions.push(PeerAction::DrainReceived { vm, until });
        }
    }

    /// Stores a drain mark and queues it for other daemons. Returns true if the mark is new or
    /// expires later than the stored one.
    pub(super) fn merge_drain(&mut self, now: TimePoint, vm: VmName, until: TimePoint) -> bool {
        let current = self.drains.get(&vm).copied().unwrap_or_default();
        let table_full =
            current == TimePoint(0) && self.drains.len() >= self.settings.table_entries_max;
        if until <= now || until > now + EXPIRY_MAX || until <= current || table_full {
            return false;
        }
        self.drains.insert(vm.clone(), until);
        let note = drain_note(&vm, until);
        self.queue_note(now, NoteKey::Drain(vm), note);
        true
    }

    fn receive_quarantine(
        &mut self,
        now: TimePoint,
        note: &QuarantineNote,
        actions: &mut Vec<PeerAction>,
    ) {
        let print = QueryPrint::from_halves(note.print_high, note.print_low);
        let mut deaths = Vec::new();
        for name in &note.deaths {
            if let Ok(vm) = name.parse::<VmName>() {
                deaths.push(vm);
            }
        }
        let until = TimePoint(note.until_us);
        if self.merge_quarantine(now, print, &deaths, until) {
            actions.push(PeerAction::QuarantineReceived {
                print,
                deaths,
                until,
            });
        }
    }

    /// Stores the upstreams that crashed while running a query, and queues them for other daemons.
    /// Returns true if an upstream is new or the expiry is later than the stored one.
    pub(super) fn merge_quarantine(
        &mut self,
        now: TimePoint,
        print: QueryPrint,
        deaths: &[VmName],
        until: TimePoint,
    ) -> bool {
        let table_full = self.quarantines.len() >= self.settings.table_entries_max;
        let exists = self.quarantines.contains_key(&print);
        if until <= now || until > now + EXPIRY_MAX || (table_full && !exists) {
            return false;
        }
        let (print_high, print_low) = print.halves();
        let current = self.quarantines.entry(print).or_insert(QuarantineNote {
            print_high,
            print_low,
            deaths: Vec::new(),
            until_us: 0,
        });
        let mut changed = until.0 > current.until_us;
        current.until_us = current.until_us.max(until.0);
        for vm in deaths {
            let name = vm.to_string();
            if current.deaths.len() < DEATHS_PER_QUERY_MAX && !current.deaths.contains(&name) {
                current.deaths.push(name);
                changed = true;
            }
        }
        if changed {
            let note = current.clone();
            self.queue_note(now, NoteKey::Quarantine(print), Note::Quarantine(note));
        }
        changed
    }

    /// Queues some drain marks and quarantines again, in rotation, for daemons that were cut off when
    /// they were new.
    pub(super) fn repeat_notes(&mut self, now: TimePoint) {
        let drains = entries_after(&self.drains, self.last_repeated.0.as_ref());
        let drains = drains.map(|(vm, until)| (vm.clone(), *until));
        let drains: Vec<_> = drains.take(REPEATED_NOTES).collect();
        for (vm, until) in drains {
            let note = drain_note(&vm, until);
            self.last_repeated.0 = Some(vm.clone());
            self.queue_note(now, NoteKey::Drain(vm), note);
        }
        let quarantines = entries_after(&self.quarantines, Some(&self.last_repeated.1));
        let quarantines = quarantines.map(|(print, note)| (*print, note.clone()));
        let quarantines: Vec<_> = quarantines.take(REPEATED_NOTES).collect();
        for (print, note) in quarantines {
            self.last_repeated.1 = print;
            self.queue_note(now, NoteKey::Quarantine(print), Note::Quarantine(note));
        }
    }

    pub(super) fn expire_drains_and_quarantines(&mut self, now: TimePoint) {
        self.drains.retain(|_, until| *until > now);
        self.quarantines.retain(|_, note| note.until_us > now.0);
    }
}

/// The note that passes on a drain mark.
pub(super) fn drain_note(vm: &VmName, until: TimePoint) -> Note {
    Note::Drain(DrainNote {
        vm: vm.to_string(),
        until_us: until.0,
    })
}
