//! Where requests may be served: home regions of routes and client accounts.

mod request_placement;

pub use request_placement::RequestPlacement;
