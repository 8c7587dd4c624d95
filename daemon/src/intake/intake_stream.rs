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

use super::intake_slot::IntakeSlot;

/// Bytes that one read returns at most. It is less than the HTTP library's first buffer, because the
/// library doubles its buffer after a read that fills it.
const READ_MAX: usize = 8_191;

/// A caller's connection with a place in the budget.
#[derive(Debug)]
pub(crate) struct IntakeStream {
    pub(crate) stream: TcpStream,
    pub(crate) slot: IntakeSlot,
}

impl AsyncRead for IntakeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let length = buffer.remaining().min(READ_MAX);
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut limited))?;
        let count = limited.filled().len();
        buffer.advance(count);
        if !self.slot.count_head(count) {
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for IntakeStream {
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
