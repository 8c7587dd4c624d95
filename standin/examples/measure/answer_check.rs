//! Checks answers against the results that the upstreams return.

use schema::{
    caller::AnswerBody,
    KeySpan,
    SnapshotId,
    SpanSet, //
};
use standin::items_for;

/// Returns what is wrong with an answer, or `None` if it is correct.
pub(crate) fn find_fault(answer: &AnswerBody, query: &str) -> Option<&'static str> {
    let Some(coverage) = &answer.coverage else {
        return (!answer.items.is_empty()).then_some("items without coverage");
    };
    let mut heard = SpanSet::default();
    for span in &coverage.heard {
        let Ok(span) = KeySpan::new(span.start, span.end) else {
            return Some("bad span heard");
        };
        heard.insert(span);
    }
    let mut missing = SpanSet::default();
    for span in &coverage.missing {
        let Ok(span) = KeySpan::new(span.start, span.end) else {
            return Some("bad span missing");
        };
        missing.insert(span);
    }
    if heard.complement() != missing {
        return Some("heard and missing do not add up");
    }
    if heard.share().0 != coverage.share_ppm {
        return Some("share is not that of the spans");
    }
    if (answer.outcome == "complete") != missing.is_empty() {
        return Some("outcome and coverage differ");
    }
    let mut expected = Vec::new();
    for span in heard.spans() {
        expected.extend(items_for(*span, SnapshotId(answer.snapshot), query));
    }
    if answer.items.len() != expected.len() {
        return Some("items lost or doubled");
    }
    let is_same = |(item, hit): (&schema::caller::ItemEntry, &schema::upstream::HitEntry)| {
        item.key == hit.key && item.id == hit.id && item.body == hit.body
    };
    if !answer.items.iter().zip(&expected).all(is_same) {
        return Some("items of another snapshot or request");
    }
    None
}
