//! Planning round of a data centre.
//!
//! A round compares the actual state with the desired state and returns the steps
//! that reconcile them. It is stateless: a planner that takes over continues
//! where the last one stopped, and a step that was lost is returned again. See
//! `docs/DESIGN.md`, section "Planners".

mod leaves;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    budget::Budget,
    capacity::{self, OwnershipChange, PoolDemand},
    document,
    host::{self, Cause, Ownership, Phase, Report},
    name, wave,
};

/// Observed state of a host of the data centre: its rack, its ownership, its last report,
/// and whether it is about to stop or drained.
#[derive(Clone, Debug)]
pub struct HostView {
    /// Rack of the host.
    pub rack: name::Rack,
    /// Ownership of the host; none if it has no row.
    pub ownership: Option<Ownership>,
    /// Last report of the host; none if it does not respond and so counts as down.
    pub report: Option<Report>,
    /// Whether the host or the platform announced that it is about to stop.
    pub is_stopping: bool,
    /// Whether an operator keeps the host out of every pool until it is undrained.
    pub is_drained: bool,
}

/// A maintenance wave and the hosts of the data centre that it is done with.
#[derive(Clone, Debug)]
pub struct WaveState {
    /// Row of the wave.
    pub wave: wave::Wave,
    /// Progress in the data centre.
    pub progress: wave::Progress,
}

/// Input of a planning round: the observed state of a data centre and the documents,
/// budgets and waves that apply to it.
#[derive(Debug)]
pub struct Input<'a> {
    /// Data centre to plan.
    pub data_centre: &'a name::DataCentre,
    /// All data centres of the site, in the same order for every planner.
    pub data_centres: &'a [name::DataCentre],
    /// Documents in force of all services.
    pub documents: &'a [std::sync::Arc<document::Settings>],
    /// Hosts of the data centre.
    pub hosts: &'a BTreeMap<name::Host, HostView>,
    /// Budgets by service; a service without one has granted nothing.
    pub budgets: &'a BTreeMap<name::Service, Budget>,
    /// Hosts in unreachable data centres, by pool.
    pub unreachable_hosts: &'a BTreeMap<name::Pool, BTreeSet<name::Host>>,
    /// Waves, ordered by name.
    pub waves: &'a [WaveState],
}

/// Change to the rows that a planner commits, such as a change of a host's ownership or
/// of a budget; each step is atomic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Create the row of a newly listed host.
    Register(name::Host),
    /// Assign this free host to this pool.
    Assign(name::Host, name::Pool),
    /// Start to take hosts out of their pools.
    Leave {
        /// Hosts that leave.
        hosts: Vec<name::Host>,
        /// Why the hosts leave.
        cause: Cause,
        /// Hosts for which each service's budget has to record a grant; empty for
        /// [`Cause::Move`], which needs none.
        granted: BTreeMap<name::Service, Vec<name::Host>>,
    },
    /// Release a leaving host that has finished its tasks: it becomes free or, in a
    /// wave, its maintenance starts.
    Depart(name::Host),
    /// Return a host under maintenance that has rebooted to its pool.
    Recover(name::Host),
    /// Replace the recorded hosts of a service in this data centre that are down
    /// without a grant.
    Report(name::Service, BTreeSet<name::Host>),
}

impl Input<'_> {
    /// Returns the steps of this round in the order in which they are to be committed:
    /// down hosts are reported first, so that they count against the budgets, and steps
    /// that restore capacity come before those that take hosts out of service.
    pub fn plan(&self) -> Vec<Step> {
        let round = Round::new(self);
        let mut steps = round.down_reports();
        steps.extend(round.completions());
        steps.extend(round.registrations());
        steps.extend(round.reassignments());
        steps.extend(round.drains());
        steps.extend(round.waves());
        steps
    }
}

/// Input of a round, with the owned hosts indexed by the pool that owns them.
struct Round<'a> {
    input: &'a Input<'a>,
    owned: BTreeMap<&'a name::Pool, Vec<(&'a name::Host, &'a HostView)>>,
}

impl<'a> Round<'a> {
    /// Indexes the input; free hosts and those without a row are left out of the index.
    fn new(input: &'a Input<'a>) -> Round<'a> {
        let mut owned: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (host, state) in input.hosts {
            if let Some(pool) = state.ownership.as_ref().and_then(Ownership::pool) {
                owned.entry(pool).or_default().push((host, state));
            }
        }
        Round { input, owned }
    }

    /// Returns the hosts that a pool owns, including those leaving or under maintenance.
    fn owned(&self, pool: &name::Pool) -> impl Iterator<Item = (&'a name::Host, &'a HostView)> {
        self.owned.get(pool).into_iter().flatten().copied()
    }

    /// Returns the demand in the data centre of each pool that a document names: the sum
    /// of its services' targets, and the owned hosts that count as capacity. The pool is
    /// the spare pool if any of its documents says so.
    fn demands(&self) -> BTreeMap<name::Pool, PoolDemand> {
        let mut demands: BTreeMap<name::Pool, PoolDemand> = BTreeMap::new();
        for document in self.input.documents {
            let target = capacity::hosts_for_data_centre(
                document.hosts,
                self.input.data_centres,
                self.input.data_centre,
            );
            let owned =
                self.owned(&document.pool).filter(|(_, state)| counts_as_capacity(state)).count();
            let demand = demands.entry(document.pool.clone()).or_insert(PoolDemand {
                target_hosts: 0,
                owned_hosts: owned as u32,
                is_spare: false,
            });
            demand.target_hosts += target;
            demand.is_spare |= document.is_spare;
        }
        demands
    }

    /// Returns the documents of the services that a pool runs.
    fn documents_of<'b>(
        &'b self,
        pool: &'b name::Pool,
    ) -> impl Iterator<Item = &'b std::sync::Arc<document::Settings>> {
        self.input.documents.iter().filter(move |document| document.pool == *pool)
    }

    /// Returns a report for each service whose pool's hosts that do not respond and have
    /// no grant differ from those that its budget records for this data centre.
    fn down_reports(&self) -> Vec<Step> {
        let empty = Budget::default();
        let mut steps = Vec::new();
        for document in self.input.documents {
            let budget = self.input.budgets.get(&document.service).unwrap_or(&empty);
            let down: BTreeSet<name::Host> = self
                .owned(&document.pool)
                .filter(|(host, state)| {
                    state.report.is_none() && !budget.grants.contains_key(*host)
                })
                .map(|(host, _)| host.clone())
                .collect();
            let reported_down =
                budget.down_hosts.get(self.input.data_centre).cloned().unwrap_or_default();
            if down != reported_down {
                steps.push(Step::Report(document.service.clone(), down));
            }
        }
        steps
    }

    /// Returns the steps for leaving hosts that may be released and for hosts under
    /// maintenance that have rebooted, according to their last reports.
    fn completions(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (host, state) in self.input.hosts {
            let Some(ownership) = &state.ownership else { continue };
            match (&ownership.phase, state.report) {
                (Phase::Leaving { .. }, report)
                    if ownership.finish_leave::<host::AllChecks>(report).is_some() =>
                {
                    steps.push(Step::Depart(host.clone()));
                }
                (Phase::Maintenance { .. }, Some(report))
                    if ownership.finish_maintenance(report).is_some() =>
                {
                    steps.push(Step::Recover(host.clone()));
                }
                _ => {}
            }
        }
        steps
    }

    /// Returns the steps for hosts that have no row and are not about to stop.
    fn registrations(&self) -> Vec<Step> {
        self.input
            .hosts
            .iter()
            .filter(|(_, state)| state.ownership.is_none() && !state.is_stopping)
            .map(|(host, _)| Step::Register(host.clone()))
            .collect()
    }

    /// Returns the steps that assign free hosts to pools and withdraw surplus hosts from
    /// them. A change for which no suitable host exists is left out.
    fn reassignments(&self) -> Vec<Step> {
        let mut free: BTreeSet<&name::Host> = self
            .input
            .hosts
            .iter()
            .filter(|(_, state)| is_free(state))
            .map(|(host, _)| host)
            .collect();
        let arriving = self.input.hosts.values().filter(|state| is_arriving(state)).count() as u32;
        let mut hosts_per_rack = self.hosts_per_rack();
        let mut withdrawn: BTreeSet<name::Host> = BTreeSet::new();
        let mut steps = Vec::new();
        for change in capacity::plan_changes(&self.demands(), free.len() as u32, arriving) {
            match change {
                OwnershipChange::Assign { pool } => {
                    let Some(host) = self.host_in_emptiest_rack(&pool, &free, &hosts_per_rack)
                    else {
                        continue;
                    };
                    free.remove(host);
                    *hosts_per_rack
                        .entry((pool.clone(), self.input.hosts[host].rack.clone()))
                        .or_default() += 1;
                    steps.push(Step::Assign(host.clone(), pool));
                }
                OwnershipChange::Withdraw { pool } => {
                    let Some(host) = self.least_loaded_host(&pool, &withdrawn).cloned() else {
                        continue;
                    };
                    withdrawn.insert(host.clone());
                    let (cause, granted) = (Cause::Move, BTreeMap::new());
                    steps.push(Step::Leave { hosts: vec![host], cause, granted });
                }
            }
        }
        steps
    }

    /// Returns the number of hosts that each pool owns in each rack, in any phase.
    fn hosts_per_rack(&self) -> BTreeMap<(name::Pool, name::Rack), u32> {
        let mut hosts_per_rack = BTreeMap::new();
        for state in self.input.hosts.values() {
            if let Some(pool) = state.ownership.as_ref().and_then(Ownership::pool) {
                *hosts_per_rack.entry((pool.clone(), state.rack.clone())).or_default() += 1;
            }
        }
        hosts_per_rack
    }

    /// Returns a free host in the rack where the pool owns the fewest hosts, so
    /// that a rack failure affects as few hosts of one pool as possible; none if `free`
    /// is empty.
    fn host_in_emptiest_rack(
        &self,
        pool: &name::Pool,
        free: &BTreeSet<&'a name::Host>,
        hosts_per_rack: &BTreeMap<(name::Pool, name::Rack), u32>,
    ) -> Option<&'a name::Host> {
        let count = |host: &name::Host| {
            let key = (pool.clone(), self.input.hosts[host].rack.clone());
            hosts_per_rack.get(&key).copied().unwrap_or(0)
        };
        free.iter().copied().min_by_key(|host| (count(host), *host))
    }

    /// Returns the active host of a pool with the fewest running tasks; none if every
    /// active host is in `withdrawn` or does not respond.
    fn least_loaded_host(
        &self,
        pool: &name::Pool,
        withdrawn: &BTreeSet<name::Host>,
    ) -> Option<&'a name::Host> {
        self.owned(pool)
            .filter(|(host, state)| is_active(state) && !withdrawn.contains(*host))
            .filter_map(|(host, state)| Some((state.report?.running, host)))
            .min()
            .map(|(_, host)| host)
    }
}

/// Returns whether the host accepts tasks of a pool, whether or not it responds.
fn is_active(state: &HostView) -> bool {
    matches!(&state.ownership, Some(Ownership { phase: Phase::Active { .. }, .. }))
}

/// Returns whether the host is leaving its pool and will then be free to assign; a
/// drained one will not.
fn is_arriving(state: &HostView) -> bool {
    let cause = match &state.ownership {
        Some(Ownership { phase: Phase::Leaving { cause, .. }, .. }) => cause,
        _ => return false,
    };
    *cause == Cause::Move && !state.is_drained
}

/// Returns whether a host counts towards the capacity of its pool. It does while it is
/// active and responds, and from its leave for a wave until it returns; it does not
/// while it leaves for a move or a drain.
fn counts_as_capacity(state: &HostView) -> bool {
    match state.ownership.as_ref().map(|ownership| &ownership.phase) {
        Some(Phase::Active { .. }) => state.report.is_some(),
        Some(Phase::Maintenance { .. } | Phase::Leaving { cause: Cause::Wave(_), .. }) => true,
        _ => false,
    }
}

/// Returns whether a host can be assigned: no pool owns it, it responds, and it is neither
/// about to stop nor drained.
fn is_free(state: &HostView) -> bool {
    let has_no_owner = matches!(&state.ownership, Some(Ownership { phase: Phase::Free, .. }));
    has_no_owner && state.report.is_some() && !state.is_stopping && !state.is_drained
}
