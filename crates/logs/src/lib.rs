//! Log lines by log and fern: one line an event, as `key=value` pairs or as JSON.
//!
//! What an event is about stands in fields, not in its text. Tokens, keys and bodies are never
//! fields.

mod line;
pub mod queue;

use std::io;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::OnceLock;
use std::time::Duration;

pub use line::COMMON_FIELDS;
pub use line::json;
pub use line::pairs;
pub use queue::Queue;
pub use queue::dropped_lines;

/// Target of the audit trail's lines: changes that somebody or something made.
pub const AUDIT_TARGET: &str = "audit";

/// The form of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `key=value` pairs.
    #[default]
    Pairs,
    /// One JSON object.
    Json,
}

/// The text names no form.
#[derive(Clone, Copy, Debug)]
#[derive(thiserror::Error)]
#[error("expected pairs or json")]
pub struct ParseFormatError;

impl FromStr for Format {
    type Err = ParseFormatError;

    fn from_str(text: &str) -> Result<Self, ParseFormatError> {
        match text {
            "pairs" => Ok(Self::Pairs),
            "json" => Ok(Self::Json),
            _ => Err(ParseFormatError),
        }
    }
}

/// Where lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sink {
    /// To standard error, line by line.
    #[default]
    Stderr,
    /// To standard output, through a bounded queue that never blocks.
    Queue,
}

/// Where lines go and what they look like.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Lowest level that is written.
    pub level: log::LevelFilter,
    /// The form of a line.
    pub format: Format,
    /// Where lines go.
    pub sink: Sink,
    /// File of the audit trail's lines; standard error when absent.
    pub audit: Option<PathBuf>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            level: log::LevelFilter::Info,
            format: Format::Pairs,
            sink: Sink::Stderr,
            audit: None,
        }
    }
}

/// Logging cannot begin.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum LogError {
    /// The audit trail's file cannot be opened.
    #[error("could not open the audit log")]
    Audit(#[source] io::Error),
    /// The thread that writes lines cannot be started.
    #[error("could not start the writer of the log")]
    Writer(#[source] io::Error),
    /// Something else logs already.
    #[error("could not begin to log")]
    Logger(#[from] log::SetLoggerError),
}

fn output(sink: Sink) -> Result<fern::Output, LogError> {
    match sink {
        Sink::Stderr => Ok(io::stderr().into()),
        Sink::Queue => {
            let queue = Queue::begin(io::stdout()).map_err(LogError::Writer)?;
            let queue = QUEUE.get_or_init(|| queue).clone();
            let call = move |record: &log::Record<'_>| queue.line(record.args().to_string());
            Ok(fern::Output::call(call))
        }
    }
}

/// The queue of a process that logs through one.
static QUEUE: OnceLock<Queue> = OnceLock::new();

/// Time that a process waits at its end for its last lines to be written.
const LAST: Duration = Duration::from_millis(250);

/// Waits a moment until the lines so far are written; a process calls it before it ends.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        // Nobody is left who could be told that lines were lost.
        let _ = queue.flush(LAST);
    }
}

/// Begins to log where the settings say, and the audit trail to its own file if there is one.
///
/// # Errors
///
/// Returns [`LogError`].
pub fn init(settings: &Settings) -> Result<(), LogError> {
    let form = settings.format;
    let dispatch = fern::Dispatch::new().format(move |out, _, record| {
        let line = match form {
            Format::Pairs => pairs(record),
            Format::Json => json(record),
        };
        out.finish(format_args!("{line}"));
    });
    let level = settings.level;
    let plain = fern::Dispatch::new()
        .level(level)
        .level_for(AUDIT_TARGET, log::LevelFilter::Info)
        // gotham reports each request and hyper each frame; ours say more in fewer lines.
        .level_for("gotham", level.min(log::LevelFilter::Warn))
        .level_for("hyper", level.min(log::LevelFilter::Warn))
        .level_for("hyper_util", level.min(log::LevelFilter::Warn))
        .chain(output(settings.sink)?);
    let dispatch = match &settings.audit {
        None => dispatch.chain(plain),
        Some(file) => {
            let file = fern::log_file(file).map_err(LogError::Audit)?;
            let audit = fern::Dispatch::new()
                .filter(|metadata| metadata.target() == AUDIT_TARGET)
                .chain(file);
            let rest = plain.filter(|metadata| metadata.target() != AUDIT_TARGET);
            dispatch.chain(audit).chain(rest)
        }
    };
    dispatch.apply()?;
    Ok(())
}
