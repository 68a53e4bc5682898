//! Settings of a process on an entry host.

use std::{net::SocketAddr, path::Path};

use serde::Deserialize;
use skylarkwick_version::{name, source::Diagnostic};
use toml::Spanned;

use super::{Error, read_source, site};
use crate::log::Format;

/// Unvalidated options of a process: path of the site's settings, relative to this file,
/// name of the entry host, log and metrics. Unknown keys are rejected.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Options {
    site: Spanned<String>,
    entry: Option<Spanned<String>>,
    #[serde(default)]
    log: Log,
    #[serde(default)]
    metrics: Metrics,
}

/// Section `log`: output format, and minimum severity of logged records.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Log {
    format: Option<Spanned<String>>,
    level: Option<Spanned<String>>,
}

/// Section `metrics`: the address that StatsD datagrams are sent to.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Metrics {
    statsd: Option<Spanned<String>>,
}

/// Validated settings of a process: its entry host, its site, and where its log and metrics
/// go.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Entry host that the process runs on.
    pub entry: name::Entry,
    /// Settings of the site.
    pub site: site::Settings,
    /// Output format of the log.
    pub log_format: Format,
    /// Minimum severity of logged records.
    pub log_level: slog::Level,
    /// Address that metrics are sent to; none to discard them.
    pub statsd: Option<SocketAddr>,
}

impl Settings {
    /// Loads and validates the settings of a process from the file at `path`, and those of
    /// its site from the file that it names.
    ///
    /// `entry` overrides the entry host in the file, so that several can share it.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read, a value is invalid or the entry
    /// host does not exist in the site.
    pub fn load(path: &Path, entry: Option<&str>) -> Result<Settings, Error> {
        let source = read_source(path)?;
        let options: Options = source.parse()?;
        let site_path = path.parent().unwrap_or(Path::new("")).join(options.site.get_ref());
        let site = site::Settings::load(&read_source(&site_path)?)?;
        let entry_name = entry.or(options.entry.as_ref().map(|entry| entry.get_ref().as_str()));
        let entry_name = entry_name.unwrap_or_default();
        let Some((entry, _)) = site.entries.get_key_value(entry_name) else {
            return Err(Error::UnknownEntry {
                file: path.display().to_string(),
                entry: entry_name.to_owned(),
                known: site.entries.keys().map(name::Entry::as_str).collect::<Vec<_>>().join(", "),
            });
        };
        let invalid = |value: &Spanned<String>, key: &str, fix: &str| -> Diagnostic {
            let problem = format!("{:?} is not valid", value.get_ref());
            source.diagnostic(&value.span(), key, &problem, fix)
        };
        let log_format = match &options.log.format {
            None => Format::Human,
            Some(text) => match text.get_ref().as_str() {
                "human" => Format::Human,
                "json" => Format::Json,
                _ => return Err(invalid(text, "log.format", "write \"human\" or \"json\"").into()),
            },
        };
        let log_level = match &options.log.level {
            None => slog::Level::Info,
            Some(text) => text.get_ref().parse().map_err(|()| {
                invalid(text, "log.level", "write \"error\", \"warning\", \"info\" or \"debug\"")
            })?,
        };
        let statsd =
            match &options.metrics.statsd {
                None => None,
                Some(text) => Some(text.get_ref().parse().map_err(|_| {
                    invalid(text, "metrics.statsd", "write an IP address and a port")
                })?),
            };
        Ok(Settings { entry: entry.clone(), site, log_format, log_level, statsd })
    }
}
