//! The plug-in registry.
//!
//! A crate declares a plug-in type and marks it with [`inventory::collect!`]; any crate linked into
//! the program can register values of that type. The settings select one by name.

pub use inventory;

/// A plug-in type whose registered values are selected by name.
pub trait Plugin: inventory::Collect {
    /// Kind of policy that the plug-in implements, used in error messages.
    const KIND: &'static str;

    /// Returns the name that selects this plug-in in the settings.
    fn name(&self) -> &'static str;
}

/// No plug-in of the given kind is registered under the requested name.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("unknown {kind} {name:?}; known: {}", .known.join(", "))]
pub struct UnknownPlugin {
    /// The requested kind, from [`Plugin::KIND`].
    pub kind: &'static str,
    /// The requested name.
    pub name: Box<str>,
    /// All registered names of that kind, sorted.
    pub known: Vec<&'static str>,
}

/// Returns the registered names of a plug-in type, sorted.
pub fn names<P: Plugin>() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<P>().map(Plugin::name).collect();
    names.sort_unstable();
    names
}

/// Returns the plug-in registered under `name`.
///
/// # Errors
///
/// Returns [`UnknownPlugin`], which lists the registered names, if there is none.
pub fn find<P: Plugin>(name: &str) -> Result<&'static P, UnknownPlugin> {
    inventory::iter::<P>()
        .find(|plugin| plugin.name() == name)
        .ok_or_else(|| UnknownPlugin {
            kind: P::KIND,
            name: name.into(),
            known: names::<P>(),
        })
}
