//! Settings of `snipeway-standin`.

use std::net::SocketAddr;

use conf::Document;
use conf::DurationMs;
use conf::Rate;
use conf::Section;
use conf::SettingsErrors;

use crate::engine::Settings;

/// Kind of a stand-in, with its parameters.
#[derive(Clone, Debug)]
pub enum Role {
    /// The platform's key-value service.
    Platform,
    /// A model engine.
    Engine(Settings),
    /// A plain service: processing time of a call in milliseconds, and maximum number of concurrent calls.
    Service(u64, usize),
    /// A weight store: size of a version in bytes, and bandwidth in bytes per second.
    Store(usize, f64),
}

/// Settings of one stand-in.
#[derive(Clone, Debug)]
pub struct StandIn {
    /// Name of the stand-in.
    pub name: String,
    /// The address that it listens on.
    pub listen: SocketAddr,
    /// Which system it stands in for.
    pub role: Role,
}

/// Reads the keys that only one kind of stand-in has.
type ReadRole = fn(&mut Section) -> Role;

/// Reads the settings: one `[platform NAME]`, `[engine NAME]`, `[service NAME]` or `[store NAME]` section for each
/// stand-in.
///
/// # Errors
///
/// Returns all errors of the file at once.
pub fn read(file: &str, text: &str) -> Result<Vec<StandIn>, SettingsErrors> {
    let mut doc = Document::parse(file, text);
    let mut stand_ins = Vec::new();
    let kinds: [(&str, ReadRole); 4] = [
        ("platform", |_| Role::Platform),
        ("engine", engine),
        ("service", service),
        ("store", store),
    ];
    for (kind, read_role) in kinds {
        for mut section in doc.take_sections(kind) {
            let listen = section.require("listen", "an IP address and a port");
            let role = read_role(&mut section);
            let name = section.label().to_owned();
            doc.finish_section(section);
            stand_ins.extend(listen.map(|listen| StandIn { name, listen, role }));
        }
    }
    doc.finish()?;
    Ok(stand_ins)
}

fn engine(section: &mut Section) -> Role {
    let defaults = Settings::default();
    Role::Engine(Settings {
        speed: section
            .get_or("speed", "tokens a second", Rate(defaults.speed))
            .0,
        slots: section.get_or("slots", "a number of streams", defaults.slots),
        median: section.get_or("median", "a number of tokens", defaults.median),
        version: section.get_or("version", "a weight version", defaults.version),
        fencing: section.get_or("fencing", "true or false", defaults.fencing),
        swap: std::time::Duration::from_millis(
            section.get_or("swap", "a span of time", DurationMs(50)).0,
        ),
    })
}

fn service(section: &mut Section) -> Role {
    let work = section.get_or("work", "a span of time", DurationMs(5)).0;
    let slots = section.get_or("slots", "a number of calls", 32);
    Role::Service(work, slots)
}

fn store(section: &mut Section) -> Role {
    let size = section.get_or("size", "a number of bytes", 1 << 20);
    let rate = section.get_or("rate", "bytes a second", Rate(100e6)).0;
    Role::Store(size, rate)
}
