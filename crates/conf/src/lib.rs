//! Reading and checking of INI settings.
//!
//! A [`Document`] holds the sections of a file. The reader asks it for keys one by one, with what is
//! expected and what holds when the key is missing; [`Document::finish`] then reports every mistake at
//! once: bad values, missing keys, and keys or sections that nobody asked for, each with file,
//! line and key and, where one is close, the nearest known name.
//!
//! # Examples
//!
//! ```
//! use conf::Document;
//!
//! let mut doc = Document::parse("entry.ini", "[entry]\nlisten = 127.0.0.1:8080\n");
//! let mut entry = doc.take_section("entry");
//! let listen = entry.require::<std::net::SocketAddr>("listen", "an IP address and a port");
//! let queue = entry.get_or("queue", "a number of requests", 64_u32);
//! doc.finish_section(entry);
//! doc.finish()?;
//! assert_eq!(listen.map(|addr| addr.port()), Some(8080));
//! assert_eq!(queue, 64);
//! # Ok::<(), conf::SettingsErrors>(())
//! ```

mod document;
mod error;
mod load;
mod section;
mod value;

pub use document::Document;
pub use error::SettingsError;
pub use error::SettingsErrorKind;
pub use error::SettingsErrors;
pub use load::LoadError;
pub use load::load;
pub use section::Section;
pub use value::DurationMs;
pub use value::List;
pub use value::Rate;
