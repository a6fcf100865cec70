//! Availability of dependencies, logged once per change.

use plat::PlatError;

/// Logs once when a dependency is lost and once when it is available again.
pub(crate) struct DependencyStatus {
    name: &'static str,
    lost: bool,
}

impl DependencyStatus {
    pub(crate) fn new(name: &'static str) -> Self {
        Self { name, lost: false }
    }

    pub(crate) fn mark_lost(&mut self, error: &PlatError) {
        if !std::mem::replace(&mut self.lost, true) {
            let error = error.to_string();
            log::warn!(target: "platform", dependency = self.name, error = error.as_str();
                "dependency lost");
        }
    }

    pub(crate) fn mark_restored(&mut self) {
        if std::mem::replace(&mut self.lost, false) {
            log::info!(target: "platform", dependency = self.name; "dependency available again");
        }
    }
}
