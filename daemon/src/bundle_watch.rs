//! Watching of the bundle's head in the store.

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

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// First delay after a call that failed.
const RETRY_FIRST: Duration = Duration::from_millis(100);
/// Longest delay after calls that failed.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// Watches the head and reports each bundle that it names.
#[derive(Debug)]
pub(crate) struct BundleWatch {
    client: StoreClient,
    delay: RetryDelay,
    revision: u64,
    failing: Option<bool>,
    log: Logger,
    events: UnboundedSender<LoopEvent>,
}

impl BundleWatch {
    /// A watch that has seen nothing.
    pub(crate) fn new(
        client: StoreClient,
        seed: u64,
        log: Logger,
        events: UnboundedSender<LoopEvent>,
    ) -> Self {
        Self {
            client,
            delay: RetryDelay::new(RETRY_FIRST, RETRY_MAX, seed),
            revision: 0,
            failing: None,
            log,
            events,
        }
    }

    /// Watches whenever `watching` says that this daemon is to.
    pub(crate) async fn run(mut self, mut watching: watch::Receiver<bool>) {
        while watching.wait_for(|watching| *watching).await.is_ok() {
            if !self.step().await {
                sleep(self.delay.next_delay()).await;
            }
        }
    }

    /// One watch and what follows from it; `false` where it is to be tried again later.
    async fn step(&mut self) -> bool {
        let reply = self.next_head().await;
        self.note_outage(reply.is_outage());
        match reply {
            StoreReply::Found { value, revision } if revision != self.revision => {
                self.take_head(&value, revision).await
            }
            StoreReply::Missing => {
                self.delay.reset();
                let _ = self.events.send(LoopEvent::HeadMissing);
                true
            }
            StoreReply::Found { .. } | StoreReply::Unchanged => {
                self.delay.reset();
                true
            }
            _ => false,
        }
    }

    /// A newer head, or whatever head the store holds. A store that came back from an old copy
    /// counts from a lower revision, which a watch does not show.
    async fn next_head(&mut self) -> StoreReply {
        let key = HEAD_KEY.to_owned();
        if self.failing == Some(false) {
            let watch = StoreCall::Watch {
                key: key.clone(),
                after: self.revision,
                wait: WATCH_WAIT,
            };
            let reply = self.client.call(watch).await;
            if reply != StoreReply::Unchanged {
                return reply;
            }
        }
        self.client.call(StoreCall::Get { key }).await
    }

    async fn take_head(&mut self, value: &[u8], revision: u64) -> bool {
        let Ok(head) = BundleHead::decode(value) else {
            log_event!(self.log, events::BUNDLE_REFUSED, "reason" => "the head does not decode");
            self.revision = revision;
            return true;
        };
        let Some(body) = self.read_body(&head).await else {
            return false;
        };
        self.delay.reset();
        self.revision = revision;
        let head = Some(head);
        let signed = Box::new(SignedBundle { head, body });
        let _ = self.events.send(LoopEvent::BundleOffered(signed));
        true
    }

    /// The body that `head` names; `None` where a part is not to be had or broken.
    async fn read_body(&mut self, head: &BundleHead) -> Option<Vec<u8>> {
        let mut parts = Vec::new();
        for entry in &head.parts {
            let key = part_key(&entry.digest);
            let reply = self.client.call(StoreCall::Get { key }).await;
            let StoreReply::Found { value, .. } = reply else {
                self.note_outage(reply.is_outage());
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

    fn note_outage(&mut self, failing: bool) {
        let before = self.failing.replace(failing);
        if before == Some(failing) {
            return;
        }
        if failing {
            log_event!(self.log, events::STORE_FAILED);
        } else if before.is_some() {
            log_event!(self.log, events::STORE_BACK);
        }
        let _ = self.events.send(LoopEvent::StoreSeen(!failing));
    }
}
