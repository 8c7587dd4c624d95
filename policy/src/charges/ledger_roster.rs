//! The roster, by which readers find the daemons that wrote segments.

use std::collections::BTreeSet;

use prost::Message;
use schema::{
    peer::{
        RosterBody,
        RosterEntry, //
    },
    Incarnation,
    TimePoint, //
};

use super::{
    roster_key,
    segment_key::{
        day_of,
        DaemonStart, //
    },
    ChargeAction,
    ChargeLedger, //
};
use crate::store::{
    StoreCall,
    StoreReply, //
};

/// Where the daemons whose segments are written here stand with the roster.
#[derive(Clone, Debug, Default)]
pub(super) struct RosterState {
    /// Starts on the roster of `day`.
    listed: BTreeSet<DaemonStart>,
    day: u64,
    call: Option<u64>,
    /// The roster as last read, with its revision.
    found: Option<(RosterBody, u64)>,
    due: TimePoint,
}

impl RosterState {
    /// Whether segments of `start` may be written.
    pub(super) fn lists(&self, start: &DaemonStart) -> bool {
        self.listed.contains(start)
    }

    fn take_listed(&mut self, body: &RosterBody) {
        for entry in &body.entries {
            if let Ok(daemon) = entry.daemon.parse() {
                let start = (daemon, Incarnation(entry.incarnation));
                self.listed.insert(start);
            }
        }
    }
}

impl ChargeLedger {
    pub(super) fn roster_wakeup(&self) -> TimePoint {
        if self.roster.call.is_some() || self.unlisted().is_empty() {
            return TimePoint::NEVER;
        }
        self.roster.due
    }

    /// Reads the roster, or writes those into it whose segments wait.
    pub(super) fn pump_roster(&mut self, now: TimePoint, actions: &mut Vec<ChargeAction>) {
        if self.roster.day != day_of(now) && self.roster.call.is_none() {
            self.roster.day = day_of(now);
            self.roster.listed.clear();
            self.roster.found = None;
        }
        if now < self.roster_wakeup() {
            return;
        }
        let key = roster_key(&self.settings.zone, now);
        let request = match self.roster.found.take() {
            None => StoreCall::Get { key },
            Some((mut body, expect)) => {
                body.entries.extend(self.unlisted());
                StoreCall::Write {
                    key,
                    value: body.encode_to_vec(),
                    expect,
                    lease: 0,
                }
            }
        };
        let call = self.number_call();
        self.roster.call = Some(call);
        actions.push(ChargeAction::Store { call, request });
    }

    /// Takes the reply to a call of the roster; false where it is of another call.
    pub(super) fn roster_replied(&mut self, now: TimePoint, call: u64, reply: &StoreReply) -> bool {
        if self.roster.call != Some(call) {
            return false;
        }
        self.roster.call = None;
        match reply {
            StoreReply::Found { value, revision } => {
                let body = RosterBody::decode(value.as_slice()).unwrap_or_default();
                self.roster.take_listed(&body);
                self.roster.found = Some((body, *revision));
            }
            StoreReply::Missing => self.roster.found = Some((RosterBody::default(), 0)),
            // What was written is read back: others may have written since.
            StoreReply::Written { .. } => self.roster.due = now,
            _ => self.roster.due = now + self.delay.next_delay(),
        }
        true
    }

    /// Entries of the starts whose segments wait here and that are not on the roster.
    fn unlisted(&self) -> Vec<RosterEntry> {
        let mut starts = self.shelf.gone_starts();
        if let Some(first) = self.segments.front() {
            starts.push((self.owner.clone(), first.sequence));
        }
        starts.retain(|(start, _)| !self.roster.lists(start));
        let entries = starts.into_iter().map(|(start, first)| RosterEntry {
            daemon: start.0.to_string(),
            incarnation: start.1 .0,
            first,
        });
        entries.collect()
    }
}
