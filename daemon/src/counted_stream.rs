//! A connection whose reads are counted.

use std::{
    io,
    pin::Pin,
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

/// Counts the bytes that are read from a connection.
pub(crate) trait ReadCounter: Unpin {
    /// Bytes that one read returns at most.
    const READ_MAX: usize = usize::MAX;

    /// Counts the bytes of a read, 0 at the end of the stream.
    ///
    /// # Errors
    ///
    /// The read fails with the error if the bytes may not be read.
    fn count(&self, bytes: usize) -> io::Result<()>;
}

/// A connection whose reads fail once its counter does.
#[derive(Debug)]
pub(crate) struct CountedStream<C> {
    pub(crate) stream: TcpStream,
    pub(crate) counter: C,
}

impl<C: ReadCounter> AsyncRead for CountedStream<C> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        if buffer.remaining() <= C::READ_MAX {
            ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        } else {
            let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(C::READ_MAX));
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut limited))?;
            let read = limited.filled().len();
            buffer.advance(read);
        }
        let read = buffer.filled().len() - filled;
        Poll::Ready(self.counter.count(read))
    }
}

impl<C: ReadCounter> AsyncWrite for CountedStream<C> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
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

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
