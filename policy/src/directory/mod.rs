//! The directory: which replicas are registered and which configuration is in force.

mod directory_book;
mod directory_feed;
mod feed_log;
mod feed_page;
mod feed_plan;

pub use directory_book::DirectoryBook;
pub use directory_feed::{
    DirectoryFeed,
    FeedAnswer,
    FeedStep, //
};
pub use feed_page::FeedPage;
pub use feed_plan::FeedPeer;
