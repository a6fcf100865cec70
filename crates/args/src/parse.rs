//! Parsing of a command line.

use std::ffi::OsString;
use std::str::FromStr;

use lexopt::Arg;
use lexopt::Parser;

use crate::CliSpec;
use crate::Cmd;
use crate::help::help;

/// What a command line asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parse {
    /// Run.
    Run(ParsedArgs),
    /// Print this text and exit.
    Show(String),
}

/// The parts of a command line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ParsedArgs {
    /// The command, for a program that has several.
    pub cmd: &'static str,
    /// The operands.
    pub operands: Vec<String>,
    values: Vec<(&'static str, String)>,
}

/// What is wrong with a command line.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum UsageError {
    /// No such option.
    #[error("unknown option {0}{1}")]
    Option(String, Hint),
    /// No such command.
    #[error("unknown command {0:?}{1}")]
    Command(String, Hint),
    /// The command is missing.
    #[error("a command is missing; see --help")]
    NoCommand,
    /// Too few or too many operands.
    #[error("usage: {0}")]
    InvalidOperands(String),
    /// An option without its value, or with one that it does not take.
    #[error(transparent)]
    Value(#[from] lexopt::Error),
    /// A value that does not have the expected form.
    #[error("--{option}: expected {expected}, found {found:?}")]
    InvalidValue {
        /// The option.
        option: &'static str,
        /// What would be right.
        expected: &'static str,
        /// What stands there.
        found: String,
    },
    /// An option that must be there is not.
    #[error("--{0} is missing")]
    Missing(&'static str),
}

/// The nearest known name, if one is close.
#[derive(Debug)]
pub struct Hint(Option<&'static str>);

impl std::fmt::Display for Hint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            Some(near) => write!(f, "; did you mean {near}?"),
            None => Ok(()),
        }
    }
}

/// Similarity from which a known name is offered.
const NEAR: f64 = 0.8;

fn hint(name: &str, known: impl Iterator<Item = &'static str>) -> Hint {
    let scored = known.map(|other| (strsim::jaro_winkler(name, other), other));
    let near = scored.filter(|(score, _)| *score >= NEAR);
    Hint(
        near.max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, name)| name),
    )
}

impl ParsedArgs {
    /// Tells whether a switch is set.
    pub fn has(&self, long: &str) -> bool {
        self.values.iter().any(|(name, _)| *name == long)
    }

    /// The value of an option; the last one when it is given more than once.
    pub fn value(&self, long: &str) -> Option<&str> {
        let found = self.values.iter().rev().find(|(name, _)| *name == long);
        found.map(|(_, value)| value.as_str())
    }

    /// The value of an option in a given form.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError::InvalidValue`] when the value does not have it.
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

    /// The value of an option that must be there.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError`] when it is missing or does not have the form.
    pub fn require<T: FromStr>(
        &self,
        long: &'static str,
        expected: &'static str,
    ) -> Result<T, UsageError> {
        self.get(long, expected)?.ok_or(UsageError::Missing(long))
    }
}

/// Parses the arguments after the program's name.
///
/// # Errors
///
/// Returns [`UsageError`], which names what is wrong.
///
/// # Examples
///
/// ```
/// use args::{Opt, Parse, CliSpec};
///
/// const SPEC: CliSpec = CliSpec {
///     program: "snipeway-entry",
///     about: "Serves callers",
///     description: "",
///     opts: &[Opt { long: "config", value: Some("FILE"), help: "Settings" }],
///     cmds: &[],
/// };
/// let parsed = args::parse::parse(&SPEC, ["--config", "a.ini"])?;
/// let Parse::Run(parsed) = parsed else { panic!("no help was asked for") };
/// assert_eq!(parsed.value("config"), Some("a.ini"));
/// # Ok::<(), args::UsageError>(())
/// ```
pub fn parse<I>(spec: &CliSpec, args: I) -> Result<Parse, UsageError>
where
    I: IntoIterator,
    I::Item: Into<OsString>,
{
    let mut parser = Parser::from_args(args);
    let mut words: Vec<String> = Vec::new();
    let mut parsed = ParsedArgs::default();
    let mut show = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Value(word) => words.push(word.to_string_lossy().into_owned()),
            Arg::Long("help") | Arg::Short('h') => show = Some("help"),
            Arg::Long("version") | Arg::Short('V') => show = Some("version"),
            Arg::Long(name) => {
                let name = name.to_owned();
                option(spec, &name, &mut parser, &mut parsed)?;
            }
            Arg::Short(letter) => {
                return Err(UsageError::Option(format!("-{letter}"), Hint(None)));
            }
        }
    }
    if show == Some("version") {
        let version = env!("CARGO_PKG_VERSION");
        return Ok(Parse::Show(format!("{} {version}\n", spec.program)));
    }
    let found = find(spec, &words);
    if show == Some("help") {
        return Ok(Parse::Show(help(spec, found.map(|(cmd, _)| cmd))));
    }
    finish(spec, found, words, parsed)
}

fn option(
    spec: &CliSpec,
    name: &str,
    parser: &mut Parser,
    parsed: &mut ParsedArgs,
) -> Result<(), UsageError> {
    let of_cmds = spec.cmds.iter().flat_map(|cmd| cmd.opts);
    let mut known = spec.opts.iter().chain(of_cmds);
    let Some(opt) = known.find(|opt| opt.long == name) else {
        let of_cmds = spec.cmds.iter().flat_map(|cmd| cmd.opts);
        let names = spec.opts.iter().chain(of_cmds).map(|opt| opt.long);
        return Err(UsageError::Option(format!("--{name}"), hint(name, names)));
    };
    let value = match opt.value {
        Some(_) => parser.value()?.to_string_lossy().into_owned(),
        None => String::new(),
    };
    parsed.values.push((opt.long, value));
    Ok(())
}

/// Finds the command that the first words name, and how many words that takes.
fn find<'a>(spec: &'a CliSpec, words: &[String]) -> Option<(&'a Cmd, usize)> {
    spec.cmds.iter().find_map(|cmd| {
        let name: Vec<_> = cmd.name.split(' ').collect();
        let same = words.len() >= name.len() && name.iter().zip(words).all(|(a, b)| a == b);
        same.then_some((cmd, name.len()))
    })
}

fn finish(
    spec: &CliSpec,
    found: Option<(&Cmd, usize)>,
    mut words: Vec<String>,
    mut parsed: ParsedArgs,
) -> Result<Parse, UsageError> {
    let (least, most, usage) = match (found, spec.cmds.is_empty()) {
        (Some((cmd, taken)), _) => {
            words.drain(..taken);
            parsed.cmd = cmd.name;
            let usage = format!("{} {} {}", spec.program, cmd.name, cmd.operands);
            // An option of another command would be passed over without a word.
            let all = spec.all(Some(cmd));
            let foreign = parsed
                .values
                .iter()
                .find(|(name, _)| !all.iter().any(|opt| opt.long == *name));
            if let Some((name, _)) = foreign {
                let text = format!("--{name} of {}", cmd.name);
                return Err(UsageError::Option(text, Hint(None)));
            }
            (cmd.min_operands, cmd.max_operands, usage)
        }
        (None, true) => (0, 0, format!("{} [OPTION]...", spec.program)),
        (None, false) => return Err(unknown(spec, &words)),
    };
    if words.len() < least || words.len() > most {
        return Err(UsageError::InvalidOperands(usage.trim_end().to_owned()));
    }
    parsed.operands = words;
    Ok(Parse::Run(parsed))
}

fn unknown(spec: &CliSpec, words: &[String]) -> UsageError {
    if words.is_empty() {
        return UsageError::NoCommand;
    }
    let two = words[..words.len().min(2)].join(" ");
    let names = || spec.cmds.iter().map(|cmd| cmd.name);
    let near = hint(&two, names());
    UsageError::Command(two, near)
}
