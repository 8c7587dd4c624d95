//! What the loop does with the store.

use std::sync::Arc;

use policy::{
    bundle::{
        BundleError,
        OfferOutcome, //
    },
    charges::ChargeEvent,
    claims::{
        ClaimAction,
        ClaimEvent, //
    },
    engine::EngineEvent,
    peers::PeerEvent,
    store::{
        StoreCall,
        StoreReply, //
    }, //
};
use schema::{
    bundle::SignedBundle,
    DeploymentSpec,
    TimePoint, //
};
use tokio::task::spawn_local;

use crate::{
    daemon_core::DaemonCore,
    events,
    head_repair::repair_head,
    log_event,
    loop_event::{
        LoopEvent,
        StoreUser, //
    },
};

impl DaemonCore {
    /// Offers a bundle to the chain and puts it in force where the chain accepts it.
    pub(crate) fn offer_bundle(&mut self, now: TimePoint, signed: &SignedBundle) {
        match self.chain.offer(signed) {
            Ok(OfferOutcome::Unchanged) => {}
            Ok(OfferOutcome::Accepted) => {
                let held = self.chain.in_force().cloned();
                if let Some(held) = held {
                    let applied = PeerEvent::BundleApplied {
                        version: held.spec.version,
                        digest: held.digest.prefix(),
                    };
                    self.apply_bundle(now, Arc::new(held.spec.clone()));
                    self.tell_peers(now, applied);
                }
            }
            Err(refusal) => {
                log_event!(self.log, events::BUNDLE_REFUSED, "reason" => %refusal);
                if matches!(refusal, BundleError::LowerVersion { .. }) {
                    self.repair_store();
                }
            }
        }
    }

    /// Puts the version in force back into a store that lost it.
    pub(crate) fn repair_store(&self) {
        let held = self.chain.in_force().cloned();
        if let (Some(held), Some(client)) = (held, self.store.clone()) {
            spawn_local(repair_head(client, held, self.log.clone()));
        }
    }

    /// Puts a bundle in force.
    pub(crate) fn apply_bundle(&mut self, now: TimePoint, spec: Arc<DeploymentSpec>) {
        let mut actions = Vec::new();
        self.engine.apply_bundle(now, spec.clone(), &mut actions);
        self.claims.apply_bundle(&spec);
        self.metrics.bundle_version.set(spec.version.0 as i64);
        self.spec = Some(spec);
        self.publish();
        self.execute(now, actions);
        self.check_equipped();
    }

    /// Tells the claim manager of an event and does what it asks.
    pub(crate) fn tell_claims(&mut self, now: TimePoint, event: ClaimEvent) {
        let mut actions = Vec::new();
        self.claims.on_event(now, event, &mut actions);
        for action in actions {
            match action {
                ClaimAction::Store { call, request } => {
                    self.call_store(StoreUser::Claims, call, request);
                }
                ClaimAction::Settled { query, verdict } => {
                    self.tell(now, EngineEvent::ClaimSettled { query, verdict });
                }
            }
        }
    }

    /// Passes the store's answer on to whoever called.
    pub(crate) fn take_store_reply(
        &mut self,
        now: TimePoint,
        user: StoreUser,
        call: u64,
        reply: StoreReply,
    ) {
        self.store_up = Some(!reply.is_outage());
        match user {
            StoreUser::Claims => self.tell_claims(now, ClaimEvent::StoreReplied { call, reply }),
            StoreUser::Charges => self.tell_charges(now, ChargeEvent::StoreReplied { call, reply }),
        }
    }

    /// Calls the store; without one the call fails at once.
    pub(crate) fn call_store(&self, user: StoreUser, call: u64, request: StoreCall) {
        let events = self.events.clone();
        let Some(client) = self.store.clone() else {
            let reply = StoreReply::Failed;
            let _ = events.send(LoopEvent::StoreReplied { user, call, reply });
            return;
        };
        spawn_local(async move {
            let reply = client.call(request).await;
            let _ = events.send(LoopEvent::StoreReplied { user, call, reply });
        });
    }
}
