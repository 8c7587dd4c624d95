//! Limits the memory for replies of replicas that are not complete, and for copies of relayed bodies.

use std::{
    cell::Cell,
    rc::Rc, //
};

/// Bytes of incomplete replies that a daemon holds at most if the settings don't name its memory.
const INCOMPLETE_BYTES_MAX: usize = 32 * 1024 * 1024;
/// Part of the memory that incomplete replies may take.
const MEMORY_DIVISOR: u64 = 5;
/// An incomplete reply may take one part of this many of the bytes that are still free, so that
/// replies without an end fail before they leave no room for others.
const FREE_DIVISOR: usize = 2;

/// The free bytes, shared by all exchanges of a daemon.
#[derive(Clone, Debug)]
pub(super) struct ReplyBudget {
    free_bytes: Rc<Cell<usize>>,
}

impl Default for ReplyBudget {
    fn default() -> Self {
        Self {
            free_bytes: Rc::new(Cell::new(INCOMPLETE_BYTES_MAX)),
        }
    }
}

impl ReplyBudget {
    /// The budget of a daemon with `memory_bytes` of memory.
    pub(super) fn of_memory(memory_bytes: Option<u64>) -> Self {
        let part = memory_bytes.map(|bytes| bytes / MEMORY_DIVISOR);
        let part = part.and_then(|bytes| usize::try_from(bytes).ok());
        let max = INCOMPLETE_BYTES_MAX.min(part.unwrap_or(INCOMPLETE_BYTES_MAX));
        Self {
            free_bytes: Rc::new(Cell::new(max)),
        }
    }

    /// Starts the account of one reply.
    pub(super) fn start_reply(&self) -> ReplyAccount {
        ReplyAccount {
            budget: self.clone(),
            held_bytes: 0,
        }
    }
}

/// The bytes that one reply holds. Dropping it frees them.
#[derive(Debug)]
pub(super) struct ReplyAccount {
    budget: ReplyBudget,
    held_bytes: usize,
}

impl ReplyAccount {
    /// Takes `bytes` more; returns false if the reply is too large for what is free.
    pub(super) fn try_take(&mut self, bytes: usize) -> bool {
        let free = self.budget.free_bytes.get();
        let held = self.held_bytes + bytes;
        if bytes > free || held > (free - bytes) / FREE_DIVISOR {
            return false;
        }
        self.budget.free_bytes.set(free - bytes);
        self.held_bytes = held;
        true
    }
}

impl Drop for ReplyAccount {
    fn drop(&mut self) {
        let free = self.budget.free_bytes.get();
        self.budget.free_bytes.set(free + self.held_bytes);
    }
}
