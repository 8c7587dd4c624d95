//! Queue of the notes (member entries, drain marks, quarantines and crashes) to send to other daemons.

use std::collections::BTreeMap;

use schema::{
    peer::{
        note_entry::Note,
        NoteEntry, //
    },
    DaemonName,
    QueryPrint,
    VmName, //
};

/// Subject of a note; the queue keeps only the newest note for each key.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum NoteKey {
    Member(DaemonName),
    Drain(VmName),
    Quarantine(QueryPrint),
    Crash(QueryPrint),
}

#[derive(Clone, Debug)]
struct QueuedNote {
    entry: NoteEntry,
    size: usize,
    /// Number of datagrams that have carried this note.
    sends: u32,
}

/// Bounded queue in which each note is sent a limited number of times. Notes with the fewest sends
/// go first.
#[derive(Clone, Debug)]
pub(super) struct NoteQueue {
    notes: BTreeMap<NoteKey, QueuedNote>,
    /// Keys by number of sends, then in the order in which they reached that number.
    order: BTreeMap<(u32, u64), NoteKey>,
    /// Position of each key in `order`.
    positions: BTreeMap<NoteKey, (u32, u64)>,
    next_sequence: u64,
    notes_max: usize,
}

impl NoteQueue {
    pub(super) fn new(notes_max: usize) -> Self {
        Self {
            notes: BTreeMap::new(),
            order: BTreeMap::new(),
            positions: BTreeMap::new(),
            next_sequence: 0,
            notes_max,
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.notes.is_empty()
    }

    /// Queues a note, replacing any note with the same key. Returns false and drops the note if the
    /// queue is full and has no note with this key.
    pub(super) fn push(&mut self, key: NoteKey, note: Note) -> bool {
        if !self.notes.contains_key(&key) && self.notes.len() >= self.notes_max {
            return false;
        }
        let entry = NoteEntry { note: Some(note) };
        let size = postcard::experimental::serialized_size(&entry).unwrap_or(usize::MAX);
        let note = QueuedNote {
            entry,
            size,
            sends: 0,
        };
        self.notes.insert(key.clone(), note);
        self.set_position(key, 0);
        true
    }

    /// Returns notes for one datagram, of at most `max_bytes` bytes in total, and counts a send for
    /// each. A note is removed after `sends_max` sends.
    pub(super) fn take_batch(&mut self, max_bytes: usize, sends_max: u32) -> Vec<NoteEntry> {
        let mut entries = Vec::new();
        let mut keys = Vec::new();
        let mut remaining = max_bytes;
        for key in self.order.values() {
            let Some(note) = self.notes.get(key) else {
                continue;
            };
            if note.size > remaining {
                break;
            }
            remaining -= note.size;
            entries.push(note.entry.clone());
            keys.push(key.clone());
        }
        for key in keys {
            self.record_send(key, sends_max);
        }
        entries
    }

    fn record_send(&mut self, key: NoteKey, sends_max: u32) {
        let Some(note) = self.notes.get_mut(&key) else {
            return;
        };
        note.sends += 1;
        let sends = note.sends;
        if sends < sends_max {
            self.set_position(key, sends);
            return;
        }
        self.notes.remove(&key);
        if let Some(position) = self.positions.remove(&key) {
            self.order.remove(&position);
        }
    }

    fn set_position(&mut self, key: NoteKey, sends: u32) {
        let position = (sends, self.next_sequence);
        self.next_sequence += 1;
        if let Some(previous) = self.positions.insert(key.clone(), position) {
            self.order.remove(&previous);
        }
        self.order.insert(position, key);
    }
}
