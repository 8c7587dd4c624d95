//! Sizes of the limits.

use std::time::Duration;

use thiserror::Error;

/// Memory that is assumed if the settings don't name any: that of the platform's smallest VM.
const SMALLEST_VM_BYTES: u64 = 112 * 1024 * 1024;
/// Descriptors that are assumed if the settings don't name any: those of the platform's smallest VM.
const SMALLEST_VM_DESCRIPTORS: u32 = 2_870;
/// Descriptors that are left for files.
const FILE_DESCRIPTORS: usize = 200;
/// Memory of a connection without a request: the HTTP library's buffers of 8 KB each for reading and
/// writing, and the task.
const CONNECTION_BYTES: usize = 20 * 1024;
/// Smallest number of connections with which a daemon is usable.
const CONNECTIONS_MIN: usize = 16;
/// Smallest room for the bytes of requests: four bodies of the largest usual size of 262,144 bytes.
const BYTES_MIN: usize = 1024 * 1024;

/// Limits that leave a daemon no room to serve.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
pub enum IntakeError {
    /// The memory is too small.
    #[error("{bytes} bytes of memory leave too little room for requests")]
    MemoryTooSmall {
        /// Memory from the settings.
        bytes: u64,
    },
    /// There are too few descriptors.
    #[error("{descriptors} descriptors leave too few for connections")]
    TooFewDescriptors {
        /// Descriptors from the settings.
        descriptors: u32,
    },
}

/// Limits on connections and on the bytes held for them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeSettings {
    /// Largest number of open connections.
    pub connections_max: usize,
    /// Largest number of request bytes held for all connections.
    pub bytes_max: usize,
    /// One address may hold one part of this many of the bytes, and of the connections when they run
    /// out.
    pub address_divisor: usize,
    /// Requests of more than this many bytes leave an eighth of the bytes to smaller ones.
    pub small_bytes: usize,
    /// A body is taken to make progress if as many bytes arrive before `stall_period` has passed.
    pub progress_bytes: usize,
    /// Time without progress after which a connection that holds bytes may be dropped for others.
    pub stall_period: Duration,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self {
            connections_max: 2_000,
            bytes_max: SMALLEST_VM_BYTES as usize / 4,
            address_divisor: 2,
            small_bytes: 16 * 1024,
            progress_bytes: 4_096,
            // Longer than a retransmission of a lost packet usually takes.
            stall_period: Duration::from_millis(300),
        }
    }
}

impl IntakeSettings {
    /// Limits of the callers' port: a quarter of the memory for request bytes, an eighth for
    /// connections, and half of the descriptors. `None` assumes the smallest VM.
    ///
    /// # Errors
    ///
    /// [`IntakeError`] if that leaves too little to serve.
    pub fn of_callers(memory: Option<u64>, descriptors: Option<u32>) -> Result<Self, IntakeError> {
        let bytes = memory.unwrap_or(SMALLEST_VM_BYTES);
        let memory_bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let count = descriptors.unwrap_or(SMALLEST_VM_DESCRIPTORS);
        let open_max = (count as usize).saturating_sub(FILE_DESCRIPTORS) / 2;
        if open_max < CONNECTIONS_MIN {
            return Err(IntakeError::TooFewDescriptors { descriptors: count });
        }
        let settings = Self {
            connections_max: open_max.min(memory_bytes / 8 / CONNECTION_BYTES),
            bytes_max: memory_bytes / 4,
            ..Self::default()
        };
        if settings.bytes_max < BYTES_MIN || settings.connections_max < CONNECTIONS_MIN {
            return Err(IntakeError::MemoryTooSmall { bytes });
        }
        Ok(settings)
    }

    /// Limits of the port for other daemons, each half of those of the callers' port. Any one daemon may
    /// use all of it.
    ///
    /// # Errors
    ///
    /// The same as of [`Self::of_callers`].
    pub fn of_peers(memory: Option<u64>, descriptors: Option<u32>) -> Result<Self, IntakeError> {
        let callers = Self::of_callers(memory, descriptors)?;
        Ok(Self {
            connections_max: callers.connections_max / 2,
            bytes_max: callers.bytes_max / 2,
            address_divisor: 1,
            ..callers
        })
    }
}
