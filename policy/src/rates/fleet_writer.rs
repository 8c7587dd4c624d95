//! Decides when the record of the fleet is written.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    DaemonName,
    FleetEntry,
    FleetRecord,
    TimePoint, //
};

use super::authority_choice::AuthorityChoice;

/// Time for which the members have to be the same before the first record is written.
const STABLE_PERIOD: Duration = Duration::from_secs(2);
/// Time after which a member is added.
const CONTACT_PERIOD: Duration = Duration::from_secs(2);
/// Time without contact after which a daemon is removed.
const ABSENCE_PERIOD: Duration = Duration::from_secs(60);
/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What a write changes.
#[derive(Clone, Debug)]
pub(super) struct FleetDraft {
    pub(super) record: FleetRecord,
    pub(super) expected_revision: u64,
    pub(super) added: usize,
    pub(super) removed: usize,
}

/// Decides when the record of the fleet is written.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetWriter {
    members_changed_at: TimePoint,
    /// Since when daemons of the record are not members.
    absent_since: BTreeMap<DaemonName, TimePoint>,
    next_check: TimePoint,
    /// The last draft and when it was made.
    last_draft: Option<(TimePoint, FleetDraft)>,
}

impl FleetWriter {
    /// Notes that the members have changed.
    pub(super) fn on_members(&mut self, now: TimePoint) {
        self.members_changed_at = now;
    }

    /// When [`Self::draft`] has to be called.
    pub(super) fn next_check(&self) -> TimePoint {
        self.next_check
    }

    /// Whether this daemon has created `record`.
    pub(super) fn has_created(&self, record: &FleetRecord) -> bool {
        let created = |(_, draft): &(TimePoint, FleetDraft)| {
            draft.expected_revision == 0 && draft.record == *record
        };
        self.last_draft.as_ref().is_some_and(created)
    }

    /// The record to be written, if it has to change. `writes` tells whether this daemon is the one that
    /// writes it, and `may_remove` whether it may remove daemons.
    pub(super) fn draft(
        &mut self,
        now: TimePoint,
        daemon: &DaemonName,
        choice: &AuthorityChoice,
        latest: Option<&FleetEntry>,
        (writes, may_remove): (bool, bool),
    ) -> Option<FleetDraft> {
        if now < self.next_check {
            return None;
        }
        self.next_check = now + CHECK_INTERVAL;
        let known = latest.map(|entry| entry.record.daemons.as_slice());
        let known = known.unwrap_or_default();
        self.absent_since.retain(|absent, _| known.contains(absent));
        for listed in known {
            match choice.is_member(listed) {
                true => {
                    self.absent_since.remove(listed);
                }
                false => {
                    self.absent_since.entry(listed.clone()).or_insert(now);
                }
            }
        }
        let waits = |(at, _): &(TimePoint, FleetDraft)| now.since(*at) < WRITE_INTERVAL;
        if !writes || self.last_draft.as_ref().is_some_and(waits) {
            return None;
        }
        if latest.is_none() && now.since(self.members_changed_at) < STABLE_PERIOD {
            return None;
        }
        let is_new = |member: &DaemonName, seen_at| {
            !known.contains(member) && (latest.is_none() || now.since(seen_at) >= CONTACT_PERIOD)
        };
        let mut daemons: Vec<DaemonName> = choice
            .members()
            .filter(|(member, seen_at)| is_new(member, *seen_at))
            .map(|(member, _)| member.clone())
            .collect();
        if !known.contains(daemon) {
            daemons.push(daemon.clone());
        }
        let added = daemons.len();
        let absent_since = &self.absent_since;
        let is_gone = |listed: &DaemonName| {
            let since = absent_since.get(listed);
            may_remove && since.is_some_and(|since| now.since(*since) >= ABSENCE_PERIOD)
        };
        let kept = known.iter().filter(|listed| !is_gone(listed));
        daemons.extend(kept.cloned());
        let removed = known.len() + added - daemons.len();
        if added + removed == 0 {
            return None;
        }
        daemons.sort_unstable();
        let draft = FleetDraft {
            record: FleetRecord {
                version: latest.map_or(0, |entry| entry.record.version) + 1,
                daemons,
            },
            expected_revision: latest.map_or(0, |entry| entry.revision),
            added,
            removed,
        };
        self.last_draft = Some((now, draft.clone()));
        Some(draft)
    }
}
