//! Segments on their way to the store.

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
    /// Seals the open segment where one more line might pass its size.
    pub(super) fn seal_if_large(&mut self, now: TimePoint) {
        let most = self.settings.segment_bytes;
        if let Some(last) = self.segments.back_mut() {
            if last.sealed.is_none() && last.encoded >= most {
                last.sealed = Some(now);
            }
        }
    }

    /// When the first segment wants to be sealed or written.
    pub(super) fn store_wakeup(&self) -> TimePoint {
        let Some(first) = self.segments.front() else {
            return TimePoint::NEVER;
        };
        if self.store_call.is_some() || !self.roster.lists(&self.owner) {
            return TimePoint::NEVER;
        }
        let due = match first.sealed {
            Some(sealed) => sealed,
            None => first.opened + self.settings.seal_age,
        };
        due.max(self.next_write)
    }

    /// Writes the first segment. It is sealed for its age only when it is next in turn, so that
    /// segments grow while the store is down.
    pub(super) fn pump_store(&mut self, now: TimePoint, actions: &mut Vec<ChargeAction>) {
        self.pump_roster(now, actions);
        if self.store_call.is_some() || now < self.store_wakeup() {
            return;
        }
        let Some(first) = self.segments.front_mut() else {
            return;
        };
        first.sealed.get_or_insert(now);
        let request = StoreCall::Write {
            key: segment_key(self.owner.0.as_str(), self.owner.1 .0, first.sequence),
            value: first.encode(&self.owner),
            expect: 0,
            lease: 0,
        };
        let call = self.number_call();
        self.store_call = Some((call, true));
        self.next_write = now + self.settings.write_gap;
        actions.push(ChargeAction::Store { call, request });
    }

    pub(super) fn store_replied(
        &mut self,
        now: TimePoint,
        call: u64,
        reply: StoreReply,
        actions: &mut Vec<ChargeAction>,
    ) {
        if self.roster_replied(now, call, &reply) {
            return;
        }
        let Some((_, writing)) = self.store_call.filter(|(open, _)| *open == call) else {
            self.shelf_replied(now, call, reply);
            return;
        };
        self.store_call = None;
        if !reply.is_outage() {
            self.delay.reset();
        }
        match (writing, reply) {
            (true, StoreReply::Written { .. }) => self.first_stored(now, None, actions),
            (true, StoreReply::Conflict { .. }) => self.read_first(actions),
            (false, StoreReply::Found { value, .. }) => {
                self.first_stored(now, Some(&value), actions);
            }
            (false, StoreReply::Missing) => self.next_write = now,
            (true, StoreReply::Refused) => {
                self.counts.refused += 1;
                self.next_write = now + self.settings.retry_max;
            }
            _ => self.next_write = now + self.delay.next_delay(),
        }
    }

    fn read_first(&mut self, actions: &mut Vec<ChargeAction>) {
        let Some(first) = self.segments.front() else {
            return;
        };
        let key = segment_key(self.owner.0.as_str(), self.owner.1 .0, first.sequence);
        let call = self.number_call();
        self.store_call = Some((call, false));
        let request = StoreCall::Get { key };
        actions.push(ChargeAction::Store { call, request });
    }

    /// The first segment's key is in the store, with `found` where somebody else may have written
    /// it from a shorter copy. Lines that are not in it go into the open segment.
    fn first_stored(
        &mut self,
        now: TimePoint,
        found: Option<&[u8]>,
        actions: &mut Vec<ChargeAction>,
    ) {
        let Some(first) = self.segments.pop_front() else {
            return;
        };
        self.size -= first.size;
        self.tell_stored(first.sequence, actions);
        let Some(found) = found else {
            self.counts.stored += first.lines.len() as u64;
            return;
        };
        let held = tokens_of(found);
        for line in first.lines {
            if held.contains(&line.token) {
                self.counts.stored += 1;
            } else {
                self.append(now, line);
            }
        }
        if first.closing {
            self.close_again(now);
        }
    }

    /// A closing segment was written by a holder without its mark or some lines.
    fn close_again(&mut self, now: TimePoint) {
        if let Some(last) = self.segments.back_mut() {
            last.closing = true;
            last.sealed = Some(now);
        }
    }
}

pub(super) fn tokens_of(value: &[u8]) -> BTreeSet<ChargeToken> {
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
