//! What daemons tell each other of the directory.

use schema::DirectoryEvent;
use serde::{
    Deserialize,
    Serialize, //
};

/// The changes of the directory up to a revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FeedPage {
    /// The revision.
    pub revision: u64,
    /// Whether these are all entries there are, not the changes since an earlier revision.
    pub whole: bool,
    /// The changes, in order.
    pub events: Vec<DirectoryEvent>,
}
