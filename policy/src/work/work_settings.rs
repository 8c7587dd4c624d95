//! Switches for the parts of the work-aware forwarding.

/// Which parts are in use. None is by default: on the platform, the choice by reported load sent more to
/// other regions and served fewer requests in time (docs/design/work.md). A part is switched on to measure it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkSettings {
    /// Replicas are chosen by the expected completion of the request.
    pub choice: bool,
    /// Hedge delays follow the expected completion at the replica.
    pub hedges: bool,
}

impl WorkSettings {
    /// Settings with all parts.
    pub fn all() -> Self {
        Self {
            choice: true,
            hedges: true,
        }
    }

    /// Whether a part is in use that needs estimates of the work.
    pub fn estimates_work(&self) -> bool {
        self.choice || self.hedges
    }

    /// Settings with the parts in a comma-separated list: `choice`, `hedges`.
    ///
    /// # Errors
    ///
    /// The first name of the list that is no part.
    pub fn with(names: &str) -> Result<Self, String> {
        let mut settings = Self::default();
        for name in names.split(',').map(str::trim) {
            match name {
                "" => {}
                "choice" => settings.choice = true,
                "hedges" => settings.hedges = true,
                unknown => return Err(unknown.to_owned()),
            }
        }
        Ok(settings)
    }
}
