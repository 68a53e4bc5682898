//! Follows what operators put in force.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use skylarkwick_connection::control::{Configuration, Registry};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::StopSignal,
};
use slog::{Logger, info, warn};

use super::Shared;

/// Longest wait for a change; a silent connection is noticed soon after.
const WAIT: Duration = Duration::from_millis(1000);
/// Pause after the store gave no answer.
const PAUSE: Duration = Duration::from_millis(200);

/// Follows the configuration until the stop.
pub(super) fn follow<D: Registry>(directory: &D, shared: &Shared, log: &Logger, stop: &StopSignal) {
    let mut revision = None;
    let mut is_lost = false;
    while !stop.is_requested() {
        match directory.operator_changes(revision, WAIT) {
            Ok(notice) => {
                revision = Some(notice.revision);
                *shared.heard.lock().unwrap_or_else(PoisonError::into_inner) = Some(Boot.now());
                if std::mem::take(&mut is_lost) {
                    info!(log, "store answers again");
                }
                if let Some(configuration) = notice.configuration {
                    adopt(shared, configuration, log);
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    warn!(log, "store lost"; "error" => %error);
                }
                stop.sleep(PAUSE);
            }
        }
    }
}

/// Puts a configuration in force, unless a later one is.
fn adopt(shared: &Shared, configuration: Configuration, log: &Logger) {
    let mut current = shared.configuration.lock().unwrap_or_else(PoisonError::into_inner);
    let known = current.as_ref().map_or(0, |known| known.version);
    if configuration.version > known {
        info!(log, "configuration in force"; "version" => configuration.version, "before" => known,
            "queues" => configuration.routes.len());
        *current = Some(Arc::new(configuration));
    }
}
