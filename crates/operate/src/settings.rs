//! Settings of the operators' command line.

use std::net::SocketAddr;

use conf::Document;
use conf::SettingsErrors;
use serve::settings::Peer;
use serve::settings::many;
use serve::settings::one;
use serve::settings::peer;
use serve::settings::platform;
use serve::settings::secret;
use wire::peer::Secret;

/// Settings of the operators' command line. The sections have the same format as those of an instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// The secret that all instances share.
    pub secret: Secret,
    /// The instances.
    pub peers: Vec<Peer>,
}

/// Parses the settings of the operators' command line. `file` is the name that errors refer to.
///
/// # Errors
///
/// Returns all errors of the file.
pub fn read(file: &str, text: &str) -> Result<Settings, SettingsErrors> {
    let mut doc = Document::parse(file, text);
    let platform = one(&mut doc, "platform", platform);
    let secret = one(&mut doc, "peers", secret);
    let peers = many(&mut doc, "peer", peer);
    doc.finish()?;
    // Not reached: `finish` returns an error when a value is missing.
    let missing = || SettingsErrors(Vec::new());
    Ok(Settings {
        platform: platform.ok_or_else(missing)?,
        secret: secret.ok_or_else(missing)?,
        peers,
    })
}
