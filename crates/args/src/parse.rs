//! Command line parsing.

use std::ffi::OsString;
use std::str::FromStr;

use lexopt::Arg;
use lexopt::Parser;

use crate::CliSpec;
use crate::Cmd;
use crate::help::help;

/// What the program does after parsing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ParseOutcome {
    /// Run with these arguments.
    Run(ParsedArgs),
    /// Print this text, the help or the version, and exit.
    Print(String),
}

/// The command, operands and option values of a command line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ParsedArgs {
    /// The command's name; empty for a program without commands.
    pub cmd: &'static str,
    /// The operands.
    pub operands: Vec<String>,
    values: Vec<(&'static str, String)>,
}

/// An error in a command line.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum UsageError {
    /// An option that the program or the command does not accept.
    #[error("unknown option {0}{1}")]
    UnknownOption(String, Suggestion),
    /// A command that the program does not have.
    #[error("unknown command {0:?}{1}")]
    UnknownCommand(String, Suggestion),
    /// The command is missing.
    #[error("a command is missing; see --help")]
    MissingCommand,
    /// Too few or too many operands.
    #[error("usage: {0}")]
    InvalidOperands(String),
    /// An option without its value, or a value for an option that takes none.
    #[error(transparent)]
    Syntax(#[from] lexopt::Error),
    /// A value that does not parse as the expected type or is not allowed.
    #[error("--{option}: expected {expected}, found {found:?}")]
    InvalidValue {
        /// The option's long name.
        option: &'static str,
        /// A description of valid values.
        expected: &'static str,
        /// The value that was given.
        found: String,
    },
    /// A required option is missing.
    #[error("--{0} is missing")]
    MissingOption(&'static str),
}

/// The most similar known name, if one is similar enough to suggest.
#[derive(Debug)]
pub struct Suggestion(Option<&'static str>);

impl std::fmt::Display for Suggestion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(name) => write!(f, "; did you mean {name}?"),
            None => Ok(()),
        }
    }
}

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested.
const MIN_SIMILARITY: f64 = 0.8;

fn suggest(name: &str, known: impl Iterator<Item = &'static str>) -> Suggestion {
    let scored = known.map(|other| (strsim::jaro_winkler(name, other), other));
    let similar = scored.filter(|(score, _)| *score >= MIN_SIMILARITY);
    Suggestion(
        similar
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, name)| name),
    )
}

impl ParsedArgs {
    /// Returns whether an option was given.
    pub fn has(&self, long: &str) -> bool {
        self.values.iter().any(|(name, _)| *name == long)
    }

    /// Returns the value of an option; the last one if it was given more than once.
    pub fn value(&self, long: &str) -> Option<&str> {
        let found = self.values.iter().rev().find(|(name, _)| *name == long);
        found.map(|(_, value)| value.as_str())
    }

    /// Parses the value of an option. `expected` describes a valid value in the error message.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError::InvalidValue`] if the value does not parse.
    pub fn get<T: FromStr>(
        &self,
        long: &'static str,
        expected: &'static str,
    ) -> Result<Option<T>, UsageError> {
        let Some(found) = self.value(long) else {
            return Ok(None);
        };
        match found.parse() {
            Ok(value) => Ok(Some(value)),
            Err(_) => Err(UsageError::InvalidValue {
                option: long,
                expected,
                found: found.into(),
            }),
        }
    }

    /// Parses the value of a required option.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError`] if the option is missing or its value does not parse.
    pub fn require<T: FromStr>(
        &self,
        long: &'static str,
        expected: &'static str,
    ) -> Result<T, UsageError> {
        self.get(long, expected)?
            .ok_or(UsageError::MissingOption(long))
    }
}

/// Parses `args`, which start after the program's name. `--help` and `--version` take precedence
/// over a missing or unknown command.
///
/// # Errors
///
/// Returns [`UsageError`] if an option, the command or the number of operands is invalid.
///
/// # Examples
///
/// ```
/// use args::{CliSpec, Opt, ParseOutcome};
///
/// const SPEC: CliSpec = CliSpec {
///     program: "snipeway-entry",
///     about: "Serves callers",
///     description: "",
///     opts: &[Opt { long: "config", value: Some("FILE"), help: "Settings" }],
///     cmds: &[],
/// };
/// let outcome = args::parse::parse(&SPEC, ["--config", "a.ini"])?;
/// let ParseOutcome::Run(parsed) = outcome else { panic!("expected arguments to run with") };
/// assert_eq!(parsed.value("config"), Some("a.ini"));
/// # Ok::<(), args::UsageError>(())
/// ```
pub fn parse<I>(spec: &CliSpec, args: I) -> Result<ParseOutcome, UsageError>
where
    I: IntoIterator,
    I::Item: Into<OsString>,
{
    let mut parser = Parser::from_args(args);
    let mut positionals: Vec<String> = Vec::new();
    let mut parsed = ParsedArgs::default();
    let mut info_request = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(value) => positionals.push(value.to_string_lossy().into_owned()),
            Arg::Long("help") | Arg::Short('h') => info_request = Some("help"),
            Arg::Long("version") | Arg::Short('V') => info_request = Some("version"),
            Arg::Long(name) => {
                let name = name.to_owned();
                parse_option(spec, &name, &mut parser, &mut parsed)?;
            }
            Arg::Short(letter) => {
                return Err(UsageError::UnknownOption(
                    format!("-{letter}"),
                    Suggestion(None),
                ));
            }
        }
    }
    if info_request == Some("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(ParseOutcome::Print(format!("{} {version}\n", spec.program)));
    }
    let command = find_command(spec, &positionals);
    if info_request == Some("help") {
        return Ok(ParseOutcome::Print(help(spec, command.map(|(cmd, _)| cmd))));
    }
    build_outcome(spec, command, positionals, parsed)
}

fn parse_option(
    spec: &CliSpec,
    name: &str,
    parser: &mut Parser,
    parsed: &mut ParsedArgs,
) -> Result<(), UsageError> {
    let command_opts = spec.cmds.iter().flat_map(|cmd| cmd.opts);
    let mut all_opts = spec.opts.iter().chain(command_opts);
    let Some(opt) = all_opts.find(|opt| opt.long == name) else {
        let command_opts = spec.cmds.iter().flat_map(|cmd| cmd.opts);
        let names = spec.opts.iter().chain(command_opts).map(|opt| opt.long);
        return Err(UsageError::UnknownOption(
            format!("--{name}"),
            suggest(name, names),
        ));
    };
    let value = match opt.value {
        Some(_) => parser.value()?.to_string_lossy().into_owned(),
        None => String::new(),
    };
    parsed.values.push((opt.long, value));
    Ok(())
}

/// Finds the command whose name the positional arguments start with, and the number of words in
/// that name.
fn find_command<'a>(spec: &'a CliSpec, positionals: &[String]) -> Option<(&'a Cmd, usize)> {
    spec.cmds.iter().find_map(|cmd| {
        let name: Vec<_> = cmd.name.split(' ').collect();
        let matches =
            positionals.len() >= name.len() && name.iter().zip(positionals).all(|(a, b)| a == b);
        matches.then_some((cmd, name.len()))
    })
}

/// Checks that the command accepts the given options and the number of operands.
fn build_outcome(
    spec: &CliSpec,
    command: Option<(&Cmd, usize)>,
    mut positionals: Vec<String>,
    mut parsed: ParsedArgs,
) -> Result<ParseOutcome, UsageError> {
    let (min_operands, max_operands, usage) = match (command, spec.cmds.is_empty()) {
        (Some((cmd, name_words)), _) => {
            positionals.drain(..name_words);
            parsed.cmd = cmd.name;
            let usage = format!("{} {} {}", spec.program, cmd.name, cmd.operands);
            // Without this check an option of another command would be ignored silently.
            let accepted = spec.options_for(Some(cmd));
            let unaccepted = parsed
                .values
                .iter()
                .find(|(name, _)| !accepted.iter().any(|opt| opt.long == *name));
            if let Some((name, _)) = unaccepted {
                let text = format!("--{name} of {}", cmd.name);
                return Err(UsageError::UnknownOption(text, Suggestion(None)));
            }
            (cmd.min_operands, cmd.max_operands, usage)
        }
        (None, true) => (0, 0, format!("{} [OPTION]...", spec.program)),
        (None, false) => return Err(command_error(spec, &positionals)),
    };
    if positionals.len() < min_operands || positionals.len() > max_operands {
        return Err(UsageError::InvalidOperands(usage.trim_end().to_owned()));
    }
    parsed.operands = positionals;
    Ok(ParseOutcome::Run(parsed))
}

fn command_error(spec: &CliSpec, positionals: &[String]) -> UsageError {
    if positionals.is_empty() {
        return UsageError::MissingCommand;
    }
    let name = positionals[..positionals.len().min(2)].join(" ");
    let names = || spec.cmds.iter().map(|cmd| cmd.name);
    let suggestion = suggest(&name, names());
    UsageError::UnknownCommand(name, suggestion)
}
