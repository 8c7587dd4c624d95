//! The crashes that are remembered of one request.

use std::time::Duration;

use schema::{
    CrashNotice,
    CrashSite,
    ReplicaName,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    crash_sites::CrashSites,
    CrashScope, //
};

/// Crashes from which a request is refused.
pub(super) const REFUSAL_CRASHES: u32 = 3;
/// Crashes within this time of the first one do not make a request refused.
const BURST_PERIOD: Duration = Duration::from_millis(500);
/// Replicas that have to end under a request, however close together, for it to be refused unless it
/// succeeds soon.
const ENDED_MAX: usize = 3;
/// Time after the third of them in which a success lets the request off.
const REFUTATION_PERIOD: Duration = Duration::from_millis(1_500);

/// What a daemon knows of the crashes under one request.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    /// What other daemons are told; its tallies are those of `sites`.
    pub(super) notice: CrashNotice,
    pub(super) sites: CrashSites,
    /// When this daemon saw the first crash that counts, or learned of it.
    pub(super) first_crash_at: TimePoint,
    /// When this daemon saw the last crash that counted, or learned of it.
    pub(super) last_crash_at: TimePoint,
    /// When the notice is reported to other daemons; `NEVER` if they have it.
    pub(super) report_at: TimePoint,
    /// Whether other daemons may have the notice.
    pub(super) shared: bool,
    /// Distinct callers under whose requests replicas crashed, at most two; empty if the fingerprint
    /// contains the caller.
    pub(super) callers: SmallVec<[u64; 2]>,
    /// When this daemon learned that the third replica had ended; `NEVER` before.
    pub(super) third_end_at: TimePoint,
    /// When the request becomes refused because of the replicas that have ended; `NEVER` if it does not.
    pub(super) condemn_at: TimePoint,
    /// Whether a success has shown another cause of the crashes that other daemons have reported.
    pub(super) let_off: bool,
    /// When the notice is to be kept in the store; `NEVER` if it need not be.
    pub(super) keep_at: TimePoint,
    /// Expiry of the notice that the store has; the earliest time if it has none of this daemon's.
    pub(super) kept_expiry: TimePoint,
}

impl CrashRecord {
    /// A record with the crashes of `notice`, learned or seen at `now`.
    pub(super) fn new(now: TimePoint, notice: CrashNotice) -> Self {
        let mut record = Self {
            sites: CrashSites::of(notice.tallies.clone()),
            callers: SmallVec::new(),
            first_crash_at: now,
            last_crash_at: now,
            report_at: TimePoint::NEVER,
            shared: false,
            third_end_at: TimePoint::NEVER,
            condemn_at: TimePoint::NEVER,
            let_off: false,
            keep_at: TimePoint::NEVER,
            kept_expiry: TimePoint::default(),
            notice,
        };
        record.add_caller(record.notice.caller);
        record
    }

    /// Adds a caller, 0 if the fingerprint contains it.
    pub(super) fn add_caller(&mut self, caller: u64) {
        if caller != 0 && self.callers.len() < 2 && !self.callers.contains(&caller) {
            self.callers.push(caller);
        }
    }

    /// Adds a replica that has ended under the request. One that is known counts again if `is_new`, since it
    /// may have started again under its name.
    pub(super) fn add_ended(&mut self, replica: &ReplicaName, is_new: bool) {
        let ended = &mut self.notice.replicas;
        let known = ended.iter().position(|known| known == replica);
        if let (Some(index), false) = (known, is_new) {
            ended.remove(index);
        }
        ended.insert(0, replica.clone());
        ended.truncate(CrashNotice::REPLICAS_MAX);
    }

    /// Adds the replicas that another daemon has seen end, each as often as it has.
    pub(super) fn merge_ended(&mut self, replicas: &[ReplicaName]) {
        for (index, replica) in replicas.iter().enumerate() {
            let seen = |ended: &[ReplicaName]| ended.iter().filter(|name| *name == replica).count();
            if seen(&replicas[..=index]) > seen(&self.notice.replicas) {
                self.add_ended(replica, true);
            }
        }
    }

    /// What the fingerprint stands for.
    pub(super) fn scope(&self) -> CrashScope {
        match (self.notice.caller, self.sites.tells_forms()) {
            (0, true) => CrashScope::Path,
            (0, false) => CrashScope::Form,
            _ => CrashScope::Content,
        }
    }

    /// Whether the crashes are those under all forms of a path. The crashes under each form count by
    /// themselves too.
    pub(super) fn is_of_path(&self) -> bool {
        self.scope() == CrashScope::Path
    }

    /// Decides when the request becomes refused because of the replicas that have ended: at once if one more
    /// has ended in a run that began when those of a rack would all have ended, or else if it does not
    /// succeed in time. Replicas that ended together under several forms may have one cause, and show of none
    /// of the forms that it crashes replicas, still less of other forms of the path.
    pub(super) fn watch_ended(&mut self, now: TimePoint, sent_at: TimePoint) {
        if self.notice.replicas.len() < ENDED_MAX || self.notice.evidence() == 0 {
            return;
        }
        if self.third_end_at == TimePoint::NEVER {
            self.third_end_at = now;
            // Other daemons must not send it to all shards meanwhile.
            self.report_at = self.report_at.min(now);
        }
        let of_one_caller = self.notice.caller != 0 && self.callers.len() < 2;
        if self.has_enough_crashes() || of_one_caller || self.is_of_path() {
            return;
        }
        if sent_at >= self.third_end_at + BURST_PERIOD {
            self.condemn(now);
            return;
        }
        let at = now.max(self.third_end_at + REFUTATION_PERIOD);
        self.condemn_at = self.condemn_at.min(at);
    }

    /// Makes the request refused because of the replicas that have ended. It may be tried at once.
    pub(super) fn condemn(&mut self, now: TimePoint) {
        self.condemn_at = TimePoint::NEVER;
        if self.has_enough_crashes() || self.notice.evidence() == 0 {
            return;
        }
        self.notice.crashes = self.notice.forgiven + REFUSAL_CRASHES;
        self.sites.raise_evidence(REFUSAL_CRASHES);
        self.notice.tallies = self.sites.tallies.clone();
        self.notice.refused_until = now;
        self.report_at = now;
        self.keep_at = now;
    }

    /// Whether a send at `at` that no trial covers counts against the trials: enough replicas have ended, and
    /// the time is over in which the request might have turned out to be harmless. Among the forms of a path
    /// only sends that crash a replica count, since other forms may be harmless.
    pub(super) fn counts_sends(&self, at: TimePoint) -> bool {
        let settled =
            self.third_end_at != TimePoint::NEVER && at >= self.third_end_at + REFUTATION_PERIOD;
        settled && self.notice.replicas.len() >= ENDED_MAX && self.notice.evidence() > 0
    }

    /// Whether a request in the form and at the service of `site` is under suspicion. Crashes under several
    /// forms of a path that were seen together are no suspicion against all of them.
    pub(super) fn suspects(&self, site: CrashSite) -> bool {
        let crashes_min = match self.is_of_path() {
            true => 2,
            false => 1,
        };
        self.notice.evidence() >= crashes_min && self.sites.cover(site)
    }

    /// Takes back a crash that successes under further forms outweigh.
    pub(super) fn forgive_one(&mut self) {
        let notice = &mut self.notice;
        notice.forgiven = notice.crashes.min(notice.forgiven + 1);
    }

    /// Takes note that a run of the request under `variant` has succeeded: the replicas that ended may have
    /// had another cause, unless the request is sent in several forms.
    pub(super) fn forget_ended(&mut self, variant: u32) {
        let mut crashed = self
            .sites
            .tallies
            .iter()
            .filter(|tally| tally.evidence() > 0);
        if crashed.any(|tally| tally.site.variant != variant) {
            return;
        }
        if !self.has_enough_crashes() {
            self.notice.replicas.clear();
        }
        self.third_end_at = TimePoint::NEVER;
        self.condemn_at = TimePoint::NEVER;
        self.let_off = true;
    }

    /// Whether enough crashes count against the request to refuse it.
    pub(super) fn has_enough_crashes(&self) -> bool {
        self.notice.evidence() >= REFUSAL_CRASHES
    }

    /// Whether the crashes refuse the request at `site`.
    pub(super) fn refuses(&self, site: CrashSite) -> bool {
        self.has_enough_crashes() && self.sites.cover(site)
    }

    /// Lets no more crashes count than there are at all sites.
    pub(super) fn limit_evidence(&mut self) {
        let notice = &mut self.notice;
        let refuted = notice.crashes.saturating_sub(self.sites.evidence());
        notice.forgiven = notice.forgiven.max(refuted);
        if notice.evidence() == 0 {
            self.sites.forgive_all();
            // None of the trials has shown that the request crashes replicas.
            notice.passed = notice.passed.max(notice.trials);
            // Replicas that end from now on are others, also if another daemon has taken the crashes back.
            self.third_end_at = TimePoint::NEVER;
            self.condemn_at = TimePoint::NEVER;
        }
        if notice.evidence() < REFUSAL_CRASHES {
            notice.refused_until = TimePoint::default();
        }
        notice.tallies = self.sites.tallies.clone();
    }

    /// Whether one more crash is enough to refuse the request.
    pub(super) fn is_last_chance(&self) -> bool {
        let evidence = self.notice.evidence();
        let has_ended = evidence > 0 && self.notice.replicas.len() >= ENDED_MAX;
        evidence + 1 >= REFUSAL_CRASHES || has_ended && !self.is_of_path()
    }

    /// Whether a retry that begins at `at` has to wait, because its crash could have the same cause as those
    /// before it.
    pub(super) fn is_in_burst(&self, at: TimePoint) -> bool {
        self.is_in_first_burst(at) || self.has_just_ended(at)
    }

    /// Whether one more crash of a run that begins at `at` would make the request refused, but does
    /// not count, because it may have the same cause as the first one.
    pub(super) fn is_in_first_burst(&self, at: TimePoint) -> bool {
        let is_last = self.notice.evidence() + 1 >= REFUSAL_CRASHES;
        is_last && at < self.first_crash_at + BURST_PERIOD
    }

    /// Whether a run that begins at `at` can't tell yet what has ended the replicas: enough of them have ended
    /// for the request to be refused, and others may end for the same cause.
    fn has_just_ended(&self, at: TimePoint) -> bool {
        self.third_end_at != TimePoint::NEVER
            && at < self.third_end_at + BURST_PERIOD
            && self.notice.evidence() > 0
            && !self.has_enough_crashes()
            && !self.is_of_path()
    }
}
