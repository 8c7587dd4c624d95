//! Writing of segments to the store.

use std::collections::BTreeSet;

use prost::Message;
use schema::{
    peer::ChargeSegment,
    TimePoint, //
};

use super::{
    segment_key,
    ChargeAction,
    ChargeLedger,
    ChargeToken, //
};
use crate::store::{
    StoreCall,
    StoreReply, //
};

impl ChargeLedger {
    /// Seals the open segment when its encoded size has reached the limit.
    pub(super) fn seal_if_large(&mut self, now: TimePoint) {
        let max_bytes = self.settings.seal_bytes;
        if let Some(last) = self.segments.back_mut() {
            if last.sealed_at.is_none() && last.encoded_bytes >= max_bytes {
                last.sealed_at = Some(now);
            }
        }
    }

    /// When the first segment must be sealed or written next.
    pub(super) fn segment_wakeup(&self) -> TimePoint {
        let Some(first) = self.segments.front() else {
            return TimePoint::NEVER;
        };
        if self.segment_call.is_some() || !self.roster.contains(&self.owner) {
            return TimePoint::NEVER;
        }
        let due_at = match first.sealed_at {
            Some(sealed_at) => sealed_at,
            None => first.opened_at + self.settings.seal_age,
        };
        due_at.max(self.next_write_at)
    }

    /// Updates the roster and writes the first segment. Only the first segment is sealed for its
    /// age, so that few, large segments accumulate while the store is down.
    pub(super) fn write_first_segment(&mut self, now: TimePoint, actions: &mut Vec<ChargeAction>) {
        self.update_roster(now, actions);
        if self.segment_call.is_some() || now < self.segment_wakeup() {
            return;
        }
        let Some(first) = self.segments.front_mut() else {
            return;
        };
        first.sealed_at.get_or_insert(now);
        let request = StoreCall::Write {
            key: segment_key(self.owner.0.as_str(), self.owner.1 .0, first.sequence),
            value: first.encode(&self.owner),
            expect: 0,
            lease: 0,
        };
        let call = self.next_call_id();
        self.segment_call = Some((call, true));
        self.next_write_at = now + self.settings.min_write_interval;
        actions.push(ChargeAction::Store { call, request });
    }

    pub(super) fn on_store_reply(
        &mut self,
        now: TimePoint,
        call: u64,
        reply: StoreReply,
        actions: &mut Vec<ChargeAction>,
    ) {
        if self.on_roster_reply(now, call, &reply) {
            return;
        }
        let Some((_, is_write)) = self.segment_call.filter(|(id, _)| *id == call) else {
            self.on_held_copy_reply(now, call, reply);
            return;
        };
        self.segment_call = None;
        if !reply.is_outage() {
            self.retry_delay.reset();
        }
        match (is_write, reply) {
            (true, StoreReply::Written { .. }) => self.on_first_segment_stored(now, None, actions),
            (true, StoreReply::Conflict { .. }) => self.read_first_segment(actions),
            (false, StoreReply::Found { value, .. }) => {
                self.on_first_segment_stored(now, Some(&value), actions);
            }
            (false, StoreReply::Missing) => self.next_write_at = now,
            (true, StoreReply::Refused) => {
                self.counts.segments_refused += 1;
                self.next_write_at = now + self.settings.max_retry_delay;
            }
            _ => self.next_write_at = now + self.retry_delay.next_delay(),
        }
    }

    fn read_first_segment(&mut self, actions: &mut Vec<ChargeAction>) {
        let Some(first) = self.segments.front() else {
            return;
        };
        let key = segment_key(self.owner.0.as_str(), self.owner.1 .0, first.sequence);
        let call = self.next_call_id();
        self.segment_call = Some((call, false));
        let request = StoreCall::Get { key };
        actions.push(ChargeAction::Store { call, request });
    }

    /// Removes the first segment after its key was found in the store. `found` is the stored value
    /// if it was read back because a peer may have written the key from an incomplete copy; entries
    /// missing in it move to the open segment.
    fn on_first_segment_stored(
        &mut self,
        now: TimePoint,
        found: Option<&[u8]>,
        actions: &mut Vec<ChargeAction>,
    ) {
        let Some(first) = self.segments.pop_front() else {
            return;
        };
        self.memory_bytes -= first.memory_bytes;
        self.notify_stored(first.sequence, actions);
        let Some(found) = found else {
            self.counts.stored += first.entries.len() as u64;
            return;
        };
        let stored_tokens = decode_tokens(found);
        for entry in first.entries {
            if stored_tokens.contains(&entry.token) {
                self.counts.stored += 1;
            } else {
                self.append(now, entry);
            }
        }
        if first.closing {
            self.mark_last_closing(now);
        }
    }

    /// Marks the last segment as closing after a peer wrote the key of the closing segment from a
    /// copy, which may lack the closing mark or some entries.
    fn mark_last_closing(&mut self, now: TimePoint) {
        if let Some(last) = self.segments.back_mut() {
            last.closing = true;
            last.sealed_at = Some(now);
        }
    }
}

/// Returns the tokens in an encoded segment; none if it does not decode.
pub(super) fn decode_tokens(value: &[u8]) -> BTreeSet<ChargeToken> {
    let segment = ChargeSegment::decode(value).unwrap_or_default();
    let mut tokens = BTreeSet::new();
    for record in &segment.records {
        tokens.insert(ChargeToken::from_halves(
            record.token_high,
            record.token_low,
        ));
    }
    tokens
}
