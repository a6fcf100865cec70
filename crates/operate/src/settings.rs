//! Settings of the operators' tool.

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

/// Settings of the operators' tool: the same sections as an instance has.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the platform's key-value service.
    pub platform: Vec<SocketAddr>,
    /// The key that instances share.
    pub secret: Secret,
    /// The instances.
    pub peers: Vec<Peer>,
}

/// Reads the settings of the operators' tool.
///
/// # Errors
///
/// Returns every mistake of the file at once.
pub fn read(file: &str, text: &str) -> Result<Settings, SettingsErrors> {
    let mut doc = Document::parse(file, text);
    let platform = read_section(&mut doc, "platform", read_platform);
    let secret = read_section(&mut doc, "peers", read_secret);
    let peers = read_sections(&mut doc, "peer", read_peer);
    doc.finish()?;
    let absent = || SettingsErrors(Vec::new());
    Ok(Settings {
        platform: platform.ok_or_else(absent)?,
        secret: secret.ok_or_else(absent)?,
        peers,
    })
}
