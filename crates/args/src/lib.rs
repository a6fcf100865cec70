//! Declarative command lines.
//!
//! A program declares its options and commands once, in a [`CliSpec`]. Parsing, `--help`, the man
//! page and the shell completions are all derived from it.

pub mod complete;
pub mod help;
pub mod man;
pub mod output;
pub mod parse;
pub mod program;
pub mod spec;

pub use parse::ParseOutcome;
pub use parse::ParsedArgs;
pub use parse::UsageError;
pub use spec::CliSpec;
pub use spec::Cmd;
pub use spec::Opt;

/// Exit code of a command that succeeded.
pub const EXIT_SUCCESS: u8 = 0;

/// Exit code of a command that failed.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for an invalid command line or invalid settings.
pub const EXIT_USAGE: u8 = 2;
