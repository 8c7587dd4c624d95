//! Limits the bytes that an upstream may send for one reply.

use std::{
    io,
    pin::Pin,
    sync::{
        atomic::{
            AtomicUsize,
            Ordering, //
        },
        Arc, //
    },
    task::{
        ready,
        Context,
        Poll, //
    },
};

use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
};

/// Bytes that may still be read from a connection. Clones share the number.
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

/// A connection whose reads fail once its allowance is used up. The limits of the HTTP library do
/// not suffice: it reads informational responses and chunk headers without end.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl MeteredStream {
    /// Wraps `stream`, with an allowance that is set before each exchange.
    pub(crate) fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - filled;
        if read > 0 && !self.allowance.try_take(read) {
            let error = io::Error::new(io::ErrorKind::InvalidData, "reply exceeds its size limit");
            return Poll::Ready(Err(error));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
