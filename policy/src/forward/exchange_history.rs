//! What a connection to a replica has carried, and which replies on it can be attributed.
//!
//! A faulty replica may send a reply a second time, late, where the reply to the next request on the
//! connection is expected. A replica repeats the caller's id in its reply, and this id names the request, not
//! the attempt: a connection therefore carries each request once. A reply without an id names nothing; it is
//! only attributed where it can't be the copy of an earlier one.

use std::time::Duration;

use compact_str::CompactString;
use schema::TimePoint;
use xxhash_rust::xxh3::xxh3_64;

/// Time after the deadline of a request for which it may still come again: another daemon that passes it on
/// a second time may reckon its deadline a little later.
const LATE_ARRIVAL_MAX: Duration = Duration::from_secs(1);
/// Number of requests from which on a connection carries no further one, which bounds its memory.
const REQUESTS_MAX: usize = 4_096;

/// A request, as the history of a connection knows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestMark {
    print: u64,
    sent_at: TimePoint,
    until: TimePoint,
}

impl RequestMark {
    /// The mark of the request `id` that is sent at `sent_at` and must be answered by `deadline`.
    pub fn new(id: &[u8], sent_at: TimePoint, deadline: TimePoint) -> Self {
        Self {
            print: xxh3_64(id),
            sent_at,
            until: deadline + LATE_ARRIVAL_MAX,
        }
    }

    /// When the request is sent.
    pub fn sent_at(&self) -> TimePoint {
        self.sent_at
    }
}

/// The exchanges of a connection.
#[derive(Clone, Debug, Default)]
pub struct ExchangeHistory {
    /// The requests that the connection has carried and that may still be sent again.
    marks: Vec<RequestMark>,
    /// Whether a reply has come on the connection.
    replied: bool,
    /// Whether a reply must repeat the id of its request.
    expects_id: bool,
    /// The signature of the last reply without an id.
    last_stamp: Option<CompactString>,
}

impl ExchangeHistory {
    /// Adds a request, and forgets those that can't come again where there is no room for it.
    pub fn record(&mut self, mark: RequestMark) {
        if self.marks.len() == self.marks.capacity() {
            self.marks.retain(|known| mark.sent_at < known.until);
        }
        self.marks.push(mark);
    }

    /// Whether the connection may carry a request: it has not carried it before, and has room for its mark.
    pub fn admits(&self, mark: &RequestMark) -> bool {
        let now = mark.sent_at;
        let mut live = self.marks.iter().filter(|known| now < known.until);
        self.marks.len() < REQUESTS_MAX && live.all(|known| known.print != mark.print)
    }

    /// Records a reply that repeats the id of its request, or one to a health check, which has no id and
    /// whose copy must not be attributed to a request.
    pub fn record_reply(&mut self) {
        self.replied = true;
        self.expects_id = true;
    }

    /// Whether a reply without an id belongs to the request: it is the first on the connection; or the
    /// replica never repeats ids, says that it ran the request (`ran`), and has signed this reply as no
    /// earlier one.
    pub fn attribute_unnamed(&mut self, ran: bool, stamp: Option<&CompactString>) -> bool {
        let is_first = !std::mem::replace(&mut self.replied, true);
        let is_new = stamp.is_some() && stamp != self.last_stamp.as_ref();
        self.last_stamp = stamp.cloned();
        is_first || (!self.expects_id && ran && is_new)
    }
}
