//! Finds out whether this daemon has lost its links to all replicas.
//!
//! Passive signs only raise a suspicion: several replicas owe a reply and none has sent one, or
//! connections to several replicas fail in a row. Health checks of replicas of different services and
//! data centres then decide. While the links are lost, health checks also tell when they are back, so
//! that no request of a caller is lost to find out.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use schema::TimePoint;
use smallvec::SmallVec;

use super::{
    LinkLoss,
    LossEvidence,
    ReplicaKey, //
};

/// Time without a reply from any replica, while several owe one, that raises a suspicion. It is longer
/// than the pause of a replica.
const SILENCE_MIN: Duration = Duration::from_millis(400);
/// The same where only one or two replicas owe a reply: the work of a request may last that long.
const SILENCE_OF_FEW_MIN: Duration = Duration::from_millis(1_200);
/// Replicas that have to show a sign; fewer if fewer are listed.
const SIGNS_MIN: usize = 3;
/// Age up to which a failed connection is a sign.
const SIGN_PERIOD: Duration = Duration::from_secs(2);
/// Replicas that are checked after a suspicion.
const CHECKS_AT_ONCE: usize = 5;
/// Interval between the checks while the links are lost.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Replicas that are checked in each such interval.
const CHECKS_PER_INTERVAL: usize = 2;
/// Replicas that have to answer, one after the other, before the links count as back.
const ANSWERS_NEEDED: usize = 2;
/// Time after a suspicion that was not confirmed in which no other one is raised.
const CONFIRMED_PERIOD: Duration = Duration::from_secs(1);

/// What the daemon believes of its links.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkState {
    Connected,
    /// Health checks run that decide.
    Suspected(LinkLoss),
    Lost(LinkLoss),
}

/// A change of what the daemon believes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReachChange {
    /// The links to all replicas are lost.
    Lost(LossEvidence),
    /// They are back, after this time.
    Regained(Duration),
}

/// The signs and the checks.
#[derive(Clone, Debug)]
pub(super) struct ReachMonitor {
    state: LinkState,
    /// When the state was entered.
    since: TimePoint,
    /// Replicas that were sent a request after the last reply of any replica, and when first.
    unanswered: BTreeMap<ReplicaKey, TimePoint>,
    /// Replicas to which a connection failed after the last one that was opened, and when last.
    unconnected: BTreeMap<ReplicaKey, TimePoint>,
    /// When the first of these connections failed.
    failing_since: TimePoint,
    /// Replicas that could not be connected to when a suspicion was dismissed. They are down themselves,
    /// so that further failures are no sign.
    down: BTreeSet<ReplicaKey>,
    /// When a request was last answered by any replica.
    last_reply_at: TimePoint,
    /// Replicas whose health check has not ended.
    checks: SmallVec<[ReplicaKey; CHECKS_AT_ONCE]>,
    /// Different replicas whose checks were answered since the last one that was not.
    answered: SmallVec<[ReplicaKey; ANSWERS_NEEDED]>,
    /// When replicas are checked next while the links are lost.
    next_check: TimePoint,
    /// No suspicion is raised before this time.
    quiet_until: TimePoint,
    /// Replicas that a check may ask; changes with the directory.
    listed: usize,
}

impl Default for ReachMonitor {
    fn default() -> Self {
        Self {
            state: LinkState::Connected,
            since: TimePoint(0),
            unanswered: BTreeMap::new(),
            unconnected: BTreeMap::new(),
            failing_since: TimePoint(0),
            down: BTreeSet::new(),
            last_reply_at: TimePoint(0),
            checks: SmallVec::new(),
            answered: SmallVec::new(),
            next_check: TimePoint::NEVER,
            quiet_until: TimePoint(0),
            listed: 0,
        }
    }
}

impl ReachMonitor {
    /// How the links were lost and when, if they are.
    pub(super) fn lost(&self) -> Option<(LinkLoss, TimePoint)> {
        match self.state {
            LinkState::Lost(loss) => Some((loss, self.since)),
            _ => None,
        }
    }

    /// Whether the links are not known to be lost, nor suspected to be.
    pub(super) fn is_connected(&self) -> bool {
        self.state == LinkState::Connected
    }

    /// Whether a replica has replied within `period`.
    pub(super) fn has_reply_within(&self, now: TimePoint, period: Duration) -> bool {
        self.last_reply_at > TimePoint(0) && now.since(self.last_reply_at) <= period
    }

    /// Sets the number of replicas that are listed.
    pub(super) fn set_listed(&mut self, listed: usize) {
        self.listed = listed;
    }

    /// Records a request that was sent.
    pub(super) fn record_send(&mut self, now: TimePoint, key: ReplicaKey) {
        self.unanswered.entry(key).or_insert(now);
    }

    /// Records a reply of any replica, whatever it says.
    pub(super) fn record_reply(&mut self, now: TimePoint) {
        self.last_reply_at = now;
        self.unanswered.clear();
        if self.state == LinkState::Suspected(LinkLoss::Silent) {
            self.dismiss(now);
        }
    }

    /// Records a connection that was opened, or could not be.
    pub(super) fn record_connect(&mut self, now: TimePoint, key: ReplicaKey, opened: bool) {
        if !opened {
            if !self.down.contains(&key) {
                if self.unconnected.is_empty() {
                    self.failing_since = now;
                }
                self.unconnected.insert(key, now);
            }
            return;
        }
        self.down.remove(&key);
        self.unconnected.clear();
        if self.state == LinkState::Suspected(LinkLoss::Unconnected) {
            self.dismiss(now);
        }
    }

    /// Forgets a replica that has left.
    pub(super) fn forget(&mut self, key: ReplicaKey) {
        self.unanswered.remove(&key);
        self.unconnected.remove(&key);
        self.down.remove(&key);
    }

    /// When [`Self::checks_due`] has to be called.
    pub(super) fn next_wakeup(&self) -> TimePoint {
        match self.state {
            LinkState::Connected => {
                let at = self.silent_at();
                match self.unconnected.len() >= self.signs_needed() {
                    true => self.quiet_until,
                    false => at.max(self.quiet_until),
                }
            }
            LinkState::Suspected(_) => TimePoint::NEVER,
            LinkState::Lost(_) => self.next_check,
        }
    }

    /// Number of health checks that are due. Their replicas have to be named by
    /// [`Self::start_check`].
    pub(super) fn checks_due(&mut self, now: TimePoint) -> usize {
        match self.state {
            LinkState::Suspected(_) => 0,
            LinkState::Lost(_) if now < self.next_check => 0,
            LinkState::Lost(_) => {
                self.next_check = now + CHECK_INTERVAL;
                CHECKS_PER_INTERVAL.saturating_sub(self.checks.len())
            }
            LinkState::Connected if now < self.quiet_until => 0,
            LinkState::Connected => {
                self.unconnected
                    .retain(|_, at| now.since(*at) < SIGN_PERIOD);
                let silent = self.silent_at() <= now;
                let loss = match self.unconnected.len() >= self.signs_needed() {
                    true => LinkLoss::Unconnected,
                    false if silent => LinkLoss::Silent,
                    false => return 0,
                };
                self.enter(now, LinkState::Suspected(loss));
                CHECKS_AT_ONCE
            }
        }
    }

    /// Records that the open connections, which lived on when new ones failed, have become silent, too;
    /// returns whether that is news.
    pub(super) fn turn_silent(&mut self, now: TimePoint) -> bool {
        let silent = self.state == LinkState::Lost(LinkLoss::Unconnected)
            && !self.has_reply_within(now, SILENCE_MIN);
        if silent {
            self.state = LinkState::Lost(LinkLoss::Silent);
        }
        silent
    }

    /// Whether a replica has shown a sign; others are checked first.
    pub(super) fn is_suspicious(&self, key: ReplicaKey) -> bool {
        self.unanswered.contains_key(&key) || self.unconnected.contains_key(&key)
    }

    /// Whether a replica is being checked.
    pub(super) fn is_checked(&self, key: ReplicaKey) -> bool {
        self.checks.contains(&key)
    }

    /// Records that the check of a replica has been started.
    pub(super) fn start_check(&mut self, key: ReplicaKey) {
        self.checks.push(key);
    }

    /// Ends a suspicion for which no replica could be checked.
    pub(super) fn end_unchecked(&mut self, now: TimePoint) {
        if self.checks.is_empty() && matches!(self.state, LinkState::Suspected(_)) {
            self.dismiss(now);
        }
    }

    /// Records the end of a health check. `answered` is whether any complete reply came, whatever it
    /// says.
    pub(super) fn record_check(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        answered: bool,
    ) -> Option<ReachChange> {
        self.checks.retain(|checked| *checked != key);
        match (self.state, answered) {
            (LinkState::Connected, _) => None,
            (LinkState::Suspected(_), true) => {
                self.dismiss(now);
                None
            }
            (LinkState::Suspected(_), false) if !self.checks.is_empty() => None,
            (LinkState::Suspected(_), false) => {
                // Connections are refused or time out sooner than silence is noticed, so that only a reply
                // since then shows that open ones live on.
                let lives_on =
                    !self.unconnected.is_empty() && self.last_reply_at > self.failing_since;
                let loss = match lives_on {
                    true => LinkLoss::Unconnected,
                    false => LinkLoss::Silent,
                };
                let evidence = LossEvidence {
                    loss,
                    owing: self.unanswered.len(),
                    unconnected: self.unconnected.len(),
                    silent_for: now.since(self.last_reply_at),
                };
                self.enter(now, LinkState::Lost(loss));
                self.next_check = now + CHECK_INTERVAL;
                Some(ReachChange::Lost(evidence))
            }
            (LinkState::Lost(_), false) => {
                self.answered.clear();
                None
            }
            (LinkState::Lost(_), true) => {
                if !self.answered.contains(&key) {
                    self.answered.push(key);
                }
                if self.answered.len() < ANSWERS_NEEDED.min(self.listed.max(1)) {
                    self.next_check = now;
                    return None;
                }
                let lost_for = now.since(self.since);
                self.enter(now, LinkState::Connected);
                Some(ReachChange::Regained(lost_for))
            }
        }
    }

    fn enter(&mut self, now: TimePoint, state: LinkState) {
        self.state = state;
        self.since = now;
        self.answered.clear();
        if state != LinkState::Connected {
            self.down.clear();
        } else {
            self.unanswered.clear();
            self.unconnected.clear();
            self.next_check = TimePoint::NEVER;
        }
    }

    fn dismiss(&mut self, now: TimePoint) {
        self.down.extend(self.unconnected.keys());
        self.enter(now, LinkState::Connected);
        self.quiet_until = now + CONFIRMED_PERIOD;
    }

    fn signs_needed(&self) -> usize {
        SIGNS_MIN.min(self.listed.max(1))
    }

    /// When the replies that are owed make a suspicion.
    fn silent_at(&self) -> TimePoint {
        let mut times: SmallVec<[TimePoint; 64]> = self.unanswered.values().copied().collect();
        times.sort_unstable();
        let Some(first) = times.first() else {
            return TimePoint::NEVER;
        };
        let of_few = *first + SILENCE_OF_FEW_MIN;
        match times.get(self.signs_needed() - 1) {
            Some(last) => of_few.min(*last + SILENCE_MIN),
            None => of_few,
        }
    }
}
