//! Structured logs, as text for a terminal or as JSON lines.

use slog::{Drain, Logger, o};

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

/// Creates a logger that writes records of at least severity `level` to standard error.
/// Records that aren't written in time are dropped and counted.
pub fn to_stderr(format: Format, level: slog::Level) -> Logger {
    match format {
        Format::Human => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            root(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
        Format::Json => root(slog_json::Json::default(std::io::stderr()).fuse(), level),
    }
}

/// Creates a logger that writes records of at least severity `level` as JSON lines to
/// standard output, for a log collector. Records that the collector does not read in time
/// are dropped and counted.
pub fn to_stdout(level: slog::Level) -> Logger {
    root(slog_json::Json::default(std::io::stdout()).fuse(), level)
}

/// Creates a logger that drops every record, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Creates a logger whose records of at least severity `level` are written to `drain` by a
/// thread of its own.
fn root<D>(drain: D, level: slog::Level) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let filtered = slog::LevelFilter::new(drain, level).fuse();
    let buffered = slog_async::Async::new(filtered).chan_size(MAX_BUFFERED_RECORDS).build();
    Logger::root(buffered.fuse(), o!())
}
