//! Checks of upstream replies.

use policy::engine::{
    AttemptFailure,
    ReplicaLoad,
    ReplicaReply,
    ResultItem, //
};
use schema::{
    upstream::{
        HitEntry,
        LoadEntry,
        RunReply,
        TaskReply, //
    },
    SnapshotId,
    SpanSet, //
};

use crate::exchange::ExchangeFailure;

/// Reads the reply to the attempt with the id `echo`.
///
/// # Errors
///
/// The refusal that the upstream names, or [`AttemptFailure::BadReply`] for a reply that is not
/// JSON of the right form, echoes another attempt, names a bad key range or holds a hit outside
/// the ranges it names.
pub fn check_reply(body: &[u8], echo: &str) -> Result<ReplicaReply, ExchangeFailure> {
    // One check of the whole text spares the parser one for each string.
    let text = std::str::from_utf8(body).map_err(|_| AttemptFailure::BadReply)?;
    let reply: RunReply = serde_json::from_str(text).map_err(|_| AttemptFailure::BadReply)?;
    let mut replies = reply.replies;
    let task = match (replies.pop(), replies.is_empty()) {
        (Some(task), true) if task.attempt == echo => task,
        _ => return Err(AttemptFailure::BadReply.into()),
    };
    let load = load_of(&reply.load.unwrap_or_default())?;
    if let Some(failure) = refusal_of(&task.refusal)? {
        return Err(ExchangeFailure {
            failure,
            load: Some(load),
        });
    }
    data_of(task, load)
}

fn refusal_of(text: &str) -> Result<Option<AttemptFailure>, AttemptFailure> {
    let failure = match text {
        "" => return Ok(None),
        "shed" => AttemptFailure::Shed,
        "draining" => AttemptFailure::Draining,
        "snapshot_gone" => AttemptFailure::SnapshotGone,
        "range_gone" => AttemptFailure::RangeGone,
        "late" => AttemptFailure::Late,
        "failed" => AttemptFailure::RanFailed,
        _ => return Err(AttemptFailure::BadReply),
    };
    Ok(Some(failure))
}

fn load_of(entry: &LoadEntry) -> Result<ReplicaLoad, AttemptFailure> {
    let serves = SpanSet::from_pairs(&entry.spans).map_err(|_| AttemptFailure::BadReply)?;
    Ok(ReplicaLoad {
        running: entry.running,
        queued: entry.queued,
        slots: entry.slots,
        draining: entry.draining,
        snapshots: entry.snapshots.iter().copied().map(SnapshotId).collect(),
        serves,
    })
}

fn data_of(task: TaskReply, load: ReplicaLoad) -> Result<ReplicaReply, ExchangeFailure> {
    let covered = SpanSet::from_pairs(&task.spans).map_err(|_| AttemptFailure::BadReply)?;
    let mut items = Vec::with_capacity(task.hits.len());
    for hit in task.hits {
        if !covered.contains(hit.key) {
            return Err(AttemptFailure::BadReply.into());
        }
        items.push(item_of(hit));
    }
    Ok(ReplicaReply {
        snapshot: SnapshotId(task.snapshot),
        covered,
        items,
        load,
    })
}

fn item_of(hit: HitEntry) -> ResultItem {
    ResultItem {
        key: hit.key,
        id: hit.id.into(),
        body: hit.body,
    }
}
