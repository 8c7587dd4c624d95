//! Limits the bytes that an upstream may send for one reply.

use std::{
    io,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
};

use crate::counted_stream::ReadCounter;

/// Bytes that may still be read from a connection. Clones share the number. The limits of the HTTP
/// library do not suffice: it reads informational responses and chunk headers without end.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    /// Allows `bytes` from now on, whatever was left.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Whether a read failed because more bytes came than were allowed.
    pub(crate) fn is_used_up(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    /// Takes `bytes`; returns false, and leaves nothing, if fewer are left.
    fn try_take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes < left
    }
}

impl ReadCounter for ReadAllowance {
    fn count(&self, bytes: usize) -> io::Result<()> {
        if bytes > 0 && !self.try_take(bytes) {
            let error = io::Error::new(io::ErrorKind::InvalidData, "reply exceeds its size limit");
            return Err(error);
        }
        Ok(())
    }
}
