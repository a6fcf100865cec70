//! Loads the text of settings files.

use std::path::Path;

/// A settings file could not be read.
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("could not read {file}")]
pub struct LoadError {
    file: String,
    #[source]
    cause: std::io::Error,
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Returns [`LoadError`] with the file's name if reading fails.
pub fn load(file: impl AsRef<Path>) -> Result<String, LoadError> {
    let file = file.as_ref();
    std::fs::read_to_string(file).map_err(|cause| LoadError {
        file: file.display().to_string(),
        cause,
    })
}
