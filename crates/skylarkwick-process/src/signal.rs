//! Signals that ask a process to stop.

use std::io;

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::duty::{Duty, Stop};

/// Requests `stop` on the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error when the handlers can't be installed.
pub fn watch(stop: Stop) -> io::Result<Duty> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    Duty::spawn("signal", move || {
        if signals.forever().next().is_some() {
            stop.request();
        }
    })
}
