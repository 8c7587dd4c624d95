//! Where a claim is stored, and for how long.

use std::time::Duration;

use schema::{
    GroupName,
    IdempotencyKey,
    TimePoint,
    UserName, //
};

/// Keys that were created within the same period of this many seconds share a prefix in the store
/// and a lease.
const BUCKET_SECONDS: u64 = 60 * 60;
/// Length of the hash in a store key, in bytes.
const HASH_BYTES: usize = 16;

/// The location of a claim in the store. It depends on group, end user and key alone, never on the
/// time at which a daemon reads it.
///
/// A key of the form `t<Unix seconds>-<text>` states when its caller created it. The key is refused
/// once the window of its group has passed, so its claim may then expire. Claims of other keys are
/// kept forever.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimLocation {
    /// Name of the key in the store.
    pub store_key: String,
    /// When the caller created the key, in Unix seconds; `None` for a key without a time.
    pub created_seconds: Option<u64>,
}

impl ClaimLocation {
    /// The location of the claim for `key`.
    pub fn new(group: &GroupName, user: &UserName, key: &IdempotencyKey) -> Self {
        let created_seconds = creation_seconds(key.as_str());
        let mut hash = blake3::Hasher::new();
        hash.update(user.as_str().as_bytes());
        hash.update(&[0]);
        hash.update(key.as_str().as_bytes());
        let digest = hex::encode(&hash.finalize().as_bytes()[..HASH_BYTES]);
        let window = match created_seconds {
            Some(seconds) => (seconds / BUCKET_SECONDS).to_string(),
            None => "undated".into(),
        };
        Self {
            store_key: format!("claims/{group}/{window}/{digest}"),
            created_seconds,
        }
    }

    /// Whether the key is too old at `now`, or was created further than `skew` in the future.
    pub fn is_outside_window(&self, now: TimePoint, window: Duration, skew: Duration) -> bool {
        let Some(created) = self.created_seconds else {
            return false;
        };
        let created = TimePoint(created.saturating_mul(1_000_000));
        now.since(created) > window || created.since(now) > skew
    }

    /// Earliest end of the claim's lease: two windows and `margin` after the last time that falls
    /// into the key's bucket, so that daemons whose clocks differ agree. `None` for a key without a
    /// time.
    pub fn lease_end(&self, window: Duration, margin: Duration) -> Option<TimePoint> {
        let bucket = self.created_seconds? / BUCKET_SECONDS;
        let end = TimePoint((bucket + 1).saturating_mul(BUCKET_SECONDS * 1_000_000));
        Some(end + window + window + margin)
    }
}

fn creation_seconds(key: &str) -> Option<u64> {
    let (digits, text) = key.strip_prefix('t')?.split_once('-')?;
    let has_time = digits.len() == 10 && digits.bytes().all(|byte| byte.is_ascii_digit());
    if !has_time || text.is_empty() {
        return None;
    }
    digits.parse().ok()
}
