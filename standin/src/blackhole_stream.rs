//! Connections that can become black holes.

use std::{
    io,
    pin::Pin,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc, //
    },
    task::{
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
    net::TcpStream, //
};

/// A stream that discards what is written and never becomes readable once the shared generation
/// differs from the one it was created in. This is what both sides see when a firewall or NAT on
/// the path has dropped its connection state.
#[derive(Debug)]
pub(crate) struct BlackholeStream {
    stream: TcpStream,
    created_generation: u64,
    generation: Arc<AtomicU64>,
}

impl BlackholeStream {
    /// Wraps a new connection, which works until `generation` next changes.
    pub(crate) fn new(stream: TcpStream, generation: Arc<AtomicU64>) -> Self {
        let created_generation = generation.load(Ordering::Relaxed);
        Self {
            stream,
            created_generation,
            generation,
        }
    }

    fn is_blackholed(&self) -> bool {
        self.generation.load(Ordering::Relaxed) != self.created_generation
    }
}

impl AsyncRead for BlackholeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_blackholed() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for BlackholeStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_blackholed() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_blackholed() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
