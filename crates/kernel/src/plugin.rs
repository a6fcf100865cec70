//! The plug-in registry.
//!
//! A crate declares a plug-in type, marks it with [`inventory::collect!`], and any crate linked
//! into the program submits values of it. The settings choose one by name.

pub use inventory;

/// A plug-in that is chosen by name.
pub trait Plugin: inventory::Collect {
    /// What kind of policy the plug-in decides, for messages.
    const KIND: &'static str;

    /// The name by which the settings choose it.
    fn name(&self) -> &'static str;
}

/// No plug-in of this kind has the name that the settings ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("unknown {kind} {name:?}; known: {}", .known.join(", "))]
pub struct UnknownPlugin {
    /// The kind asked for.
    pub kind: &'static str,
    /// The name asked for.
    pub name: Box<str>,
    /// The names that are registered, sorted.
    pub known: Vec<&'static str>,
}

/// Lists the registered names of a kind, sorted.
pub fn names<P: Plugin>() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<P>().map(Plugin::name).collect();
    names.sort_unstable();
    names
}

/// Finds a plug-in by name.
///
/// # Errors
///
/// Returns [`UnknownPlugin`], which lists the known names.
pub fn find<P: Plugin>(name: &str) -> Result<&'static P, UnknownPlugin> {
    inventory::iter::<P>()
        .find(|plugin| plugin.name() == name)
        .ok_or_else(|| UnknownPlugin {
            kind: P::KIND,
            name: name.into(),
            known: names::<P>(),
        })
}
