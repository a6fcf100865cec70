//! Logging with `log` and `fern`: one line per event, as `key=value` pairs or as JSON.
//!
//! The data of an event goes into fields, not into the message text. Tokens, keys and bodies are
//! never logged as fields.

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

/// Log target of the audit trail, which records changes and who or what made them.
pub const AUDIT_TARGET: &str = "audit";

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `key=value` pairs.
    #[default]
    Pairs,
    /// One JSON object.
    Json,
}

/// The text is not the name of a [`Format`].
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

/// The destination of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sink {
    /// Standard error; each line is written synchronously.
    #[default]
    Stderr,
    /// Standard output through a bounded [`Queue`]; logging never blocks.
    Queue,
}

/// Level, format and destinations of log lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The most verbose level that is logged.
    pub level: log::LevelFilter,
    /// The format of all lines.
    pub format: Format,
    /// The destination of the lines.
    pub sink: Sink,
    /// The file of the audit trail; if absent, its lines go to `sink` with the others.
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

/// Logging could not be initialized.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum LogError {
    /// The audit trail's file cannot be opened.
    #[error("could not open the audit log")]
    Audit(#[source] io::Error),
    /// The thread that writes lines cannot be started.
    #[error("could not start the writer of the log")]
    Writer(#[source] io::Error),
    /// A logger is already installed.
    #[error("could not begin to log")]
    Logger(#[from] log::SetLoggerError),
}

fn fern_output(sink: Sink) -> Result<fern::Output, LogError> {
    match sink {
        Sink::Stderr => Ok(io::stderr().into()),
        Sink::Queue => {
            let queue = Queue::spawn(io::stdout()).map_err(LogError::Writer)?;
            let queue = QUEUE.get_or_init(|| queue).clone();
            let call = move |record: &log::Record<'_>| queue.push(record.args().to_string());
            Ok(fern::Output::call(call))
        }
    }
}

/// The queue of this process, set if it logs to [`Sink::Queue`].
static QUEUE: OnceLock<Queue> = OnceLock::new();

/// Maximum time that [`flush`] waits for the last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Waits for a short time until all lines logged so far are written. A process calls it before it
/// exits.
pub fn flush() {
    if let Some(queue) = QUEUE.get() {
        // At this point there is no way left to report that lines were lost.
        let _ = queue.flush(FLUSH_TIMEOUT);
    }
}

/// Installs the global logger according to the settings. Audit lines go to their own file if one is
/// set.
///
/// # Errors
///
/// Returns [`LogError`] if the audit file cannot be opened, the writer thread cannot be started or
/// a logger is already installed.
pub fn init(settings: &Settings) -> Result<(), LogError> {
    let format = settings.format;
    let dispatch = fern::Dispatch::new().format(move |out, _, record| {
        let line = match format {
            Format::Pairs => pairs(record),
            Format::Json => json(record),
        };
        out.finish(format_args!("{line}"));
    });
    let level = settings.level;
    let general = fern::Dispatch::new()
        .level(level)
        .level_for(AUDIT_TARGET, log::LevelFilter::Info)
        // gotham logs every request and hyper every frame; the lines of this service say more with
        // fewer lines.
        .level_for("gotham", level.min(log::LevelFilter::Warn))
        .level_for("hyper", level.min(log::LevelFilter::Warn))
        .level_for("hyper_util", level.min(log::LevelFilter::Warn))
        .chain(fern_output(settings.sink)?);
    let dispatch = match &settings.audit {
        None => dispatch.chain(general),
        Some(file) => {
            let file = fern::log_file(file).map_err(LogError::Audit)?;
            let audit = fern::Dispatch::new()
                .filter(|metadata| metadata.target() == AUDIT_TARGET)
                .chain(file);
            let general = general.filter(|metadata| metadata.target() != AUDIT_TARGET);
            dispatch.chain(audit).chain(general)
        }
    };
    dispatch.apply()?;
    Ok(())
}
