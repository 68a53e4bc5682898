//! The planner thread: in each round it reads the rows, plans, and commits the
//! planned steps.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use skylarkwick_connection::platform::{
    self, HostRecord, Hosts, Key, Liveness, Row, Table,
    row::{self, BUDGET, DOCUMENT, DRAIN, HOST, PLAN, PROGRESS, VIEW, WAVE},
    wire,
};
use skylarkwick_process::{clock::Clock, duty::StopSignal, ring};
use skylarkwick_version::{
    budget::Budget,
    document,
    host::{Ownership, Phase},
    moment::Moment,
    name,
    plan::{HostView, Input, Step, WaveState},
    wave,
};
use slog::{Logger, info, warn};

use crate::{
    leases::LeaseTracker,
    probe::{Command, ProbeResults, Targets},
    row_cache::RowCache,
    write::{self, CommitContext, CommitError},
};

/// Pause before each round, counted from the end of the previous one.
const ROUND_PERIOD: Duration = Duration::from_millis(200);
/// Time from the first round after acquiring the lease in which hosts are probed and
/// nothing is planned: a host without a report counts as down, and none was probed before.
const PROBE_WARM_UP: Duration = Duration::from_millis(1500);

/// The planner thread: its platform client `P`, clock `C` and data centre, the tracker that
/// holds this data centre's lease and observes those of the others, and the rings to and
/// from the probe thread.
pub(crate) struct PlannerDuty<P, C> {
    pub(crate) platform: P,
    pub(crate) clock: C,
    pub(crate) data_centre: name::DataCentre,
    /// All data centres of the site, in ascending order.
    pub(crate) data_centres: Vec<name::DataCentre>,
    pub(crate) leases: LeaseTracker,
    pub(crate) targets: ring::Sender<Targets>,
    pub(crate) probe_results: ring::Receiver<ProbeResults>,
    /// Whether the lease is left to expire at the stop instead of being released.
    pub(crate) keep_lease: Arc<AtomicBool>,
    pub(crate) log: Logger,
}

/// What the planner knows, kept from round to round and updated with the changes in each:
/// the cached rows of the view (the rows that every entry host copies, with the documents
/// and the ownership of hosts), the budgets and the plans (maintenance waves and operators'
/// drains of hosts), the documents and ownerships decoded from the view, the platform's list
/// of hosts, the last probe results, and since when the lease has been held.
struct PlannerState {
    view: RowCache,
    budgets: RowCache,
    plans: RowCache,
    /// Documents in force, decoded when their rows change.
    documents: BTreeMap<name::Service, Arc<document::Settings>>,
    /// Ownership and data centre of the hosts of all data centres, decoded when their
    /// rows change.
    ownerships: BTreeMap<name::Host, (Ownership, name::DataCentre)>,
    /// Hosts of the planner's data centre in the platform's list.
    listed: BTreeMap<name::Host, HostRecord>,
    probe_results: ProbeResults,
    /// Start of the first round after the lease was acquired; none while it is not held.
    held_since: Option<Moment>,
}

impl PlannerState {
    /// Creates an empty state of a planner without the lease; the first round reads all
    /// rows.
    fn new() -> PlannerState {
        PlannerState {
            view: RowCache::new(VIEW),
            budgets: RowCache::new(BUDGET),
            plans: RowCache::new(PLAN),
            documents: BTreeMap::new(),
            ownerships: BTreeMap::new(),
            listed: BTreeMap::new(),
            probe_results: ProbeResults::default(),
            held_since: None,
        }
    }

    /// Decodes a changed row of the view and replaces the document or ownership that
    /// it holds, or removes it if the row was deleted. Ignores rows of other kinds.
    ///
    /// # Errors
    ///
    /// Returns why the row could not be decoded; the earlier value then stays.
    fn apply(&mut self, row: &Row) -> Result<(), wire::Error> {
        if let Some(service) = row.key.after(DOCUMENT) {
            let service = name::Service::try_from(service)?;
            match row::decode::<row::Document, document::Settings>(row)? {
                Some(settings) => drop(self.documents.insert(service, Arc::new(settings))),
                None => drop(self.documents.remove(&service)),
            }
        } else if let Some(host) = row.key.after(HOST) {
            let host = name::Host::try_from(host)?;
            match row::decode::<row::Host, Ownership>(row)? {
                Some(ownership) => {
                    drop(self.ownerships.insert(host, (ownership, row::data_centre(row)?)))
                }
                None => drop(self.ownerships.remove(&host)),
            }
        }
        Ok(())
    }
}

/// The decoded input of one planning round: documents in force, listed hosts of the data
/// centre, the budget of each service, hosts of unreachable data centres by the pool that
/// owns them, and the waves with their progress in the data centre.
struct DecodedRows {
    documents: Vec<Arc<document::Settings>>,
    hosts: BTreeMap<name::Host, HostView>,
    budgets: BTreeMap<name::Service, Budget>,
    unreachable_hosts: BTreeMap<name::Pool, BTreeSet<name::Host>>,
    waves: Vec<WaveState>,
}

impl<P: Table + Hosts, C: Clock> PlannerDuty<P, C> {
    /// Until the stop signal, waits for [`ROUND_PERIOD`], acquires or renews the lease and,
    /// while it is held, runs a planning round. Then releases the lease unless
    /// `keep_lease` is set.
    pub(crate) fn run(mut self, stop: &StopSignal) {
        let mut state = PlannerState::new();
        while !stop.sleep(ROUND_PERIOD) {
            let now = self.clock.now();
            self.leases.acquire_or_renew(&self.platform, now);
            match self.leases.held_lease() {
                Some(_) => self.run_round(&mut state, now),
                None => state.held_since = None,
            }
        }
        if !self.keep_lease.load(Ordering::Acquire) {
            self.leases.release(&self.platform);
        }
    }

    /// Reads what has changed, receives the last probe results, sends the probe thread its
    /// targets, and plans and commits the steps.
    ///
    /// If the platform cannot be read, the round ends there. Nothing is planned within
    /// [`PROBE_WARM_UP`] of the first round after acquiring the lease, or if a budget, wave
    /// or progress row is invalid. Failed reads and invalid rows are logged.
    fn run_round(&mut self, state: &mut PlannerState, now: Moment) {
        let since = *state.held_since.get_or_insert_with(|| {
            info!(self.log, "planning"; "data-centre" => %self.data_centre);
            now
        });
        if let Err(fault) = self.refresh(state) {
            warn!(self.log, "no round: nothing new is started"; "cause" => %fault);
            return;
        }
        while let Some(probe_results) = self.probe_results.try_receive() {
            state.probe_results = probe_results;
        }
        // If the ring is full, the probe thread receives the next targets instead.
        let _ = self.targets.try_send(probe_targets(state));
        if now.since(since) < PROBE_WARM_UP {
            return;
        }
        let decoded = match self.decode(state, now) {
            Ok(decoded) => decoded,
            Err(error) => {
                warn!(self.log, "no round: a row is not valid"; "cause" => %error);
                return;
            }
        };
        let input = Input {
            data_centre: &self.data_centre,
            data_centres: &self.data_centres,
            documents: &decoded.documents,
            hosts: &decoded.hosts,
            budgets: &decoded.budgets,
            unreachable_hosts: &decoded.unreachable_hosts,
            waves: &decoded.waves,
        };
        self.commit_steps(&input, &decoded, state);
    }

    /// Reads the rows that have changed and the platform's list of hosts. Rows of the
    /// view that cannot be decoded are logged and skipped.
    ///
    /// # Errors
    ///
    /// Returns the platform's error; the rows read until then are kept.
    fn refresh(&self, state: &mut PlannerState) -> Result<(), platform::Error> {
        for row in state.view.refresh(&self.platform)? {
            if let Err(error) = state.apply(&row) {
                warn!(self.log, "invalid row skipped"; "key" => %row.key, "cause" => %error);
            }
        }
        state.budgets.refresh(&self.platform)?;
        state.plans.refresh(&self.platform)?;
        let listed = self.platform.hosts(Some(&self.data_centre))?;
        state.listed = listed.into_iter().map(|listed| (listed.host.clone(), listed)).collect();
        Ok(())
    }

    /// Assembles the input of a round, decoding budgets and waves.
    ///
    /// # Errors
    ///
    /// Returns why a budget, wave or progress row could not be decoded.
    fn decode(&self, state: &PlannerState, now: Moment) -> Result<DecodedRows, wire::Error> {
        Ok(DecodedRows {
            documents: state.documents.values().cloned().collect(),
            hosts: host_views(state),
            budgets: decode_budgets(&state.budgets)?,
            unreachable_hosts: self.unreachable_hosts(&state.ownerships, now),
            waves: decode_waves(&state.plans, &self.data_centre)?,
        })
    }

    /// Returns the hosts of unreachable data centres, by the pool that owns them; hosts
    /// without a pool are left out.
    fn unreachable_hosts(
        &self,
        ownerships: &BTreeMap<name::Host, (Ownership, name::DataCentre)>,
        now: Moment,
    ) -> BTreeMap<name::Pool, BTreeSet<name::Host>> {
        let data_centres = self.leases.unreachable_data_centres(now);
        let mut unreachable_hosts: BTreeMap<name::Pool, BTreeSet<name::Host>> = BTreeMap::new();
        for (host, (ownership, data_centre)) in ownerships {
            if let (Some(pool), true) = (ownership.pool(), data_centres.contains(data_centre)) {
                unreachable_hosts.entry(pool.clone()).or_default().insert(host.clone());
            }
        }
        unreachable_hosts
    }

    /// Plans the steps and commits them: first all registrations, which create the rows of
    /// newly listed hosts, in one transaction, then each other step in its own, in the
    /// planned order. Logs each outcome. A transaction that fails is skipped; if the
    /// platform does not respond, the rest is dropped.
    fn commit_steps(&self, input: &Input<'_>, decoded: &DecodedRows, state: &PlannerState) {
        let Some((lease, revision)) = self.leases.held_lease() else { return };
        let context = CommitContext {
            lease,
            lease_revision: revision,
            data_centre: &self.data_centre,
            view: &state.view,
            budgets: &state.budgets,
            plans: &state.plans,
            decoded_budgets: &decoded.budgets,
            waves: &decoded.waves,
            hosts: &decoded.hosts,
            input,
        };
        let (registrations, others): (Vec<Step>, Vec<Step>) =
            input.plan().into_iter().partition(|step| matches!(step, Step::Register(_)));
        let batches = std::iter::once(registrations).chain(others.into_iter().map(|s| vec![s]));
        // If two steps write the same row, the second conflicts and is planned again
        // in the next round.
        for batch in batches.filter(|batch| !batch.is_empty()) {
            match write::commit(&self.platform, &context, &batch) {
                Ok(revision) => {
                    info!(self.log, "step"; "step" => ?batch.first(), "steps" => batch.len(),
                        "revision" => %revision);
                }
                Err(error) => {
                    warn!(self.log, "step not taken"; "step" => ?batch.first(), "cause" => %error);
                    if error == CommitError::NoResponse {
                        return;
                    }
                }
            }
        }
    }
}

/// Returns each host in the platform's list of the data centre with its rack, ownership,
/// last report, whether it is stopping by its own report or the platform's list, and
/// whether an operator drains it.
fn host_views(state: &PlannerState) -> BTreeMap<name::Host, HostView> {
    let listed = state.listed.iter();
    listed
        .map(|(host, listed)| {
            let reports_stopping = state.probe_results.stopping.contains(host);
            let view = HostView {
                rack: listed.rack.clone(),
                ownership: state.ownerships.get(host).map(|(ownership, _)| ownership.clone()),
                report: state.probe_results.reports.get(host).copied(),
                is_stopping: reports_stopping || listed.liveness == Liveness::Leaving,
                is_drained: state.plans.get(&row::key(DRAIN, host.as_str())).value.is_some(),
            };
            (host.clone(), view)
        })
        .collect()
}

/// Decodes the budget of each service, its granted disruptions and the hosts that are down
/// without one; a service without a row is left out.
///
/// # Errors
///
/// Returns why the first invalid row could not be decoded.
fn decode_budgets(cache: &RowCache) -> Result<BTreeMap<name::Service, Budget>, wire::Error> {
    cache
        .with_prefix(BUDGET)
        .filter_map(|(service, row)| {
            let budget = row::decode::<row::Budget, Budget>(row).transpose()?;
            Some(budget.and_then(|budget| Ok((name::Service::try_from(service)?, budget))))
        })
        .collect()
}

/// Decodes the waves and their progress in `data_centre`, ordered by name; a wave
/// without a progress row has completed no host there.
///
/// # Errors
///
/// Returns why the first invalid row could not be decoded.
fn decode_waves(
    plans: &RowCache,
    data_centre: &name::DataCentre,
) -> Result<Vec<WaveState>, wire::Error> {
    plans
        .with_prefix(WAVE)
        .filter_map(|(_, row)| row::decode::<row::Wave, wave::Wave>(row).transpose())
        .map(|wave| {
            let wave = wave?;
            let row = plans.get(&progress_key(&wave.name, data_centre));
            let progress = row::decode::<row::Progress, wave::Progress>(&row)?.unwrap_or_default();
            Ok(WaveState { wave, progress })
        })
        .collect()
}

/// Returns the key of the row that holds a wave's progress in a data centre.
pub(crate) fn progress_key(wave: &name::Wave, data_centre: &name::DataCentre) -> Key {
    row::key(PROGRESS, &format!("{wave}/{data_centre}"))
}

/// Returns the address of each listed host and the command to send it: a leaving host
/// is fenced at its epoch, one under maintenance is rebooted, and any other host is
/// asked for its status.
fn probe_targets(state: &PlannerState) -> Targets {
    state
        .listed
        .iter()
        .map(|(host, listed)| {
            let ownership = state.ownerships.get(host).map(|(ownership, _)| ownership);
            let command = match ownership {
                Some(Ownership { epoch, phase: Phase::Leaving { .. } }) => Command::Fence(*epoch),
                Some(Ownership { phase: Phase::Maintenance { boot, .. }, .. }) => {
                    Command::Reboot(*boot)
                }
                _ => Command::Status,
            };
            (host.clone(), (listed.address, command))
        })
        .collect()
}
