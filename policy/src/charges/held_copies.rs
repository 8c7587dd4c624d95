//! Copies of the charges of other daemons.

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
    ledger_entry::LedgerEntry,
    ledger_store::decode_tokens,
    segment_key,
    segment_key::DaemonInstance,
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

/// Estimated memory use of a record besides its user name, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 64;

/// Name and incarnation of the daemon that created a segment, and its sequence number.
type CopyKey = (DaemonName, Incarnation, u64);

/// Copies of the segments of other daemons. This daemon writes those of daemons that are gone to
/// the store.
#[derive(Clone, Debug)]
pub(super) struct HeldCopies {
    copies: BTreeMap<CopyKey, ChargeSegment>,
    /// Instances that are gone and whose copies this daemon holds.
    gone: BTreeSet<DaemonInstance>,
    memory_bytes: usize,
    max_bytes: usize,
    /// Id of the store call in flight, its segment, and whether it is a write.
    open_call: Option<(u64, CopyKey, bool)>,
    /// A segment to read back, because another daemon has written its key.
    read_back: Option<CopyKey>,
    due_at: TimePoint,
}

impl HeldCopies {
    pub(super) fn new(settings: &ChargeSettings) -> Self {
        Self {
            copies: BTreeMap::new(),
            gone: BTreeSet::new(),
            memory_bytes: 0,
            max_bytes: settings.held_copies_max_bytes,
            open_call: None,
            read_back: None,
            due_at: TimePoint(0),
        }
    }

    pub(super) fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    /// Adds records of a segment to its copy; the reply contains the number of records held.
    pub(super) fn add_copy(&mut self, call: CopyCall, counts: &mut ChargeCounts) -> CopyReply {
        let segment = call.segment.unwrap_or_default();
        let mut reply = CopyReply {
            sequence: segment.sequence,
            held: 0,
            incarnation: segment.incarnation,
        };
        let Ok(daemon) = segment.daemon.parse::<DaemonName>() else {
            return reply;
        };
        let instance = (daemon, Incarnation(segment.incarnation));
        self.remove_below(&instance, call.stored_below);
        let added_bytes: usize = segment.records.iter().map(record_bytes).sum();
        let key = (instance.0, instance.1, segment.sequence);
        if self.memory_bytes + added_bytes > self.max_bytes {
            counts.copies_refused += 1;
            let copy = self.copies.get(&key);
            reply.held = copy.map_or(0, |copy| copy.records.len() as u32);
            return reply;
        }
        let copy = self.copies.entry(key).or_default();
        let offset = call.offset as usize;
        if copy.records.len() >= offset {
            let replaced_bytes: usize = copy.records.iter().skip(offset).map(record_bytes).sum();
            copy.records.truncate(offset);
            copy.records.extend(segment.records);
            copy.daemon = segment.daemon;
            copy.incarnation = segment.incarnation;
            copy.sequence = segment.sequence;
            copy.sealed_us = segment.sealed_us;
            copy.answered = segment.answered;
            copy.closing = segment.closing;
            self.memory_bytes = self.memory_bytes + added_bytes - replaced_bytes;
        }
        reply.held = copy.records.len() as u32;
        reply
    }

    /// Removes the copy of a segment that is in the store.
    pub(super) fn remove_stored(&mut self, call: &StoredCall) {
        let Ok(daemon) = call.daemon.parse::<DaemonName>() else {
            return;
        };
        self.remove(&(daemon, Incarnation(call.incarnation), call.sequence));
    }

    /// Marks an instance and all earlier ones of the same daemon as gone.
    pub(super) fn mark_gone(&mut self, instance: &DaemonInstance) {
        let mut instances = BTreeSet::new();
        for (daemon, incarnation, _) in self.copies.keys() {
            if *daemon == instance.0 && *incarnation <= instance.1 {
                instances.insert((daemon.clone(), *incarnation));
            }
        }
        self.gone.extend(instances);
    }

    /// Marks an instance as alive, and all earlier ones of the same daemon as gone.
    pub(super) fn mark_alive(&mut self, daemon: &DaemonName, incarnation: Incarnation) {
        self.gone.remove(&(daemon.clone(), incarnation));
        if let Some(previous) = incarnation.0.checked_sub(1) {
            self.mark_gone(&(daemon.clone(), Incarnation(previous)));
        }
    }

    /// Instances that are gone and whose copies this daemon holds, each with its lowest sequence
    /// number held.
    pub(super) fn gone_instances(&self) -> Vec<(DaemonInstance, u64)> {
        let mut instances: Vec<(DaemonInstance, u64)> = Vec::new();
        if self.gone.is_empty() {
            return instances;
        }
        for (daemon, incarnation, sequence) in self.copies.keys() {
            let instance = (daemon.clone(), *incarnation);
            let already_listed = instances.last().is_some_and(|last| last.0 == instance);
            if !already_listed && self.gone.contains(&instance) {
                instances.push((instance, *sequence));
            }
        }
        instances
    }

    fn first_gone_copy(&self) -> Option<&CopyKey> {
        let mut keys = self.copies.keys();
        keys.find(|key| self.gone.contains(&(key.0.clone(), key.1)))
    }

    fn remove_below(&mut self, instance: &DaemonInstance, sequence: u64) {
        let low = (instance.0.clone(), instance.1, 0);
        let high = (instance.0.clone(), instance.1, sequence);
        let keys: Vec<CopyKey> = self
            .copies
            .range(low..high)
            .map(|copy| copy.0.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn remove(&mut self, key: &CopyKey) -> Option<ChargeSegment> {
        let segment = self.copies.remove(key)?;
        let instance = (key.0.clone(), key.1);
        let low = (key.0.clone(), key.1, 0);
        let next = self.copies.range(low..).next();
        if next.is_none_or(|(key, _)| (&key.0, key.1) != (&instance.0, instance.1)) {
            self.gone.remove(&instance);
        }
        self.memory_bytes -= segment.records.iter().map(record_bytes).sum::<usize>();
        Some(segment)
    }
}

impl ChargeLedger {
    /// When the next copy of an instance that is gone must be written.
    pub(super) fn held_copies_wakeup(&self) -> TimePoint {
        let mut instances = self.held_copies.gone.iter();
        let is_ready = instances.any(|instance| self.roster.contains(instance));
        if self.held_copies.open_call.is_some() || !is_ready {
            return TimePoint::NEVER;
        }
        self.held_copies.due_at
    }

    /// Writes the next copy of an instance that is gone, or reads its key back.
    pub(super) fn write_held_copy(&mut self, now: TimePoint, actions: &mut Vec<ChargeAction>) {
        if now < self.held_copies_wakeup() {
            return;
        }
        let mut keys = self.held_copies.copies.keys();
        let is_writable = |key: &&CopyKey| {
            let instance = (key.0.clone(), key.1);
            self.held_copies.gone.contains(&instance) && self.roster.contains(&instance)
        };
        let Some(key) = keys.find(is_writable).cloned() else {
            return;
        };
        let Some(segment) = self.held_copies.copies.get(&key) else {
            return;
        };
        let store_key = segment_key(key.0.as_str(), key.1 .0, key.2);
        let is_write = self.held_copies.read_back.take().as_ref() != Some(&key);
        let request = if is_write {
            StoreCall::Write {
                key: store_key,
                value: segment.encode_to_vec(),
                expect: 0,
                lease: 0,
            }
        } else {
            StoreCall::Get { key: store_key }
        };
        self.held_copies.due_at = now + self.settings.min_write_interval;
        let call = self.next_call_id();
        self.held_copies.open_call = Some((call, key, is_write));
        actions.push(ChargeAction::Store { call, request });
    }

    pub(super) fn on_held_copy_reply(&mut self, now: TimePoint, call: u64, reply: StoreReply) {
        let open_call = self
            .held_copies
            .open_call
            .take_if(|open_call| open_call.0 == call);
        let Some((_, key, is_write)) = open_call else {
            return;
        };
        if !reply.is_outage() {
            self.retry_delay.reset();
        }
        match (is_write, reply) {
            (true, StoreReply::Written { .. }) => {
                self.counts.segments_taken_over += 1;
                self.held_copies.remove(&key);
            }
            // Another daemon has written the key, possibly from a copy with fewer records.
            (true, StoreReply::Conflict { .. }) => {
                self.held_copies.read_back = Some(key);
                self.held_copies.due_at = now;
            }
            (false, StoreReply::Found { value, .. }) => self.append_missing(now, &key, &value),
            (false, StoreReply::Missing) => self.held_copies.due_at = now,
            _ => self.held_copies.due_at = now + self.retry_delay.next_delay(),
        }
    }

    /// Moves the copies of instances that are gone to this daemon's open segment, because this
    /// daemon is stopping.
    pub(super) fn append_gone_copies(&mut self, now: TimePoint) {
        while let Some(key) = self.held_copies.first_gone_copy().cloned() {
            self.append_missing(now, &key, &[]);
        }
    }

    /// Moves the records of a copy that are missing in `found`, the stored segment, to this
    /// daemon's open segment.
    fn append_missing(&mut self, now: TimePoint, key: &CopyKey, found: &[u8]) {
        let stored_tokens = decode_tokens(found);
        let Some(segment) = self.held_copies.remove(key) else {
            return;
        };
        let owner = (key.0.clone(), key.1);
        for record in &segment.records {
            let token = ChargeToken::from_halves(record.token_high, record.token_low);
            let entry = LedgerEntry::from_record(&owner, record);
            if let (false, Some(entry)) = (stored_tokens.contains(&token), entry) {
                self.append(now, entry);
            }
        }
    }
}

fn record_bytes(record: &schema::peer::ChargeRecord) -> usize {
    RECORD_OVERHEAD_BYTES + record.user.len()
}
