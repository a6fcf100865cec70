//! Reads and checks INI settings files.
//!
//! A [`Document`] holds the sections of a file. The program reads each key with a description of
//! valid values for error messages and, for an optional key, a default. [`Document::finish`] then
//! reports all errors at once: invalid values, missing keys, and keys or sections that the program
//! did not read. Each has the file and line, and a similar known name if there is one.
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
