//! Structured logs, as text for a terminal or as JSON lines.

use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard};

/// Maximum number of records that wait for the writer; further ones are dropped and
/// counted, so that a slow terminal never blocks a duty.
const MAX_BUFFERED_RECORDS: usize = 4096;

/// Output format of the log: text for a terminal, or JSON lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One text line per record.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// A logger, and the thread that writes its records. Dropping it waits until every record
/// logged before is written and drops later ones, so a process drops it last.
pub struct Output {
    logger: Logger,
    _writer: AsyncGuard,
}

impl Output {
    /// Creates an output that writes records of at least severity `level` to standard error.
    /// Records that aren't written in time are dropped and counted.
    pub fn to_stderr(format: Format, level: slog::Level) -> Output {
        match format {
            Format::Human => {
                let decorator = slog_term::TermDecorator::new().stderr().build();
                Output::new(slog_term::FullFormat::new(decorator).build().fuse(), level)
            }
            Format::Json => Output::new(slog_json::Json::default(std::io::stderr()).fuse(), level),
        }
    }

    /// Creates an output that writes records of at least severity `level` as JSON lines to
    /// standard output, for a log collector. Records that the collector does not read in
    /// time are dropped and counted.
    pub fn to_stdout(level: slog::Level) -> Output {
        Output::new(slog_json::Json::default(std::io::stdout()).fuse(), level)
    }

    /// Returns the logger.
    pub const fn logger(&self) -> &Logger {
        &self.logger
    }

    /// Creates an output whose records of at least severity `level` are written to `drain`
    /// by a thread of its own.
    fn new<D>(drain: D, level: slog::Level) -> Output
    where
        D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
    {
        let filtered = slog::LevelFilter::new(drain, level).fuse();
        let (buffered, writer) =
            Async::new(filtered).chan_size(MAX_BUFFERED_RECORDS).build_with_guard();
        // Writing fails only once the output is dropped.
        Output { logger: Logger::root(buffered.ignore_res(), o!()), _writer: writer }
    }
}

/// Creates a logger that drops every record, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
