//! Handlers for the signals that stop a process or reload its settings.

use std::io;

use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};

use crate::duty::{Duty, StopSignal};

/// Starts a duty that requests `stop` on the first SIGTERM or SIGINT and then ends.
///
/// # Errors
///
/// Returns the operating system's error if the handlers cannot be installed.
pub fn watch_termination(stop: StopSignal) -> io::Result<Duty> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    Duty::spawn("signal", move || {
        if signals.forever().next().is_some() {
            stop.request();
        }
    })
}

/// Starts a duty that calls `reload` on each SIGHUP, which would otherwise end the
/// process. The duty never ends, so joining it blocks forever.
///
/// # Errors
///
/// Returns the operating system's error if the handler cannot be installed.
pub fn watch_reload(reload: impl Fn() + Send + 'static) -> io::Result<Duty> {
    let mut signals = Signals::new([SIGHUP])?;
    Duty::spawn("reload", move || {
        for _ in signals.forever() {
            reload();
        }
    })
}
