//! Bundles, claims and the calls to the store.

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
        CallOwner,
        LoopEvent, //
    },
};

impl DaemonCore {
    /// Checks a bundle against the chain of accepted bundles and puts it in force if it passes.
    pub(crate) fn offer_bundle(&mut self, now: TimePoint, signed: &SignedBundle) {
        match self.chain.offer(signed) {
            Ok(OfferOutcome::Unchanged) => {}
            Ok(OfferOutcome::Accepted) => {
                let active = self.chain.in_force().cloned();
                if let Some(active) = active {
                    let event = PeerEvent::BundleApplied {
                        version: active.spec.version,
                        digest: active.digest.prefix(),
                    };
                    self.apply_bundle(now, Arc::new(active.spec.clone()));
                    self.step_peers(now, event);
                }
            }
            Err(refusal) => {
                log_event!(self.log, events::BUNDLE_REFUSED, "reason" => %refusal);
                if matches!(refusal, BundleError::LowerVersion { .. }) {
                    self.repair_store_head();
                }
            }
        }
    }

    /// Writes the bundle in force back into a store that has lost it.
    pub(crate) fn repair_store_head(&self) {
        let active = self.chain.in_force().cloned();
        if let (Some(active), Some(client)) = (active, self.store.clone()) {
            spawn_local(repair_head(client, active, self.log.clone()));
        }
    }

    /// Puts a bundle in force without a check.
    pub(crate) fn apply_bundle(&mut self, now: TimePoint, spec: Arc<DeploymentSpec>) {
        let mut actions = Vec::new();
        self.engine.apply_bundle(now, spec.clone(), &mut actions);
        self.claims.apply_bundle(&spec);
        self.metrics.bundle_version.set(spec.version.0 as i64);
        self.spec = Some(spec);
        self.publish_view();
        self.execute(now, actions);
        self.check_prerequisites();
    }

    /// Passes an event to the claim manager and executes the manager's actions.
    pub(crate) fn step_claims(&mut self, now: TimePoint, event: ClaimEvent) {
        let mut actions = Vec::new();
        self.claims.on_event(now, event, &mut actions);
        for action in actions {
            match action {
                ClaimAction::Store { call, request } => {
                    self.call_store(CallOwner::Claims, call, request);
                }
                ClaimAction::Resolved { query, verdict } => {
                    self.step_engine(now, EngineEvent::ClaimResolved { query, verdict });
                }
            }
        }
    }

    /// Passes the store's reply to the component that made the call.
    pub(crate) fn handle_store_reply(
        &mut self,
        now: TimePoint,
        owner: CallOwner,
        call: u64,
        reply: StoreReply,
    ) {
        self.store_up = Some(!reply.is_outage());
        match owner {
            CallOwner::Claims => self.step_claims(now, ClaimEvent::StoreReplied { call, reply }),
            CallOwner::Charges => self.step_ledger(now, ChargeEvent::StoreReplied { call, reply }),
        }
    }

    /// Calls the store; the call fails at once where the settings name no store.
    pub(crate) fn call_store(&self, owner: CallOwner, call: u64, request: StoreCall) {
        let events = self.events.clone();
        let Some(client) = self.store.clone() else {
            let reply = StoreReply::Failed;
            let _ = events.send(LoopEvent::StoreReplied { owner, call, reply });
            return;
        };
        spawn_local(async move {
            let reply = client.call(request).await;
            let _ = events.send(LoopEvent::StoreReplied { owner, call, reply });
        });
    }
}
