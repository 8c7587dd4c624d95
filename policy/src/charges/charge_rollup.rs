//! Aggregation of charge segments into totals.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use prost::Message;
use schema::{
    peer::{
        ChargeRecord,
        ChargeSegment,
        RosterBody, //
    },
    Incarnation,
    TimePoint,
    UserName, //
};

use super::{
    segment_key,
    segment_key::DaemonInstance,
    ChargeReport,
    ChargeToken,
    LostCharges,
    UserTotal, //
};

/// Number of consecutive missing segments after which reading an instance's segments ends.
const MAX_MISSING_SEGMENTS: u64 = 8;

/// Totals of one instance of a daemon.
#[derive(Clone, Debug, Default)]
struct InstanceTally {
    next_sequence: u64,
    /// Missing sequence numbers since the last segment that was found.
    missing: Vec<u64>,
    /// Missing sequence numbers before a segment that was found.
    gaps: Vec<u64>,
    /// Charges created, according to the segments found or the daemon itself.
    answered: u64,
    /// Records found in segments of any daemon that name this instance as their origin.
    records: u64,
    waiting: u64,
    alive: bool,
    /// Whether a closing segment was found.
    closed: bool,
    /// Whether no further segment is to be read.
    finished: bool,
}

/// Reads charge segments and counts each charge once.
///
/// Segments are immutable and belong to the window that contains their sealing time. A token is
/// counted once within its window and the two adjacent windows, so that the tokens of a window can
/// be dropped when no further segment can belong to it or to an adjacent window. Segments must be
/// read in order of time, day by day.
#[derive(Clone, Debug)]
pub struct ChargeRollup {
    window: Duration,
    instances: BTreeMap<DaemonInstance, InstanceTally>,
    /// Tokens found, by the number of their window since the Unix epoch.
    window_tokens: BTreeMap<u64, BTreeSet<ChargeToken>>,
    users: BTreeMap<UserName, UserTotal>,
    charged: u64,
    repeated: u64,
}

impl ChargeRollup {
    /// Creates an empty rollup with windows of the length `window`, at least one second.
    pub fn new(window: Duration) -> Self {
        Self {
            window: window.max(Duration::from_secs(1)),
            instances: BTreeMap::new(),
            window_tokens: BTreeMap::new(),
            users: BTreeMap::new(),
            charged: 0,
            repeated: 0,
        }
    }

    /// Adds the daemon instances listed in a roster.
    pub fn add_roster(&mut self, roster: &RosterBody) {
        for entry in &roster.entries {
            let Ok(daemon) = entry.daemon.parse() else {
                continue;
            };
            let instance = (daemon, Incarnation(entry.incarnation));
            let first_sequence = entry.first;
            let tally = self
                .instances
                .entry(instance)
                .or_insert_with(|| InstanceTally {
                    next_sequence: first_sequence,
                    ..InstanceTally::default()
                });
            // Several rosters may list an instance. All rosters are added before the first segment
            // is read, so that no segment is read twice after the sequence number is lowered.
            tally.next_sequence = tally.next_sequence.min(first_sequence);
        }
    }

    /// Adds the counters that a running daemon reports: charges created, and charges not written to
    /// the store yet.
    pub fn add_live_daemon(&mut self, instance: DaemonInstance, answered: u64, waiting: u64) {
        let tally = self.instances.entry(instance).or_default();
        tally.alive = true;
        tally.answered = tally.answered.max(answered);
        tally.waiting = waiting;
    }

    /// Returns the next segment to read of each instance that may have more: its instance, its
    /// sequence number and its key in the store.
    pub fn next_segments(&self) -> Vec<(DaemonInstance, u64, String)> {
        let mut segments = Vec::new();
        for (instance, tally) in &self.instances {
            if tally.finished {
                continue;
            }
            let key = segment_key(instance.0.as_str(), instance.1 .0, tally.next_sequence);
            segments.push((instance.clone(), tally.next_sequence, key));
        }
        segments
    }

    /// Adds the value of a segment's key, or `None` if the key does not exist.
    pub fn add_segment(&mut self, instance: &DaemonInstance, sequence: u64, value: Option<&[u8]>) {
        let Some(tally) = self.instances.get_mut(instance) else {
            return;
        };
        tally.next_sequence = tally.next_sequence.max(sequence + 1);
        let segment = value.and_then(|value| ChargeSegment::decode(value).ok());
        let Some(segment) = segment else {
            tally.missing.push(sequence);
            tally.finished = tally.missing.len() as u64 >= MAX_MISSING_SEGMENTS;
            return;
        };
        tally.gaps.append(&mut tally.missing);
        tally.answered = tally.answered.max(segment.answered);
        tally.closed |= segment.closing;
        tally.finished |= segment.closing;
        let window = self.window_of(TimePoint(segment.sealed_us));
        for record in &segment.records {
            self.add_record(instance, window, record);
        }
    }

    /// Drops the tokens that no segment sealed at `from` or later is compared with.
    pub fn drop_tokens_before(&mut self, from: TimePoint) {
        let first_window = self.window_of(from).saturating_sub(1);
        self.window_tokens
            .retain(|window, _| *window >= first_window);
    }

    /// Returns the totals of the segments added so far.
    pub fn report(&self) -> ChargeReport {
        let mut report = ChargeReport {
            charged: self.charged,
            repeated: self.repeated,
            users: self.users.clone(),
            ..ChargeReport::default()
        };
        for (instance, tally) in &self.instances {
            report.answered += tally.answered;
            report.waiting += tally.waiting;
            let found = tally.records + tally.waiting;
            report.surplus += found.saturating_sub(tally.answered);
            let charges = tally.answered.saturating_sub(found);
            let open_end = !tally.closed && !tally.alive;
            if charges == 0 && !open_end {
                continue;
            }
            report.lost.push(LostCharges {
                daemon: instance.0.clone(),
                incarnation: instance.1,
                gaps: tally.gaps.clone(),
                charges,
                open_end,
            });
        }
        report
    }

    fn add_record(&mut self, owner: &DaemonInstance, window: u64, record: &ChargeRecord) {
        let origin = match record.origin.parse() {
            Ok(daemon) => (daemon, Incarnation(record.origin_incarnation)),
            Err(_) => owner.clone(),
        };
        self.instances.entry(origin).or_default().records += 1;
        let token = ChargeToken::from_halves(record.token_high, record.token_low);
        let nearby_windows = window.saturating_sub(1)..=window + 1;
        let already_counted = self
            .window_tokens
            .range(nearby_windows)
            .any(|(_, counted)| counted.contains(&token));
        self.window_tokens.entry(window).or_default().insert(token);
        if already_counted {
            self.repeated += 1;
            return;
        }
        let Ok(user) = record.user.parse() else {
            return;
        };
        self.charged += 1;
        let total = self.users.entry(user).or_default();
        total.charges += 1;
        total.units.0 += record.units;
    }

    fn window_of(&self, at: TimePoint) -> u64 {
        at.0 / self.window.as_micros() as u64
    }
}
