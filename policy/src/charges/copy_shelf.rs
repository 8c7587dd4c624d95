//! Copies of other daemons' charges.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use prost::Message;
use schema::{
    peer::{
        ChargeSegment,
        CopyCall,
        CopyReply,
        StoredCall, //
    },
    DaemonName,
    Incarnation,
    TimePoint, //
};

use super::{
    charge_line::ChargeLine,
    ledger_store::tokens_of,
    segment_key,
    segment_key::DaemonStart,
    ChargeAction,
    ChargeCounts,
    ChargeLedger,
    ChargeSettings,
    ChargeToken, //
};
use crate::store::{
    StoreCall,
    StoreReply, //
};

/// Memory of a record beyond its texts, in bytes.
const RECORD_BYTES: usize = 64;

type CopyKey = (DaemonName, Incarnation, u64);

/// Copies of other daemons' segments, and those that must be written in their place.
#[derive(Clone, Debug)]
pub(super) struct CopyShelf {
    copies: BTreeMap<CopyKey, ChargeSegment>,
    /// Starts of daemons that are gone.
    gone: BTreeSet<DaemonStart>,
    size: usize,
    bound: usize,
    /// The open call, its segment, and whether it is a write.
    call: Option<(u64, CopyKey, bool)>,
    /// A segment that somebody else wrote, to be read back.
    read: Option<CopyKey>,
    due: TimePoint,
}

impl CopyShelf {
    pub(super) fn new(settings: &ChargeSettings) -> Self {
        Self {
            copies: BTreeMap::new(),
            gone: BTreeSet::new(),
            size: 0,
            bound: settings.shelf_bytes,
            call: None,
            read: None,
            due: TimePoint(0),
        }
    }

    pub(super) fn size(&self) -> usize {
        self.size
    }

    /// Holds records of a segment; the reply says how many are held.
    pub(super) fn hold(&mut self, call: CopyCall, counts: &mut ChargeCounts) -> CopyReply {
        let segment = call.segment.unwrap_or_default();
        let mut reply = CopyReply {
            sequence: segment.sequence,
            held: 0,
            incarnation: segment.incarnation,
        };
        let Ok(daemon) = segment.daemon.parse::<DaemonName>() else {
            return reply;
        };
        let start = (daemon, Incarnation(segment.incarnation));
        self.drop_below(&start, call.stored_below);
        let size: usize = segment.records.iter().map(record_size).sum();
        let key = (start.0, start.1, segment.sequence);
        if self.size + size > self.bound {
            counts.copies_refused += 1;
            let held = self.copies.get(&key);
            reply.held = held.map_or(0, |held| held.records.len() as u32);
            return reply;
        }
        let held = self.copies.entry(key).or_default();
        let offset = call.offset as usize;
        if held.records.len() >= offset {
            let known: usize = held.records.iter().skip(offset).map(record_size).sum();
            held.records.truncate(offset);
            held.records.extend(segment.records);
            held.daemon = segment.daemon;
            held.incarnation = segment.incarnation;
            held.sequence = segment.sequence;
            held.sealed_us = segment.sealed_us;
            held.answered = segment.answered;
            held.closing = segment.closing;
            self.size = self.size + size - known;
        }
        reply.held = held.records.len() as u32;
        reply
    }

    pub(super) fn stored(&mut self, call: &StoredCall) {
        let Ok(daemon) = call.daemon.parse::<DaemonName>() else {
            return;
        };
        self.remove(&(daemon, Incarnation(call.incarnation), call.sequence));
    }

    /// A daemon is gone in this start and all before.
    pub(super) fn peer_gone(&mut self, start: &DaemonStart) {
        let mut starts = BTreeSet::new();
        for (daemon, incarnation, _) in self.copies.keys() {
            if *daemon == start.0 && *incarnation <= start.1 {
                starts.insert((daemon.clone(), *incarnation));
            }
        }
        self.gone.extend(starts);
    }

    /// A daemon is alive in this start: those before are gone, this one is not.
    pub(super) fn peer_seen(&mut self, daemon: &DaemonName, incarnation: Incarnation) {
        self.gone.remove(&(daemon.clone(), incarnation));
        if let Some(before) = incarnation.0.checked_sub(1) {
            self.peer_gone(&(daemon.clone(), Incarnation(before)));
        }
    }

    /// Starts that are gone and whose copies are here, each with the first of its sequences.
    pub(super) fn gone_starts(&self) -> Vec<(DaemonStart, u64)> {
        let mut starts: Vec<(DaemonStart, u64)> = Vec::new();
        if self.gone.is_empty() {
            return starts;
        }
        for (daemon, incarnation, sequence) in self.copies.keys() {
            let start = (daemon.clone(), *incarnation);
            let known = starts.last().is_some_and(|last| last.0 == start);
            if !known && self.gone.contains(&start) {
                starts.push((start, *sequence));
            }
        }
        starts
    }

    fn next_gone(&self) -> Option<&CopyKey> {
        let mut keys = self.copies.keys();
        keys.find(|key| self.gone.contains(&(key.0.clone(), key.1)))
    }

    fn drop_below(&mut self, start: &DaemonStart, sequence: u64) {
        let low = (start.0.clone(), start.1, 0);
        let high = (start.0.clone(), start.1, sequence);
        let keys: Vec<CopyKey> = self
            .copies
            .range(low..high)
            .map(|held| held.0.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &CopyKey) -> Option<ChargeSegment> {
        let segment = self.copies.remove(key)?;
        let start = (key.0.clone(), key.1);
        let low = (key.0.clone(), key.1, 0);
        let next = self.copies.range(low..).next();
        if next.is_none_or(|(held, _)| (&held.0, held.1) != (&start.0, start.1)) {
            self.gone.remove(&start);
        }
        self.size -= segment.records.iter().map(record_size).sum::<usize>();
        Some(segment)
    }
}

impl ChargeLedger {
    /// When the next copy whose daemon is gone wants to be written.
    pub(super) fn shelf_wakeup(&self) -> TimePoint {
        let mut gone = self.shelf.gone.iter();
        let ready = gone.any(|start| self.roster.lists(start));
        if self.shelf.call.is_some() || !ready {
            return TimePoint::NEVER;
        }
        self.shelf.due
    }

    /// Writes the next copy whose daemon is gone.
    pub(super) fn pump_shelf(&mut self, now: TimePoint, actions: &mut Vec<ChargeAction>) {
        if now < self.shelf_wakeup() {
            return;
        }
        let mut keys = self.shelf.copies.keys();
        let listed = |key: &&CopyKey| {
            let start = (key.0.clone(), key.1);
            self.shelf.gone.contains(&start) && self.roster.lists(&start)
        };
        let Some(key) = keys.find(listed).cloned() else {
            return;
        };
        let Some(segment) = self.shelf.copies.get(&key) else {
            return;
        };
        let store_key = segment_key(key.0.as_str(), key.1 .0, key.2);
        let writing = self.shelf.read.take().as_ref() != Some(&key);
        let request = if writing {
            StoreCall::Write {
                key: store_key,
                value: segment.encode_to_vec(),
                expect: 0,
                lease: 0,
            }
        } else {
            StoreCall::Get { key: store_key }
        };
        self.shelf.due = now + self.settings.write_gap;
        let call = self.number_call();
        self.shelf.call = Some((call, key, writing));
        actions.push(ChargeAction::Store { call, request });
    }

    pub(super) fn shelf_replied(&mut self, now: TimePoint, call: u64, reply: StoreReply) {
        let open = self.shelf.call.take_if(|open| open.0 == call);
        let Some((_, key, writing)) = open else {
            return;
        };
        if !reply.is_outage() {
            self.delay.reset();
        }
        match (writing, reply) {
            (true, StoreReply::Written { .. }) => {
                self.counts.inherited += 1;
                self.shelf.remove(&key);
            }
            // Somebody wrote it before, perhaps from a shorter copy.
            (true, StoreReply::Conflict { .. }) => {
                self.shelf.read = Some(key);
                self.shelf.due = now;
            }
            (false, StoreReply::Found { value, .. }) => self.adopt(now, &key, &value),
            (false, StoreReply::Missing) => self.shelf.due = now,
            _ => self.shelf.due = now + self.delay.next_delay(),
        }
    }

    /// Takes over the copies of daemons that are gone: this daemon stops.
    pub(super) fn adopt_gone(&mut self, now: TimePoint) {
        while let Some(key) = self.shelf.next_gone().cloned() {
            self.adopt(now, &key, &[]);
        }
    }

    /// Takes over the records of a copy that are missing in the store.
    fn adopt(&mut self, now: TimePoint, key: &CopyKey, found: &[u8]) {
        let held = tokens_of(found);
        let Some(segment) = self.shelf.remove(key) else {
            return;
        };
        let owner = (key.0.clone(), key.1);
        for record in &segment.records {
            let token = ChargeToken::from_halves(record.token_high, record.token_low);
            let line = ChargeLine::from_record(&owner, record);
            if let (false, Some(line)) = (held.contains(&token), line) {
                self.append(now, line);
            }
        }
    }
}

fn record_size(record: &schema::peer::ChargeRecord) -> usize {
    RECORD_BYTES + record.user.len()
}
