//! Sets of keys, stored as ranges.

use std::fmt;

use smallvec::SmallVec;

use crate::{
    CoverageShare,
    KeySpan,
    SchemaError,
    KEY_SPACE, //
};

/// A set of keys, stored as sorted spans that neither overlap nor adjoin.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SpanSet {
    spans: SmallVec<[KeySpan; 4]>,
}

impl SpanSet {
    /// The whole key space.
    pub fn all() -> Self {
        Self::from(KeySpan::ALL)
    }

    /// Creates a set from a flat list of start and end keys, the form used in messages.
    ///
    /// # Errors
    ///
    /// [`SchemaError::BadSpan`] if a start has no end or a span is invalid.
    pub fn from_pairs(pairs: &[u32]) -> Result<Self, SchemaError> {
        let mut set = Self::default();
        for pair in pairs.chunks(2) {
            let &[start, end] = pair else {
                return Err(SchemaError::BadSpan {
                    start: pair[0],
                    end: pair[0],
                });
            };
            set.insert(KeySpan::new(start, end)?);
        }
        Ok(set)
    }

    /// Flat list of start and end keys, the form used in messages.
    pub fn to_pairs(&self) -> Vec<u32> {
        self.spans
            .iter()
            .flat_map(|span| [span.start(), span.end()])
            .collect()
    }

    /// The spans in key order.
    pub fn spans(&self) -> &[KeySpan] {
        &self.spans
    }

    /// Whether the set contains no key.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Number of keys in the set.
    pub fn size(&self) -> u32 {
        self.spans.iter().map(|span| span.size()).sum()
    }

    /// Share of the key space that the set covers.
    pub fn share(&self) -> CoverageShare {
        let ppm = u64::from(self.size()) * 1_000_000 / u64::from(KEY_SPACE);
        CoverageShare(u32::try_from(ppm).unwrap_or(1_000_000))
    }

    /// Whether `key` is in the set.
    pub fn contains(&self, key: u32) -> bool {
        self.spans.iter().any(|span| span.contains(key))
    }

    /// Whether the whole of `span` is in the set.
    pub fn covers(&self, span: KeySpan) -> bool {
        let contains_span =
            |existing: &KeySpan| existing.start() <= span.start() && span.end() <= existing.end();
        self.spans.iter().any(contains_span)
    }

    /// Adds the keys of `span`, and merges it with the spans that it overlaps or adjoins.
    pub fn insert(&mut self, span: KeySpan) {
        let mut start = span.start();
        let mut end = span.end();
        self.spans.retain(|existing| {
            let separate = existing.end() < start || end < existing.start();
            if !separate {
                start = start.min(existing.start());
                end = end.max(existing.end());
            }
            separate
        });
        let index = self
            .spans
            .partition_point(|existing| existing.end() < start);
        if let Ok(merged) = KeySpan::new(start, end) {
            self.spans.insert(index, merged);
        }
    }

    /// Removes the keys of `span`.
    pub fn remove(&mut self, span: KeySpan) {
        let mut remaining = SmallVec::new();
        for existing in &self.spans {
            if !existing.overlaps(span) {
                remaining.push(*existing);
                continue;
            }
            remaining.extend(KeySpan::new(existing.start(), span.start()));
            remaining.extend(KeySpan::new(span.end(), existing.end()));
        }
        self.spans = remaining;
    }

    /// Adds all keys of `other` to this set.
    pub fn union(&mut self, other: &Self) {
        for span in &other.spans {
            self.insert(*span);
        }
    }

    /// Removes all keys of `other` from this set.
    pub fn subtract(&mut self, other: &Self) {
        for span in &other.spans {
            self.remove(*span);
        }
    }

    /// The keys common to both sets.
    pub fn intersection(&self, other: &Self) -> Self {
        let mut common = Self::default();
        for left in &self.spans {
            for right in &other.spans {
                if let Some(span) = left.intersect(*right) {
                    common.insert(span);
                }
            }
        }
        common
    }

    /// The keys of the key space that are not in the set.
    pub fn complement(&self) -> Self {
        let mut remaining = Self::all();
        remaining.subtract(self);
        remaining
    }
}

impl From<KeySpan> for SpanSet {
    fn from(span: KeySpan) -> Self {
        Self {
            spans: SmallVec::from_slice(&[span]),
        }
    }
}

impl fmt::Display for SpanSet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, span) in self.spans.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{span}")?;
        }
        Ok(())
    }
}
