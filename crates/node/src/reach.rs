//! Dependencies that are lost and come back.

use plat::PlatError;

/// Tells once when a dependency is lost and once when it is back.
pub(crate) struct Reach {
    what: &'static str,
    lost: bool,
}

impl Reach {
    pub(crate) fn new(what: &'static str) -> Self {
        Self { what, lost: false }
    }

    pub(crate) fn lost(&mut self, error: &PlatError) {
        if !std::mem::replace(&mut self.lost, true) {
            let error = error.to_string();
            log::warn!(target: "platform", dependency = self.what, error = error.as_str();
                "dependency lost");
        }
    }

    pub(crate) fn back(&mut self) {
        if std::mem::replace(&mut self.lost, false) {
            log::info!(target: "platform", dependency = self.what; "dependency back");
        }
    }
}
