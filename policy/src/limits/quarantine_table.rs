//! Quarantine of queries that crash replicas.
//!
//! A query that has not yet succeeded on any replica is unproven: it is sent to one replica first,
//! and to the others once that one has replied. If it were sent to all shards at once, it could
//! crash a replica of each before the first failure is seen, and only a trial run shows whether it
//! will. The cost is one more round trip for the first request with a body that the daemon does not
//! remember, and none for later ones.
//!
//! There are two kinds of evidence. A replica that crashes during a trial run counts at once and is
//! reported to the other daemons. A replica that crashes with many requests in flight is weak
//! evidence against each of them: a proven query among them becomes unproven again, and crashes
//! within [`BURST_PERIOD`] of each other, for example when a rack loses its power, count as one.
//! Two crashes of distinct replicas, seen by any daemons, make the query refused. A query that has
//! succeeded before is refused after three, because a frequent query may be in flight on two
//! replicas that another query crashes. A success deletes the evidence, and a daemon on which the
//! query has just succeeded ignores the reports of others.
//!
//! A query that crashes only the replicas of one shard passes its trial run on another shard. The
//! choice of replicas limits the damage: within each shard an unproven query may only be sent to
//! the same two replicas.
//!
//! A daemon whose trial run has crashed one replica waits until the others know before it starts
//! another. The others defer the query meanwhile, so that only this second trial run decides. Each
//! daemon that has not received the report by then may crash one more replica. A request for a
//! refused query is answered at once; the answer is not delayed to keep the caller from retrying.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use schema::{
    QueryPrint,
    TimePoint,
    VmName, //
};

use super::{
    QuarantineNotice,
    QuarantineStatus, //
};

/// Time for which a query stays suspect or refused.
pub const QUARANTINE_PERIOD: Duration = Duration::from_secs(600);
/// Crashes of distinct replicas after which a query is refused.
const REFUSAL_DEATHS: usize = 2;
/// Crashes of distinct replicas after which a query that has succeeded before is refused.
const REFUSAL_DEATHS_PROVEN: usize = 3;
/// Crashes of replicas within this time may have one common cause.
const BURST_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a query is deferred after another daemon has reported a crash, so that the other
/// daemon can make the second trial run.
const DEFERRAL_PERIOD: Duration = Duration::from_millis(250);
/// Reports of other daemons are ignored for this time after a success.
const SUCCESS_PERIOD: Duration = Duration::from_secs(1);
/// Suspect or refused queries that are remembered.
const RECORDS_MAX: usize = 4096;
/// Number of crashed replicas remembered for each query.
const DEATHS_MAX: usize = 8;
/// Proven queries that are remembered, in each of two generations.
const PROVEN_MAX: usize = 32 * 1024;

#[derive(Clone, Debug)]
struct DeathRecord {
    deaths: Vec<VmName>,
    /// When another daemon first reported the query, while no replica has crashed on a request of
    /// this daemon.
    reported_at: Option<TimePoint>,
    last_death: TimePoint,
    expires_at: TimePoint,
}

/// Remembers which queries have succeeded and which have crashed replicas.
#[derive(Clone, Debug, Default)]
pub struct QuarantineTable {
    records: BTreeMap<QueryPrint, DeathRecord>,
    proven: BTreeMap<QueryPrint, TimePoint>,
    proven_previous: BTreeMap<QueryPrint, TimePoint>,
}

impl QuarantineTable {
    /// Returns how a query that arrives now must be treated.
    pub fn check(&mut self, now: TimePoint, print: QueryPrint) -> QuarantineStatus {
        self.expire(now, print);
        let Some(record) = self.records.get(&print) else {
            return match self.last_success(print) {
                Some(_) => QuarantineStatus::Proven,
                None => QuarantineStatus::Unproven,
            };
        };
        if !self.has_enough_deaths(print, record) {
            if self.last_success(print).is_some() {
                return QuarantineStatus::Unproven;
            }
            let deferred_until = record
                .reported_at
                .map(|reported| reported + DEFERRAL_PERIOD);
            return match deferred_until.filter(|until| now < *until) {
                Some(until) => QuarantineStatus::Deferred { until },
                None => QuarantineStatus::Suspect,
            };
        }
        QuarantineStatus::Refused {
            retry_after: record.expires_at.since(now),
        }
    }

    /// Records that `vm` crashed while it ran `running` and other queries. Returns the notices to
    /// send to the other daemons.
    pub fn record_death(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        running: &[QueryPrint],
    ) -> Vec<QuarantineNotice> {
        let mut notices = Vec::new();
        for print in running {
            let proven = self.last_success(*print).is_some();
            let record = self.records.get(print);
            let burst = record.is_some_and(|record| now.since(record.last_death) < BURST_PERIOD);
            if proven && burst {
                continue;
            }
            let reported = !proven || record.is_some();
            let notice = self.record_trial_death(now, vm, *print);
            notices.extend(notice.filter(|_| reported));
        }
        notices
    }

    /// Records that `vm` crashed during a trial run of `print`. Returns the notice to send to the
    /// other daemons.
    pub fn record_trial_death(
        &mut self,
        now: TimePoint,
        vm: &VmName,
        print: QueryPrint,
    ) -> Option<QuarantineNotice> {
        let expires_at = now + QUARANTINE_PERIOD;
        self.add_deaths(now, print, std::slice::from_ref(vm), expires_at);
        let record = self.records.get_mut(&print)?;
        record.reported_at = None;
        Some(QuarantineNotice {
            print,
            deaths: record.deaths.clone(),
            until: record.expires_at,
        })
    }

    /// Adds crashes that another daemon has reported.
    pub fn add_remote_deaths(
        &mut self,
        now: TimePoint,
        print: QueryPrint,
        deaths: &[VmName],
        until: TimePoint,
    ) {
        let success = self.last_success(print);
        if success.is_some_and(|at| now.since(at) < SUCCESS_PERIOD) {
            return;
        }
        let expires_at = until.min(now + QUARANTINE_PERIOD);
        if expires_at <= now {
            return;
        }
        let is_new = !self.records.contains_key(&print);
        self.add_deaths(now, print, deaths, expires_at);
        if let Some(record) = self.records.get_mut(&print).filter(|_| is_new) {
            record.reported_at = Some(now);
        }
    }

    /// Whether a crash of a replica is recorded for a query.
    pub fn has_deaths(&mut self, now: TimePoint, print: QueryPrint) -> bool {
        self.expire(now, print);
        self.records.contains_key(&print)
    }

    /// Whether a query is refused now.
    pub fn is_refused(&mut self, now: TimePoint, print: QueryPrint) -> bool {
        self.expire(now, print);
        let record = self.records.get(&print);
        record.is_some_and(|record| self.has_enough_deaths(print, record))
    }

    /// Records that a query succeeded on a replica.
    pub fn record_success(&mut self, now: TimePoint, print: QueryPrint) {
        self.records.remove(&print);
        if self.proven.len() >= PROVEN_MAX {
            self.proven_previous = std::mem::take(&mut self.proven);
        }
        self.proven.insert(print, now);
    }

    /// Number of queries that are refused now.
    pub fn refused_count(&self, now: TimePoint) -> usize {
        let refused = |(print, record): &(&QueryPrint, &DeathRecord)| {
            self.has_enough_deaths(**print, record) && now < record.expires_at
        };
        self.records.iter().filter(refused).count()
    }

    /// Whether `record` has enough crashes to refuse `print`.
    fn has_enough_deaths(&self, print: QueryPrint, record: &DeathRecord) -> bool {
        let threshold = match self.last_success(print) {
            Some(_) => REFUSAL_DEATHS_PROVEN,
            None => REFUSAL_DEATHS,
        };
        record.deaths.len() >= threshold
    }

    fn last_success(&self, print: QueryPrint) -> Option<TimePoint> {
        let recent = self.proven.get(&print);
        recent.or_else(|| self.proven_previous.get(&print)).copied()
    }

    /// Applies the end of a record: a refused query becomes suspect, a suspect one is forgotten.
    fn expire(&mut self, now: TimePoint, print: QueryPrint) {
        let Some(record) = self.records.get_mut(&print) else {
            return;
        };
        if now < record.expires_at {
            return;
        }
        let refused = record.deaths.len() >= REFUSAL_DEATHS;
        if refused && now < record.expires_at + QUARANTINE_PERIOD {
            record.deaths.truncate(1);
            record.expires_at = record.expires_at + QUARANTINE_PERIOD;
            return;
        }
        self.records.remove(&print);
    }

    fn add_deaths(
        &mut self,
        now: TimePoint,
        print: QueryPrint,
        deaths: &[VmName],
        expires_at: TimePoint,
    ) {
        self.expire(now, print);
        self.evict_for(now, print);
        let record = self.records.entry(print).or_insert(DeathRecord {
            deaths: Vec::new(),
            reported_at: None,
            last_death: now,
            expires_at,
        });
        record.last_death = now;
        record.expires_at = record.expires_at.max(expires_at);
        for vm in deaths {
            if record.deaths.len() < DEATHS_MAX && !record.deaths.contains(vm) {
                record.deaths.push(vm.clone());
            }
        }
    }

    /// Makes room for `print`: removes the records that have expired, or else the one with the
    /// least evidence, and of those the one that expires first.
    fn evict_for(&mut self, now: TimePoint, print: QueryPrint) {
        if self.records.len() < RECORDS_MAX || self.records.contains_key(&print) {
            return;
        }
        self.records.retain(|_, record| now < record.expires_at);
        if self.records.len() < RECORDS_MAX {
            return;
        }
        let evidence = |(_, record): &(&QueryPrint, &DeathRecord)| {
            (record.deaths.len().min(REFUSAL_DEATHS), record.expires_at)
        };
        let weakest = self.records.iter().min_by_key(evidence);
        if let Some(print) = weakest.map(|(print, _)| *print) {
            self.records.remove(&print);
        }
    }
}
