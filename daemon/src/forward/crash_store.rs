//! Keeps the crashes under requests in the platform's store, and claims trials there.

use std::time::Duration;

use http::StatusCode;
use platform::{
    drop_crashes,
    put_crashes,
    read_crashes,
    StoreCall, //
};
use policy::forward::{
    claim_trial,
    combined_notice,
    ClaimOutcome, //
};
use schema::{
    CrashNotice,
    QueryPrint,
    TimePoint, //
};
use tokio::{
    sync::mpsc::{
        UnboundedReceiver,
        UnboundedSender, //
    },
    time::sleep, //
};

use super::{
    inbox_event::InboxEvent,
    store_reader::{
        ReadError,
        StoreReader,
        ANSWER_TIMEOUT, //
    },
};

/// Calls to remove an item, if the store does not answer.
const DROP_TRIES: u32 = 5;
/// Pause between two of them.
const DROP_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A change of what the store keeps. Changes are made in their order.
#[derive(Debug)]
pub(super) enum KeepOrder {
    /// Keep a notice.
    Keep(CrashNotice),
    /// Remove the notice of a request.
    Drop(QueryPrint),
}

/// Carries out the changes that come through `orders` until the channel is closed, and reports those of kept
/// notices.
pub(super) async fn run_keeper(
    store: StoreReader,
    mut orders: UnboundedReceiver<KeepOrder>,
    events: UnboundedSender<InboxEvent>,
) {
    while let Some(order) = orders.recv().await {
        match order {
            KeepOrder::Keep(notice) => {
                let print = notice.print;
                let result = keep(&store, &notice).await;
                // The channel is closed only when the process ends.
                let _ = events.send(InboxEvent::CrashesKept(print, result));
            }
            KeepOrder::Drop(print) => {
                for _ in 0..DROP_TRIES {
                    if remove(&store, print).await.is_ok() {
                        break;
                    }
                    sleep(DROP_RETRY_INTERVAL).await;
                }
            }
        }
    }
}

/// Claims a trial of the request that `ours` names.
pub(super) async fn claim(store: StoreReader, now: TimePoint, ours: CrashNotice) -> ClaimOutcome {
    try_claim(&store, now, &ours)
        .await
        .unwrap_or(ClaimOutcome::Unavailable)
}

async fn try_claim(
    store: &StoreReader,
    now: TimePoint,
    ours: &CrashNotice,
) -> Result<ClaimOutcome, ReadError> {
    let (stored, revision) = read(store, ours.print).await?;
    let granted = match claim_trial(now, ours, stored.as_ref()) {
        Ok(granted) => granted,
        Err(denied) => return Ok(ClaimOutcome::Denied(*denied)),
    };
    let body = put_crashes(&granted, revision)?;
    // Where another daemon was first, its trial is read at the next arrival.
    Ok(match store.change(body).await? {
        true => ClaimOutcome::Granted(granted),
        false => ClaimOutcome::Unavailable,
    })
}

/// Writes a notice unless the store has it; returns whether it has it then.
async fn keep(store: &StoreReader, ours: &CrashNotice) -> Result<bool, ReadError> {
    let (stored, revision) = read(store, ours.print).await?;
    let notice = combined_notice(ours, stored.as_ref());
    if stored.as_ref() == Some(&notice) {
        return Ok(true);
    }
    store.change(put_crashes(&notice, revision)?).await
}

async fn remove(store: &StoreReader, print: QueryPrint) -> Result<bool, ReadError> {
    store.change(drop_crashes(print)?).await
}

/// The notice that the store has and its revision; 0 if it has none, or one that can't be read, which is not
/// overwritten.
async fn read(
    store: &StoreReader,
    print: QueryPrint,
) -> Result<(Option<CrashNotice>, u64), ReadError> {
    match store
        .get(&StoreCall::Crashes { print }, ANSWER_TIMEOUT)
        .await
    {
        Ok((_, answer)) => {
            let (notice, revision) = read_crashes(&answer)?;
            Ok((Some(notice), revision))
        }
        Err(ReadError::Refused(StatusCode::NOT_FOUND)) => Ok((None, 0)),
        Err(error) => Err(error),
    }
}
