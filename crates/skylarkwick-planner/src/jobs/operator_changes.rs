//! The duty that follows what operators write: the configuration and maintenance waves.

use std::{io, time::Duration};

use skylarkwick_connection::{
    control::Registry,
    store::{
        self, Store,
        keyspace::Keyspace,
        row::{self, WaveRow},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::{
    shard::input::{HostId, MaintenanceWave},
    wave_share::{self, Share},
};
use skylarkwick_version::{moment::Moment, sharding::ShardId};
use slog::{Logger, warn};

use super::event::{Event, send};

/// Longest time that the store holds back a response until something changes; waves that
/// wait for another shard are looked at as often.
const MAX_WAIT: Duration = Duration::from_millis(1500);
/// Pause after a failed read, before it is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time after a shard's part of a wave is stored as complete until its last hosts are back,
/// as a multiple of the duration of a maintenance.
const MAINTENANCE_FACTOR: u32 = 3;

/// Where the duty reads from: the store, the operators' rows, and the rows of the shard; and
/// the duration of the maintenance of a host.
#[derive(Clone, Debug)]
pub(super) struct OperatorSource<S, D> {
    /// Client of the platform's store.
    pub(super) store: S,
    /// Reads what operators write.
    pub(super) registry: D,
    /// Rows of the shard.
    pub(super) keyspace: Keyspace,
    /// Duration of the maintenance of a host.
    pub(super) maintenance_duration: Duration,
}

/// A shard's part of a wave that another shard's part precedes.
#[derive(Debug)]
struct DeferredWave {
    wave: MaintenanceWave,
    /// Hosts of the part that precedes it.
    predecessor: MaintenanceWave,
    /// Shard of that part.
    shard: ShardId,
    /// When the wave was read.
    received: Moment,
    /// When that part was first seen to be complete.
    completed: Option<Moment>,
}

/// Starts the duty that follows the configuration and the maintenance waves that operators
/// write, and sends each change to `events` until the stop signal. Everything is read
/// first. Waves are sent as far as they concern the shard, with their stored progress; if
/// that of one can't be read, only the configuration is sent, without which the holder starts
/// nothing, and the changes are read again.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(super) fn start<S: Store, D: Registry>(
    source: OperatorSource<S, D>,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("notices", move || {
        let mut revision = None;
        let mut deferred: Vec<DeferredWave> = Vec::new();
        while !stop.is_requested() {
            let changes = match source.registry.operator_changes(revision, MAX_WAIT) {
                Ok(changes) => changes,
                Err(error) => {
                    warn!(log, "waiting for operator changes failed"; "error" => %error);
                    stop.sleep(RETRY_DELAY);
                    continue;
                }
            };
            for problem in &changes.problems {
                warn!(log, "operator change ignored"; "because" => problem);
            }
            let configured =
                changes.configuration.map(|next| Event::ConfigurationChanged(Box::new(next)));
            if configured.is_some_and(|event| !send(&events, event)) {
                return;
            }
            let mut ready = Vec::new();
            let mut is_read = true;
            for wave in &changes.waves {
                match source.share(wave, &log) {
                    None => is_read = false,
                    Some(Part::Absent) => {}
                    Some(Part::Ready(wave)) => ready.push(wave),
                    Some(Part::Deferred(wave)) => deferred.push(*wave),
                }
            }
            if !is_read {
                deferred.retain(|later| {
                    changes.waves.iter().all(|wave| wave.number != later.wave.number)
                });
                stop.sleep(RETRY_DELAY);
                continue;
            }
            revision = Some(changes.revision);
            ready.extend(source.take_due(&mut deferred, &log));
            for wave in ready {
                if !send(&events, Event::WaveRequested(wave)) {
                    return;
                }
            }
        }
    })
}

/// What a wave asks of a shard: nothing, a part that begins now, or one that waits.
enum Part {
    Absent,
    Ready(MaintenanceWave),
    Deferred(Box<DeferredWave>),
}

impl<S: Store, D> OperatorSource<S, D> {
    /// Returns the shard's part of a wave with its stored progress; `None` if the store can't
    /// be read. A part that has begun no longer waits for another one.
    fn share(&self, wave: &MaintenanceWave, log: &Logger) -> Option<Part> {
        let (sharding, shard) = (self.keyspace.sharding(), self.keyspace.shard());
        let Some(Share { wave: part, predecessor }) = wave_share::share(wave, sharding, shard)
        else {
            return Some(Part::Absent);
        };
        let (part, is_begun) = self.with_stored_progress(part, log)?;
        match predecessor {
            Some(shard) if !is_begun => {
                let share = wave_share::share(wave, sharding, shard);
                let predecessor = share.map_or_else(|| wave.clone(), |share| share.wave);
                let received = Boot.now();
                let deferred =
                    DeferredWave { wave: part, predecessor, shard, received, completed: None };
                Some(Part::Deferred(Box::new(deferred)))
            }
            _ => Some(Part::Ready(part)),
        }
    }

    /// Returns the wave with its stored progress, the hosts that have started and the time
    /// left, or as it is if the row is missing or invalid, and whether there is a row; returns
    /// `None` if the store can't be read.
    fn with_stored_progress(
        &self,
        mut wave: MaintenanceWave,
        log: &Logger,
    ) -> Option<(MaintenanceWave, bool)> {
        let stored = self.read(self.keyspace, wave.number, log)?;
        let is_begun = stored.is_some();
        if let Some(row) = stored {
            wave.started = row.started.iter().map(|id| HostId(id.as_str().into())).collect();
            let left = row.due_ms.saturating_sub(self.store.clock_ms());
            wave.time_left = Duration::from_millis(left);
        }
        Some((wave, is_begun))
    }

    /// Reads the stored progress of a shard's part of a wave; the inner option is `None` if
    /// the row is missing or invalid, the outer one if the store can't be read.
    fn read(&self, keyspace: Keyspace, number: u64, log: &Logger) -> Option<Option<WaveRow>> {
        let (row, _) = store::read_one(&self.store, &keyspace.wave(number))
            .inspect_err(|error| warn!(log, "wave not read"; "error" => %error))
            .ok()?;
        let decoded = row.value.map(|value| {
            row::decode::<WaveRow>(&value)
                .inspect_err(|error| warn!(log, "wave row not decoded"; "error" => %error))
        });
        Some(decoded.and_then(Result::ok))
    }

    /// Takes out the waves whose predecessors are over.
    fn take_due(&self, deferred: &mut Vec<DeferredWave>, log: &Logger) -> Vec<MaintenanceWave> {
        let mut due = Vec::new();
        let settle_time = self.maintenance_duration * MAINTENANCE_FACTOR;
        for mut later in std::mem::take(deferred) {
            let now = Boot.now();
            if later.completed.is_none() && self.is_complete(&later, log) {
                later.completed = Some(now);
            }
            match later.completed.is_some_and(|at| now.since(at) >= settle_time) {
                true => {
                    let waited = now.since(later.received);
                    let time_left = later.wave.time_left.saturating_sub(waited);
                    due.push(MaintenanceWave { time_left, ..later.wave });
                }
                false => deferred.push(later),
            }
        }
        due
    }

    /// Returns whether the part before a wave has started the maintenance of all its hosts;
    /// false if that can't be read.
    fn is_complete(&self, later: &DeferredWave, log: &Logger) -> bool {
        let keyspace = Keyspace::new(self.keyspace.sharding(), later.shard);
        let row = self.read(keyspace, later.wave.number, log).flatten();
        row.is_some_and(|row| {
            let is_started = |host: &HostId| row.started.iter().any(|id| **id == *host.0);
            later.predecessor.hosts.iter().all(is_started)
        })
    }
}
