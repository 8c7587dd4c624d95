//! Where requests may be served: home regions of routes and client accounts, and cold replicas.

mod cold_state;
mod request_placement;
mod unknown_homes;

pub use cold_state::{
    ColdPhase,
    ColdState, //
};
pub use request_placement::RequestPlacement;
pub use unknown_homes::UnknownHomes;
