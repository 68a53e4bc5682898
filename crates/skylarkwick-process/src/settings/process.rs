//! Settings of one process on an entry host.

use std::{net::SocketAddr, path::Path};

use serde::Deserialize;
use skylarkwick_version::{name, source::Diagnostic};
use toml::Spanned;

use super::{Error, read_source, site};
use crate::log::Format;

/// User-written options of a process.
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

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Log {
    format: Option<Spanned<String>>,
    level: Option<Spanned<String>>,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Metrics {
    statsd: Option<Spanned<String>>,
}

/// Checked settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry host that the process runs on.
    pub entry: name::Entry,
    /// The site.
    pub site: site::Settings,
    /// Form of the log.
    pub log_format: Format,
    /// Lowest level that is logged.
    pub log_level: slog::Level,
    /// Where metrics are sent, if anywhere.
    pub statsd: Option<SocketAddr>,
}

impl Settings {
    /// Loads and checks a process's settings and those of its site.
    ///
    /// `entry` overrides the name in the file, so that entry hosts can share one.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its file, line, key and what to write instead.
    pub fn load(path: &Path, entry: Option<&str>) -> Result<Settings, Error> {
        let source = read_source(path)?;
        let options: Options = source.parse()?;
        let site_path = path.parent().unwrap_or(Path::new("")).join(options.site.get_ref());
        let site = site::Settings::load(&read_source(&site_path)?)?;
        let wanted = entry.or(options.entry.as_ref().map(|entry| entry.get_ref().as_str()));
        let wanted = wanted.unwrap_or_default();
        let Some((entry, _)) = site.entries.get_key_value(wanted) else {
            return Err(Error::UnknownEntry {
                file: path.display().to_string(),
                entry: wanted.to_owned(),
                known: site.entries.keys().map(name::Entry::as_str).collect::<Vec<_>>().join(", "),
            });
        };
        let fault = |value: &Spanned<String>, key: &str, fix: &str| -> Diagnostic {
            let problem = format!("{:?} is not valid", value.get_ref());
            source.diagnostic(&value.span(), key, &problem, fix)
        };
        let log_format = match &options.log.format {
            None => Format::Human,
            Some(text) => match text.get_ref().as_str() {
                "human" => Format::Human,
                "json" => Format::Json,
                _ => return Err(fault(text, "log.format", "write \"human\" or \"json\"").into()),
            },
        };
        let log_level = match &options.log.level {
            None => slog::Level::Info,
            Some(text) => text.get_ref().parse().map_err(|()| {
                fault(text, "log.level", "write \"error\", \"warning\", \"info\" or \"debug\"")
            })?,
        };
        let statsd = match &options.metrics.statsd {
            None => None,
            Some(text) => Some(
                text.get_ref()
                    .parse()
                    .map_err(|_| fault(text, "metrics.statsd", "write an IP number and a port"))?,
            ),
        };
        Ok(Settings { entry: entry.clone(), site, log_format, log_level, statsd })
    }
}
