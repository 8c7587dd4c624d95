//! Cost of encoding and decoding the messages to upstreams, by batch size.

use cpu_time::ThreadTime;
use schema::upstream::{
    HitEntry,
    LoadEntry,
    RunCall,
    RunReply,
    TaskEntry,
    TaskReply, //
};

use crate::{
    slope_fit::SlopeFit,
    SlopeError, //
};

/// Numbers of tasks in a call.
const BATCH_SIZES: [u32; 5] = [1, 4, 16, 64, 256];
/// Number of tasks measured for each batch size.
const TASK_COUNT: u32 = 51_200;
/// Number of hits in the reply to a task.
const HITS_PER_REPLY: u32 = 2;

/// Measures the CPU time and size of calls and replies in JSON and the CPU time in postcard.
pub(crate) fn measure() -> Result<Vec<SlopeFit>, SlopeError> {
    let mut json = Vec::new();
    let mut binary = Vec::new();
    let mut bytes = Vec::new();
    for batch in BATCH_SIZES {
        let call = run_call(batch);
        let reply = run_reply(batch);
        let rounds = TASK_COUNT / batch;
        let cpu_start = ThreadTime::now();
        for _ in 0..rounds {
            serde_json::to_vec(&call)?;
        }
        let text = serde_json::to_vec(&reply)?;
        for _ in 0..rounds {
            let decoded: RunReply = serde_json::from_slice(&text)?;
            check_length(&decoded, batch)?;
        }
        let micros = cpu_start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
        json.push((f64::from(batch), micros));
        bytes.push((
            f64::from(batch),
            (serde_json::to_vec(&call)?.len() + text.len()) as f64,
        ));
        let encoded = postcard::to_stdvec(&reply)?;
        let cpu_start = ThreadTime::now();
        for _ in 0..rounds {
            postcard::to_stdvec(&call)?;
            let decoded: RunReply = postcard::from_bytes(&encoded)?;
            check_length(&decoded, batch)?;
        }
        let micros = cpu_start.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
        binary.push((f64::from(batch), micros));
    }
    Ok(vec![
        SlopeFit::new("upstream: CPU of call and reply, JSON, µs", "tasks", json),
        SlopeFit::new(
            "upstream: CPU of call and reply, postcard, µs",
            "tasks",
            binary,
        ),
        SlopeFit::new(
            "upstream: size of call and reply, JSON, bytes",
            "tasks",
            bytes,
        ),
    ])
}

fn run_call(batch: u32) -> RunCall {
    let task = |place: u32| TaskEntry {
        attempt: format!("entry-0.1764816460000000.{place}"),
        shard: "shard-17".into(),
        start: 1000,
        end: 2000,
        snapshot: 12,
        deadline_ms: 340,
        query: "find the plank of ana".into(),
        once_key: String::new(),
    };
    RunCall {
        group: "wide".into(),
        zone: "zone-1".into(),
        cell: "cell-1".into(),
        tasks: (0..batch).map(task).collect(),
    }
}

fn run_reply(batch: u32) -> RunReply {
    let hit = |key: u32| HitEntry {
        key,
        id: format!("item-{key}"),
        body: "text of the result".into(),
    };
    let task = |place: u32| TaskReply {
        attempt: format!("entry-0.1764816460000000.{place}"),
        refusal: String::new(),
        snapshot: 12,
        spans: vec![1000, 2000],
        hits: (1000..1000 + HITS_PER_REPLY).map(hit).collect(),
    };
    RunReply {
        replies: (0..batch).map(task).collect(),
        load: Some(LoadEntry {
            running: 1,
            queued: 2,
            slots: 2,
            draining: false,
            snapshots: vec![11, 12],
            spans: vec![1000, 2000],
        }),
    }
}

fn check_length(reply: &RunReply, batch: u32) -> Result<(), SlopeError> {
    if reply.replies.len() != batch as usize {
        return Err(SlopeError::UnexpectedResult);
    }
    Ok(())
}
