//! Answers to the questions of other daemons, and the record of the fleet.

use std::time::Duration;

use schema::{
    DaemonName,
    TimePoint, //
};

use super::{
    RateAction,
    RateEntry,
    RateEvent,
    RateMessage,
    RateStamp,
    RateTable, //
};

/// Part of a bucket that is kept for requests that wait; only the rest is issued for later ones. With 0.3, a calm
/// fleet of 77 daemons refused 0.17 instead of 0.02 in 100 requests within the rate, and no fewer had to wait.
const KEPT_SHARE: f64 = 0.5;
/// Time for which a daemon does not ask again for a rate that is used up: this, and so much for each daemon of
/// the fleet, so that all together ask at most 500 times a second.
const EXHAUSTED_MIN: Duration = Duration::from_millis(100);
const EXHAUSTED_EACH: Duration = Duration::from_millis(2);
/// The same for this time after another daemon has pledged its share: more may follow.
const RAMP_WAIT: Duration = Duration::from_millis(25);
const RAMP_PERIOD: Duration = Duration::from_millis(300);
/// The same for a rate that this daemon does not know.
const UNKNOWN_WAIT: Duration = Duration::from_millis(200);
/// Time after which the numbers of a daemon's questions are forgotten. It is longer than its tokens are valid.
const WINDOW_MEMORY: Duration = Duration::from_secs(120);
/// Number of daemons from which on such windows are looked for.
const WINDOWS_KEPT: usize = 64;
/// Age of the directory up to which daemons are removed from the record.
const REMOVAL_AGE_MAX: Duration = Duration::from_secs(10);

impl RateTable {
    /// Answers a question.
    pub(super) fn on_ask(
        &mut self,
        now: TimePoint,
        from: &DaemonName,
        message: &RateMessage,
        actions: &mut Vec<RateAction>,
    ) {
        if self.windows.len() > WINDOWS_KEPT.max(2 * self.ledger.daemons()) {
            self.windows
                .retain(|_, window| now.since(window.asked_at()) < WINDOW_MEMORY);
        }
        let window = self.windows.entry(from.clone()).or_default();
        if !window.accept(now, message.incarnation, message.sequence) {
            return;
        }
        if let Some(stamp) = &message.stamp {
            let before = self.ledger.supply();
            if self.settle_for_pledge(now, from, stamp, before) && message.credit {
                self.add_credit();
            }
        }
        let mut entries = Vec::new();
        for entry in &message.entries {
            entries.extend(self.grant(now, entry));
        }
        let period = self.ledger.pledge_period();
        self.counts.answers += 1;
        let answer = RateMessage {
            sequence: message.sequence,
            answers: true,
            incarnation: message.incarnation,
            credit: false,
            stamp: Some(RateStamp {
                incarnation: self.settings.incarnation,
                time: now,
                period_ms: u32::try_from(period.as_millis()).unwrap_or(u32::MAX),
            }),
            entries,
        };
        let (to, message) = (from.clone(), answer);
        actions.push(RateAction::Send { to, message });
    }

    fn settle_for_pledge(
        &mut self,
        now: TimePoint,
        from: &DaemonName,
        stamp: &RateStamp,
        before: super::rate_plan::RateSupply,
    ) -> bool {
        if !self.ledger.has_pledge(from) {
            self.settle_buckets(now, before);
        }
        let is_new = self.ledger.take_pledge(now, from, stamp);
        if is_new {
            self.pledged_at = now;
            self.credit_created(now, from);
        }
        is_new
    }

    /// Adds the credit of one share to all buckets.
    pub(super) fn add_credit(&mut self) {
        let (supply, unit) = (self.ledger.supply(), self.ledger.unit());
        for state in self.keys.values_mut() {
            let tokens = state.plan.credit * unit;
            state.bucket.add(tokens, &state.plan, supply);
        }
    }

    /// What is issued of one rate; `None` if the other daemon expects no answer.
    fn grant(&mut self, now: TimePoint, asked: &RateEntry) -> Option<RateEntry> {
        let mut entry = RateEntry::new(asked.key);
        let Some(state) = self.keys.get_mut(&asked.key) else {
            entry.wait_ms = millis(UNKNOWN_WAIT);
            return (asked.needed > 0).then_some(entry);
        };
        let supply = self.ledger.supply();
        let plan = state.plan;
        state.bucket.settle(now, &plan, supply);
        let bucket = &mut state.bucket;
        bucket.take_back(now, &plan, supply, asked.returned);
        let needed = bucket.take(now, &plan, supply, (asked.needed, 0.0));
        let spare = bucket.take(now, &plan, supply, (asked.spare, KEPT_SHARE));
        entry.granted = needed + spare;
        self.counts.granted += u64::from(entry.granted);
        if needed < asked.needed {
            let daemons = u32::try_from(self.ledger.daemons()).unwrap_or(u32::MAX);
            let least = EXHAUSTED_MIN + EXHAUSTED_EACH.saturating_mul(daemons);
            entry.wait_ms = match now.since(self.pledged_at) < RAMP_PERIOD {
                true => millis(RAMP_WAIT),
                false => millis(state.bucket.wait(&plan, supply).max(least)),
            };
        }
        (entry.granted > 0 || entry.wait_ms > 0).then_some(entry)
    }

    /// Writes the record of the fleet, if it has to change and this daemon is the authority.
    pub(super) fn write_fleet(&mut self, now: TimePoint, actions: &mut Vec<RateAction>) {
        let writes = self.authority.is_none();
        let confirmed = self.ledger.is_confirmed(now, REMOVAL_AGE_MAX);
        let may_remove = confirmed && self.ledger.supply().share > 0.5;
        let latest = self.ledger.latest();
        let draft = self.writer.draft(
            now,
            &self.settings.daemon,
            &self.choice,
            latest,
            (writes, may_remove),
        );
        let Some(draft) = draft else {
            return;
        };
        self.logged.push(RateEvent::FleetWritten {
            version: draft.record.version,
            daemons: draft.record.daemons.len(),
            added: draft.added,
            removed: draft.removed,
        });
        actions.push(RateAction::WriteFleet {
            record: draft.record,
            expected_revision: draft.expected_revision,
        });
    }
}

fn millis(period: Duration) -> u32 {
    u32::try_from(period.as_millis()).unwrap_or(u32::MAX).max(1)
}
