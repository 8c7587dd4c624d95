//! The directory: which replicas are registered and which configuration is in force.

mod directory_book;
mod directory_event;

pub use directory_book::DirectoryBook;
pub use directory_event::DirectoryEvent;
