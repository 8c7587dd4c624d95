//! Whether there is room for more bytes.

/// Answer to a connection that asks for room for more bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoomAnswer {
    /// The bytes are reserved.
    Taken,
    /// There is no room now; the connection may ask again.
    Short,
    /// There will never be room for as many bytes of one connection.
    Never,
}
