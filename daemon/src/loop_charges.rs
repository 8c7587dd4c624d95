//! Answers on their way out, and their charges.

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
    events, log_event,
    loop_event::{
        ArrivedCall,
        CallerAnswer,
        StoreUser, //
    },
    running_call::RunningCall,
};

/// Charge state of an answer that costs nothing.
const UNCHARGED: &str = "none";
/// When to ask again while charges wait for the store, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

impl DaemonCore {
    /// Charges an answer and hands it over; an answer that costs nothing leaves at once.
    pub(crate) fn charge(&mut self, now: TimePoint, query: QueryId, answer: QueryAnswer) {
        // Without its caller an answer is not handed over, and so not charged.
        let Some(call) = self.calls.get_mut(&query) else {
            return;
        };
        let units = answer.charge;
        if units == ChargeUnits(0) || self.charges.is_none() {
            let state = match units {
                ChargeUnits(0) => UNCHARGED,
                _ => "uncopied",
            };
            self.hand_over(now, query, answer, state);
            return;
        }
        let event = ChargeEvent::Charge {
            query,
            token: call.token,
            user: call.user.clone(),
            units,
        };
        call.ready = Some(answer);
        self.tell_charges(now, event);
    }

    /// Tells the ledger of an event and does what it asks.
    pub(crate) fn tell_charges(&mut self, now: TimePoint, event: ChargeEvent) {
        let mut actions = Vec::new();
        if let Some(ledger) = &mut self.charges {
            ledger.on_event(now, event, &mut actions);
        }
        for action in actions {
            match action {
                ChargeAction::DeliverAnswer { query, state } => self.release(now, query, state),
                ChargeAction::Store { call, request } => {
                    self.call_store(StoreUser::Charges, call, request);
                }
                ChargeAction::SendCopy { peer, call } => self.send_copy(peer, call),
                ChargeAction::ReplyCopy { reply_to, reply } => {
                    self.reply_peer(reply_to, Body::CopyReply(reply));
                }
                ChargeAction::NotifyStored { peer, call } => {
                    self.tell_peer(&peer, Body::StoredCall(call));
                }
            }
        }
        self.note_full();
    }

    /// Passes a peer's answer to a copy on to the ledger.
    pub(crate) fn take_copy(&mut self, now: TimePoint, peer: DaemonName, reply: Option<CopyReply>) {
        let event = match reply {
            Some(reply) => ChargeEvent::CopyReplied { peer, reply },
            None => ChargeEvent::CopyFailed { peer },
        };
        self.tell_charges(now, event);
    }

    /// Refuses a request where no more charges can be held; gives it back otherwise.
    pub(crate) fn refuse_if_full(&self, arrived: ArrivedCall) -> Option<ArrivedCall> {
        if !self.charges_full {
            return Some(arrived);
        }
        let retry = std::time::Duration::from_millis(FULL_RETRY_MS);
        let version = self
            .spec
            .as_ref()
            .map_or(BundleVersion(0), |spec| spec.version);
        let answer = QueryAnswer::not_run(QueryReason::ChargesFull, Some(retry), version);
        let handed = CallerAnswer {
            answer,
            charge: UNCHARGED,
        };
        let _ = arrived.answer.send(handed);
        None
    }

    /// The token of a request's charge.
    pub(crate) fn token_of(arrived: &ArrivedCall) -> ChargeToken {
        let call = &arrived.call;
        ChargeToken::for_request(
            &call.group,
            &call.user,
            &call.request,
            call.once_key.as_ref(),
        )
    }

    /// Whether every charge is where it outlasts this daemon. The mark that ends its segments is
    /// not waited for while the store is down.
    pub(crate) fn charges_drained(&self) -> bool {
        let Some(ledger) = &self.charges else {
            return true;
        };
        let only_mark = ledger.waiting_count() == 0 && self.store_up == Some(false);
        ledger.is_drained() || only_mark
    }

    /// Says which charges a stop that reached its bound leaves behind.
    pub(crate) fn note_lost(&self) {
        let waiting = self
            .charges
            .as_ref()
            .map_or(0, |ledger| ledger.waiting_count());
        if waiting > 0 && !self.charges_drained() {
            log_event!(self.log, events::CHARGES_LOST, "charges" => waiting);
        }
    }

    fn release(&mut self, now: TimePoint, query: QueryId, state: CopyState) {
        let call = self.calls.get_mut(&query);
        let Some(answer) = call.and_then(|call| call.ready.take()) else {
            return;
        };
        let state = match state {
            CopyState::Copied => "copied",
            CopyState::Uncopied => "uncopied",
        };
        self.metrics.charged_units.inc_by(answer.charge.0);
        self.hand_over(now, query, answer, state);
    }

    fn note_full(&mut self) {
        let full = self.charges.as_ref().is_some_and(|ledger| ledger.is_full());
        if full && !self.charges_full {
            let bytes = self
                .charges
                .as_ref()
                .map_or(0, |ledger| ledger.waiting_bytes());
            log_event!(self.log, events::CHARGES_FULL, "bytes" => bytes);
        }
        self.charges_full = full;
    }

    /// What the loop remembers of a request.
    pub(crate) fn remember(&mut self, query: QueryId, call: RunningCall) {
        self.calls.insert(query, call);
        self.metrics.in_flight.set(self.calls.len() as i64);
    }
}
