//! Limits on the connections of callers and on the request bytes held for them.

mod intake_budget;
mod intake_entry;
mod intake_settings;
mod room_answer;

pub use intake_budget::IntakeBudget;
pub use intake_entry::{
    IntakeId,
    IntakeStage, //
};
pub use intake_settings::{
    IntakeError,
    IntakeSettings, //
};
pub use room_answer::RoomAnswer;
