//! Single-threaded async runtime for the commands.

use std::{
    future::Future,
    io, //
};

use tokio::runtime::Builder;

/// Runs `task` to completion on the current thread.
pub(crate) fn block_on<T>(task: impl Future<Output = T>) -> io::Result<T> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(task))
}
