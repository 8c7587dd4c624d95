//! Checks the replies of upstreams.

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

/// Parses and checks the reply to the attempt `attempt_id`.
///
/// # Errors
///
/// The refusal that the upstream reports, or [`AttemptFailure::BadReply`] for a reply that is not
/// valid JSON, belongs to another attempt, has an invalid key range or contains a hit outside its
/// key ranges.
pub fn check_reply(body: &[u8], attempt_id: &str) -> Result<ReplicaReply, ExchangeFailure> {
    // Checking the whole text once saves the parser a check of each string.
    let text = std::str::from_utf8(body).map_err(|_| AttemptFailure::BadReply)?;
    let reply: RunReply = serde_json::from_str(text).map_err(|_| AttemptFailure::BadReply)?;
    let mut replies = reply.replies;
    let task = match (replies.pop(), replies.is_empty()) {
        (Some(task), true) if task.attempt == attempt_id => task,
        _ => return Err(AttemptFailure::BadReply.into()),
    };
    let load = parse_load(&reply.load.unwrap_or_default())?;
    if let Some(failure) = parse_refusal(&task.refusal)? {
        return Err(ExchangeFailure {
            failure,
            load: Some(load),
        });
    }
    parse_data(task, load)
}

fn parse_refusal(text: &str) -> Result<Option<AttemptFailure>, AttemptFailure> {
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

fn parse_load(entry: &LoadEntry) -> Result<ReplicaLoad, AttemptFailure> {
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

fn parse_data(task: TaskReply, load: ReplicaLoad) -> Result<ReplicaReply, ExchangeFailure> {
    let covered = SpanSet::from_pairs(&task.spans).map_err(|_| AttemptFailure::BadReply)?;
    let mut items = Vec::with_capacity(task.hits.len());
    for hit in task.hits {
        if !covered.contains(hit.key) {
            return Err(AttemptFailure::BadReply.into());
        }
        items.push(result_item(hit));
    }
    Ok(ReplicaReply {
        snapshot: SnapshotId(task.snapshot),
        covered,
        items,
        load,
    })
}

fn result_item(hit: HitEntry) -> ResultItem {
    ResultItem {
        key: hit.key,
        id: hit.id.into(),
        body: hit.body,
    }
}
