//! Choice of the authority, which issues the tokens of the rates.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    CpuCapacity,
    DaemonName,
    TimePoint, //
};
use xxhash_rust::xxh3::xxh3_64;

use super::{
    RateMember,
    RateSettings, //
};

/// Time after which a new member may become the authority. It is longer than the usual window of quotas, so
/// that a restart of the authority gives its successor a credit and then itself another one; with 5 s, 3.2 in
/// 100 requests within their rate were refused after it.
const SETTLING_PERIOD: Duration = Duration::from_secs(8);
/// Interval of questions to daemons that have not answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which such a daemon has to answer before it may be the authority again.
const RETURN_PERIOD: Duration = Duration::from_millis(1_500);
/// Silent daemons that are asked, the ones with the highest ranks.
const CHECKED_MAX: usize = 2;

/// Another daemon that may be the authority.
#[derive(Clone, Debug)]
struct Candidate {
    capacity: CpuCapacity,
    seen_at: TimePoint,
    silent: bool,
    /// Since when it answers again.
    answers_since: Option<TimePoint>,
    /// Whether the last question since it is silent has no answer yet.
    unanswered: bool,
}

/// The daemons that may be the authority.
#[derive(Clone, Debug)]
pub(super) struct AuthorityChoice {
    daemon: DaemonName,
    capacity: CpuCapacity,
    started_at: TimePoint,
    candidates: BTreeMap<DaemonName, Candidate>,
    next_check: TimePoint,
    /// When a candidate may be settled.
    next_settled: TimePoint,
}

impl AuthorityChoice {
    /// No other daemons are known yet.
    pub(super) fn new(settings: &RateSettings) -> Self {
        Self {
            daemon: settings.daemon.clone(),
            capacity: settings.capacity,
            started_at: TimePoint(0),
            candidates: BTreeMap::new(),
            next_check: TimePoint::NEVER,
            next_settled: TimePoint::NEVER,
        }
    }

    /// Sets the time of the start.
    pub(super) fn start(&mut self, now: TimePoint) {
        self.started_at = now;
        self.next_settled = now + SETTLING_PERIOD;
    }

    /// Sets the other members that are alive.
    pub(super) fn set_members(&mut self, now: TimePoint, members: &[RateMember]) {
        let mut before = std::mem::take(&mut self.candidates);
        for member in members {
            if member.daemon == self.daemon {
                continue;
            }
            let mut candidate = before.remove(&member.daemon).unwrap_or_else(|| {
                self.next_settled = self.next_settled.min(now + SETTLING_PERIOD);
                Candidate {
                    capacity: member.capacity,
                    seen_at: now,
                    silent: false,
                    answers_since: None,
                    unanswered: false,
                }
            });
            candidate.capacity = member.capacity;
            self.candidates.insert(member.daemon.clone(), candidate);
        }
    }

    /// Number of other members.
    pub(super) fn others(&self) -> usize {
        self.candidates.len()
    }

    /// Whether the daemon is a member.
    pub(super) fn is_member(&self, daemon: &DaemonName) -> bool {
        *daemon == self.daemon || self.candidates.contains_key(daemon)
    }

    /// The other members, each with the time since which it is known.
    pub(super) fn members(&self) -> impl Iterator<Item = (&DaemonName, TimePoint)> {
        let candidates = self.candidates.iter();
        candidates.map(|(daemon, candidate)| (daemon, candidate.seen_at))
    }

    /// The authority; `None` if it is this daemon. `recorded` tells whether there is a record of the fleet:
    /// without one, all daemons are new. `pledged` tells whether others take this daemon for the authority.
    pub(super) fn choose(
        &mut self,
        now: TimePoint,
        recorded: bool,
        pledged: bool,
    ) -> Option<DaemonName> {
        let new_here = now.since(self.started_at) < SETTLING_PERIOD;
        let own_rank = rank(self.capacity, &self.daemon);
        let mut best: Option<((CpuCapacity, u64), &DaemonName)> = None;
        let mut next_settled = match new_here {
            true => self.started_at + SETTLING_PERIOD,
            false => TimePoint::NEVER,
        };
        for (daemon, candidate) in &self.candidates {
            let settles_at = candidate.seen_at + SETTLING_PERIOD;
            if !new_here && recorded && settles_at > now {
                next_settled = next_settled.min(settles_at);
                continue;
            }
            if candidate.silent {
                continue;
            }
            let rank = rank(candidate.capacity, daemon);
            if best.is_none_or(|(other, _)| rank > other) {
                best = Some((rank, daemon));
            }
        }
        self.next_settled = next_settled;
        let (best_rank, daemon) = best?;
        let own_is_settled = !new_here || !recorded || pledged;
        (best_rank > own_rank || !own_is_settled).then(|| daemon.clone())
    }

    /// When [`Self::choose`] may give another result, or a silent daemon is asked.
    pub(super) fn next_wakeup(&self) -> TimePoint {
        self.next_settled.min(self.next_check)
    }

    /// Notes that the daemon does not answer.
    pub(super) fn mark_silent(&mut self, now: TimePoint, daemon: &DaemonName) {
        if let Some(candidate) = self.candidates.get_mut(daemon) {
            candidate.silent = true;
            candidate.answers_since = None;
            candidate.unanswered = false;
            self.next_check = self.next_check.min(now + CHECK_INTERVAL);
        }
    }

    /// Notes an answer of the daemon. Returns whether it may be the authority again.
    pub(super) fn record_answer(&mut self, now: TimePoint, daemon: &DaemonName) -> bool {
        let Some(candidate) = self.candidates.get_mut(daemon) else {
            return false;
        };
        if !candidate.silent {
            return false;
        }
        candidate.unanswered = false;
        let since = *candidate.answers_since.get_or_insert(now);
        candidate.silent = now.since(since) < RETURN_PERIOD;
        !candidate.silent
    }

    /// The silent daemons that are asked now.
    pub(super) fn take_checks(&mut self, now: TimePoint) -> Vec<DaemonName> {
        if now < self.next_check {
            return Vec::new();
        }
        let mut silent: Vec<(&DaemonName, &mut Candidate)> = self
            .candidates
            .iter_mut()
            .filter(|(_, candidate)| candidate.silent)
            .collect();
        silent
            .sort_by_key(|(daemon, candidate)| std::cmp::Reverse(rank(candidate.capacity, daemon)));
        silent.truncate(CHECKED_MAX);
        let mut checks = Vec::new();
        for (daemon, candidate) in silent {
            if std::mem::replace(&mut candidate.unanswered, true) {
                candidate.answers_since = None;
            }
            checks.push(daemon.clone());
        }
        self.next_check = match checks.is_empty() {
            true => TimePoint::NEVER,
            false => now + CHECK_INTERVAL,
        };
        checks
    }
}

fn rank(capacity: CpuCapacity, daemon: &DaemonName) -> (CpuCapacity, u64) {
    (capacity, xxh3_64(daemon.as_str().as_bytes()))
}
