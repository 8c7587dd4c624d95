//! Conversion of relayed requests and their answers from and to the messages between daemons.

use std::{
    net::IpAddr,
    time::Duration, //
};

use bytes::Bytes;
use http::{
    request,
    response,
    HeaderMap,
    HeaderName,
    HeaderValue,
    Request,
    Response,
    StatusCode, //
};
use policy::forward::{
    BranchAnswer,
    BranchTerms,
    RelayCommand,
    RelayOffer,
    RelayOutcome,
    RelayRefusal,
    RelayTerms, //
};
use schema::peer::{
    stream_body::Body,
    BranchCall,
    BranchReply,
    HeaderField,
    OfferReply,
    RelayCall,
    RelayReply, //
};

use super::{
    caller_reply::{
        CallerReply,
        ReplyVerdict, //
    },
    pending_request::PendingRequest, //
};
use crate::caller_port::CallerAddress;

/// The shards of a branch and its terms.
#[derive(Debug)]
pub(super) struct WantedShards {
    shards: Vec<u32>,
    terms: BranchTerms,
}

/// A relayed request as it arrives.
#[derive(Debug)]
pub(super) struct RelayedRequest {
    /// Method, path and headers as the caller sent them, with its address.
    pub(super) head: request::Parts,
    /// The complete body.
    pub(super) body: Bytes,
    /// Positions of the wanted shards in the route; empty for all.
    pub(super) shards: Vec<u32>,
    /// The terms of the daemon that relays it.
    pub(super) terms: RelayTerms,
}

/// The message for the request of `command`.
pub(super) fn to_call(request: &PendingRequest, command: &RelayCommand) -> Body {
    let template = &request.template;
    let call = RelayCall {
        method: template.method.to_string(),
        target: template.target.to_string(),
        headers: to_fields(&template.headers),
        body: template.body.to_vec(),
        caller: request.caller.to_string(),
        time_left_us: command.time_left.map_or(0, |left| micros(left).max(1)),
        age_us: micros(command.terms.age),
        attempts: command.terms.attempts,
        sent: command.terms.sent,
        table: command.table.0,
    };
    match command.terms.branch {
        None => Body::RelayCall(call),
        Some(branch) => Body::BranchCall(Box::new(BranchCall {
            call: Some(call),
            shards: command.shards.clone(),
            needed: branch.needed,
            goal_left_us: micros(branch.goal_left),
        })),
    }
}

/// The request of a branch, and what is wanted of it.
pub(super) fn split_call(branch: BranchCall) -> (RelayCall, WantedShards) {
    let wanted = WantedShards {
        shards: branch.shards,
        terms: BranchTerms {
            goal_left: Duration::from_micros(branch.goal_left_us),
            needed: branch.needed,
        },
    };
    (branch.call.unwrap_or_default(), wanted)
}

/// The request of a message; `None` if a field is malformed.
pub(super) fn from_call(call: RelayCall, wanted: Option<WantedShards>) -> Option<RelayedRequest> {
    let request = Request::builder()
        .method(call.method.as_str())
        .uri(call.target.as_str());
    let (mut head, ()) = request.body(()).ok()?.into_parts();
    head.headers = from_fields(call.headers)?;
    let caller: IpAddr = call.caller.parse().ok()?;
    head.extensions.insert(CallerAddress(caller));
    let time_left = Duration::from_micros(call.time_left_us);
    if call.time_left_us > 0 {
        platform::set_time_left(&mut head.headers, time_left);
    }
    let shards = wanted.iter().flat_map(|wanted| &wanted.shards);
    if !shards.is_sorted_by(|a, b| a < b) {
        return None;
    }
    let branch = wanted.as_ref().map(|wanted| wanted.terms);
    Some(RelayedRequest {
        shards: wanted.map_or_else(Vec::new, |wanted| wanted.shards),
        head,
        body: call.body.into(),
        terms: RelayTerms {
            age: Duration::from_micros(call.age_us),
            attempts: call.attempts,
            sent: call.sent,
            branch,
        },
    })
}

/// The message for an answer; `of_branch` if some shards were asked for.
pub(super) fn to_reply(reply: CallerReply, of_branch: bool) -> Body {
    let (outcome, refusal) = match reply.verdict {
        ReplyVerdict::Answered => (0, 0),
        ReplyVerdict::NotRun => (1, 0),
        ReplyVerdict::Declined(refusal) => (2, refusal_code(refusal)),
    };
    let message = RelayReply {
        outcome,
        status: u32::from(reply.status.as_u16()),
        headers: to_fields(&reply.headers),
        body: reply.body.into(),
        refusal,
        leaving: reply.leaving,
    };
    match of_branch {
        false => Body::RelayReply(message),
        true => Body::BranchReply(Box::new(BranchReply {
            reply: Some(message),
            stamps: reply.stamps,
        })),
    }
}

/// The outcome that a message reports, and the reply for the caller if there is one.
pub(super) fn from_reply(reply: RelayReply) -> (RelayOutcome, Option<(response::Parts, Bytes)>) {
    if reply.outcome > 1 {
        return (RelayOutcome::Declined(refusal_of(reply.refusal)), None);
    }
    let status = u16::try_from(reply.status).ok();
    let status = status.and_then(|status| StatusCode::from_u16(status).ok());
    let (Some(status), Some(headers)) = (status, from_fields(reply.headers)) else {
        return (RelayOutcome::Broken, None);
    };
    let (mut head, ()) = Response::new(()).into_parts();
    head.status = status;
    head.headers = headers;
    let outcome = match reply.outcome {
        0 => RelayOutcome::Answered(status.as_u16()),
        _ => RelayOutcome::NotRun,
    };
    (outcome, Some((head, reply.body.into())))
}

/// What a delegate has gathered, if it has.
pub(super) fn to_branch_answer(branch: &mut BranchReply) -> Option<BranchAnswer> {
    let reply = branch.reply.as_mut().filter(|reply| reply.outcome == 0)?;
    if branch.stamps.is_empty() {
        return None;
    }
    let stamps = std::mem::take(&mut branch.stamps);
    Some(BranchAnswer {
        stamps: stamps
            .into_iter()
            .map(|entry| (entry.shard, entry.stamp.into()))
            .collect(),
        records: std::mem::take(&mut reply.body).into(),
    })
}

/// The message for the answer to a daemon which asks how many requests this one takes.
pub(super) fn to_offer(offer: RelayOffer) -> OfferReply {
    match offer {
        Ok(free) => OfferReply { refusal: 0, free },
        Err(refusal) => OfferReply {
            refusal: refusal_code(refusal),
            free: 0,
        },
    }
}

/// The answer of a message.
pub(super) fn from_offer(reply: &OfferReply) -> RelayOffer {
    match reply.refusal {
        0 => Ok(reply.free),
        code => Err(refusal_of(code)),
    }
}

fn refusal_code(refusal: RelayRefusal) -> u32 {
    match refusal {
        RelayRefusal::Stranded => 1,
        RelayRefusal::NotReady | RelayRefusal::NoAnswer => 2,
        RelayRefusal::NoRoom => 3,
        RelayRefusal::OldTable => 4,
        RelayRefusal::NewTable => 5,
    }
}

fn refusal_of(code: u32) -> RelayRefusal {
    match code {
        1 => RelayRefusal::Stranded,
        3 => RelayRefusal::NoRoom,
        4 => RelayRefusal::OldTable,
        5 => RelayRefusal::NewTable,
        _ => RelayRefusal::NotReady,
    }
}

fn to_fields(headers: &HeaderMap) -> Vec<HeaderField> {
    let fields = headers.iter().map(|(name, value)| HeaderField {
        name: name.as_str().to_string(),
        value: value.as_bytes().to_vec(),
    });
    fields.collect()
}

fn from_fields(fields: Vec<HeaderField>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name: HeaderName = field.name.parse().ok()?;
        headers.append(name, HeaderValue::from_bytes(&field.value).ok()?);
    }
    Some(headers)
}

pub(super) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
