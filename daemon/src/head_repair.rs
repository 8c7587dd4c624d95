//! Repair of a store that has lost the bundle in force, for example after a restore from a backup.

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

/// Reads the bundle head in the store and overwrites it with `active` if it is missing or older.
pub(crate) async fn repair_head(client: StoreClient, active: Arc<ActiveBundle>, log: Logger) {
    let key = HEAD_KEY.to_owned();
    let calls = match client.call(StoreCall::Get { key }).await {
        StoreReply::Missing => repair_calls(&active, None),
        StoreReply::Found { value, revision } => {
            let Ok(head) = BundleHead::decode(value.as_slice()) else {
                return;
            };
            repair_calls(&active, Some((&head, revision)))
        }
        _ => return,
    };
    let mut written = false;
    for call in calls {
        let reply = client.call(call).await;
        written = matches!(reply, StoreReply::Written { .. });
        // A conflict is no error: a part that exists already conflicts too. The head must not be
        // written after an outage, because a part that it names may be missing.
        if reply.is_outage() {
            return;
        }
    }
    if written {
        log_event!(log, events::HEAD_REPAIRED, "version" => active.spec.version.0);
    }
}
