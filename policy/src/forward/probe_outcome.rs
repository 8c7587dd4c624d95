//! Outcomes of probes.

/// What a connection attempt to a replica that broke a connection has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeOutcome {
    /// The replica accepted the connection, so it runs.
    Accepted,
    /// Nothing listens at its address, so the process has ended.
    Refused,
    /// No answer came in time, which shows neither.
    NoAnswer,
}
