//! The directory of registered replicas and of the route table in force, and how each daemon keeps
//! its copy up to date.

mod change_log;
mod directory_feed;
mod directory_state;
mod feed_answer;
mod feed_page;
mod feed_peer;
mod feed_position;
mod feed_reads;
mod feed_settings;
mod feed_step;
mod page_budget;
mod source_fault;
mod source_selector;

pub use directory_feed::DirectoryFeed;
pub use directory_state::DirectoryState;
pub use feed_answer::FeedAnswer;
pub use feed_page::{
    FeedPage,
    PageExtension, //
};
pub use feed_peer::FeedPeer;
pub use feed_position::FeedPosition;
pub use feed_settings::FeedSettings;
pub use feed_step::FeedStep;
pub use page_budget::PageBudget;
