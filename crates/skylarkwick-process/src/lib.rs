//! Components with the lifetime of a process.
//!
//! Rings, duties, clocks, settings, logs, metrics, traces and the view of the
//! platform's rows, shared by every binary. The decisions that use them are in
//! the crates `skylarkwick-version` and `skylarkwick-request`.

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
