//! The directory: which replicas are registered and which configuration is in force.

mod directory_book;
mod directory_feed;
mod feed_answer;
mod feed_log;
mod feed_page;
mod feed_peer;
mod feed_plan;
mod feed_step;
mod page_budget;

pub use directory_book::DirectoryBook;
pub use directory_feed::DirectoryFeed;
pub use feed_answer::FeedAnswer;
pub use feed_page::FeedPage;
pub use feed_peer::FeedPeer;
pub use feed_step::FeedStep;
pub use page_budget::PageBudget;
