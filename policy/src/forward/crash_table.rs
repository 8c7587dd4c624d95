//! Refusal of requests that crash the replicas on which they run.
//!
//! Crashes are counted by three fingerprints of the request ([`CrashScope`](super::CrashScope)): for one
//! form of one caller, for all forms that the caller sends, and for one form of all callers. They count
//! over all services, because the route of a request may lead to another one. [`CrashSites`] tells to
//! which forms and services a refusal applies. A crash counts if the request was sent to the replica after
//! the previous crash that counted was seen. Crashes that are seen together, such as those of a rack or
//! of several shards of one query, may have one cause and count as one. The crash that makes a
//! request refused must also be of a run that began some time after the first one, since the
//! replicas of a rack may crash one after the other. A success of the request on a replica shows
//! that it does not crash each of them, and takes back the crashes of its form at the service.
//! Besides, the replicas that have ended are counted one by one: from the third on the request is refused
//! as well unless it succeeds soon. `crash_trials` has what may be sent after a refusal.
//!
//! For all forms together, a crash counts only if a replica crashed under another form before. So a
//! form that crashes its replicas is known from itself alone, at whatever rate its caller sends harmless
//! ones, and takes nothing from them.
//!
//! For all callers together, a crash counts only if another caller's request crashed a replica
//! before. A caller whose request crashes replicas therefore takes nothing from harmless requests
//! with the same content, but that a query over shards goes to one replica first.
//!
//! Daemons merge their counts by taking the greater one. Counts of different daemons are not added,
//! since they may have seen the same cause.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    CrashNotice,
    QueryPrint,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    crash_record::{
        CrashRecord,
        REFUSAL_CRASHES, //
    },
    crash_sites::CrashSites,
    CrashKey,
    CrashRefusal,
    SeenCrash, //
};

/// Time for which a request is refused after the third, the fourth, and each further crash. At the
/// end of each period one request is let through in the whole fleet, as long as trials are left.
const REFUSAL_PERIODS: [Duration; 3] = [
    Duration::from_secs(60),
    Duration::from_secs(600),
    Duration::from_secs(24 * 60 * 60),
];
/// The same for all forms of a path together, after any of these crashes. It holds harmless forms back too.
const PATH_REFUSAL_PERIOD: Duration = Duration::from_secs(2);
/// Time for which crashes are remembered, after the last one or after the end of a refusal.
pub(super) const EVIDENCE_PERIOD: Duration = Duration::from_secs(600);
/// Largest time to expiry that is accepted from another daemon.
const EXPIRY_MAX: Duration = Duration::from_secs(25 * 60 * 60);
/// Requests for which crashes are remembered.
const RECORDS_MAX: usize = 4_096;
/// Replicas whose end under one form is reported at once, also if it counts as one crash: each daemon that
/// does not know of it might lose as many more.
const REPORTED_ENDED: usize = 2;
/// Delay before the other daemons learn of a first crash. Most requests that a crash hits by chance
/// succeed on another replica within it, and are not reported.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// Counts crashes by request and decides which requests are refused.
#[derive(Clone, Debug)]
pub struct CrashTable {
    pub(super) records: BTreeMap<QueryPrint, CrashRecord>,
    /// The earliest `report_at` of all records.
    pub(super) next_report: TimePoint,
    pub(super) next_repeat: TimePoint,
    /// The earliest `condemn_at` and `keep_at` of all records.
    pub(super) next_check: TimePoint,
    /// Fingerprints whose notices the store need not keep any longer.
    pub(super) dropped: Vec<QueryPrint>,
    /// The notices of refused and of other requests that were reported again last.
    pub(super) last_repeated: [QueryPrint; 2],
}

impl Default for CrashTable {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            next_report: TimePoint::NEVER,
            next_repeat: TimePoint::NEVER,
            next_check: TimePoint::NEVER,
            dropped: Vec::new(),
            last_repeated: Default::default(),
        }
    }
}

impl CrashTable {
    /// Whether no crash is remembered, as is usual.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of requests for which crashes are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of fingerprints that are refused now.
    pub fn refused_count(&self, now: TimePoint) -> usize {
        let is_refused = |record: &&CrashRecord| {
            record.has_enough_crashes() && now < record.notice.refused_until
        };
        self.records.values().filter(is_refused).count()
    }

    /// Returns why a request that arrives now is refused, or `None` if it may run.
    pub fn check(&self, now: TimePoint, key: CrashKey) -> Option<CrashRefusal> {
        let record = self.records.get(&key.print)?;
        if !record.refuses(key.site) {
            return None;
        }
        let mut refusal = CrashRefusal::new(record);
        if record.notice.trials_left() == 0 {
            refusal.until = refusal.until.max(record.exhausted_until(now));
        }
        (now < refusal.until).then_some(refusal)
    }

    /// Returns why a request that runs already must not be sent to another replica, or `None` if it may
    /// be. One that runs as a trial since `tried_at` may, until it has crashed a replica.
    pub fn check_resend(&self, key: CrashKey, tried_at: Option<TimePoint>) -> Option<CrashRefusal> {
        let record = self.records.get(&key.print)?;
        let has_crashed = tried_at.is_none_or(|tried_at| record.last_crash_at > tried_at);
        let refused = record.refuses(key.site) && has_crashed;
        refused.then(|| CrashRefusal::new(record))
    }

    /// Whether a retry has to wait: one more crash would make the request refused, but would not count
    /// yet because it may have the same cause as the first one.
    pub fn is_in_burst(&self, now: TimePoint, key: CrashKey) -> bool {
        let record = self.records.get(&key.print);
        record.is_some_and(|record| record.is_in_burst(now))
    }

    /// Whether a crash counts against a request.
    pub fn has_evidence(&self, key: CrashKey) -> bool {
        let record = self.records.get(&key.print);
        record.is_some_and(|record| record.notice.evidence() > 0)
    }

    /// Whether a crash counts against a request in this form at this service.
    pub fn suspects(&self, key: CrashKey) -> bool {
        let record = self.records.get(&key.print);
        record.is_some_and(|record| record.suspects(key.site))
    }

    /// Whether one more crash makes the request refused.
    pub fn is_last_chance(&self, key: CrashKey) -> bool {
        let record = self.records.get(&key.print);
        record.is_some_and(CrashRecord::is_last_chance)
    }

    /// Records a crash. Returns the number of crashes that count against the request, or `None` if
    /// this one does not count.
    pub fn record_crash(
        &mut self,
        now: TimePoint,
        key: CrashKey,
        crash: &SeenCrash<'_>,
    ) -> Option<u32> {
        let print = key.print;
        self.make_room(now, print);
        let record = self.records.entry(print).or_insert_with(|| {
            let notice = CrashNotice {
                print,
                crashes: 0,
                forgiven: 0,
                trials: 0,
                passed: 0,
                caller: 0,
                replicas: SmallVec::new(),
                refused_until: TimePoint::default(),
                expires_at: now + EVIDENCE_PERIOD,
                tallies: SmallVec::new(),
            };
            CrashRecord {
                last_crash_at: TimePoint::default(),
                ..CrashRecord::new(crash.broke_at, notice)
            }
        });
        record.let_off = false;
        record.add_ended(crash.replica, crash.sent_at >= record.last_crash_at);
        record.add_caller(crash.caller);
        let known = record.notice.evidence();
        if known > 0 && record.notice.replicas.len() == REPORTED_ENDED && !record.is_of_path() {
            record.report_at = now;
        }
        let same_caller = crash.caller != 0 && crash.caller == record.notice.caller;
        let same_form = record.is_of_path() && record.sites.has_only_form(key.site.variant);
        if (same_caller || same_form) && known > 0 && !record.has_enough_crashes() {
            record.sites.record_crash(key.site, crash);
            record.notice.tallies = record.sites.tallies.clone();
            self.watch_ended(now, print, crash.sent_at);
            return None;
        }
        if crash.sent_at < record.last_crash_at || record.is_in_first_burst(crash.sent_at) {
            if known > 0 {
                record.sites.record_crash(key.site, crash);
                record.notice.tallies = record.sites.tallies.clone();
            }
            self.watch_ended(now, print, crash.sent_at);
            return None;
        }
        record.sites.record_crash(key.site, crash);
        if known == 0 {
            record.first_crash_at = crash.broke_at;
        }
        let of_path = record.is_of_path();
        if of_path && known < REFUSAL_CRASHES && record.counts_sends(crash.sent_at) {
            // No trial covered the send.
            record.notice.trials += 1;
        }
        let notice = &mut record.notice;
        notice.tallies = record.sites.tallies.clone();
        notice.crashes += 1;
        notice.caller = crash.caller;
        notice.expires_at = now + EVIDENCE_PERIOD;
        let evidence = notice.evidence();
        if let Some(further) = evidence.checked_sub(REFUSAL_CRASHES) {
            notice.refused_until = match of_path {
                true => notice.refused_until.max(now + PATH_REFUSAL_PERIOD),
                false => now + refusal_period(further),
            };
            notice.expires_at = notice.refused_until + EVIDENCE_PERIOD;
            record.keep_at = now;
        }
        record.last_crash_at = crash.broke_at;
        let delay = match evidence {
            1 => REPORT_DELAY,
            _ => Duration::ZERO,
        };
        record.report_at = now + delay;
        self.schedule_report(now, now + delay);
        self.watch_ended(now, print, crash.sent_at);
        Some(evidence)
    }

    /// Records that the request succeeded on a replica: the crashes of its form at the service no
    /// longer count against it. Returns how many fewer count.
    pub fn record_success(&mut self, now: TimePoint, key: CrashKey) -> u32 {
        self.take_back(now, key, |sites| sites.record_success(key.site))
    }

    /// Records that the request, a query over shards, was answered by enough of them: crashes at shards that
    /// are not kept one by one no longer count against it. Returns how many fewer count.
    pub fn record_gathered(&mut self, now: TimePoint, key: CrashKey) -> u32 {
        self.take_back(now, key, |sites| {
            sites.record_gathered(key.site.variant);
            false
        })
    }

    fn take_back(
        &mut self,
        now: TimePoint,
        key: CrashKey,
        change: impl FnOnce(&mut CrashSites) -> bool,
    ) -> u32 {
        let Some(record) = self.records.get_mut(&key.print) else {
            return 0;
        };
        let evidence = record.notice.evidence();
        if evidence == 0 {
            return 0;
        }
        if change(&mut record.sites) && record.is_of_path() {
            record.forgive_one();
        }
        record.limit_evidence();
        record.forget_ended(key.site.variant);
        let refuted = evidence - record.notice.evidence();
        if refuted == evidence && record.kept_expiry != TimePoint::default() {
            self.dropped.push(key.print);
        }
        if !record.shared && refuted == evidence {
            self.records.remove(&key.print);
            return refuted;
        }
        if refuted > 0 {
            record.report_at = now;
            self.schedule_report(now, now);
        }
        refuted
    }

    /// Merges the notice of another daemon. Returns whether it had news, which are then reported to
    /// further daemons.
    pub fn merge(&mut self, now: TimePoint, notice: CrashNotice) -> bool {
        let expires_at = notice.expires_at.min(now + EXPIRY_MAX);
        if expires_at <= now || notice.crashes == 0 {
            return false;
        }
        let notice = CrashNotice {
            expires_at,
            refused_until: notice.refused_until.min(now + EXPIRY_MAX),
            ..notice
        };
        let print = notice.print;
        self.make_room(now, print);
        let Some(record) = self.records.get_mut(&print) else {
            let record = CrashRecord {
                report_at: now,
                shared: true,
                ..CrashRecord::new(now, notice)
            };
            self.records.insert(print, record);
            self.schedule_report(now, now);
            self.watch_ended(now, print, TimePoint::default());
            return true;
        };
        record.shared = true;
        record.add_caller(notice.caller);
        let known = &mut record.notice;
        let more_crashes = notice.crashes > known.crashes;
        let more_forgiven = notice.forgiven > known.forgiven;
        known.expires_at = known.expires_at.max(expires_at);
        let later_trial = notice.stage() > known.stage();
        if later_trial {
            known.refused_until = notice.refused_until;
        } else if notice.stage() == known.stage() && notice.crashes >= known.crashes {
            known.refused_until = known.refused_until.max(notice.refused_until);
        }
        known.trials = known.trials.max(notice.trials);
        known.passed = known.passed.max(notice.passed);
        if more_forgiven {
            known.forgiven = notice.forgiven;
            known.replicas.clear();
        }
        if more_crashes {
            known.crashes = notice.crashes;
            known.caller = notice.caller;
            record.last_crash_at = now;
        }
        let is_current = notice.forgiven >= record.notice.forgiven && notice.evidence() > 0;
        record.let_off &= !more_crashes;
        if is_current && !record.let_off {
            record.merge_ended(&notice.replicas);
        }
        let more_sites = record.sites.merge(&notice.tallies);
        record.limit_evidence();
        let has_news = more_crashes || more_forgiven || more_sites || later_trial;
        if has_news {
            record.report_at = now;
            self.schedule_report(now, now);
        }
        self.watch_ended(now, print, TimePoint::default());
        has_news
    }

    /// Looks whether enough replicas have ended under a request to refuse it, now or later. `sent_at` is when the
    /// run began that has ended the last one; the earliest time if another daemon has seen it.
    fn watch_ended(&mut self, now: TimePoint, print: QueryPrint, sent_at: TimePoint) {
        let Some(record) = self.records.get_mut(&print) else {
            return;
        };
        record.watch_ended(now, sent_at);
        let report_at = record.report_at;
        self.next_check = self.next_check.min(record.condemn_at).min(record.keep_at);
        if report_at <= now {
            self.schedule_report(now, report_at);
        }
    }

    /// Forgets the record of `print` if it has expired. Makes room for a new one: removes the
    /// record with the least evidence, and of those the one that expires first.
    fn make_room(&mut self, now: TimePoint, print: QueryPrint) {
        if let Some(record) = self.records.get(&print) {
            if record.notice.expires_at <= now {
                self.records.remove(&print);
            }
        }
        if self.records.len() < RECORDS_MAX || self.records.contains_key(&print) {
            return;
        }
        let weight = |(_, record): &(&QueryPrint, &CrashRecord)| {
            let evidence = record.notice.evidence().min(REFUSAL_CRASHES);
            (evidence, record.notice.expires_at)
        };
        let weakest = self.records.iter().min_by_key(weight);
        if let Some(weakest) = weakest.map(|(print, _)| *print) {
            self.records.remove(&weakest);
        }
    }
}

/// Time for which a request is refused after `further` crashes beyond the first that made it so.
fn refusal_period(further: u32) -> Duration {
    let last = REFUSAL_PERIODS.len() - 1;
    REFUSAL_PERIODS[usize::try_from(further).unwrap_or(last).min(last)]
}
