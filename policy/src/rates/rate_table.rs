//! The rates at one daemon.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use schema::{
    DaemonName,
    FleetEntry,
    QueryId,
    TimePoint, //
};

use super::{
    ask_log::{
        AskLog,
        AskWindow, //
    },
    authority_choice::AuthorityChoice,
    fleet_writer::FleetWriter,
    key_state::{
        KeyState,
        WaitingQuery, //
    },
    rate_plan::{
        RatePlan,
        RateSupply, //
    },
    share_ledger::ShareLedger,
    RateAction,
    RateCounts,
    RateEvent,
    RateKey,
    RateLimit,
    RateMember,
    RateMessage,
    RateSettings,
    RateStamp,
    RateStatus, //
};

/// Time after which a request is decided without the authority.
const DECISION_MAX: Duration = Duration::from_millis(95);
/// Time after the creation of the first record in which shares come with full buckets.
const CREATION_PERIOD: Duration = Duration::from_secs(3);

/// Time between two credits of a share, in addition to the longest window.
const CREDIT_MARGIN: Duration = Duration::from_secs(1);

/// Whether a request may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateAdmission {
    /// It may.
    Admitted,
    /// It waits; [`RateAction::Decided`] follows.
    Pending,
    /// The rate is used up.
    Refused {
        /// Time after which there is room.
        retry_after: Duration,
    },
}

/// The daemon that is asked for tokens.
#[derive(Clone, Debug)]
pub(super) struct AuthorityContact {
    pub(super) daemon: DaemonName,
    pub(super) chosen_at: TimePoint,
    /// When it answered last.
    pub(super) answered_at: Option<TimePoint>,
    /// The stamp of that answer.
    pub(super) stamp: Option<RateStamp>,
    pub(super) asked_at: TimePoint,
    /// Questions since the last answer.
    pub(super) unanswered: u32,
    /// When it is asked even if no tokens are needed.
    pub(super) next_hello: TimePoint,
}

/// The rates at one daemon.
#[derive(Clone, Debug)]
pub struct RateTable {
    pub(super) settings: RateSettings,
    pub(super) started_at: Option<TimePoint>,
    pub(super) ledger: ShareLedger,
    pub(super) choice: AuthorityChoice,
    pub(super) writer: FleetWriter,
    /// `None` while this daemon is the authority itself.
    pub(super) authority: Option<AuthorityContact>,
    /// Whether another authority follows when the pledge to the present one, which still answers, has ended.
    pub(super) moves: bool,
    /// When another daemon pledged its share last.
    pub(super) pledged_at: TimePoint,
    /// Whether the authority has to be chosen anew.
    pub(super) choice_is_due: bool,
    pub(super) keys: BTreeMap<RateKey, KeyState>,
    /// Rates with requests that wait, or for which a token is asked in the background.
    pub(super) busy: BTreeSet<RateKey>,
    /// Rates with recent requests.
    pub(super) active: BTreeSet<RateKey>,
    pub(super) asks: AskLog,
    pub(super) windows: BTreeMap<DaemonName, AskWindow>,
    /// Requests that waited for a rate that has no limit any more.
    unlimited: Vec<QueryId>,
    /// Daemons whose shares came with full buckets, and until when others do.
    credited: BTreeSet<DaemonName>,
    created_until: TimePoint,
    pub(super) counts: RateCounts,
    pub(super) logged: Vec<RateEvent>,
}

impl Default for RateTable {
    fn default() -> Self {
        Self::new(RateSettings::default())
    }
}

impl RateTable {
    /// A table without limits.
    pub fn new(settings: RateSettings) -> Self {
        Self {
            started_at: None,
            ledger: ShareLedger::new(settings.daemon.clone(), settings.incarnation),
            choice: AuthorityChoice::new(&settings),
            writer: FleetWriter::default(),
            authority: None,
            moves: false,
            pledged_at: TimePoint(0),
            choice_is_due: true,
            keys: BTreeMap::new(),
            busy: BTreeSet::new(),
            active: BTreeSet::new(),
            asks: AskLog::default(),
            windows: BTreeMap::new(),
            unlimited: Vec::new(),
            credited: BTreeSet::new(),
            created_until: TimePoint(0),
            counts: RateCounts::default(),
            logged: Vec::new(),
            settings,
        }
    }

    /// Replaces the limits of the accounts.
    pub fn set_limits(&mut self, now: TimePoint, limits: Vec<(RateKey, RateLimit)>) {
        let kept: BTreeSet<RateKey> = limits.iter().map(|(key, _)| *key).collect();
        let is_removed =
            |key: &&RateKey| matches!(key, RateKey::Account(_)) && !kept.contains(*key);
        let removed: Vec<RateKey> = self.keys.keys().filter(is_removed).copied().collect();
        for key in removed {
            self.set_limit(now, key, None);
        }
        for (key, limit) in limits {
            self.set_limit(now, key, Some(limit));
        }
    }

    /// Sets or removes the limit of one rate. A lower limit holds at once, also for tokens that exist.
    pub fn set_limit(&mut self, now: TimePoint, key: RateKey, limit: Option<RateLimit>) {
        let Some(limit) = limit else {
            if let Some(state) = self.keys.remove(&key) {
                let waiting = state.waiting.iter().map(|waiting| waiting.query);
                self.unlimited.extend(waiting);
            }
            self.busy.remove(&key);
            self.active.remove(&key);
            if self.keys.is_empty() {
                self.authority = None;
                self.choice_is_due = true;
            }
            return;
        };
        self.settle(now);
        let plan = RatePlan::new(key, limit);
        let supply = self.ledger.supply();
        let state = self
            .keys
            .entry(key)
            .or_insert_with(|| KeyState::new(now, plan));
        if state.plan == plan {
            return;
        }
        state.bucket.settle(now, &state.plan, supply);
        if plan.rate < state.plan.rate || plan.depth < state.plan.depth {
            state.stock.clear();
        }
        state.plan = plan;
        state.bucket.clamp(&plan, supply);
        state.exhausted_until = TimePoint(0);
        state.token_at = TimePoint(0);
    }

    /// Sets the other daemons that are alive and share rates.
    pub fn set_members(&mut self, now: TimePoint, members: Vec<RateMember>) {
        self.settle(now);
        let others = self.choice.others();
        let known = members
            .iter()
            .all(|member| self.choice.is_member(&member.daemon));
        self.choice.set_members(now, &members);
        if !known || others != self.choice.others() {
            self.writer.on_members(now);
        }
        let supply = self.ledger.supply();
        self.settle_buckets(now, supply);
        self.ledger.set_others(now, self.choice.others());
        self.clamp_buckets();
        self.choice_is_due = true;
    }

    /// Takes the record of the fleet over.
    pub fn set_fleet(&mut self, now: TimePoint, entry: FleetEntry) {
        self.settle(now);
        let supply = self.ledger.supply();
        let created = self.ledger.latest().is_none() && self.writer.has_created(&entry.record);
        self.settle_buckets(now, supply);
        let (version, daemons) = (entry.record.version, entry.record.daemons.len());
        if !self.ledger.set_record(now, entry) {
            return;
        }
        self.choice_is_due = true;
        self.clamp_buckets();
        self.logged.push(RateEvent::FleetChanged {
            version,
            daemons,
            listed: self.ledger.is_listed(),
        });
        if created {
            self.created_until = now + CREATION_PERIOD;
            let supply = self.ledger.supply();
            for state in self.keys.values_mut() {
                let tokens = state.plan.created * supply.share;
                state.bucket.add(tokens, &state.plan, supply);
            }
        }
    }

    /// Notes that the record was the latest one at `at`: the directory has that age.
    pub fn confirm_fleet(&mut self, now: TimePoint, at: TimePoint) {
        self.settle(now);
        self.ledger.confirm(now, at);
    }

    /// Asks for one request of `key`. Keys without a limit are always admitted. A request that waits is decided
    /// within 100 ms.
    pub fn request(&mut self, now: TimePoint, key: RateKey, query: QueryId) -> RateAdmission {
        if self.keys.is_empty() {
            return RateAdmission::Admitted;
        }
        if self.take(now, key) {
            self.counts.admitted += 1;
            return RateAdmission::Admitted;
        }
        let asks = self.authority.is_some();
        let Some(state) = self.keys.get_mut(&key) else {
            return RateAdmission::Admitted;
        };
        if !asks || state.exhausted_until > now {
            self.counts.refused += 1;
            let supply = self.ledger.supply();
            let retry_after = match asks {
                true => state.retry_after(now),
                false => state.bucket.wait(&state.plan, supply),
            };
            return RateAdmission::Refused { retry_after };
        }
        state.waiting.push_back(WaitingQuery {
            query,
            decide_at: now + DECISION_MAX,
            ask_at: now,
        });
        self.busy.insert(key);
        self.counts.waited += 1;
        RateAdmission::Pending
    }

    /// Takes a request of `key` if this daemon may make one now. Never waits; if it may not, a token for a
    /// later request is asked for.
    pub fn try_take(&mut self, now: TimePoint, key: RateKey) -> bool {
        if self.keys.is_empty() || self.take(now, key) {
            self.counts.admitted += u64::from(!self.keys.is_empty());
            return true;
        }
        let Some(state) = self.keys.get_mut(&key) else {
            return true;
        };
        self.counts.refused += 1;
        if self.authority.is_some() && state.exhausted_until <= now && !state.missed {
            state.missed = true;
            state.ask_at = state.ask_at.max(now);
            self.busy.insert(key);
        }
        false
    }

    /// Gives back a request that was admitted and did not run.
    pub fn give_back(&mut self, now: TimePoint, key: RateKey) {
        if let Some(state) = self.keys.get_mut(&key) {
            state.stock.give_back(now);
        }
    }

    /// Drops tokens and pledges that may have expired while the machine was suspended for `period`.
    pub fn on_suspended(&mut self, now: TimePoint, period: Duration) {
        self.settle(now);
        let supply = self.ledger.supply();
        self.settle_buckets(now, supply);
        self.ledger.on_suspended(now, period);
        self.clamp_buckets();
        self.asks.clear();
        for state in self.keys.values_mut() {
            state.stock.clear();
        }
        if let Some(contact) = &mut self.authority {
            contact.stamp = None;
            contact.next_hello = now;
        }
        let period_ms = u64::try_from(period.as_millis()).unwrap_or(u64::MAX);
        self.logged.push(RateEvent::Suspended { period_ms });
    }

    /// Handles a message of the daemon `from`.
    pub fn on_message(
        &mut self,
        now: TimePoint,
        from: &DaemonName,
        message: &RateMessage,
        actions: &mut Vec<RateAction>,
    ) {
        self.settle(now);
        match message.answers {
            true => self.on_answer(now, from, message, actions),
            false => self.on_ask(now, from, message, actions),
        }
    }

    /// Carries out what is due.
    pub fn on_timer(&mut self, now: TimePoint, actions: &mut Vec<RateAction>) {
        for query in std::mem::take(&mut self.unlimited) {
            let admission = RateAdmission::Admitted;
            actions.push(RateAction::Decided { query, admission });
        }
        if !self.keys.is_empty() {
            self.settle(now);
            self.choose_authority(now);
            self.send_asks(now, actions);
            self.decide_overdue(now, actions);
            self.write_fleet(now, actions);
        }
        actions.extend(self.logged.drain(..).map(RateAction::Log));
    }

    /// When [`Self::on_timer`] has to be called.
    pub fn next_wakeup(&self) -> TimePoint {
        if !self.unlimited.is_empty() || (!self.logged.is_empty() && !self.keys.is_empty()) {
            return TimePoint(0);
        }
        if self.keys.is_empty() {
            return TimePoint::NEVER;
        }
        if self.choice_is_due {
            return TimePoint(0);
        }
        let mut next = self.choice.next_wakeup().min(self.writer.next_check());
        for key in &self.busy {
            if let Some(state) = self.keys.get(key) {
                next = next.min(state.next_due());
            }
        }
        if let Some(contact) = &self.authority {
            next = next.min(self.hello_due(contact));
        }
        next
    }

    /// Counters since the start.
    pub fn counts(&self) -> RateCounts {
        self.counts
    }

    /// The daemon that issues the tokens of this one.
    pub fn authority(&self) -> &DaemonName {
        let contact = self.authority.as_ref();
        contact.map_or(&self.settings.daemon, |contact| &contact.daemon)
    }

    /// Share of all rates that this daemon may issue.
    pub fn share(&self) -> f64 {
        self.ledger.supply().share
    }

    /// Number of daemons that have pledged their shares to this one.
    pub fn pledged_count(&self) -> usize {
        self.ledger.pledged_count()
    }

    /// Number of rates that have a limit.
    pub fn limit_count(&self) -> usize {
        self.keys.len()
    }

    /// One rate as this daemon sees it; `None` if it has no limit.
    pub fn status(&self, now: TimePoint, key: RateKey) -> Option<RateStatus> {
        let state = self.keys.get(&key)?;
        let answered_at = self.authority.as_ref().map(|contact| contact.answered_at);
        Some(RateStatus {
            per_second: state.plan.limit.per_second,
            burst: state.plan.limit.burst,
            demand: state.demand(now),
            tokens: state.bucket.level() + state.stock.len() as f64,
            authority: self.authority().clone(),
            age: answered_at.map_or(Duration::ZERO, |at| now.since(at.unwrap_or_default())),
            share: self.share(),
        })
    }

    /// Brings the shares up to `now`.
    pub(super) fn settle(&mut self, now: TimePoint) {
        if self.started_at.is_none() {
            self.started_at = Some(now);
            self.ledger.start(now);
            self.choice.start(now);
            self.writer.on_members(now);
        }
        loop {
            let changes_at = self.ledger.next_change();
            if changes_at > now {
                return;
            }
            let before = self.ledger.supply();
            self.settle_buckets(changes_at, before);
            self.ledger.update(changes_at);
            if self.ledger.supply() != before {
                self.clamp_buckets();
            }
            // The own share has come back to this daemon, which is the authority.
            let is_own = self.authority.is_none() && self.ledger.is_own(changes_at);
            if is_own
                && self
                    .ledger
                    .take_credit(changes_at, None, self.credit_period())
            {
                self.add_credit();
            }
        }
    }

    /// Time in which each share comes with a credit once.
    pub(super) fn credit_period(&self) -> Duration {
        let windows = self.keys.values().map(|state| state.plan.limit.window);
        windows.max().unwrap_or_default() + CREDIT_MARGIN
    }

    /// Adds the tokens until `now` to all buckets.
    pub(super) fn settle_buckets(&mut self, now: TimePoint, supply: RateSupply) {
        for state in self.keys.values_mut() {
            state.bucket.settle(now, &state.plan, supply);
        }
    }

    /// Drops tokens that the shares no longer cover.
    pub(super) fn clamp_buckets(&mut self) {
        let supply = self.ledger.supply();
        for state in self.keys.values_mut() {
            state.bucket.clamp(&state.plan, supply);
        }
    }

    /// Fills the part of the buckets that the new share of `daemon` adds, if the fleet has just been created.
    pub(super) fn credit_created(&mut self, now: TimePoint, daemon: &DaemonName) {
        if now >= self.created_until || !self.credited.insert(daemon.clone()) {
            return;
        }
        let supply = self.ledger.supply();
        let unit = self.ledger.unit();
        for state in self.keys.values_mut() {
            let tokens = state.plan.created * unit;
            state.bucket.add(tokens, &state.plan, supply);
        }
    }

    /// Uses a token, or takes one from this daemon's own bucket.
    fn take(&mut self, now: TimePoint, key: RateKey) -> bool {
        self.settle(now);
        let Some(state) = self.keys.get_mut(&key) else {
            return true;
        };
        state.record_demand(now);
        self.active.insert(key);
        let supply = self.ledger.supply();
        state.take(now, supply, self.settings.incarnation)
    }
}
