//! Where requests may be served: home regions of routes and client accounts.

mod request_placement;
mod unknown_homes;

pub use request_placement::RequestPlacement;
pub use unknown_homes::UnknownHomes;
