//! Settings of the operators' command line.

use std::net::SocketAddr;

use conf::Document;
use conf::SettingsErrors;
use serve::settings::Peer;
use serve::settings::read_peer;
use serve::settings::read_platform;
use serve::settings::read_secret;
use serve::settings::read_section;
use serve::settings::read_sections;
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
    let platform = read_section(&mut doc, "platform", read_platform);
    let secret = read_section(&mut doc, "peers", read_secret);
    let peers = read_sections(&mut doc, "peer", read_peer);
    doc.finish()?;
    // Not reached: `finish` returns an error when a value is missing.
    let missing = || SettingsErrors(Vec::new());
    Ok(Settings {
        platform: platform.ok_or_else(missing)?,
        secret: secret.ok_or_else(missing)?,
        peers,
    })
}
