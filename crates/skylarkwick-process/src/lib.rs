//! What lives as long as a process.
//!
//! Rings, duties, the clock, settings, logs, metrics, traces and the view of the
//! platform's rows. Every binary is built from these; the decisions that run on
//! them are in the crates `skylarkwick-version` and `skylarkwick-request`.

pub mod clock;
pub mod duty;
pub mod exit;
pub mod log;
pub mod metrics;
pub mod program;
pub mod ring;
pub mod settings;
pub mod signal;
pub mod trace;
pub mod view;
