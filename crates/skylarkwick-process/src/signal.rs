//! Signals that ask a process to stop.

use std::io;

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::duty::{Duty, StopSignal};

/// Requests `stop` on the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns the system's error when the handlers can't be installed.
pub fn watch_termination(stop: StopSignal) -> io::Result<Duty> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    Duty::spawn("signal", move || {
        if signals.forever().next().is_some() {
            stop.request();
        }
    })
}

/// Calls `reload` on each SIGHUP, which would end the process otherwise.
///
/// # Errors
///
/// Returns the system's error when the handler can't be installed.
pub fn watch_reload(reload: impl Fn() + Send + 'static) -> io::Result<Duty> {
    let mut signals = Signals::new([SIGHUP])?;
    Duty::spawn("reload", move || {
        for _ in signals.forever() {
            reload();
        }
    })
}
