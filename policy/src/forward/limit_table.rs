//! The limits that replicas name, and their division among the daemons.
//!
//! For each replica one daemon, chosen by rendezvous hashing among the live ones, divides the limit.
//! The others report what they need to it, and it grants each of them a share for a short time. A
//! daemon without a grant uses its base share, so that a lost message, a daemon that is cut off or a
//! change of the members never adds shares to the limit.

use std::{
    collections::{
        btree_map::Entry,
        BTreeMap, //
    },
    time::Duration, //
};

use schema::{
    DaemonName,
    LimitEntry,
    LimitNotice,
    RequestRate,
    ShareAmount,
    TimePoint, //
};
use smallvec::SmallVec;

use super::{
    limit_division::{
        base_shares,
        divide_limit,
        sharer_rank,
        LimitSharer, //
    },
    replica_limit::ReplicaLimit,
    LimitStatement,
    ReplicaKey, //
};

/// Interval at which daemons report their needs and grant shares.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which a granted share may be used without a new grant, and a reported need counts.
const GRANT_PERIOD: Duration = Duration::from_millis(1_000);
/// Time for which other daemons are told that a replica no longer names a limit.
const ENDED_PERIOD: Duration = Duration::from_secs(10);
/// Time for which the base share of a daemon that has left the members is not used: it may be cut off
/// and still send requests.
const ABSENT_PERIOD: Duration = Duration::from_secs(10);
/// Number of daemons that is assumed until others are known.
const DEFAULT_DAEMONS: usize = 8;
/// Time after the first limit in which other daemons become known.
const JOIN_PERIOD: Duration = Duration::from_secs(3);

/// A change in what this daemon believes about the limit of a replica.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct LimitChange {
    /// The limit until now.
    pub(super) before: Option<RequestRate>,
    /// The limit from now on.
    pub(super) after: Option<RequestRate>,
}

/// The limits of replicas at one daemon.
#[derive(Clone, Debug)]
pub(super) struct LimitTable {
    daemon: DaemonName,
    /// The other live daemons.
    others: Vec<DaemonName>,
    /// Daemons that have left the members, with the time until which they keep their base shares.
    absent: Vec<(DaemonName, TimePoint)>,
    /// Whether the other daemons are known.
    counted: bool,
    started_at: Option<TimePoint>,
    limits: BTreeMap<ReplicaKey, ReplicaLimit>,
    /// What other daemons need, by replica.
    needs: BTreeMap<(ReplicaKey, DaemonName), (TimePoint, f64)>,
    next_exchange: TimePoint,
}

impl LimitTable {
    /// A table without limits of the daemon `daemon`.
    pub(super) fn new(daemon: DaemonName) -> Self {
        Self {
            daemon,
            others: Vec::new(),
            absent: Vec::new(),
            counted: false,
            started_at: None,
            limits: BTreeMap::new(),
            needs: BTreeMap::new(),
            next_exchange: TimePoint::NEVER,
        }
    }

    /// Sets the other live daemons.
    pub(super) fn set_others(&mut self, now: TimePoint, others: Vec<DaemonName>) {
        self.absent.retain(|(daemon, _)| !others.contains(daemon));
        for daemon in std::mem::replace(&mut self.others, others) {
            if !self.others.contains(&daemon) {
                self.absent.push((daemon, now + ABSENT_PERIOD));
            }
        }
        self.counted = true;
        self.apply_bases(now);
    }

    /// Whether no replica names a limit, as is usual.
    pub(super) fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// The limit of a replica, in force or ended shortly before.
    pub(super) fn get(&self, key: ReplicaKey) -> Option<&ReplicaLimit> {
        self.limits.get(&key)
    }

    /// The limits in force.
    pub(super) fn in_force(&self) -> impl Iterator<Item = (ReplicaKey, RequestRate, f64)> + '_ {
        let limits = self.limits.iter();
        limits.filter_map(|(key, known)| Some((*key, known.limit?, known.bucket.rate())))
    }

    /// Forgets a replica that has left.
    pub(super) fn remove(&mut self, key: ReplicaKey) {
        self.limits.remove(&key);
        self.needs.retain(|(known, _), _| *known != key);
    }

    /// Time until the replica may get one more request of this daemon; `None` if it names no limit.
    pub(super) fn time_to_send(&self, now: TimePoint, key: ReplicaKey) -> Option<Duration> {
        let known = self.limits.get(&key)?;
        known.limit?;
        // A share without any rate may grow with the next grant.
        let wait = known.bucket.time_to_token(now);
        Some(wait.unwrap_or(Duration::MAX))
    }

    /// Takes a token of a replica for a request that is sent.
    pub(super) fn take(&mut self, now: TimePoint, key: ReplicaKey) {
        if let Some(known) = self.limits.get_mut(&key) {
            known.bucket.take(now);
            known.demand.record(now);
        }
    }

    /// Promises the next token of a replica to a request that will be sent when it exists.
    pub(super) fn reserve(&mut self, now: TimePoint, key: ReplicaKey) {
        if let Some(known) = self.limits.get_mut(&key) {
            known.bucket.take(now);
        }
    }

    /// Gives a token back that was promised to a request which was not sent.
    pub(super) fn give_back(&mut self, key: ReplicaKey) {
        if let Some(known) = self.limits.get_mut(&key) {
            known.bucket.give_back();
        }
    }

    /// Counts a request that would have been sent to the replica but for its limit.
    pub(super) fn record_held_back(&mut self, now: TimePoint, key: ReplicaKey) {
        if let Some(known) = self.limits.get_mut(&key) {
            known.demand.record(now);
        }
    }

    /// Handles what a reply says about the limit of its replica. A reply to a request that was sent
    /// before the one whose reply named the limit may be older than that; it may only lower it.
    pub(super) fn record_statement(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        instance: u64,
        sent_at: TimePoint,
        statement: &LimitStatement,
    ) -> Option<LimitChange> {
        let named = match statement {
            LimitStatement::Unreadable(_) => return None,
            LimitStatement::Unlimited => None,
            LimitStatement::Limited(limit) => Some(*limit),
        };
        let known = match (self.limits.entry(key), named) {
            (Entry::Vacant(_), None) => return None,
            (Entry::Vacant(entry), Some(limit)) => {
                let mut known = ReplicaLimit::new(now, instance, limit);
                known.sent_at = sent_at;
                entry.insert(known);
                self.apply_bases(now);
                self.start_exchange(now);
                return Some(LimitChange {
                    before: None,
                    after: Some(limit),
                });
            }
            (Entry::Occupied(entry), _) => entry.into_mut(),
        };
        let before = known.limit;
        let is_older = match named {
            None => known.limit.is_some() && sent_at < known.named_at,
            Some(limit) => sent_at < known.sent_at && known.limit.is_some_and(|old| limit > old),
        };
        if is_older || (named.is_none() && before.is_none()) {
            return None;
        }
        known.named_at = now;
        known.sent_at = known.sent_at.max(sent_at);
        if before == named {
            return None;
        }
        known.set_limit(now, named);
        self.start_exchange(now);
        Some(LimitChange {
            before,
            after: named,
        })
    }

    /// Merges what another daemon reports about a replica. Returns the change of its limit, if any.
    pub(super) fn merge(
        &mut self,
        now: TimePoint,
        key: ReplicaKey,
        from: &DaemonName,
        entry: &LimitEntry,
    ) -> Option<LimitChange> {
        let named_at = now - entry.age;
        let mut change = None;
        let known = match (self.limits.entry(key), entry.limit) {
            (Entry::Vacant(_), None) => return None,
            (Entry::Vacant(vacant), Some(limit)) => {
                change = Some(LimitChange {
                    before: None,
                    after: Some(limit),
                });
                let known = vacant.insert(ReplicaLimit::new(now, entry.instance, limit));
                known.named_at = named_at;
                known
            }
            (Entry::Occupied(occupied), _) => occupied.into_mut(),
        };
        if named_at > known.named_at {
            known.named_at = named_at;
            if known.limit != entry.limit {
                change = Some(LimitChange {
                    before: known.limit,
                    after: entry.limit,
                });
                known.set_limit(now, entry.limit);
            }
        }
        match entry.amount {
            // A daemon that takes the limit for ended grants all of it to everyone.
            ShareAmount::Granted(_) if entry.limit.is_none() => {}
            ShareAmount::Granted(share) => known.grant(now, share, now + GRANT_PERIOD),
            ShareAmount::Needed(rate) => {
                let need = (now, rate.per_second());
                self.needs.insert((key, from.clone()), need);
            }
        }
        self.apply_bases(now);
        // A notice without news must not cause another one.
        if change.is_some() {
            self.start_exchange(now);
        }
        change
    }

    /// When [`Self::exchange`] has to be called; [`TimePoint::NEVER`] without limits.
    pub(super) fn next_wakeup(&self) -> TimePoint {
        self.next_exchange
    }

    /// Divides the limits for which this daemon is responsible and reports its needs for the others.
    /// Returns the notices for other daemons.
    pub(super) fn exchange(&mut self, now: TimePoint) -> Vec<(DaemonName, LimitNotice)> {
        if self.next_exchange > now {
            return Vec::new();
        }
        self.limits
            .retain(|_, known| known.limit.is_some() || now.since(known.named_at) < ENDED_PERIOD);
        self.needs
            .retain(|_, (at, _)| now.since(*at) < GRANT_PERIOD);
        self.absent.retain(|(_, until)| now < *until);
        self.next_exchange = match self.limits.is_empty() {
            true => TimePoint::NEVER,
            false => now + EXCHANGE_INTERVAL,
        };
        self.apply_bases(now);
        let mut entries: BTreeMap<DaemonName, Vec<LimitEntry>> = BTreeMap::new();
        let keys: SmallVec<[ReplicaKey; 8]> = self.limits.keys().copied().collect();
        for key in keys {
            for (to, entry) in self.entries_of(now, key) {
                entries.entry(to).or_default().push(entry);
            }
        }
        let mut notices = Vec::new();
        for (to, entries) in entries {
            for chunk in entries.chunks(LimitNotice::ENTRIES_MAX) {
                let entries = chunk.to_vec();
                notices.push((to.clone(), LimitNotice { entries }));
            }
        }
        notices
    }

    /// What is sent about one replica: this daemon's need to the daemon that divides the limit, or
    /// their shares to all others if this daemon does.
    fn entries_of(&mut self, now: TimePoint, key: ReplicaKey) -> Vec<(DaemonName, LimitEntry)> {
        let Some(known) = self.limits.get_mut(&key) else {
            return Vec::new();
        };
        let need = known.demand.per_second(now);
        let entry = |amount| LimitEntry {
            instance: known.instance,
            limit: known.limit,
            age: now.since(known.named_at),
            amount,
        };
        let rank = |daemon: &DaemonName| sharer_rank(known.instance, daemon);
        let first = self.others.iter().min_by_key(|daemon| rank(daemon));
        if let Some(divider) = first.filter(|daemon| rank(daemon) < rank(&self.daemon)) {
            let rate = RequestRate::new(need).unwrap_or_default();
            return vec![(divider.clone(), entry(ShareAmount::Needed(rate)))];
        }
        let mut sharers: SmallVec<[LimitSharer<'_>; 16]> = SmallVec::new();
        sharers.push(LimitSharer {
            daemon: &self.daemon,
            need: Some(need),
        });
        for daemon in &self.others {
            let need = self.needs.get(&(key, daemon.clone()));
            let need = need.map(|(_, need)| *need);
            sharers.push(LimitSharer { daemon, need });
        }
        let granted = sharers.len();
        for (daemon, _) in &self.absent {
            sharers.push(LimitSharer { daemon, need: None });
        }
        let shares = match known.limit {
            Some(limit) => divide_limit(known.instance, limit, &sharers),
            None => sharers.iter().map(|_| 1.0).collect(),
        };
        let granted = sharers[..granted].iter().zip(&shares).skip(1);
        let entries = granted.map(|(sharer, share)| {
            let amount = ShareAmount::Granted(share.clamp(0.0, 1.0));
            (sharer.daemon.clone(), entry(amount))
        });
        let entries = entries.collect();
        if self.counted {
            known.grant(now, shares[0], now + GRANT_PERIOD);
        }
        entries
    }

    /// Uses the base share of each limit without a grant.
    fn apply_bases(&mut self, now: TimePoint) {
        let started_at = *self.started_at.get_or_insert(now);
        let joins = !self.counted && now.since(started_at) < JOIN_PERIOD;
        let mut daemons: SmallVec<[&DaemonName; 16]> = SmallVec::new();
        daemons.push(&self.daemon);
        daemons.extend(&self.others);
        daemons.extend(self.absent.iter().map(|(daemon, _)| daemon));
        for known in self.limits.values_mut() {
            let Some(limit) = known.limit else {
                continue;
            };
            let base = match joins {
                true => 1.0 / DEFAULT_DAEMONS as f64,
                false => base_shares(known.instance, limit, &daemons)[0],
            };
            known.apply_base(now, base);
        }
    }

    fn start_exchange(&mut self, now: TimePoint) {
        self.next_exchange = self.next_exchange.min(now);
    }
}
