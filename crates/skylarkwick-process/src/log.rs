//! Structured logs: for people on a terminal, or as JSON lines.

use slog::{Drain, Logger, o};

/// Records that wait for the log's writer before further ones are dropped and
/// counted, so that a slow terminal never stops a duty.
const BUFFERED_RECORDS: usize = 4096;

/// Form of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One line for people.
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// Creates the log of a process, written to standard error.
pub fn to_stderr(format: Format, level: slog::Level) -> Logger {
    match format {
        Format::Human => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            root(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
        Format::Json => root(slog_json::Json::default(std::io::stderr()).fuse(), level),
    }
}

/// Creates a log of JSON lines on standard output, for collectors; lines that
/// the collector does not take in time are dropped and counted.
pub fn to_stdout(level: slog::Level) -> Logger {
    root(slog_json::Json::default(std::io::stdout()).fuse(), level)
}

/// Creates a log that drops everything, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn root<D>(drain: D, level: slog::Level) -> Logger
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let filtered = slog::LevelFilter::new(drain, level).fuse();
    let buffered = slog_async::Async::new(filtered).chan_size(BUFFERED_RECORDS).build();
    Logger::root(buffered.fuse(), o!())
}
