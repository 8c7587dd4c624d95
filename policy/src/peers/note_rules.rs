//! What a note changes.

use std::time::Duration;

use schema::{
    peer::{
        note_entry::Note,
        DrainNote,
        NoteEntry,
        QuarantineNote, //
    },
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

/// Longest life of a mark from the network.
const MARK_MAX: Duration = Duration::from_secs(7 * 24 * 60 * 60);
/// Deaths remembered of one query.
const DEATHS_MAX: usize = 8;

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
                Some(Note::Drain(note)) => self.drain_heard(now, &note, actions),
                Some(Note::Quarantine(note)) => self.quarantine_heard(now, &note, actions),
                None => {}
            }
        }
    }

    /// A datagram shows that its sender ran under this entry at some time. It does not speak
    /// against a suspicion or a death of the same entry: it may be old.
    pub(super) fn merge_sender(
        &mut self,
        now: TimePoint,
        sender: PeerMember,
        actions: &mut Vec<PeerAction>,
    ) {
        let held = self.table.get(&sender.daemon);
        let held = held.filter(|held| held.weight() > sender.weight());
        if let Some(held) = held.cloned() {
            // It may not know what is said of it.
            if held.state == MemberState::Suspect || held.state == MemberState::Dead {
                self.accuse(sender.address, &held, actions);
            }
            return;
        }
        self.merge_member(now, sender, actions);
    }

    fn merge_member(&mut self, now: TimePoint, member: PeerMember, actions: &mut Vec<PeerAction>) {
        if member.daemon == self.own.daemon {
            self.refute(now, &member);
            return;
        }
        let held = self.table.get(&member.daemon);
        if held.is_some_and(|held| member.weight() <= held.weight()) {
            return;
        }
        let full = self.table.len() >= self.settings.table_max;
        let unknown_dead = held.is_none() && member.state == MemberState::Dead;
        if unknown_dead || (held.is_none() && full) {
            return;
        }
        let was_gone = held.is_some_and(|held| {
            held.incarnation == member.incarnation && held.state >= MemberState::Leaving
        });
        if member.state >= MemberState::Leaving && !was_gone {
            actions.push(PeerAction::MemberGone {
                daemon: member.daemon.clone(),
                incarnation: member.incarnation,
            });
        }
        let state = member.state;
        self.believe(now, member, state);
    }

    /// Takes a belief of a member into the table and passes it on.
    pub(super) fn believe(&mut self, now: TimePoint, mut member: PeerMember, state: MemberState) {
        member.state = state;
        member.since = now;
        if let Some(held) = self.table.get(&member.daemon) {
            if held.incarnation == member.incarnation {
                member.bundle = held.bundle;
                member.heard = held.heard;
            }
        }
        let entry = member.to_entry();
        let key = NoteKey::Member(member.daemon.clone());
        self.table.put(member);
        self.changed = true;
        self.queue(now, key, Note::Member(entry));
    }

    /// Raises this daemon's revision above what others say of it.
    fn refute(&mut self, now: TimePoint, said: &PeerMember) {
        if said.weight() <= self.own.weight() {
            return;
        }
        // An earlier start is remembered with a later time where the clock was set back since.
        if said.incarnation > self.own.incarnation {
            self.own.incarnation = schema::Incarnation(said.incarnation.0 + 1);
        }
        self.own.revision = said.revision + 1;
        self.counts.refuted += 1;
        self.note_own(now);
    }

    fn drain_heard(&mut self, now: TimePoint, note: &DrainNote, actions: &mut Vec<PeerAction>) {
        let Ok(vm) = note.vm.parse::<VmName>() else {
            return;
        };
        let until = TimePoint(note.until_us);
        if self.merge_drain(now, vm.clone(), until) {
            actions.push(PeerAction::DrainHeard { vm, until });
        }
    }

    /// Keeps a drain mark; true where it is new.
    pub(super) fn merge_drain(&mut self, now: TimePoint, vm: VmName, until: TimePoint) -> bool {
        let held = self.drains.get(&vm).copied().unwrap_or_default();
        let full = held == TimePoint(0) && self.drains.len() >= self.settings.table_max;
        if until <= now || until > now + MARK_MAX || until <= held || full {
            return false;
        }
        self.drains.insert(vm.clone(), until);
        let note = DrainNote {
            vm: vm.to_string(),
            until_us: until.0,
        };
        self.queue(now, NoteKey::Drain(vm), Note::Drain(note));
        true
    }

    fn quarantine_heard(
        &mut self,
        now: TimePoint,
        note: &QuarantineNote,
        actions: &mut Vec<PeerAction>,
    ) {
        let print = QueryPrint::from_halves(note.print_high, note.print_low);
        let mut deaths = Vec::new();
        for text in &note.deaths {
            if let Ok(vm) = text.parse::<VmName>() {
                deaths.push(vm);
            }
        }
        let until = TimePoint(note.until_us);
        if self.merge_quarantine(now, print, &deaths, until) {
            actions.push(PeerAction::QuarantineHeard {
                print,
                deaths,
                until,
            });
        }
    }

    /// Keeps a query's deaths; true where one, or a later end, is new.
    pub(super) fn merge_quarantine(
        &mut self,
        now: TimePoint,
        print: QueryPrint,
        deaths: &[VmName],
        until: TimePoint,
    ) -> bool {
        let full = self.quarantines.len() >= self.settings.table_max;
        let known = self.quarantines.contains_key(&print);
        if until <= now || until > now + MARK_MAX || (full && !known) {
            return false;
        }
        let (print_high, print_low) = print.halves();
        let held = self.quarantines.entry(print).or_insert(QuarantineNote {
            print_high,
            print_low,
            deaths: Vec::new(),
            until_us: 0,
        });
        let mut fresh = until.0 > held.until_us;
        held.until_us = held.until_us.max(until.0);
        for vm in deaths {
            let text = vm.to_string();
            if held.deaths.len() < DEATHS_MAX && !held.deaths.contains(&text) {
                held.deaths.push(text);
                fresh = true;
            }
        }
        if fresh {
            let note = held.clone();
            self.queue(now, NoteKey::Quarantine(print), Note::Quarantine(note));
        }
        fresh
    }

    pub(super) fn expire_marks(&mut self, now: TimePoint) {
        self.drains.retain(|_, until| *until > now);
        self.quarantines.retain(|_, note| note.until_us > now.0);
    }
}
