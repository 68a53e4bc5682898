//! The duty of a shard's holder: owns the shard and carries its effects out.

use std::{collections::VecDeque, io, sync::Arc, time::Duration};

use skylarkwick_connection::{
    order::{Directory, Hosts, Orders, PollError},
    store::{Fault, Store, row::HomesRow},
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::shard::{
    Shard, Term,
    effect::{Effect, LogEntry},
    input::HostOrderResult,
};
use skylarkwick_version::{
    moment::{Moment, millis},
    shard_lease,
};
use slog::{Logger, error, info, warn};

use super::{
    Clients, Config,
    contact::{Contacts, PollRequest},
    dispatch::{self, Dispatch},
    event::Event,
    fleet,
    lease::{Lease, Renewal, Taken},
    load::{self, Loaded},
    saver::{self, Work},
    sweep,
    wall::Wall,
    watch,
};

/// Events that wait for the holder.
const RING: usize = 4096;
/// Longest time between two decisions.
const PERIOD: Duration = Duration::from_millis(100);
/// Shortest time in which events gather for one decision.
const GATHER: Duration = Duration::from_millis(4);
/// Time in which events gather, as a multiple of the time that the last decision
/// took.
const GATHER_PER_DECISION: u32 = 2;
/// Longest time in which events gather for one decision.
const LONGEST_GATHER: Duration = Duration::from_millis(80);
/// How often the backlog is written; its age tells entry hosts what it lacks.
const BACKLOG_PERIOD: Duration = Duration::from_millis(700);
/// How often the load of each pool is logged.
const LOAD_PERIOD: Duration = Duration::from_secs(1);
/// Time for which rows are kept beyond what callers are promised.
const SWEEP_MARGIN: Duration = Duration::from_secs(60);
/// Pause before the rows are read again after a fault.
const LOAD_PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for the lease after its renewals were told to end.
const LEASE_WAIT: Duration = Duration::from_secs(5);

/// Holds the shard until it is lost or the process has to stop.
pub(super) fn hold<S, O, H, D>(
    clients: &Clients<S, O, H, D>,
    config: &Config,
    lease: &mut Lease<S>,
    taken: Taken,
    log: &Logger,
    stop: &StopSignal,
) where
    S: Store,
    O: Orders,
    H: Hosts,
    D: Directory,
{
    let done = StopSignal::default();
    let (events, input) = ring::bounded(RING);
    let log = log.new(slog::o!("fencing" => taken.fencing));
    let renewals = watch::renewals(lease.clone(), events.clone(), log.clone(), done.clone());
    let holder = renewals.and_then(|(_, given_back)| {
        let holder = Holder::start(clients, config, taken, &events, &log, &done, stop)?;
        Ok((holder, given_back))
    });
    drop(events);
    match holder {
        Err(error) => error!(log, "holder not started"; "error" => %error),
        Ok((mut holder, given_back)) => {
            holder.run(&input, stop);
            done.request();
            drop(input);
            holder.finish();
            if let Ok(last) = given_back.receive_timeout(LEASE_WAIT) {
                *lease = last;
            }
        }
    }
    done.request();
}

/// What the holder's duty owns.
struct Holder<O> {
    shard: Shard,
    contacts: Contacts<O>,
    dispatch: Dispatch,
    saver: ring::Sender<Work>,
    saving: Duty,
    fleet: ring::Sender<fleet::Order>,
    log: Logger,
    confirmed: Moment,
    is_lost: bool,
    /// Version of the configuration in force, once one is known.
    version: Option<u64>,
    wall: Wall,
    backlog_due: Moment,
    load_due: Moment,
    follow_ups: VecDeque<Event>,
    /// Time in which events gather for the next decision.
    gather: Duration,
}

impl<O: Orders> Holder<O> {
    fn start<S: Store, H: Hosts, D: Directory>(
        clients: &Clients<S, O, H, D>,
        config: &Config,
        taken: Taken,
        events: &ring::Sender<Event>,
        log: &Logger,
        done: &StopSignal,
        stop: &StopSignal,
    ) -> io::Result<Holder<O>> {
        let Clients { store, orders, hosts, directory } = clients.clone();
        let Taken { fencing, number, since, may_be_contested } = taken;
        let timings = super::timings(config, may_be_contested);
        let mut shard = Shard::new(timings, Term { fencing_token: fencing, number, since });
        let next = || (events.clone(), log.clone(), done.clone());
        let (ring, line, end) = next();
        watch::servers(directory.clone(), ring, line, end)?;
        let (ring, line, end) = next();
        watch::notices(store.clone(), directory.clone(), ring, line, end)?;
        let (ring, line, end) = next();
        watch::hosts(hosts.clone(), ring, line, end)?;
        let loaded = load_all(&store, log, since, stop).ok_or_else(unloaded)?;
        let Loaded { jobs, revision, homes } = loaded;
        info!(log, "jobs loaded"; "jobs" => jobs.len(), "revision" => revision.0,
            "ms" => millis(Boot.now().since(since)));
        shard.set_pool_sizes(homes);
        for accepted in jobs {
            shard.add_job(Boot.now(), accepted);
        }
        let (ring, line, end) = next();
        watch::jobs(store.clone(), revision, ring, line, end)?;
        let (ring, line, end) = next();
        let (saving, saver) = saver::start(store.clone(), directory, fencing, ring, line, end)?;
        let (_, line, end) = next();
        sweep::start(store.clone(), config.result_retention + SWEEP_MARGIN, line, end)?;
        let (entry, handover_delay) = (Arc::clone(&config.entry), config.handover_delay);
        let giver = fleet::Holder { entry, fencing, handover_delay };
        let fleet = fleet::start(store, &hosts, giver, events.clone(), log.clone())?;
        Ok(Holder {
            shard,
            dispatch: dispatch::start(orders.clone(), events.clone(), log.clone())?,
            contacts: Contacts::new(orders, events.clone(), log.clone()),
            saver,
            saving,
            fleet,
            log: log.clone(),
            confirmed: since,
            is_lost: false,
            version: None,
            wall: Wall::new(Boot.now()),
            backlog_due: Moment::ZERO,
            load_due: Moment::ZERO,
            follow_ups: VecDeque::new(),
            gather: GATHER,
        })
    }

    fn run(&mut self, input: &ring::Receiver<Event>, stop: &StopSignal) {
        while !stop.is_requested() && !self.is_lost {
            match input.receive_timeout(PERIOD) {
                Ok(event) => {
                    std::thread::sleep(self.gather);
                    self.apply(event);
                }
                Err(ring::ReceiveError::TimedOut) => {}
                Err(ring::ReceiveError::Closed) => return,
            }
            while let Some(event) = input.try_receive() {
                self.apply(event);
            }
            while let Some(event) = self.follow_ups.pop_front() {
                self.apply(event);
            }
            let start = Boot.now();
            self.decide();
            // A decision that takes long is made more rarely, so that the duties that
            // talk to servers get their part of the processor.
            let gather = Boot.now().since(start) * GATHER_PER_DECISION;
            self.gather = gather.clamp(GATHER, LONGEST_GATHER);
        }
        info!(self.log, "shard given up"; "lost" => self.is_lost);
    }

    /// Ends the duties; what is being written is written first, because the next
    /// holder starts from it.
    fn finish(self) {
        let Holder { saver, saving, contacts, dispatch, fleet, log, .. } = self;
        drop((saver, contacts, dispatch, fleet));
        if !saving.join() {
            error!(log, "saver panicked");
        }
    }

    fn apply(&mut self, event: Event) {
        let now = Boot.now();
        match event {
            Event::Configured(next) if Some(next.version) > self.version => {
                self.version = Some(next.version);
                self.shard.set_spare_pools(next.spare_pools);
                self.shard.set_queues(next.routes.into_iter().map(|route| route.queue).collect());
            }
            Event::Configured(_) => {}
            Event::WaveAsked(wave) => self.shard.add_wave(now, wave),
            Event::Submitted(accepted) => self.shard.add_job(now, *accepted),
            Event::Withdrawn(id) => self.shard.remove_job(now, &id),
            Event::Servers(servers) => self.shard.set_servers(now, servers),
            Event::Hosts(hosts) => self.shard.set_hosts(now, hosts),
            Event::StatusReported(report) => self.shard.handle_status_report(now, *report),
            Event::PollFailed(_, PollError::Fenced) => self.is_lost = true,
            Event::PollFailed(server, PollError::IncarnationMismatch) => {
                self.shard.handle_server_replaced(&server)
            }
            Event::PollFailed(server, PollError::NoResponse(_)) => {
                self.shard.handle_poll_failure(now, &server)
            }
            Event::Started(server, task, run, answer) => {
                self.shard.handle_start_result(now, &server, &task, run, answer);
            }
            Event::Stopped(server, task, run, answer) => {
                self.shard.handle_stop_result(now, &server, &task, run, answer);
            }
            Event::Saved(batch) => self.shard.handle_batch_saved(now, &batch),
            Event::NotSaved(batch) => self.shard.handle_batch_save_failed(&batch),
            Event::Noted(id, revision, other) => {
                self.shard.merge_stored_progress(&id, revision, other.as_ref())
            }
            Event::HostAnswered(host, answer) => {
                self.shard.handle_host_order_result(now, &host, answer)
            }
            Event::WaveStored { wave, is_stored: true, is_completed } => {
                self.shard.handle_wave_saved(wave, is_completed);
            }
            Event::WaveStored { wave, .. } => self.shard.handle_wave_save_failed(wave),
            Event::Renewed(Renewal::Confirmed, sent) => self.confirmed = sent,
            Event::Renewed(Renewal::Unconfirmed, _) => {}
            Event::Renewed(Renewal::Lost, _) => {
                warn!(self.log, "shard lost"; "because" => "another holder has the lease");
                self.is_lost = true;
            }
        }
    }

    /// Decides, unless the lease was not confirmed for so long that another
    /// holder may rely on our silence.
    fn decide(&mut self) {
        let now = Boot.now();
        let silence = now.since(self.confirmed);
        let may_act = silence < shard_lease::MAX_RENEWAL_GAP;
        if self.is_lost || !may_act || self.version.is_none() {
            return;
        }
        let unix_ms = self.wall.unix_ms(now);
        for effect in self.shard.decide(now, unix_ms, self.confirmed) {
            self.carry_out(effect);
        }
        self.publish_backlog(now);
        self.log_load(now);
    }

    fn carry_out(&mut self, effect: Effect) {
        let follow_up = match effect {
            Effect::Start { target, start } => {
                self.dispatch.order(dispatch::Order::Start(target, start))
            }
            Effect::Stop { target, task, run } => {
                self.dispatch.order(dispatch::Order::Stop(target, task, run))
            }
            Effect::SetPace { target, task, run, percent } => {
                self.dispatch.order(dispatch::Order::Pace(target, task, run, percent))
            }
            Effect::Poll { target, lease_until_ms, acknowledged, max_wait } => {
                self.contacts.look(PollRequest { target, lease_until_ms, acknowledged, max_wait })
            }
            Effect::RemoveServer(server) => {
                self.contacts.forget(&server);
                None
            }
            Effect::Save(batch) => match self.saver.try_send(Work::Batch(batch)) {
                Ok(()) => None,
                Err(ring::SendError::Full(Work::Batch(batch))) => {
                    Some(Event::NotSaved(Box::new(batch)))
                }
                Err(_) => None,
            },
            Effect::MoveHost { host, pool } => self.order_host(fleet::Order::Move(host, pool)),
            Effect::MaintainHost { host, wave } => {
                self.order_host(fleet::Order::Maintain(host, wave))
            }
            Effect::SaveWave { wave, started, time_left, is_completed } => {
                let begun = started.iter().map(ToString::to_string).collect();
                let offered =
                    self.saver.try_send(Work::Wave { wave, begun, left: time_left, is_completed });
                let refused = Event::WaveStored { wave, is_stored: false, is_completed };
                offered.is_err().then_some(refused)
            }
            Effect::SavePoolSizes(homes) => {
                let hosts = homes.iter().map(|(pool, hosts)| (pool.to_string(), *hosts)).collect();
                if self.saver.try_send(Work::Homes(HomesRow { hosts })).is_err() {
                    warn!(self.log, "sizes of pools not saved"; "because" => "too much waits");
                }
                None
            }
            Effect::Log(LogEntry { action, subject, location, reason }) => {
                info!(self.log, "{}", action; "task" => subject, "at" => &*location,
                    "because" => reason);
                None
            }
            Effect::StepDown => {
                warn!(self.log, "shard lost"; "because" => "a backend server was fenced");
                self.is_lost = true;
                None
            }
        };
        self.follow_ups.extend(follow_up);
    }

    fn order_host(&mut self, order: fleet::Order) -> Option<Event> {
        let host = order.host().clone();
        self.fleet.try_send(order).is_err().then(|| {
            warn!(self.log, "host order dropped"; "because" => "too many wait");
            Event::HostAnswered(host, HostOrderResult::Busy)
        })
    }

    fn log_load(&mut self, now: Moment) {
        if now < self.load_due {
            return;
        }
        self.load_due = now + LOAD_PERIOD;
        for (pool, load) in self.shard.pool_loads(now) {
            info!(self.log, "load"; "pool" => &*pool, "jobs" => load.jobs,
                "servers" => load.servers, "usable" => load.usable, "idle" => load.idle,
                "runs" => load.runs, "unmet_millicores" => load.unmet_millicores, "hosts" => load.hosts,
                "hosts_needed" => load.hosts_needed, "hosts_wanted" => load.hosts_wanted);
        }
    }

    fn publish_backlog(&mut self, now: Moment) {
        if now < self.backlog_due {
            return;
        }
        self.backlog_due = now + BACKLOG_PERIOD;
        let row = saver::backlog_row(self.shard.backlog());
        if self.saver.try_send(Work::Backlog(row)).is_err() {
            warn!(self.log, "backlog not written"; "because" => "too much waits to be written");
        }
    }
}

/// Reads the rows of jobs until it succeeds; gives up on the stop, and when the
/// lease can't be valid any more.
fn load_all<S: Store>(store: &S, log: &Logger, since: Moment, stop: &StopSignal) -> Option<Loaded> {
    while Boot.now().since(since) < shard_lease::MAX_RENEWAL_GAP {
        match load::load(store, log) {
            Ok(loaded) => return Some(loaded),
            Err(fault) => warn!(log, "jobs not loaded"; "error" => %fault,
                "lost_answer" => matches!(fault, Fault::Unknown(_)),
                "ms" => millis(Boot.now().since(since))),
        }
        if stop.sleep(LOAD_PAUSE) {
            break;
        }
    }
    None
}

fn unloaded() -> io::Error {
    io::Error::other("the jobs could not be read while the shard was held")
}
