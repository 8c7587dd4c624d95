//! Questions to the authority, and what follows from its answers.

use std::time::Duration;

use schema::{
    DaemonName,
    TimePoint, //
};

use super::{
    key_state::KeyState,
    rate_table::AuthorityContact,
    RateAction,
    RateAdmission,
    RateEntry,
    RateEvent,
    RateKey,
    RateMessage,
    RateTable, //
};

/// Time after which a question for a request that waits is repeated.
const ASK_REPEAT: Duration = Duration::from_millis(40);
/// The same for one that only renews the pledge.
const HELLO_REPEAT: Duration = Duration::from_millis(100);
/// Time without an answer after which an authority that has never answered is given up.
const FIRST_PATIENCE: Duration = Duration::from_millis(450);
/// Questions without an answer after which an authority may be given up.
const UNANSWERED_MIN: u32 = 3;
/// Part of a pledge's period after which it is renewed.
const RENEWAL_SHARE: f64 = 0.25;
/// Part of a pledge's period without an answer after which the authority is given up.
const PATIENCE_SHARE: f64 = 0.9;
/// Tokens that expire within this time after the next renewal are renewed.
const EXPIRY_MARGIN: Duration = Duration::from_millis(20);
/// Time for which a new authority is not asked for tokens until it has answered.
const FIRST_WAIT: Duration = Duration::from_millis(60);
/// Longest time that an authority names to which shares are just being pledged. Requests wait for it.
const RAMP_WAIT_MAX: Duration = Duration::from_millis(30);
/// Longest time for which a daemon does not ask for a rate that is used up.
const EXHAUSTED_MAX: Duration = Duration::from_secs(1);

impl RateTable {
    /// Interval at which pledges are renewed.
    fn renewal_interval(&self) -> Duration {
        self.ledger.pledge_period().mul_f64(RENEWAL_SHARE)
    }

    /// When the authority has to be asked even if no tokens are needed, or is given up.
    pub(super) fn hello_due(&self, contact: &AuthorityContact) -> TimePoint {
        contact.next_hello
    }

    /// Chooses the authority, if that is due.
    pub(super) fn choose_authority(&mut self, now: TimePoint) {
        let mut cause = "members";
        if let Some(contact) = &self.authority {
            let patience = match contact.answered_at {
                Some(_) => self.ledger.pledge_period().mul_f64(PATIENCE_SHARE),
                None => FIRST_PATIENCE,
            };
            let since = contact.answered_at.unwrap_or(contact.chosen_at);
            if contact.unanswered >= UNANSWERED_MIN && now.since(since) >= patience {
                self.choice.mark_silent(now, &contact.daemon);
                self.choice_is_due = true;
                cause = "silent";
            }
        }
        let moves = self.moves && self.ledger.bound_to(now).is_none();
        if !self.choice_is_due && !moves && self.choice.next_wakeup() > now {
            return;
        }
        self.choice_is_due = false;
        self.moves = false;
        let recorded = self.ledger.latest().is_some();
        let pledged = 2 * self.ledger.pledged_count() > self.ledger.daemons();
        let chosen = self.choice.choose(now, recorded, pledged);
        let before = self.authority.as_ref().map(|contact| &contact.daemon);
        if chosen.as_ref() == before {
            return;
        }
        // While the share can't be pledged to another one, the present authority has the tokens.
        if cause == "members" && before.is_some() && self.ledger.bound_to(now) == before {
            let answers = self.authority.as_ref().is_some_and(|contact| {
                contact.unanswered < UNANSWERED_MIN && self.choice.is_member(&contact.daemon)
            });
            if answers {
                self.moves = true;
                let bound_until = self.ledger.bound_until();
                if let Some(contact) = &mut self.authority {
                    contact.next_hello = contact.next_hello.min(bound_until);
                }
                return;
            }
        }
        let before = Some(self.authority().clone());
        self.authority = chosen.map(|daemon| AuthorityContact {
            daemon,
            chosen_at: now,
            answered_at: None,
            stamp: None,
            asked_at: now,
            unanswered: 0,
            next_hello: now,
        });
        for state in self.keys.values_mut() {
            state.exhausted_until = TimePoint(0);
            state.token_at = TimePoint(0);
            for waiting in &mut state.waiting {
                waiting.ask_at = now;
            }
        }
        self.logged.push(RateEvent::AuthorityChosen {
            authority: self.authority().clone(),
            before,
            cause,
        });
    }

    /// Sends the questions that are due.
    pub(super) fn send_asks(&mut self, now: TimePoint, actions: &mut Vec<RateAction>) {
        for daemon in self.choice.take_checks(now) {
            self.send_ask(now, daemon, Vec::new(), actions);
        }
        // Without a record there are no shares to pledge.
        let Some(contact) = &self.authority else {
            return;
        };
        let (daemon, is_hello) = (contact.daemon.clone(), contact.next_hello <= now);
        let issuer = contact.stamp.map(|stamp| stamp.incarnation);
        let interval = self.renewal_interval();
        let mut entries = Vec::new();
        // The first question gets the stamp; tokens are asked for with the pledge.
        let is_first = issuer.is_none()
            && self.ledger.is_listed()
            && self.ledger.may_pledge(now, &daemon)
            && now.since(contact.chosen_at) < FIRST_WAIT;
        for key in self.busy.iter().filter(|_| !is_first) {
            let Some(state) = self.keys.get_mut(key) else {
                continue;
            };
            let needed = state.due_needs(now);
            if needed == 0 {
                continue;
            }
            for waiting in &mut state.waiting {
                if waiting.ask_at <= now {
                    waiting.ask_at = now + ASK_REPEAT;
                }
            }
            if state.missed {
                state.ask_at = now + ASK_REPEAT;
            }
            let mut entry = refill(now, *key, state, interval, issuer);
            entry.needed = needed;
            entries.push(entry);
        }
        if is_hello && !is_first {
            let keys = &self.keys;
            self.active
                .retain(|key| keys.get(key).is_some_and(|state| state.is_active(now)));
            for key in &self.active {
                let asked = entries.iter().any(|entry| entry.key == *key);
                let Some(state) = self.keys.get_mut(key).filter(|_| !asked) else {
                    continue;
                };
                let entry = refill(now, *key, state, interval, issuer);
                if entry.spare > 0 || entry.returned > 0 {
                    entries.push(entry);
                }
            }
        }
        if entries.is_empty() && !is_hello {
            return;
        }
        let mut rest = entries.as_slice();
        loop {
            let (chunk, later) = rest.split_at(rest.len().min(RateMessage::ENTRIES_MAX));
            self.send_ask(now, daemon.clone(), chunk.to_vec(), actions);
            rest = later;
            if rest.is_empty() {
                return;
            }
        }
    }

    fn send_ask(
        &mut self,
        now: TimePoint,
        to: DaemonName,
        entries: Vec<RateEntry>,
        actions: &mut Vec<RateAction>,
    ) {
        let interval = self.renewal_interval();
        let is_authority = self
            .authority
            .as_ref()
            .is_some_and(|contact| contact.daemon == to);
        let stamp = match is_authority && !self.moves {
            true => self.pledge(now),
            false => None,
        };
        let credit = stamp.is_some_and(|stamp| {
            let run = Some((to.clone(), stamp.incarnation));
            let period = self.credit_period();
            self.ledger.take_credit(now, run, period)
        });
        if let Some(contact) = self.authority.as_mut().filter(|_| is_authority) {
            contact.asked_at = now;
            contact.unanswered += 1;
            let repeat = match contact.unanswered {
                1 => interval.min(HELLO_REPEAT),
                _ => HELLO_REPEAT,
            };
            contact.next_hello = now + repeat;
        }
        self.counts.asks += 1;
        let message = RateMessage {
            sequence: self.asks.open(now, to.clone()),
            answers: false,
            incarnation: self.settings.incarnation,
            stamp,
            credit,
            entries,
        };
        actions.push(RateAction::Send { to, message });
    }

    /// The stamp with which the own share is pledged to the authority, if that is possible.
    fn pledge(&mut self, now: TimePoint) -> Option<super::RateStamp> {
        let contact = self.authority.as_ref()?;
        let (stamp, received_at) = (contact.stamp?, contact.answered_at?);
        if !self.ledger.is_listed() || !self.ledger.may_pledge(now, &contact.daemon) {
            return None;
        }
        let daemon = contact.daemon.clone();
        let before = self.ledger.supply();
        if self.ledger.bound_to(now).is_none() {
            self.settle_buckets(now, before);
        }
        let pledged = self.ledger.pledge(now, &daemon, &stamp, received_at);
        if self.ledger.supply() != before {
            self.clamp_buckets();
        }
        pledged.then_some(stamp)
    }

    /// Handles an answer of the authority.
    pub(super) fn on_answer(
        &mut self,
        now: TimePoint,
        from: &DaemonName,
        message: &RateMessage,
        actions: &mut Vec<RateAction>,
    ) {
        if message.incarnation != self.settings.incarnation {
            return;
        }
        let Some(asked) = self.asks.close(now, from, message.sequence) else {
            return;
        };
        if self.choice.record_answer(now, from) {
            self.choice_is_due = true;
        }
        let interval = self.renewal_interval();
        let issuer = message.stamp.map_or(0, |stamp| stamp.incarnation);
        let mut is_bound = self.ledger.bound_to(now) == Some(from);
        if let Some(contact) = &mut self.authority {
            if contact.daemon == *from && message.stamp.is_some() {
                let same_run = contact
                    .stamp
                    .is_some_and(|stamp| stamp.incarnation == issuer);
                is_bound &= same_run;
                contact.answered_at = Some(now);
                contact.stamp = message.stamp;
                contact.unanswered = 0;
                contact.next_hello = match is_bound {
                    true => contact.asked_at + interval,
                    // The first pledge follows at once.
                    false => now,
                };
            }
        }
        if !is_bound && !self.ledger.may_pledge(now, from) {
            if let Some(contact) = &mut self.authority {
                contact.next_hello = contact.next_hello.max(now + HELLO_REPEAT);
            }
        }
        if !self.ledger.is_listed() {
            if let Some(contact) = &mut self.authority {
                contact.next_hello = contact.next_hello.max(now + interval);
            }
        }
        for entry in &message.entries {
            let Some(state) = self.keys.get_mut(&entry.key) else {
                continue;
            };
            let expires_at = asked.asked_at + state.plan.validity;
            if expires_at > now {
                state.stock.add(entry.granted, expires_at, issuer);
            }
            if entry.granted > 0 {
                state.missed = false;
            }
            while let Some(waiting) = state.waiting.front().copied() {
                if !state.stock.take(now) {
                    break;
                }
                state.waiting.pop_front();
                self.counts.admitted += 1;
                let (query, admission) = (waiting.query, RateAdmission::Admitted);
                actions.push(RateAction::Decided { query, admission });
            }
            if entry.wait_ms == 0 {
                continue;
            }
            let wait = Duration::from_millis(u64::from(entry.wait_ms));
            if wait <= RAMP_WAIT_MAX {
                for waiting in &mut state.waiting {
                    waiting.ask_at = now + wait;
                }
                continue;
            }
            state.token_at = now + wait;
            state.exhausted_until = now + wait.min(EXHAUSTED_MAX);
            state.missed = false;
            for waiting in state.waiting.drain(..) {
                self.counts.refused += 1;
                let admission = RateAdmission::Refused { retry_after: wait };
                let query = waiting.query;
                actions.push(RateAction::Decided { query, admission });
            }
        }
    }

    /// Decides the requests that have waited too long, and all of them if this daemon is the authority.
    pub(super) fn decide_overdue(&mut self, now: TimePoint, actions: &mut Vec<RateAction>) {
        let supply = self.ledger.supply();
        let is_authority = self.authority.is_none();
        let incarnation = self.settings.incarnation;
        let keys = &mut self.keys;
        let counts = &mut self.counts;
        self.busy.retain(|key| {
            let Some(state) = keys.get_mut(key) else {
                return false;
            };
            state.missed &= !is_authority;
            state.bucket.settle(now, &state.plan, supply);
            while let Some(waiting) = state.waiting.front().copied() {
                if waiting.decide_at > now && !is_authority {
                    break;
                }
                state.waiting.pop_front();
                let admission = match state.take(now, supply, incarnation) {
                    true => {
                        counts.admitted += 1;
                        RateAdmission::Admitted
                    }
                    false => {
                        counts.refused += 1;
                        let retry_after = state.bucket.wait(&state.plan, supply);
                        RateAdmission::Refused { retry_after }
                    }
                };
                let query = waiting.query;
                actions.push(RateAction::Decided { query, admission });
            }
            state.missed || !state.waiting.is_empty()
        });
    }
}

/// The tokens that are kept for later requests: those that expire before the next renewal are returned, and
/// others asked for.
fn refill(
    now: TimePoint,
    key: RateKey,
    state: &mut KeyState,
    interval: Duration,
    issuer: Option<u64>,
) -> RateEntry {
    let mut entry = RateEntry::new(key);
    let period = interval + EXPIRY_MARGIN;
    let target = state.stock_target(now, period);
    if let Some(issuer) = issuer {
        entry.returned = state.stock.return_expiring(now, now + period, issuer);
    }
    let held = state.stock.count(now);
    entry.spare = u32::try_from(target.saturating_sub(held)).unwrap_or(0);
    entry
}
