//! Putting the version in force back into a store that lost it.

use std::sync::Arc;

use policy::{
    bundle::{
        repair_calls,
        ActiveBundle,
        HEAD_KEY, //
    },
    store::{
        StoreCall,
        StoreReply, //
    },
};
use prost::Message;
use schema::bundle::BundleHead;
use slog::Logger;

use crate::{
    events,
    log_event,
    store::StoreClient, //
};

/// Reads the store's head and, where it is below `held`, writes `held` in its place.
pub(crate) async fn repair_head(client: StoreClient, held: Arc<ActiveBundle>, log: Logger) {
    let key = HEAD_KEY.to_owned();
    let calls = match client.call(StoreCall::Get { key }).await {
        StoreReply::Missing => repair_calls(&held, None),
        StoreReply::Found { value, revision } => {
            let Ok(head) = BundleHead::decode(value.as_slice()) else {
                return;
            };
            repair_calls(&held, Some((&head, revision)))
        }
        _ => return,
    };
    let mut written = false;
    for call in calls {
        let reply = client.call(call).await;
        written = matches!(reply, StoreReply::Written { .. });
        // A part that is there already is a conflict too; without it the head must not be written.
        if reply.is_outage() {
            return;
        }
    }
    if written {
        log_event!(log, events::HEAD_REPAIRED, "version" => held.spec.version.0);
    }
}
