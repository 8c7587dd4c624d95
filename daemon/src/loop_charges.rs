//! Charges of answers: recording them, and holding each answer until its charge is safe.

use policy::{
    charges::{
        ChargeAction,
        ChargeEvent,
        ChargeToken,
        CopyState, //
    },
    engine::{
        QueryAnswer,
        QueryReason, //
    }, //
};
use schema::{
    peer::{
        stream_body::Body,
        CopyReply, //
    },
    BundleVersion,
    ChargeUnits,
    DaemonName,
    QueryId,
    TimePoint, //
};

use crate::{
    daemon_core::DaemonCore,
    events,
    log_event,
    loop_event::{
        ArrivedCall,
        CallOwner,
        CallerAnswer, //
    },
    running_call::RunningCall, //
};

/// Charge state of an answer that costs nothing, as the caller sees it.
const UNCHARGED: &str = "none";
/// Retry delay given to callers while the ledger is full, in milliseconds.
const LEDGER_FULL_RETRY_MS: u64 = 1_000;

impl DaemonCore {
    /// Records the charge of an answer and holds the answer until the ledger releases it. The
    /// answer is sent at once if it costs nothing or if the daemon has no store.
    pub(crate) fn charge_answer(&mut self, now: TimePoint, query: QueryId, answer: QueryAnswer) {
        // An answer whose caller has left is not delivered, and so it is not charged.
        let Some(call) = self.calls.get_mut(&query) else {
            return;
        };
        let units = answer.charge;
        if units == ChargeUnits(0) || self.ledger.is_none() {
            let state = match units {
                ChargeUnits(0) => UNCHARGED,
                _ => "uncopied",
            };
            self.send_answer(now, query, answer, state);
            return;
        }
        let event = ChargeEvent::Charge {
            query,
            token: call.token,
            user: call.user.clone(),
            units,
        };
        call.pending_answer = Some(answer);
        self.step_ledger(now, event);
    }

    /// Passes an event to the charge ledger, if there is one, and executes the ledger's actions.
    pub(crate) fn step_ledger(&mut self, now: TimePoint, event: ChargeEvent) {
        let mut actions = Vec::new();
        if let Some(ledger) = &mut self.ledger {
            ledger.on_event(now, event, &mut actions);
        }
        for action in actions {
            match action {
                ChargeAction::DeliverAnswer { query, state } => self.deliver(now, query, state),
                ChargeAction::Store { call, request } => {
                    self.call_store(CallOwner::Charges, call, request);
                }
                ChargeAction::SendCopy { peer, call } => self.send_copy(peer, call),
                ChargeAction::ReplyCopy { reply_to, reply } => {
                    self.reply_peer(reply_to, Body::CopyReply(reply));
                }
                ChargeAction::NotifyStored { peer, call } => {
                    self.notify_peer(&peer, Body::StoredCall(call));
                }
            }
        }
        self.update_charges_full();
    }

    /// Passes another daemon's reply to a copy of charges to the ledger.
    pub(crate) fn handle_copy_reply(
        &mut self,
        now: TimePoint,
        peer: DaemonName,
        reply: Option<CopyReply>,
    ) {
        let event = match reply {
            Some(reply) => ChargeEvent::CopyReplied { peer, reply },
            None => ChargeEvent::CopyFailed { peer },
        };
        self.step_ledger(now, event);
    }

    /// Refuses a request if the ledger is full; returns it otherwise.
    pub(crate) fn refuse_if_full(&self, arrived: ArrivedCall) -> Option<ArrivedCall> {
        if !self.charges_full {
            return Some(arrived);
        }
        let retry_after = std::time::Duration::from_millis(LEDGER_FULL_RETRY_MS);
        let version = self
            .spec
            .as_ref()
            .map_or(BundleVersion(0), |spec| spec.version);
        let answer = QueryAnswer::not_run(QueryReason::ChargesFull, Some(retry_after), version);
        let caller_answer = CallerAnswer {
            answer,
            charge: UNCHARGED,
        };
        let _ = arrived.answer.send(caller_answer);
        None
    }

    /// Token of a request's charge; equal for repeats of the same request.
    pub(crate) fn charge_token(arrived: &ArrivedCall) -> ChargeToken {
        let call = &arrived.call;
        ChargeToken::for_request(
            &call.group,
            &call.user,
            &call.request,
            call.once_key.as_ref(),
        )
    }

    /// Whether no charge is lost if this daemon ends now. The mark that ends its segments is not
    /// waited for while the store is down.
    pub(crate) fn charges_drained(&self) -> bool {
        let Some(ledger) = &self.ledger else {
            return true;
        };
        let only_end_mark_missing = ledger.waiting_count() == 0 && self.store_up == Some(false);
        ledger.is_drained() || only_end_mark_missing
    }

    /// Logs the number of charges that a stop cut short leaves unsaved.
    pub(crate) fn log_lost_charges(&self) {
        let waiting = self
            .ledger
            .as_ref()
            .map_or(0, |ledger| ledger.waiting_count());
        if waiting > 0 && !self.charges_drained() {
            log_event!(self.log, events::CHARGES_LOST, "charges" => waiting);
        }
    }

    fn deliver(&mut self, now: TimePoint, query: QueryId, state: CopyState) {
        let call = self.calls.get_mut(&query);
        let Some(answer) = call.and_then(|call| call.pending_answer.take()) else {
            return;
        };
        let state = match state {
            CopyState::Copied => "copied",
            CopyState::Uncopied => "uncopied",
        };
        self.metrics.charged_units.inc_by(answer.charge.0);
        self.send_answer(now, query, answer, state);
    }

    fn update_charges_full(&mut self) {
        let full = self.ledger.as_ref().is_some_and(|ledger| ledger.is_full());
        if full && !self.charges_full {
            let bytes = self
                .ledger
                .as_ref()
                .map_or(0, |ledger| ledger.waiting_bytes());
            log_event!(self.log, events::CHARGES_FULL, "bytes" => bytes);
        }
        self.charges_full = full;
    }

    /// Adds a request to those in flight.
    pub(crate) fn insert_call(&mut self, query: QueryId, call: RunningCall) {
        self.calls.insert(query, call);
        self.metrics.in_flight.set(self.calls.len() as i64);
    }
}
