//! Dependencies that are lost and come back.

use plat::PlatError;

/// Tells once when a dependency is lost and once when it is back.
pub(crate) struct DependencyStatus {
    name: &'static str,
    lost: bool,
}

impl DependencyStatus {
    pub(crate) fn new(what: &'static str) -> Self {
        Self {
            name: what,
            lost: false,
        }
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
            log::info!(target: "platform", dependency = self.name; "dependency back");
        }
    }
}
