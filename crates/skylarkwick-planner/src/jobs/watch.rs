//! Duties that watch the store and the platform's lists.

use std::{io, sync::Arc, time::Duration};

use skylarkwick_connection::{
    order::{Directory, Hosts},
    store::{
        self, Feed, Store,
        row::{self, WaveRow},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::shard::input::{HostId, MaintenanceWave};
use skylarkwick_version::revision::Revision;
use slog::{Logger, info, warn};

use super::{
    event::{Event, tell},
    lease::{Lease, Renewal},
    load::{self, Change},
};

/// Longest wait for a change; a silent connection is noticed soon after.
const WAIT: Duration = Duration::from_millis(1500);
/// Pause after the store gave no answer.
const FAULT_PAUSE: Duration = Duration::from_millis(150);
/// Pause after changes of jobs, in which further ones gather for one read.
const GATHER: Duration = Duration::from_millis(40);
/// How often the backend servers are listed.
const SERVER_PERIOD: Duration = Duration::from_millis(250);
/// How often the hosts are listed.
const HOST_PERIOD: Duration = Duration::from_millis(500);
/// How often the lease is renewed.
const RENEWAL_PERIOD: Duration = Duration::from_millis(500);

/// Follows the jobs from a revision on.
pub(super) fn jobs<S: Store>(
    store: S,
    mut revision: Revision,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("jobs", move || {
        while !stop.is_requested() {
            let page = match store.feed(row::JOBS, revision, WAIT) {
                Ok(Feed::Changed(page)) => page,
                Ok(Feed::Forgotten) => match store::read_table(&store, row::JOBS) {
                    Ok(page) => page,
                    Err(error) => {
                        warn!(log, "jobs unread"; "error" => %error);
                        stop.sleep(FAULT_PAUSE);
                        continue;
                    }
                },
                Err(error) => {
                    warn!(log, "jobs not followed"; "error" => %error);
                    stop.sleep(FAULT_PAUSE);
                    continue;
                }
            };
            revision = page.revision;
            let is_quiet = page.rows.is_empty();
            for row in &page.rows {
                let event = match load::read(row, page.now_ms, &log) {
                    Some(Change::Live(accepted)) => Event::Submitted(accepted),
                    Some(Change::Over(id)) => Event::Withdrawn(id),
                    None => continue,
                };
                if !tell(&events, event) {
                    return;
                }
            }
            if !is_quiet {
                stop.sleep(GATHER);
            }
        }
    })
}

/// Follows what operators write.
pub(super) fn notices<S: Store, D: Directory>(
    store: S,
    directory: D,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("notices", move || {
        let mut revision = None;
        while !stop.is_requested() {
            let notice = match directory.notices(revision, WAIT) {
                Ok(notice) => notice,
                Err(error) => {
                    warn!(log, "notices not followed"; "error" => %error);
                    stop.sleep(FAULT_PAUSE);
                    continue;
                }
            };
            let waves: Option<Vec<MaintenanceWave>> =
                notice.waves.into_iter().map(|wave| begun(&store, wave, &log)).collect();
            let Some(waves) = waves else {
                stop.sleep(FAULT_PAUSE);
                continue;
            };
            revision = Some(notice.revision);
            let configured = notice.configuration.map(|next| Event::Configured(Box::new(next)));
            let events_due = configured.into_iter().chain(waves.into_iter().map(Event::WaveAsked));
            for event in events_due {
                if !tell(&events, event) {
                    return;
                }
            }
        }
    })
}

/// Adds what an earlier holder has done of a wave.
fn begun<S: Store>(store: &S, mut wave: MaintenanceWave, log: &Logger) -> Option<MaintenanceWave> {
    let (row, _) = store::read_one(store, &row::wave_key(wave.number))
        .inspect_err(|error| warn!(log, "wave unread"; "error" => %error))
        .ok()?;
    if let Some(value) = row.value {
        match row::decode::<WaveRow>(&value) {
            Ok(row) => {
                wave.started = row.begun.iter().map(|id| HostId(Arc::from(&**id))).collect();
                let left = row.due_ms.saturating_sub(store.clock_ms());
                wave.time_left = Duration::from_millis(left);
            }
            Err(error) => warn!(log, "wave unreadable"; "error" => %error),
        }
    }
    Some(wave)
}

/// Lists the backend servers again and again.
pub(super) fn servers<D: Directory>(
    directory: D,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("servers", move || {
        let mut lost_lists = 0_u32;
        loop {
            match directory.servers() {
                // After an outage, entries that lapsed meanwhile come back first.
                Ok(_) if lost_lists > 2 => lost_lists = 2.min(lost_lists - 1),
                Ok(servers) => {
                    lost_lists = 0;
                    if !tell(&events, Event::Servers(servers)) {
                        return;
                    }
                }
                Err(error) => {
                    lost_lists = 8;
                    warn!(log, "servers not listed"; "error" => %error);
                }
            }
            if stop.sleep(SERVER_PERIOD) {
                return;
            }
        }
    })
}

/// Lists the hosts again and again.
pub(super) fn hosts<H: Hosts>(
    hosts: H,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<Duty> {
    Duty::spawn("hosts", move || {
        while !stop.is_requested() {
            let is_over = match hosts.hosts() {
                Ok(list) => !tell(&events, Event::Hosts(list)),
                Err(error) => {
                    warn!(log, "hosts not listed"; "error" => %error);
                    false
                }
            };
            if is_over || stop.sleep(HOST_PERIOD) {
                return;
            }
        }
    })
}

/// Renews the lease until it is lost; gives it back at the end.
pub(super) fn renewals<S: Store>(
    mut lease: Lease<S>,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<(Duty, ring::Receiver<Lease<S>>)> {
    let (give_back, given_back) = ring::bounded(1);
    let duty = Duty::spawn("renewals", move || {
        while !stop.sleep(RENEWAL_PERIOD) {
            let sent = Boot.now();
            let renewal = lease.renew();
            if !tell(&events, Event::Renewed(renewal, sent)) || renewal == Renewal::Lost {
                break;
            }
        }
        info!(log, "renewals end");
        // The holder may have gone on without the lease.
        let _ = give_back.try_send(lease);
    })?;
    Ok((duty, given_back))
}
