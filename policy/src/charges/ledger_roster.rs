//! The daily roster in the store, which lists the daemon instances whose segments readers must look
//! for.

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
        DaemonInstance, //
    },
    ChargeAction,
    ChargeLedger, //
};
use crate::store::{
    StoreCall,
    StoreReply, //
};

/// Which daemon instances are known to be on the roster, and the state of its update.
#[derive(Clone, Debug, Default)]
pub(super) struct RosterState {
    /// Instances on the roster of `day`.
    listed: BTreeSet<DaemonInstance>,
    day: u64,
    open_call: Option<u64>,
    /// The roster as last read with its revision, until it is used for a write.
    last_read: Option<(RosterBody, u64)>,
    due_at: TimePoint,
}

impl RosterState {
    /// Whether `instance` is on the roster, which it must be before its segments are written.
    pub(super) fn contains(&self, instance: &DaemonInstance) -> bool {
        self.listed.contains(instance)
    }

    fn add_listed(&mut self, body: &RosterBody) {
        for entry in &body.entries {
            if let Ok(daemon) = entry.daemon.parse() {
                let instance = (daemon, Incarnation(entry.incarnation));
                self.listed.insert(instance);
            }
        }
    }
}

impl ChargeLedger {
    pub(super) fn roster_wakeup(&self) -> TimePoint {
        if self.roster.open_call.is_some() || self.unlisted().is_empty() {
            return TimePoint::NEVER;
        }
        self.roster.due_at
    }

    /// Reads the roster, or adds the instances to it that have segments to write.
    pub(super) fn update_roster(&mut self, now: TimePoint, actions: &mut Vec<ChargeAction>) {
        if self.roster.day != day_of(now) && self.roster.open_call.is_none() {
            self.roster.day = day_of(now);
            self.roster.listed.clear();
            self.roster.last_read = None;
        }
        if now < self.roster_wakeup() {
            return;
        }
        let key = roster_key(&self.settings.zone, now);
        let request = match self.roster.last_read.take() {
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
        let call = self.next_call_id();
        self.roster.open_call = Some(call);
        actions.push(ChargeAction::Store { call, request });
    }

    /// Handles the reply to a roster call; returns false if `call` is not the roster call in
    /// flight.
    pub(super) fn on_roster_reply(
        &mut self,
        now: TimePoint,
        call: u64,
        reply: &StoreReply,
    ) -> bool {
        if self.roster.open_call != Some(call) {
            return false;
        }
        self.roster.open_call = None;
        match reply {
            StoreReply::Found { value, revision } => {
                let body = RosterBody::decode(value.as_slice()).unwrap_or_default();
                self.roster.add_listed(&body);
                self.roster.last_read = Some((body, *revision));
            }
            StoreReply::Missing => self.roster.last_read = Some((RosterBody::default(), 0)),
            // The roster is read back, since other daemons may have changed it after this write.
            StoreReply::Written { .. } => self.roster.due_at = now,
            _ => self.roster.due_at = now + self.retry_delay.next_delay(),
        }
        true
    }

    /// Roster entries of the instances that are not listed yet and whose segments this daemon has
    /// to write.
    fn unlisted(&self) -> Vec<RosterEntry> {
        let mut instances = self.held_copies.gone_instances();
        if let Some(first) = self.segments.front() {
            instances.push((self.owner.clone(), first.sequence));
        }
        instances.retain(|(instance, _)| !self.roster.contains(instance));
        let entries = instances.into_iter().map(|(instance, first)| RosterEntry {
            daemon: instance.0.to_string(),
            incarnation: instance.1 .0,
            first,
        });
        entries.collect()
    }
}
