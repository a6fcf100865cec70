//! Settings of the stand-in program.

use std::net::SocketAddr;

use conf::Document;
use conf::DurationMs;
use conf::Rate;
use conf::Section;
use conf::SettingsErrors;

use crate::engine::Settings;

/// What to serve at one address.
#[derive(Clone, Debug)]
pub enum Role {
    /// The platform's key-value service.
    Platform,
    /// A model engine.
    Engine(Settings),
    /// A plain service: milliseconds of work a call, and calls at once.
    Service(u64, usize),
    /// A weight store: bytes of a version, and bytes a second.
    Store(usize, f64),
}

/// One stand-in of the program.
#[derive(Clone, Debug)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// What it is.
    pub role: Role,
}

/// Reads what is particular to one kind of part.
type Read = fn(&mut Section) -> Role;

/// Reads the settings of the stand-in program: one `[platform NAME]`, `[engine NAME]`,
/// `[service NAME]` or `[store NAME]` section for each part.
///
/// # Errors
///
/// Returns every mistake of the file at once.
pub fn read(file: &str, text: &str) -> Result<Vec<Part>, SettingsErrors> {
    let mut doc = Document::parse(file, text);
    let mut parts = Vec::new();
    let kinds: [(&str, Read); 4] = [
        ("platform", |_| Role::Platform),
        ("engine", engine),
        ("service", service),
        ("store", store),
    ];
    for (kind, role) in kinds {
        for mut section in doc.take_sections(kind) {
            let listen = section.require("listen", "an IP address and a port");
            let role = role(&mut section);
            let name = section.label().to_owned();
            doc.finish_section(section);
            parts.extend(listen.map(|listen| Part { name, listen, role }));
        }
    }
    doc.finish()?;
    Ok(parts)
}

fn engine(s: &mut Section) -> Role {
    let make = Settings::default();
    Role::Engine(Settings {
        speed: s.get_or("speed", "tokens a second", Rate(make.speed)).0,
        slots: s.get_or("slots", "a number of streams", make.slots),
        median: s.get_or("median", "a number of tokens", make.median),
        version: s.get_or("version", "a weight version", make.version),
        fencing: s.get_or("fencing", "true or false", make.fencing),
        swap: std::time::Duration::from_millis(
            s.get_or("swap", "a span of time", DurationMs(50)).0,
        ),
    })
}

fn service(s: &mut Section) -> Role {
    let work = s.get_or("work", "a span of time", DurationMs(5)).0;
    let slots = s.get_or("slots", "a number of calls", 32);
    Role::Service(work, slots)
}

fn store(s: &mut Section) -> Role {
    let size = s.get_or("size", "a number of bytes", 1 << 20);
    let rate = s.get_or("rate", "bytes a second", Rate(100e6)).0;
    Role::Store(size, rate)
}
