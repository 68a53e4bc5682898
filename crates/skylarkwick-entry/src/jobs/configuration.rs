//! Follows the operators' configuration by long polling.

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

use super::SharedState;

/// Maximum time for which the store holds a poll without a change; it bounds how late a dead
/// connection is noticed.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// Pause after a poll that failed, before the next one.
const ERROR_PAUSE: Duration = Duration::from_millis(200);

/// Polls for configurations and applies newer ones until `stop` is requested. Records the
/// time of each response of the store.
pub(super) fn follow<R: Registry>(
    registry: &R,
    shared: &SharedState,
    log: &Logger,
    stop: &StopSignal,
) {
    let mut revision = None;
    let mut is_store_lost = false;
    while !stop.is_requested() {
        match registry.operator_changes(revision, POLL_WAIT) {
            Ok(changes) => {
                revision = Some(changes.revision);
                *shared.last_store_response.lock().unwrap_or_else(PoisonError::into_inner) =
                    Some(Boot.now());
                if std::mem::take(&mut is_store_lost) {
                    info!(log, "store answers again");
                }
                if let Some(configuration) = changes.configuration {
                    apply_newer(shared, configuration, log);
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_store_lost, true) {
                    warn!(log, "store lost"; "error" => %error);
                }
                stop.sleep(ERROR_PAUSE);
            }
        }
    }
}

/// Replaces the current configuration unless its version is as high or higher.
fn apply_newer(shared: &SharedState, configuration: Configuration, log: &Logger) {
    let mut current = shared.configuration.lock().unwrap_or_else(PoisonError::into_inner);
    let known = current.as_ref().map_or(0, |known| known.version);
    if configuration.version > known {
        info!(log, "configuration applied"; "version" => configuration.version, "before" => known,
            "queues" => configuration.routes.len());
        *current = Some(Arc::new(configuration));
    }
}
