//! Validation of a document's options.

use std::time::Duration;

use toml::Spanned;

use super::{Options, Priority, Settings, StopMethod, StopPolicy, Workload};
use crate::{
    name,
    resources::Resources,
    source::{Diagnostic, Source},
};

/// Minimum of each duration in a document.
const MIN_DURATION: Duration = Duration::from_micros(1);
/// Maximum of each duration in a document; sums of durations then never overflow.
const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);
/// Millicores reserved by a task whose document sets no `work.processors`.
const DEFAULT_MILLICORES: u64 = 1000;
/// Memory in MiB reserved by a task whose document sets no `work.memory-mib`.
const DEFAULT_MEMORY_MIB: u64 = 512;
/// Maximum number of cores that one task may reserve.
const MAX_PROCESSORS: f64 = 4096.0;

impl Options {
    /// Parses and validates the document in `source`.
    ///
    /// # Errors
    ///
    /// Returns the first error in the document.
    pub fn load(source: &Source) -> Result<Settings, Diagnostic> {
        source.parse::<Options>()?.check(source)
    }

    /// Validates the options of a service's document; `source` is its text, to which
    /// diagnostics refer.
    ///
    /// # Errors
    ///
    /// Returns a diagnostic for the first value that is invalid by itself or together
    /// with another.
    pub fn check(&self, source: &Source) -> Result<Settings, Diagnostic> {
        let hosts = *self.capacity.hosts.get_ref();
        Ok(Settings {
            service: checked_name(source, "service", &self.service)?,
            team: checked_name(source, "team", &self.team)?,
            pool: checked_name(source, "pool", &self.pool)?,
            priority: self.priority(source)?,
            is_spare: self.spare,
            hosts,
            max_unavailable: self.max_unavailable(source, hosts)?,
            work: self.work(source)?,
            stop: self.stop(source)?,
        })
    }

    /// Returns `capacity.down-at-once`, or a diagnostic if it is more than `hosts`, the
    /// number of hosts that the service needs.
    fn max_unavailable(&self, source: &Source, hosts: u32) -> Result<u32, Diagnostic> {
        let down_at_once = &self.capacity.down_at_once;
        match *down_at_once.get_ref() {
            count if count > hosts => Err(source.diagnostic(
                &down_at_once.span(),
                "capacity.down-at-once",
                &format!("{count} is more than capacity.hosts = {hosts}"),
                &format!("write a number from 0 to {hosts}"),
            )),
            count => Ok(count),
        }
    }

    /// Returns the priority, which defaults to normal, or a diagnostic if it is unknown.
    fn priority(&self, source: &Source) -> Result<Priority, Diagnostic> {
        let Some(priority) = &self.priority else { return Ok(Priority::Normal) };
        match priority.get_ref().as_str() {
            "urgent" => Ok(Priority::Urgent),
            "normal" => Ok(Priority::Normal),
            "batch" => Ok(Priority::Batch),
            other => Err(source.diagnostic(
                &priority.span(),
                "priority",
                &format!("{other:?} is not a valid priority"),
                "write \"urgent\", \"normal\" or \"batch\"",
            )),
        }
    }

    /// Returns the properties of the requests, or a diagnostic if a value is out of range
    /// or the run time is longer than the deadline.
    fn work(&self, source: &Source) -> Result<Workload, Diagnostic> {
        let run_time = checked_duration(source, "work.run-time", &self.work.run_time)?;
        let deadline = checked_duration(source, "work.deadline", &self.work.deadline)?;
        if run_time > deadline {
            return Err(source.diagnostic(
                &self.work.run_time.span(),
                "work.run-time",
                "is longer than work.deadline, so no request can finish before its deadline",
                "shorten work.run-time or lengthen work.deadline",
            ));
        }
        Ok(Workload {
            is_repeatable: self.work.repeatable,
            run_time,
            deadline,
            resources: self.resources(source)?,
        })
    }

    /// Returns the resources that a task reserves, with defaults for what isn't set, or a
    /// diagnostic if the number of cores is out of range.
    fn resources(&self, source: &Source) -> Result<Resources, Diagnostic> {
        let millicores = match &self.work.processors {
            None => DEFAULT_MILLICORES,
            Some(count) if (0.001..=MAX_PROCESSORS).contains(count.get_ref()) => {
                (count.get_ref() * 1000.0).round() as u64
            }
            Some(count) => {
                return Err(source.diagnostic(
                    &count.span(),
                    "work.processors",
                    &format!("{} is out of range", count.get_ref()),
                    "write a number of cores between 0.001 and 4096",
                ));
            }
        };
        Ok(Resources {
            millicores,
            memory_mib: self.work.memory_mib.unwrap_or(DEFAULT_MEMORY_MIB),
            accelerators: self.work.accelerators.unwrap_or(0),
        })
    }

    /// Returns the stop policy, or a diagnostic if the method or the grace is invalid.
    fn stop(&self, source: &Source) -> Result<StopPolicy, Diagnostic> {
        let method = match self.stop.method.get_ref().as_str() {
            "drain" => StopMethod::Drain,
            "checkpoint" => StopMethod::Checkpoint,
            other => {
                return Err(source.diagnostic(
                    &self.stop.method.span(),
                    "stop.method",
                    &format!("{other:?} is not a valid stop method"),
                    "write \"drain\" or \"checkpoint\"",
                ));
            }
        };
        Ok(StopPolicy { method, grace: checked_duration(source, "stop.grace", &self.stop.grace)? })
    }
}

/// Parses the name at `key`; fails with a diagnostic if it is invalid.
fn checked_name<N>(source: &Source, key: &str, text: &Spanned<String>) -> Result<N, Diagnostic>
where
    N: for<'a> TryFrom<&'a str, Error = name::Error>,
{
    N::try_from(text.get_ref().as_str()).map_err(|error| {
        source.diagnostic(&text.span(), key, &error.to_string(), "choose another name")
    })
}

/// Parses the duration at `key`, written with its unit; fails with a diagnostic unless it
/// is between [`MIN_DURATION`] and [`MAX_DURATION`].
fn checked_duration(
    source: &Source,
    key: &str,
    text: &Spanned<String>,
) -> Result<Duration, Diagnostic> {
    let fix = "write a duration with its unit, such as \"250ms\", \"5s\" or \"8h\"";
    match humantime::parse_duration(text.get_ref()) {
        Ok(duration) if (MIN_DURATION..=MAX_DURATION).contains(&duration) => Ok(duration),
        Ok(_) => Err(source.diagnostic(&text.span(), key, "is not between 1us and 30days", fix)),
        Err(error) => Err(source.diagnostic(
            &text.span(),
            key,
            &format!("{:?} is not a duration ({error})", text.get_ref()),
            fix,
        )),
    }
}
