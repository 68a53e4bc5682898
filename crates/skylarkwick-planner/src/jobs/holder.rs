//! The duty of a shard's holder: owns the shard and carries its effects out.

use std::{collections::VecDeque, io, sync::Arc, time::Duration};

use skylarkwick_connection::{
    order::{Blind, Directory, Hosts, Orders},
    store::{Fault, Store, row::HomesRow},
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::shard::{
    Shard, Term,
    effect::{Effect, Reason},
    fact::HostAnswer,
};
use skylarkwick_version::{
    moment::{Moment, millis},
    shard_lease,
};
use slog::{Logger, error, info, warn};

use super::{
    Neighbours, Terms,
    contact::{Contacts, Glance},
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
    neighbours: &Neighbours<S, O, H, D>,
    terms: &Terms,
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
        let holder = Holder::start(neighbours, terms, taken, &events, &log, &done, stop)?;
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
        neighbours: &Neighbours<S, O, H, D>,
        terms: &Terms,
        taken: Taken,
        events: &ring::Sender<Event>,
        log: &Logger,
        done: &StopSignal,
        stop: &StopSignal,
    ) -> io::Result<Holder<O>> {
        let Neighbours { store, orders, hosts, directory } = neighbours.clone();
        let Taken { fencing, number, since, may_be_contested } = taken;
        let rules = super::rules(terms, may_be_contested);
        let mut shard = Shard::new(rules, Term { fencing, number, since });
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
        shard.set_homes(homes);
        for accepted in jobs {
            shard.submit(Boot.now(), accepted);
        }
        let (ring, line, end) = next();
        watch::jobs(store.clone(), revision, ring, line, end)?;
        let (ring, line, end) = next();
        let (saving, saver) = saver::start(store.clone(), directory, fencing, ring, line, end)?;
        let (_, line, end) = next();
        sweep::start(store.clone(), terms.told + SWEEP_MARGIN, line, end)?;
        let (entry, handover) = (Arc::clone(&terms.entry), terms.handover);
        let giver = fleet::Holder { entry, fencing, handover };
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
                self.shard.configure(next.routes.into_iter().map(|route| route.queue).collect());
            }
            Event::Configured(_) => {}
            Event::WaveAsked(wave) => self.shard.ask_maintenance(now, wave),
            Event::Submitted(accepted) => self.shard.submit(now, *accepted),
            Event::Withdrawn(id) => self.shard.withdraw(now, &id),
            Event::Servers(servers) => self.shard.list(now, servers),
            Event::Hosts(hosts) => self.shard.list_hosts(now, hosts),
            Event::Looked(look) => self.shard.look(now, *look),
            Event::Blind(_, Blind::Fenced) => self.is_lost = true,
            Event::Blind(server, Blind::OtherLife) => self.shard.replaced(&server),
            Event::Blind(server, Blind::Silent(_)) => self.shard.silent(now, &server),
            Event::Started(server, task, run, answer) => {
                self.shard.started(now, &server, &task, run, answer);
            }
            Event::Stopped(server, task, run, answer) => {
                self.shard.stopped(now, &server, &task, run, answer);
            }
            Event::Saved(batch) => self.shard.saved(now, &batch),
            Event::NotSaved(batch) => self.shard.not_saved(&batch),
            Event::Noted(id, revision, other) => self.shard.noted(&id, revision, other.as_ref()),
            Event::HostAnswered(host, answer) => self.shard.host_answered(now, &host, answer),
            Event::WaveStored { wave, is_stored: true, is_completed } => {
                self.shard.wave_stored(wave, is_completed);
            }
            Event::WaveStored { wave, .. } => self.shard.wave_not_stored(wave),
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
            Effect::Pace { target, task, run, percent } => {
                self.dispatch.order(dispatch::Order::Pace(target, task, run, percent))
            }
            Effect::Look { target, until_ms, acknowledged, wait } => {
                self.contacts.look(Glance { target, until_ms, acknowledged, wait })
            }
            Effect::Forget(server) => {
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
            Effect::Move { host, pool } => self.order_host(fleet::Order::Move(host, pool)),
            Effect::Maintain { host, wave } => self.order_host(fleet::Order::Maintain(host, wave)),
            Effect::Wave { wave, begun, left, is_completed } => {
                let begun = begun.iter().map(ToString::to_string).collect();
                let offered = self.saver.try_send(Work::Wave { wave, begun, left, is_completed });
                let refused = Event::WaveStored { wave, is_stored: false, is_completed };
                offered.is_err().then_some(refused)
            }
            Effect::Homes(homes) => {
                let hosts = homes.iter().map(|(pool, hosts)| (pool.to_string(), *hosts)).collect();
                if self.saver.try_send(Work::Homes(HomesRow { hosts })).is_err() {
                    warn!(self.log, "sizes of pools not saved"; "because" => "too much waits");
                }
                None
            }
            Effect::Explain(Reason { what, subject, place, because }) => {
                info!(self.log, "{}", what; "task" => subject, "at" => &*place,
                    "because" => because);
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
            Event::HostAnswered(host, HostAnswer::Busy)
        })
    }

    fn log_load(&mut self, now: Moment) {
        if now < self.load_due {
            return;
        }
        self.load_due = now + LOAD_PERIOD;
        for (pool, load) in self.shard.summary(now) {
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
