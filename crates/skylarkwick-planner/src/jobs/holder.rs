//! The holder's duty: owns the shard, applies events to it and executes the
//! effects that it decides on.

mod effects;
mod reports;

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    sync::Arc,
    time::Duration,
};

use skylarkwick_connection::{
    control::{Hosts, Orders, PollError, Registry},
    store::Store,
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::shard::{Incarnation, Shard, Term, input::ServerId};
use skylarkwick_version::{
    moment::{Moment, millis},
    revision::Revision,
};
use slog::{Logger, error, info, warn};

use super::{
    Clients, Config,
    activity::Activity,
    allotments,
    dispatch::{self, DispatchHandle},
    event::Event,
    host_orders,
    lease::{Acquisition, Lease, Renewal},
    load::{self, LoadedState},
    operator_changes::{self, OperatorSource},
    permit::{self, Permit},
    poller::Pollers,
    saver::{self, SaveRequest},
    sweep, takeover,
    wall_clock::WallClock,
    watch,
};

/// Maximum number of events that wait for the holder's duty.
const RING_CAPACITY: usize = 4096;
/// Longest wait for an event before the next decision is made without one.
const MAX_DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time after an event in which further ones are collected for one decision.
const MIN_BATCH_WINDOW: Duration = Duration::from_millis(4);
/// Time for which events are collected, as a multiple of the duration of the last decision;
/// at least [`MIN_BATCH_WINDOW`] and at most [`MAX_BATCH_WINDOW`].
const BATCH_WINDOW_PER_DECISION: u32 = 2;
/// Longest time after an event in which further ones are collected for one decision.
const MAX_BATCH_WINDOW: Duration = Duration::from_millis(80);
/// Time for which the rows of finished jobs are kept after the result retention, the time
/// for which callers can read a result, has ended.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);
/// Longest wait for the renewal duty to return the lease after it was stopped.
const LEASE_RETURN_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the shard until its lease is lost or the stop signal: starts the duties of this
/// term, handles their events, and then ends them.
///
/// If a duty cannot be started or the rows cannot be read, logs the error and returns. A
/// duty renews a clone of `lease` meanwhile; `lease` is then set to the clone's last state,
/// so that it can be released, unless the duty does not return it within
/// [`LEASE_RETURN_TIMEOUT`].
///
/// Returns the servers of the shard, each with the time from now until nothing runs there
/// that this holder or an earlier one has started; see [`Shard::settled_servers`].
pub(super) fn run<S, O, H, D>(
    clients: &Clients<S, O, H, D>,
    config: &Config,
    lease: &mut Lease<S>,
    acquisition: Acquisition,
    log: &Logger,
    stop: &StopSignal,
) -> BTreeMap<ServerId, Duration>
where
    S: Store,
    O: Orders,
    H: Hosts,
    D: Registry,
{
    // Stops the duties that are started for this term.
    let term_end = StopSignal::default();
    let (events, input) = ring::bounded(RING_CAPACITY);
    let log = log.new(slog::o!("fencing" => acquisition.fencing_token));
    let renewals = watch::renewals(lease.clone(), events.clone(), log.clone(), term_end.clone());
    let returned_lease = match renewals {
        Ok((_, returned_lease)) => returned_lease,
        Err(error) => {
            error!(log, "shard holder not started"; "error" => %error);
            return BTreeMap::new();
        }
    };
    let mut settled = BTreeMap::new();
    let holder = Holder::start(clients, config, acquisition, &events, &log, &term_end, stop);
    drop(events);
    match holder {
        Err(error) => {
            error!(log, "shard holder not started"; "error" => %error);
            term_end.request();
            drop(input);
        }
        Ok(mut holder) => {
            holder.run(&input, stop);
            term_end.request();
            drop(input);
            settled = holder.finish();
        }
    }
    if let Ok(last) = returned_lease.receive_timeout(LEASE_RETURN_TIMEOUT) {
        *lease = last;
    }
    settled
}

/// State of the holder's duty in one term: the shard, the ways to the duties that
/// execute its effects, and when periodic tasks are due. `O` calls backend servers.
struct Holder<O> {
    shard: Shard,
    /// Permission of the duties that call backend servers.
    permit: Permit<Boot>,
    pollers: Pollers<permit::Client<O, Boot>>,
    dispatch: DispatchHandle,
    saver: ring::Sender<SaveRequest>,
    saver_duty: Duty,
    /// Ring to the duty that agrees on quotas with other shards, if there are any.
    allotments: Option<ring::Sender<allotments::Report>>,
    host_orders: ring::Sender<host_orders::Order>,
    log: Logger,
    /// When the last confirmed renewal was sent; at first, when the lease was acquired.
    last_confirmed_renewal: Moment,
    /// Whether another process holds the shard; the duty then ends without acting again.
    is_lost: bool,
    /// Version of the configuration in force; nothing is decided until one is known.
    configuration_version: Option<u64>,
    wall_clock: WallClock,
    /// When the backlog is next written.
    backlog_due: Moment,
    /// Incarnations of servers that are stored or about to be.
    saved_incarnations: BTreeMap<ServerId, Incarnation>,
    /// Memory for the jobs of the shard, in bytes.
    shard_bytes: usize,
    /// When the needs of the workspaces are next reported.
    quota_report_due: Moment,
    /// Number of the change of the limits that is in force.
    quota_limits_version: u64,
    /// What it does, for the log.
    activity: Activity,
    /// Events that result from executing effects.
    follow_ups: VecDeque<Event>,
    /// Time for which events are collected for the next decision.
    batch_window: Duration,
}

impl<O: Orders> Holder<O> {
    /// Reads the stored jobs into a new shard and starts the other duties of the term, which
    /// send their events to `events`. `acquisition` gives the fencing token of the term, the
    /// number of its holder, its start, and what earlier holders may still do.
    ///
    /// The duties that watch the servers, operator changes, hosts and jobs, and the sweep, end
    /// at `term_end`. The saver, the pollers, the dispatch duty and the duty that sends host
    /// orders end after the returned handle is finished or dropped.
    ///
    /// # Errors
    ///
    /// Fails if a duty cannot be started, or if the rows could not be read before the
    /// `stop` signal or the loss of the lease, which requests `term_end`.
    fn start<S: Store, H: Hosts, D: Registry>(
        clients: &Clients<S, O, H, D>,
        config: &Config,
        acquisition: Acquisition,
        events: &ring::Sender<Event>,
        log: &Logger,
        term_end: &StopSignal,
        stop: &StopSignal,
    ) -> io::Result<Holder<O>> {
        let Clients { store, orders, hosts, registry } = clients.clone();
        let timings = super::timings(config, acquisition.earlier);
        takeover::log_begin(&acquisition, &timings, log);
        let Acquisition { keyspace, fencing_token, number, since, settled, .. } = acquisition;
        let mut shard = Shard::new(timings, Term { fencing_token, number, since });
        shard.set_settled_servers(settled);
        let duty_context = || (events.clone(), log.clone(), term_end.clone());
        let (duty_events, duty_log, duty_stop) = duty_context();
        watch::servers(registry.clone(), keyspace, duty_events, duty_log, duty_stop)?;
        let (duty_events, duty_log, duty_stop) = duty_context();
        let source = OperatorSource {
            store: store.clone(),
            registry: registry.clone(),
            keyspace,
            maintenance_duration: config.maintenance_duration,
        };
        operator_changes::start(source, duty_events, duty_log, duty_stop)?;
        let (duty_events, duty_log, duty_stop) = duty_context();
        watch::hosts(hosts.clone(), keyspace, duty_events, duty_log, duty_stop)?;
        let loaded = load::load_with_retry(&store, keyspace, log, since, [term_end, stop]);
        let loaded = loaded.ok_or_else(load::error)?;
        let LoadedState { jobs, ended, revision, pool_sizes, incarnations } = loaded;
        info!(log, "jobs loaded"; "jobs" => jobs.len(), "revision" => revision.0,
            "ms" => millis(Boot.now().since(since)));
        shard.set_pool_sizes(pool_sizes);
        shard.set_known_incarnations(incarnations.clone());
        for accepted in jobs {
            if ended.contains(&accepted.id) {
                shard.expect_namesake(&accepted.id);
            }
            shard.add_job(Boot.now(), accepted);
        }
        let (duty_events, duty_log, duty_stop) = duty_context();
        watch::jobs(store.clone(), keyspace, revision, duty_events, duty_log, duty_stop)?;
        let (duty_events, duty_log, duty_stop) = duty_context();
        let (saver_duty, saver) = saver::start(
            saver::Target { store: store.clone(), registry, keyspace, fencing_token },
            duty_events,
            duty_log,
            duty_stop,
        )?;
        let allotments = match keyspace.sharding().count() {
            1 => None,
            count => {
                shard.set_shard_count(count);
                shard.set_quota_limits(BTreeMap::new());
                let (duty_events, duty_log, duty_stop) = duty_context();
                let (store, fence) = (store.clone(), Revision(fencing_token));
                let duty =
                    allotments::start(store, keyspace, fence, duty_events, duty_log, duty_stop);
                Some(duty?)
            }
        };
        let (_, duty_log, duty_stop) = duty_context();
        sweep::start(
            store.clone(),
            keyspace,
            config.result_retention + RETENTION_MARGIN,
            duty_log,
            duty_stop,
        )?;
        let (entry, handover_delay) = (Arc::clone(&config.entry), config.handover_delay);
        let issuer = host_orders::Issuer { entry, keyspace, fencing_token, handover_delay };
        let host_orders = host_orders::start(store, &hosts, issuer, events.clone(), log.clone())?;
        let permit = Permit::new(Boot, since);
        let orders = permit::Client::new(orders, permit.clone());
        Ok(Holder {
            shard,
            permit,
            dispatch: dispatch::start(orders.clone(), events.clone(), log.clone())?,
            pollers: Pollers::new(orders, events.clone(), log.clone()),
            saver,
            saver_duty,
            allotments,
            host_orders,
            log: log.clone(),
            last_confirmed_renewal: since,
            is_lost: false,
            configuration_version: None,
            wall_clock: WallClock::new(Boot.now()),
            backlog_due: Moment::ZERO,
            saved_incarnations: incarnations,
            shard_bytes: super::shard_bytes(config.memory_bytes, keyspace.sharding().count()),
            quota_report_due: Moment::ZERO,
            quota_limits_version: 0,
            activity: Activity::default(),
            follow_ups: VecDeque::new(),
            batch_window: MIN_BATCH_WINDOW,
        })
    }

    /// Applies events and decides, until the stop signal or until the lease is lost.
    ///
    /// After the first event it collects further ones for the batch window; without
    /// events it decides every [`MAX_DECISION_INTERVAL`].
    fn run(&mut self, input: &ring::Receiver<Event>, stop: &StopSignal) {
        while !stop.is_requested() && !self.is_lost {
            match input.receive_timeout(MAX_DECISION_INTERVAL) {
                Ok(event) => {
                    std::thread::sleep(self.batch_window);
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
            // Slow decisions are made less often, to leave processor time to the other duties.
            let decision_time = Boot.now().since(start);
            self.activity.record_decision(decision_time);
            let batch_window = decision_time * BATCH_WINDOW_PER_DECISION;
            self.batch_window = batch_window.clamp(MIN_BATCH_WINDOW, MAX_BATCH_WINDOW);
        }
        info!(self.log, "shard holder stopped"; "lost" => self.is_lost);
    }

    /// Ends the duties that this handle owns, and waits for the saver, because the next
    /// holder starts from the stored rows. The saver still writes the requests in its ring, up
    /// to and including the first batch of job updates or progress of a maintenance wave,
    /// whose result it can no longer send; later ones are dropped. Returns the servers with
    /// the time until nothing runs there.
    fn finish(self) -> BTreeMap<ServerId, Duration> {
        let Holder { saver, saver_duty, pollers, dispatch, host_orders, log, shard, .. } = self;
        drop((saver, pollers, dispatch, host_orders));
        if !saver_duty.join() {
            error!(log, "saver panicked");
        }
        shard.settled_servers(Boot.now())
    }

    /// Applies an event to the shard, or records a lease renewal. A lost lease ends the
    /// term, and so does a poll to which a backend server responds that a later holder has
    /// fenced it. A configuration that is not newer than the one in force is ignored.
    fn apply(&mut self, event: Event) {
        self.activity.record_event();
        let now = Boot.now();
        match event {
            Event::ConfigurationChanged(next)
                if Some(next.version) > self.configuration_version =>
            {
                self.configuration_version = Some(next.version);
                self.shard.set_spare_pools(next.spare_pools);
                self.shard.set_workspaces(next.workspaces);
                self.shard.set_queues(next.routes.into_iter().map(|route| route.queue).collect());
            }
            Event::ConfigurationChanged(_) => {}
            Event::QuotaLimits { version, limits } => {
                self.shard.set_quota_limits(limits);
                self.quota_limits_version = version;
                self.quota_report_due = Moment::ZERO;
            }
            Event::WaveRequested(wave) => self.shard.add_wave(now, wave),
            Event::JobAdded(accepted) => self.shard.add_job(now, *accepted),
            Event::JobRemoved(key) => self.shard.remove_job(now, &key),
            Event::JobForgotten(key) => self.shard.forget_job(now, &key),
            Event::ServersListed(servers) => self.shard.set_servers(now, servers),
            Event::HostsListed(hosts, requested) => self.shard.set_hosts(requested, hosts),
            Event::StatusReported(report) => self.shard.handle_status_report(now, *report),
            Event::PollFailed(_, PollError::Fenced) => {
                self.lose("a backend server has a later holder")
            }
            Event::PollFailed(target, PollError::IncarnationMismatch) => {
                self.shard.handle_server_replaced(&target)
            }
            Event::PollFailed(target, PollError::NoResponse(_)) => {
                self.shard.handle_poll_failure(now, &target)
            }
            Event::StartResult(server, task, run, result) => {
                self.shard.handle_start_result(now, &server, &task, run, result);
            }
            Event::StopResult(server, task, run, result) => {
                self.shard.handle_stop_result(now, &server, &task, run, result);
            }
            Event::UpdatesSaved(updates) => self.shard.handle_updates_saved(now, &updates),
            Event::BatchSaved(batch) => self.shard.handle_batch_saved(now, &batch),
            Event::BatchNotSaved(batch) => self.shard.handle_batch_save_failed(&batch),
            Event::ProgressStored(key, revision, stored) => {
                self.shard.merge_stored_progress(&key, revision, stored.as_ref())
            }
            Event::HostOrderResult(host, result) => {
                self.shard.handle_host_order_result(now, &host, result)
            }
            Event::WaveSaveResult { wave, is_saved: true, is_completed } => {
                self.shard.handle_wave_saved(wave, is_completed);
            }
            Event::WaveSaveResult { wave, .. } => self.shard.handle_wave_save_failed(wave),
            Event::IncarnationsNotSaved => self.saved_incarnations.clear(),
            Event::LeaseRenewal(Renewal::Confirmed, sent) => {
                self.last_confirmed_renewal = sent;
                self.permit.extend(sent);
            }
            Event::LeaseRenewal(Renewal::Unconfirmed, _) => {}
            Event::LeaseRenewal(Renewal::Lost, _) => self.lose("another holder has the lease"),
        }
    }

    /// Ends the term, unless it has ended: nothing more is decided, and waiting orders are not
    /// sent.
    fn lose(&mut self, because: &'static str) {
        if self.is_lost {
            return;
        }
        warn!(self.log, "shard lost"; "because" => because);
        self.permit.revoke();
        self.is_lost = true;
    }

    /// Decides and executes the effects, then publishes the backlog and logs its
    /// activity when they are due.
    ///
    /// Does nothing before a configuration is known, after the lease was lost, and while the
    /// permission to act has run out, until another renewal is confirmed.
    fn decide(&mut self) {
        let now = Boot.now();
        if !self.permit.is_valid() || self.configuration_version.is_none() {
            return;
        }
        let unix_ms = self.wall_clock.unix_ms(now);
        for effect in self.shard.decide(now, unix_ms, self.last_confirmed_renewal) {
            self.execute(effect);
        }
        self.publish_backlog(now);
        self.report_needs(now);
        self.activity.log_if_due(now, &self.shard, &self.log);
    }
}
