//! How far a daemon has read the directory.

use serde::{
    Deserialize,
    Serialize, //
};

/// A revision of the store. A store that comes back from an older copy begins a new era, in which it
/// gives revisions out again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FeedPosition {
    /// How often the store has come back from an older copy.
    pub era: u64,
    /// Revision within the era.
    pub revision: u64,
}
