//! Reports of crashes to the other daemons: news at once, what is known again and again for daemons that
//! were cut off, and all of it for one that joins.

use std::{
    cmp::Reverse,
    time::Duration, //
};

use schema::{
    CrashNotice,
    TimePoint, //
};

use super::CrashTable;
use crate::rotation::entries_after;

/// Interval at which known crashes are reported again, for daemons that were cut off.
const REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Notices that are reported again in each interval.
const REPEAT_NOTICES: usize = 4;
/// Notices that are reported at a time, and the interval between two such batches. Each notice is
/// sent several times; more would fill the queue in which changes of the members wait too.
const REPORT_NOTICES: usize = 16;
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Notices that a daemon hands to one that joins.
const SYNC_NOTICES: usize = 512;

impl CrashTable {
    /// When [`Self::due_notices`] has to be called; [`TimePoint::NEVER`] if nothing is remembered.
    pub fn next_wakeup(&self) -> TimePoint {
        self.next_report.min(self.next_repeat)
    }

    /// Forgets what has expired, and returns the notices that are to be reported now.
    pub fn due_notices(&mut self, now: TimePoint) -> Vec<CrashNotice> {
        let mut notices = Vec::new();
        if self.next_repeat <= now {
            let dropped = &mut self.dropped;
            self.records.retain(|print, record| {
                let expired = record.notice.expires_at <= now;
                if expired && record.kept_expiry != TimePoint::default() {
                    dropped.push(*print);
                }
                !expired
            });
            self.next_repeat = match self.records.is_empty() {
                true => TimePoint::NEVER,
                false => now + REPEAT_INTERVAL,
            };
            notices = self.repeat_notices();
        }
        if self.next_report > now {
            return notices;
        }
        let records = self.records.values_mut();
        let (mut due, later): (Vec<_>, Vec<_>) =
            records.partition(|record| record.report_at <= now);
        due.sort_by_key(|record| Reverse(record.notice.evidence()));
        let next_batch = match due.len() > REPORT_NOTICES {
            true => now + REPORT_INTERVAL,
            false => TimePoint::NEVER,
        };
        let next_report = later.iter().map(|record| record.report_at).min();
        self.next_report = next_batch.min(next_report.unwrap_or(TimePoint::NEVER));
        for record in due.into_iter().take(REPORT_NOTICES) {
            record.report_at = TimePoint::NEVER;
            record.shared = true;
            notices.push(record.notice.clone());
        }
        notices
    }

    /// The notices for a daemon that joins, those with most crashes first.
    pub fn sync_notices(&self) -> Vec<CrashNotice> {
        let records = self.records.values();
        let mut notices: Vec<&CrashNotice> = records.map(|record| &record.notice).collect();
        notices.sort_by_key(|notice| Reverse(notice.evidence()));
        notices.into_iter().take(SYNC_NOTICES).cloned().collect()
    }

    /// The next notices in the order of fingerprints that other daemons have or had: first those of
    /// refused requests, of which a daemon that was cut off must learn soon.
    fn repeat_notices(&mut self) -> Vec<CrashNotice> {
        let mut notices: Vec<CrashNotice> = Vec::new();
        for (index, refused) in [true, false].into_iter().enumerate() {
            let count = match refused {
                true => REPEAT_NOTICES,
                false => REPEAT_NOTICES.saturating_sub(notices.len()).max(1),
            };
            let all = entries_after(&self.records, Some(&self.last_repeated[index]));
            let shared = all
                .filter(|(_, record)| record.shared && record.has_enough_crashes() == refused)
                .map(|(_, record)| record.notice.clone());
            let chosen: Vec<CrashNotice> = shared.take(count).collect();
            if let Some(last) = chosen.last() {
                self.last_repeated[index] = last.print;
            }
            notices.extend(chosen);
        }
        notices
    }

    pub(super) fn schedule_report(&mut self, now: TimePoint, at: TimePoint) {
        self.next_report = self.next_report.min(at);
        self.next_repeat = self.next_repeat.min(now + REPEAT_INTERVAL);
    }
}
