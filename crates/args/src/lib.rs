//! Command lines as tables.
//!
//! A program declares its options and commands once, in a [`CliSpec`]. Parsing, `--help`, the man
//! page and the shell completions all follow from it.

pub mod complete;
pub mod help;
pub mod man;
pub mod output;
pub mod parse;
pub mod program;
pub mod spec;

pub use parse::Parse;
pub use parse::ParsedArgs;
pub use parse::UsageError;
pub use spec::CliSpec;
pub use spec::Cmd;
pub use spec::Opt;

/// Exit code of a command that did what it was asked.
pub const DONE: u8 = 0;

/// Exit code of a command that failed.
pub const FAILED: u8 = 1;

/// Exit code of a wrong command line or wrong settings.
pub const USAGE: u8 = 2;
