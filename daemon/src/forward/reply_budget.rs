//! Limits the memory for replies of replicas, until callers have them, and for copies of relayed bodies.

use std::sync::{
    atomic::{
        AtomicUsize,
        Ordering, //
    },
    Arc, //
};

use bytes::Bytes;

/// Bytes of replies that a daemon holds at most if the settings don't name its memory.
const HELD_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Part of the memory that replies may take.
const MEMORY_DIVISOR: u64 = 5;
/// A reply may take one part of this many of the bytes that are still free, so that replies without an
/// end fail before they leave no room for others.
const FREE_DIVISOR: usize = 2;

/// The free bytes, shared by all exchanges of a daemon.
#[derive(Clone, Debug)]
pub(super) struct ReplyBudget {
    free_bytes: Arc<AtomicUsize>,
}

impl Default for ReplyBudget {
    fn default() -> Self {
        Self {
            free_bytes: Arc::new(AtomicUsize::new(HELD_BYTES_MAX)),
        }
    }
}

impl ReplyBudget {
    /// The budget of a daemon with `memory_bytes` of memory.
    pub(super) fn of_memory(memory_bytes: Option<u64>) -> Self {
        let part = memory_bytes.map(|bytes| bytes / MEMORY_DIVISOR);
        let part = part.and_then(|bytes| usize::try_from(bytes).ok());
        let max = HELD_BYTES_MAX.min(part.unwrap_or(HELD_BYTES_MAX));
        Self {
            free_bytes: Arc::new(AtomicUsize::new(max)),
        }
    }

    /// Starts the account of one reply.
    pub(super) fn start_reply(&self) -> ReplyAccount {
        ReplyAccount(Arc::new(HeldBytes {
            budget: self.clone(),
            held_bytes: AtomicUsize::new(0),
        }))
    }
}

/// The bytes that one reply holds. Dropping the last clone frees them.
#[derive(Clone, Debug)]
pub(super) struct ReplyAccount(Arc<HeldBytes>);

#[derive(Debug)]
struct HeldBytes {
    budget: ReplyBudget,
    held_bytes: AtomicUsize,
}

impl ReplyAccount {
    /// Takes `bytes` more; returns false if the reply is too large for what is free.
    pub(super) fn try_take(&self, bytes: usize) -> bool {
        let HeldBytes { budget, held_bytes } = &*self.0;
        let held = held_bytes.load(Ordering::Relaxed) + bytes;
        let left = |free: usize| {
            let left = free.checked_sub(bytes)?;
            (held <= left / FREE_DIVISOR).then_some(left)
        };
        let free_bytes = &budget.free_bytes;
        let taken = free_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, left);
        if taken.is_ok() {
            held_bytes.store(held, Ordering::Relaxed);
        }
        taken.is_ok()
    }

    /// Keeps what `body` takes until its last copy is dropped, and frees the rest.
    pub(super) fn attach(self, body: Bytes) -> Bytes {
        let HeldBytes { budget, held_bytes } = &*self.0;
        let held = held_bytes.load(Ordering::Relaxed);
        let kept = held.min(body.len());
        held_bytes.store(kept, Ordering::Relaxed);
        budget.free_bytes.fetch_add(held - kept, Ordering::Relaxed);
        Bytes::from_owner(HeldBody {
            body,
            _account: self,
        })
    }
}

/// A complete body with its account.
struct HeldBody {
    body: Bytes,
    _account: ReplyAccount,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        let held = *self.held_bytes.get_mut();
        self.budget.free_bytes.fetch_add(held, Ordering::Relaxed);
    }
}
