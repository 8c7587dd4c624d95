//! Watches the bundle head in the store.

use std::time::Duration;

use policy::{
    bundle::{
        join_parts,
        part_key,
        HEAD_KEY, //
    },
    store::{
        RetryDelay,
        StoreCall,
        StoreReply, //
    }, //
};
use prost::Message;
use schema::bundle::{
    BundleHead,
    SignedBundle, //
};
use slog::Logger;
use tokio::{
    sync::{
        mpsc::UnboundedSender,
        watch, //
    },
    time::sleep, //
};

use crate::{
    events,
    log_event,
    loop_event::LoopEvent,
    store::StoreClient, //
};

/// Longest time that the store holds one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay after the first failed call; it grows with further failures.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest delay after a failed call.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(5);

/// Task that watches the bundle head and reports each bundle that it names to the event loop.
#[derive(Debug)]
pub(crate) struct BundleWatch {
    client: StoreClient,
    retry_delay: RetryDelay,
    revision: u64,
    store_failing: Option<bool>,
    log: Logger,
    events: UnboundedSender<LoopEvent>,
}

impl BundleWatch {
    /// A watch that starts from whatever head the store holds.
    pub(crate) fn new(
        client: StoreClient,
        seed: u64,
        log: Logger,
        events: UnboundedSender<LoopEvent>,
    ) -> Self {
        Self {
            client,
            retry_delay: RetryDelay::new(RETRY_DELAY_MIN, RETRY_DELAY_MAX, seed),
            revision: 0,
            store_failing: None,
            log,
            events,
        }
    }

    /// Watches while `watches_store` is true.
    pub(crate) async fn run(mut self, mut watches_store: watch::Receiver<bool>) {
        while watches_store.wait_for(|watches| *watches).await.is_ok() {
            if !self.step().await {
                sleep(self.retry_delay.next_delay()).await;
            }
        }
    }

    /// Reads the head once and reports it; `false` if it is to be retried after a delay.
    async fn step(&mut self) -> bool {
        let reply = self.read_head().await;
        self.update_outage(reply.is_outage());
        match reply {
            StoreReply::Found { value, revision } if revision != self.revision => {
                self.report_head(&value, revision).await
            }
            StoreReply::Missing => {
                self.retry_delay.reset();
                let _ = self.events.send(LoopEvent::HeadMissing);
                true
            }
            StoreReply::Found { .. } | StoreReply::Unchanged => {
                self.retry_delay.reset();
                true
            }
            _ => false,
        }
    }

    /// Waits for a newer head; after an outage or a watch without a change, reads the current one.
    /// A store restored from an old copy has a lower revision, which a watch does not report.
    async fn read_head(&mut self) -> StoreReply {
        let key = HEAD_KEY.to_owned();
        if self.store_failing == Some(false) {
            let watch = StoreCall::Watch {
                key: key.clone(),
                after: self.revision,
                wait: WATCH_TIMEOUT,
            };
            let reply = self.client.call(watch).await;
            if reply != StoreReply::Unchanged {
                return reply;
            }
        }
        self.client.call(StoreCall::Get { key }).await
    }

    async fn report_head(&mut self, value: &[u8], revision: u64) -> bool {
        let Ok(head) = BundleHead::decode(value) else {
            log_event!(self.log, events::BUNDLE_REFUSED, "reason" => "can't decode the head");
            self.revision = revision;
            return true;
        };
        let Some(body) = self.read_body(&head).await else {
            return false;
        };
        self.retry_delay.reset();
        self.revision = revision;
        let head = Some(head);
        let signed = Box::new(SignedBundle { head, body });
        let _ = self.events.send(LoopEvent::BundleOffered(signed));
        true
    }

    /// The bundle body that `head` names; `None` if a part can't be read or is damaged.
    async fn read_body(&mut self, head: &BundleHead) -> Option<Vec<u8>> {
        let mut parts = Vec::new();
        for entry in &head.parts {
            let key = part_key(&entry.digest);
            let reply = self.client.call(StoreCall::Get { key }).await;
            let StoreReply::Found { value, .. } = reply else {
                self.update_outage(reply.is_outage());
                return None;
            };
            parts.push(value);
        }
        match join_parts(&head.parts, &parts) {
            Ok(body) => Some(body),
            Err(refusal) => {
                log_event!(self.log, events::BUNDLE_REFUSED, "reason" => %refusal);
                None
            }
        }
    }

    fn update_outage(&mut self, failing: bool) {
        let was_failing = self.store_failing.replace(failing);
        if was_failing == Some(failing) {
            return;
        }
        if failing {
            log_event!(self.log, events::STORE_FAILED);
        } else if was_failing.is_some() {
            log_event!(self.log, events::STORE_RECOVERED);
        }
        let _ = self.events.send(LoopEvent::StoreChecked(!failing));
    }
}
