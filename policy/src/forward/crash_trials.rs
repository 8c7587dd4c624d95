//! Trials of refused requests, and the notices that outlive the daemons.
//!
//! A refused request may be sent on a few times, over all daemons and for as long as it comes, so that a
//! wrong verdict ends. Each of these trials is claimed in the platform's store under a condition: of
//! two daemons that want the same trial one gets it, also if they are cut off from each other or have lost
//! their memory. Without the store there is no trial. A send that no trial covers, as of a daemon that
//! did not know the crashes, takes one of them.

use std::time::Duration;

use schema::{
    CrashNotice,
    QueryPrint,
    TimePoint, //
};

use super::{
    crash_record::{
        CrashRecord,
        REFUSAL_CRASHES, //
    },
    crash_table::EVIDENCE_PERIOD,
    CrashKey,
    CrashTable, //
};

/// Time for which a request without trials is refused and remembered, counted from its last arrival.
const EXHAUSTED_PERIOD: Duration = Duration::from_secs(24 * 60 * 60);
/// Pause after a trial that has reached no replica: the shortest and the longest.
const UNREACHED_PAUSE: Duration = Duration::from_secs(2);
const UNREACHED_PAUSE_MAX: Duration = Duration::from_secs(30);
/// Age from which the copy of a notice in the store is renewed while the request still comes.
const RENEWAL_PERIOD: Duration = Duration::from_secs(6 * 60 * 60);
/// Notices that are written to the store at a time, and the pause until the next ones.
const KEEP_NOTICES: usize = 4;
const KEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a write that failed.
const KEEP_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A send of a request under which replicas have crashed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SuspectSend {
    /// Replicas known to have ended, up to those that make a request refused.
    pub ended: usize,
    /// Whether it counts against the trials.
    pub counts: bool,
    /// Trials that are left.
    pub left: u32,
}

impl CrashRecord {
    /// The end of a refusal of a request without trials.
    pub(super) fn exhausted_until(&self, now: TimePoint) -> TimePoint {
        match self.is_of_path() {
            true => self.notice.expires_at,
            false => now + EXHAUSTED_PERIOD,
        }
    }
}

impl CrashTable {
    /// The notice of a request whose refusal has ended and that needs a trial to be sent.
    pub fn trial_needed(&self, now: TimePoint, key: CrashKey) -> Option<CrashNotice> {
        let record = self.records.get(&key.print)?;
        let may_try = now >= record.notice.refused_until && record.notice.trials_left() > 0;
        (may_try && record.refuses(key.site)).then(|| record.notice.clone())
    }

    /// Records that a replica has run a trial to its end: it takes none of the trials.
    pub fn pass_trial(&mut self, now: TimePoint, print: QueryPrint) {
        let Some(record) = self.records.get_mut(&print) else {
            return;
        };
        record.notice.passed += 1;
        if record.has_enough_crashes() {
            record.notice.refused_until = now;
        }
        record.report_at = now;
        self.schedule_report(now, now);
    }

    /// Records that a trial has reached no replica: it takes none of the trials, and the next one may follow after
    /// a pause, which grows while no replica is reached.
    pub fn return_trial(&mut self, now: TimePoint, print: QueryPrint) {
        let Some(record) = self.records.get_mut(&print) else {
            return;
        };
        let notice = &mut record.notice;
        notice.passed += 1;
        if notice.evidence() >= REFUSAL_CRASHES {
            let pause = UNREACHED_PAUSE * (1 + notice.passed / 4);
            notice.refused_until = now + pause.min(UNREACHED_PAUSE_MAX);
        }
        record.report_at = now;
        self.schedule_report(now, now);
    }

    /// Records a send; returns what is known of its request, or `None` if no crash counts against it. `tried`
    /// tells whether a trial covers it.
    pub fn record_send(
        &mut self,
        now: TimePoint,
        key: CrashKey,
        tried: bool,
    ) -> Option<SuspectSend> {
        if !self.suspects(key) {
            return None;
        }
        let record = self.records.get_mut(&key.print)?;
        let counts = record.counts_sends(now) && !record.is_of_path();
        let takes_trial = counts && !tried;
        record.notice.trials += u32::from(takes_trial);
        let send = SuspectSend {
            ended: record.notice.replicas.len(),
            counts,
            left: record.notice.trials_left(),
        };
        if takes_trial {
            record.report_at = now;
            self.schedule_report(now, now);
        }
        Some(send)
    }

    /// Remembers a refused request for longer, because it still comes. A refusal of all forms of a path is not
    /// extended: harmless forms would be refused for as long as their caller sends them.
    pub fn extend(&mut self, now: TimePoint, print: QueryPrint) {
        let records = self.records.get_mut(&print);
        let Some(record) = records.filter(|record| !record.is_of_path()) else {
            return;
        };
        let notice = &mut record.notice;
        if notice.trials_left() == 0 {
            notice.refused_until = notice.refused_until.max(now + EXHAUSTED_PERIOD);
        }
        let expires_at = now.max(notice.refused_until) + EVIDENCE_PERIOD;
        notice.expires_at = notice.expires_at.max(expires_at);
        let was_kept = record.kept_expiry != TimePoint::default();
        if was_kept && notice.expires_at > record.kept_expiry + RENEWAL_PERIOD {
            record.keep_at = record.keep_at.min(now);
            self.next_check = self.next_check.min(now);
        }
    }

    /// When [`Self::due_checks`] and [`Self::take_dropped`] have to be called.
    pub fn next_check(&self) -> TimePoint {
        match self.dropped.is_empty() {
            true => self.next_check,
            false => TimePoint::default(),
        }
    }

    /// Refuses the requests under which enough replicas have ended and that have not succeeded since.
    /// Returns the notices that the store is to keep.
    pub fn due_checks(&mut self, now: TimePoint) -> Vec<CrashNotice> {
        if self.next_check > now {
            return Vec::new();
        }
        let mut kept = Vec::new();
        let mut reports = false;
        self.next_check = TimePoint::NEVER;
        for record in self.records.values_mut() {
            if record.condemn_at <= now {
                record.condemn(now);
                reports = true;
            }
            if record.keep_at <= now && kept.len() < KEEP_NOTICES {
                record.keep_at = TimePoint::NEVER;
                if record.has_enough_crashes() {
                    record.kept_expiry = record.notice.expires_at;
                    kept.push(record.notice.clone());
                }
            }
            let keep_at = match record.keep_at {
                TimePoint::NEVER => TimePoint::NEVER,
                at => at.max(now + KEEP_INTERVAL),
            };
            self.next_check = self.next_check.min(record.condemn_at).min(keep_at);
        }
        if reports {
            self.schedule_report(now, now);
        }
        kept
    }

    /// Records that the store could not be told of a notice, which is tried again.
    pub fn keep_failed(&mut self, now: TimePoint, print: QueryPrint) {
        if let Some(record) = self.records.get_mut(&print) {
            record.keep_at = record.keep_at.min(now + KEEP_RETRY_INTERVAL);
            self.next_check = self.next_check.min(record.keep_at);
        }
    }

    /// Records that the store has a notice of the request.
    pub fn set_kept(&mut self, print: QueryPrint, expiry: TimePoint) {
        if let Some(record) = self.records.get_mut(&print) {
            record.kept_expiry = record.kept_expiry.max(expiry);
        }
    }

    /// The fingerprints whose notices the store need not keep any longer, each once.
    pub fn take_dropped(&mut self) -> Vec<QueryPrint> {
        std::mem::take(&mut self.dropped)
    }
}
