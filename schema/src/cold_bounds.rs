//! How far the rate of a cold replica may be exceeded.

/// How far the requests to a cold replica may exceed its rate: in any second, the rate x `overage` + `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate.
    pub overage: f64,
    /// Requests in addition.
    pub slack: f64,
}
