//! Switches for the parts of the work-aware forwarding.

/// Names of the parts, as [`WorkSettings::without`] takes them.
pub const WORK_PARTS: [&str; 2] = ["choice", "hedges"];

/// Which parts are in use. All are by default; a part is switched off only to measure its effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkSettings {
    /// Replicas are chosen by the expected completion of the request.
    pub choice: bool,
    /// Hedge delays follow the expected completion at the replica.
    pub hedges: bool,
}

impl Default for WorkSettings {
    fn default() -> Self {
        Self {
            choice: true,
            hedges: true,
        }
    }
}

impl WorkSettings {
    /// Settings without any of the parts.
    pub fn none() -> Self {
        Self {
            choice: false,
            hedges: false,
        }
    }

    /// Settings without the parts in a comma-separated list.
    ///
    /// # Errors
    ///
    /// The first name that is not in [`WORK_PARTS`].
    pub fn without(names: &str) -> Result<Self, String> {
        let mut settings = Self::default();
        for name in names.split(',').map(str::trim) {
            match name {
                "" => {}
                "choice" => settings.choice = false,
                "hedges" => settings.hedges = false,
                unknown => return Err(unknown.to_owned()),
            }
        }
        Ok(settings)
    }
}
