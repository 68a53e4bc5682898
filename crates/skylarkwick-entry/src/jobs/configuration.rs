//! Follows the operators' configuration by long polling.

use std::{
    sync::{Arc, PoisonError},
    time::Duration,
};

use skylarkwick_connection::{
    control::{Configuration, Registry},
    store::{Store, keyspace},
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::StopSignal,
};
use slog::{Logger, info, warn};

use super::SharedState;

/// Maximum time for which the store holds a poll without a change; it bounds how late a dead
/// connection is noticed.
const POLL_WAIT: Duration = Duration::from_millis(1000);
/// The same until the division of the site into shards is known.
const STARTUP_POLL_WAIT: Duration = Duration::from_millis(100);
/// Pause after a poll that failed, before the next one.
const ERROR_PAUSE: Duration = Duration::from_millis(200);

/// Polls for configurations and applies newer ones until `stop` is requested. Records the
/// time of each response of the store.
pub(super) fn follow<S: Store, R: Registry>(
    store: &S,
    registry: &R,
    shared: &SharedState,
    log: &Logger,
    stop: &StopSignal,
) {
    let mut revision = None;
    let mut is_store_lost = false;
    while !stop.is_requested() {
        let wait = match shared.sharding.get() {
            Some(_) => POLL_WAIT,
            None => STARTUP_POLL_WAIT,
        };
        let sent = Boot.now();
        match registry.operator_changes(revision, wait) {
            Ok(changes) => {
                revision = Some(changes.revision);
                for problem in &changes.problems {
                    warn!(log, "operator change ignored"; "because" => problem);
                }
                *shared.last_store_response.lock().unwrap_or_else(PoisonError::into_inner) =
                    Some(Boot.now());
                if std::mem::take(&mut is_store_lost) {
                    info!(log, "store answers again");
                }
                if let Some(configuration) = changes.configuration {
                    apply_newer(shared, configuration, log);
                }
                // Only once what the poll brought is in force is the view as new as the poll.
                *shared.last_poll_sent.lock().unwrap_or_else(PoisonError::into_inner) = Some(sent);
                if shared.sharding.get().is_none() {
                    learn_sharding(store, shared, log);
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

/// Reads the division of the site into shards, which a planner stores when the site starts
/// for the first time.
fn learn_sharding<S: Store>(store: &S, shared: &SharedState, log: &Logger) {
    match keyspace::read_sharding(store) {
        Ok(Some(sharding)) => {
            info!(log, "shards known"; "shards" => sharding.count());
            // Only this thread sets it.
            let _ = shared.sharding.set(sharding);
        }
        Ok(None) => {}
        Err(error) => warn!(log, "shards not known"; "error" => %error),
    }
}

/// Replaces the current configuration unless its version is as high or higher.
fn apply_newer(shared: &SharedState, configuration: Configuration, log: &Logger) {
    let mut current = shared.configuration.lock().unwrap_or_else(PoisonError::into_inner);
    let known = current.as_ref().map_or(0, |known| known.version);
    if configuration.version > known {
        info!(log, "configuration applied"; "version" => configuration.version, "before" => known,
            "queues" => configuration.routes.len(),
            "workspaces" => configuration.workspaces.len());
        *current = Some(Arc::new(configuration));
    }
}
