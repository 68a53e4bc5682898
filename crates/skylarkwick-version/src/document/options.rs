//! Document of a service as its team writes it, before validation.

use serde::Deserialize;
use toml::Spanned;

/// Unvalidated options of a service's document, with their positions in the file for
/// diagnostics; unknown keys are rejected.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Options {
    pub(crate) service: Spanned<String>,
    pub(crate) team: Spanned<String>,
    pub(crate) pool: Spanned<String>,
    pub(crate) priority: Option<Spanned<String>>,
    #[serde(default)]
    pub(crate) spare: bool,
    pub(crate) capacity: Capacity,
    pub(crate) work: Work,
    pub(crate) stop: Stop,
}

/// Section `capacity`: the number of hosts needed, and how many may be unavailable.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Capacity {
    pub(crate) hosts: Spanned<u32>,
    pub(crate) down_at_once: Spanned<u32>,
}

/// Section `work`: properties of requests, and the resources that one task reserves.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Work {
    pub(crate) repeatable: bool,
    pub(crate) run_time: Spanned<String>,
    pub(crate) deadline: Spanned<String>,
    /// Number of cores, from 0.001 to 4096; 1 if missing.
    pub(crate) processors: Option<Spanned<f64>>,
    pub(crate) memory_mib: Option<u64>,
    pub(crate) accelerators: Option<u64>,
}

/// Section `stop`: how tasks are stopped, and for how long a planned stop waits for them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct Stop {
    pub(crate) method: Spanned<String>,
    pub(crate) grace: Spanned<String>,
}
