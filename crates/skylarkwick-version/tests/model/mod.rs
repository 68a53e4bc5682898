//! Model of the protocol: a small state whose transitions call the production
//! decisions.

pub(crate) mod weaken;

use std::collections::BTreeSet;

use pathfinding::prelude::{bfs, bfs_reach};
use skylarkwick_version::{
    budget::{Budget, Decision},
    host::{Cause, Epoch, Ownership, Phase, Report},
    lease::{Action, Incarnation, Lease},
    name,
};

pub(crate) use weaken::{AllChecks, Checks};

/// Limits that keep the state space finite.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Maximum epoch of the host.
    pub(crate) epoch: u64,
    /// Maximum fencing token of the lease.
    pub(crate) fencing: u64,
    /// Maximum revision of the lease, including renewals.
    pub(crate) lease: u8,
    /// Budget revision from which the remote planner stops writing.
    pub(crate) remote: u8,
}

/// Maximum number of hosts of the service unavailable at the same time.
const MAX_UNAVAILABLE: u32 = 1;

/// Result of an exploration.
pub(crate) struct Exploration {
    /// Number of explored states.
    pub(crate) states: usize,
    /// Transitions of the shortest path to a violated invariant, if any.
    pub(crate) trace: Option<Vec<String>>,
}

/// A row; its revision is the number of writes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Row<T> {
    value: T,
    revision: u8,
}

/// A transaction in flight; each row comes with the revision it is conditional on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    lease_revision: u8,
    host: (u8, Ownership),
    budget: Option<(u8, Budget)>,
    was_applied: bool,
}

/// State of a planner: the revision of the lease it holds, and its pending write.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Planner {
    held_revision: Option<u8>,
    write: Option<Write>,
}

/// Actual state of the host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    fence: Epoch,
    running: BTreeSet<name::Pool>,
    boot: u64,
}

/// State of the whole system; `transition` describes how it was reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct State {
    transition: String,
    lease: Row<Lease>,
    row: Row<Ownership>,
    budget: Row<Budget>,
    planners: [Planner; 2],
    host: Host,
    view: Ownership,
    task: Option<(name::Pool, Epoch)>,
    violation: Option<&'static str>,
}

fn pool(name: &str) -> name::Pool {
    name::Pool::try_from(name).unwrap()
}

fn local_host() -> name::Host {
    name::Host::try_from("local").unwrap()
}

fn remote_host() -> name::Host {
    name::Host::try_from("remote").unwrap()
}

impl State {
    fn initial() -> State {
        let owned = Ownership { epoch: Epoch(1), phase: Phase::Active { pool: pool("a") } };
        State {
            transition: "start".to_owned(),
            lease: Row { value: Lease::VACANT, revision: 0 },
            row: Row { value: owned.clone(), revision: 0 },
            budget: Row { value: Budget::default(), revision: 0 },
            planners: [Planner::default(), Planner::default()],
            host: Host { fence: Epoch(1), running: BTreeSet::new(), boot: 0 },
            view: owned,
            task: None,
            violation: None,
        }
    }

    fn successors<C: Checks>(&self, bounds: Bounds) -> Vec<State> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for planner in 0..2 {
            next.extend(self.acquire_lease(planner, bounds));
            next.extend(self.decide::<C>(planner, bounds));
            next.extend(self.apply::<C>(planner));
            next.extend(self.crash(planner));
        }
        next.extend(self.remote_planner::<C>(bounds));
        next.extend(self.entry_host_transitions());
        next.extend(self.host_transitions::<C>());
        next
    }

    fn step(&self, action: String, change: impl FnOnce(&mut State)) -> State {
        let mut state = self.clone();
        state.transition = action;
        change(&mut state);
        state.violation = state.violation.or(state.violated_invariant());
        state
    }

    /// Acquires the lease; it may lapse at any time, because its holder may be paused.
    fn acquire_lease(&self, planner: usize, bounds: Bounds) -> Option<State> {
        let own = Incarnation(planner as u64);
        if self.planners[planner].held_revision == Some(self.lease.revision) {
            return None;
        }
        let entry = name::Entry::try_from(format!("e{planner}")).unwrap();
        match self.lease.value.next_action(own, &entry, true, true) {
            Action::Write(lease)
                if lease.fencing_token.0 <= bounds.fencing
                    && self.lease.revision < bounds.lease =>
            {
                Some(self.step(format!("planner {planner} acquires the lease"), |state| {
                    state.lease = Row { value: lease, revision: state.lease.revision + 1 };
                    state.planners[planner].held_revision = Some(state.lease.revision);
                }))
            }
            _ => None,
        }
    }

    /// Reads the rows and the host's report and sends a write: every one that the
    /// rows allow, not only those that a plan would contain. A late arrival of the
    /// write also covers stale reads.
    fn decide<C: Checks>(&self, planner: usize, bounds: Bounds) -> Vec<State> {
        let planner_state = &self.planners[planner];
        let (Some(held_revision), None) = (planner_state.held_revision, &planner_state.write)
        else {
            return Vec::new();
        };
        let (row, budget) = (&self.row, &self.budget);
        let report = Some(Report {
            epoch: self.host.fence,
            running: self.host.running.len() as u32,
            boot: self.host.boot,
        });
        let wave = Cause::Wave(name::Wave::try_from("w").unwrap());
        let granted = |next: Budget| Some((budget.revision, next));
        let mut writes = Vec::new();
        let mut add = |action: &str, next: Option<Ownership>, budget: Option<(u8, Budget)>| {
            if let Some(next) = next.filter(|next| next.epoch.0 <= bounds.epoch) {
                writes.push((action.to_owned(), next, budget));
            }
        };
        add("the start of a move", row.value.begin_leave(Cause::Move), None);
        let decision =
            budget.value.grant::<C>(&[local_host()], &wave, &BTreeSet::new(), MAX_UNAVAILABLE);
        if let Decision::Granted(next) = decision {
            add("the start of maintenance", row.value.begin_leave(wave), granted(next));
        }
        add("the end of the leave", row.value.finish_leave::<C>(report), None);
        let returned = report.and_then(|report| row.value.finish_maintenance(report));
        add("the end of maintenance", returned, granted(budget.value.release(&local_host())));
        add("the assignment to b", row.value.assign(&pool("b")), None);
        writes
            .into_iter()
            .map(|(action, next, budget)| {
                self.step(format!("planner {planner} sends {action}"), |state| {
                    state.planners[planner].write = Some(Write {
                        lease_revision: held_revision,
                        host: (row.revision, next),
                        budget,
                        was_applied: false,
                    });
                })
            })
            .collect()
    }

    /// The platform receives a write; its response may be lost, and the write repeated.
    fn apply<C: Checks>(&self, planner: usize) -> Vec<State> {
        let Some(write) = &self.planners[planner].write else { return Vec::new() };
        let is_lease_current = !C::FENCES_WRITES || write.lease_revision == self.lease.revision;
        let is_budget_current =
            write.budget.as_ref().is_none_or(|(revision, _)| *revision == self.budget.revision);
        let is_accepted =
            is_lease_current && write.host.0 == self.row.revision && is_budget_current;
        let holds_lease = self.lease.value.holder == Some(Incarnation(planner as u64));
        let commit = |state: &mut State, loses_response: bool| {
            if is_accepted {
                state.row = Row { value: write.host.1.clone(), revision: state.row.revision + 1 };
                if let Some((_, budget)) = &write.budget {
                    state.budget =
                        Row { value: budget.clone(), revision: state.budget.revision + 1 };
                }
                if !holds_lease {
                    state.violation = Some("a planner that does not hold the lease wrote a row");
                }
            }
            state.planners[planner].write = match loses_response {
                true => Some(Write { was_applied: true, ..write.clone() }),
                false => None,
            };
        };
        let mut next = vec![self.step(
            format!(
                "the platform receives the write of planner {planner}, accepted: {is_accepted}"
            ),
            |state| commit(state, false),
        )];
        if is_accepted && !write.was_applied {
            next.push(self.step(
                format!(
                    "the platform accepts the write of planner {planner}; the response is lost"
                ),
                |state| commit(state, true),
            ));
        }
        next
    }

    fn crash(&self, planner: usize) -> Option<State> {
        let planner_state = &self.planners[planner];
        planner_state.write.is_some().then(|| {
            self.step(format!("planner {planner} crashes; its write is lost"), |state| {
                state.planners[planner] = Planner::default();
            })
        })
    }

    /// A planner of another data centre takes a grant from the same budget and releases it.
    fn remote_planner<C: Checks>(&self, bounds: Bounds) -> Vec<State> {
        let replace = |action: &str, next: Budget| {
            self.step(action.to_owned(), |state| {
                state.budget = Row { value: next, revision: state.budget.revision + 1 };
            })
        };
        let is_within_bounds = self.budget.revision < bounds.remote;
        let decision = self.budget.value.grant::<C>(
            &[remote_host()],
            &Cause::Drain,
            &BTreeSet::new(),
            MAX_UNAVAILABLE,
        );
        match decision {
            _ if !is_within_bounds => Vec::new(),
            _ if self.budget.value.grants.contains_key(&remote_host()) => {
                vec![replace("the remote host returns", self.budget.value.release(&remote_host()))]
            }
            Decision::Granted(next) => vec![replace("the remote host is drained", next)],
            Decision::Refused { .. } => Vec::new(),
        }
    }

    fn entry_host_transitions(&self) -> Vec<State> {
        let mut next = Vec::new();
        if self.view != self.row.value {
            next.push(self.step(
                "the entry host applies the row to its view".to_owned(),
                |state| {
                    state.view = state.row.value.clone();
                },
            ));
        }
        if let (Phase::Active { pool }, None) = (&self.view.phase, &self.task) {
            let task = (pool.clone(), self.view.epoch);
            next.push(self.step(
                format!("the entry host sends a task of {pool} at epoch {}", task.1.0),
                |state| state.task = Some(task),
            ));
        }
        next
    }

    fn host_transitions<C: Checks>(&self) -> Vec<State> {
        let mut next = Vec::new();
        if let Some((pool, epoch)) = &self.task {
            let is_accepted = !C::CHECKS_EPOCH || *epoch >= self.host.fence;
            let verdict = if is_accepted { "accepts" } else { "rejects" };
            next.push(self.step(format!("the host {verdict} the task of {pool}"), |state| {
                state.task = None;
                if is_accepted {
                    state.host.fence = state.host.fence.max(*epoch);
                    state.host.running.insert(pool.clone());
                }
            }));
        }
        for pool in &self.host.running {
            next.push(self.step(format!("a task of {pool} ends"), |state| {
                state.host.running.remove(pool);
            }));
        }
        match &self.row.value.phase {
            Phase::Leaving { .. } if self.host.fence < self.row.value.epoch => {
                next.push(self.step(
                    "the host raises its fence to the epoch of the row".to_owned(),
                    |state| {
                        state.host.fence = state.row.value.epoch;
                    },
                ));
            }
            Phase::Maintenance { boot, .. } if *boot == self.host.boot => {
                next.push(self.step("the host reboots".to_owned(), |state| {
                    if !state.host.running.is_empty() {
                        state.violation = Some("a planned reboot interrupted a task");
                    }
                    state.host.running.clear();
                    state.host.boot += 1;
                }));
            }
            _ => {}
        }
        next
    }

    fn violated_invariant(&self) -> Option<&'static str> {
        let owner = self.row.value.pool();
        match &self.host.running {
            running if running.len() > 1 => Some("a host ran tasks of two pools"),
            running if running.iter().any(|pool| Some(pool) != owner) => {
                Some("a host ran a task of a pool that does not own it")
            }
            _ if self.budget.value.unavailable(&BTreeSet::new()) > MAX_UNAVAILABLE => {
                Some("more hosts are unavailable than the budget allows")
            }
            _ => None,
        }
    }

    /// Returns the representative of all states with the same behaviour. It drops
    /// the description of the transition, and every pending write or held lease
    /// whose conditions can never hold again, because revisions only increase.
    fn canonical<C: Checks>(&self) -> State {
        let mut state = State { transition: String::new(), ..self.clone() };
        for planner in &mut state.planners {
            let is_superseded = |revision: u8| C::FENCES_WRITES && revision < self.lease.revision;
            planner.held_revision =
                planner.held_revision.filter(|held_revision| !is_superseded(*held_revision));
            planner.write = planner.write.take().filter(|write| {
                let is_stale = write.host.0 < self.row.revision
                    || write.budget.as_ref().is_some_and(|b| b.0 < self.budget.revision);
                !is_stale && !is_superseded(write.lease_revision)
            });
        }
        state
    }
}

/// Explores all reachable states, up to the first violated invariant.
pub(crate) fn explore<C: Checks>(bounds: Bounds) -> Exploration {
    let start = State::initial().canonical::<C>();
    let successors = |state: &State| {
        state.successors::<C>(bounds).iter().map(State::canonical::<C>).collect::<Vec<_>>()
    };
    let mut states = 0;
    for (state, _) in bfs_reach((start.clone(), ()), |(state, ())| {
        successors(state).into_iter().map(|state| (state, ())).collect::<Vec<_>>()
    }) {
        states += 1;
        if state.violation.is_some() {
            let path = bfs(&start, successors, |state| state.violation.is_some());
            return Exploration { states, trace: path.map(|path| describe::<C>(&path, bounds)) };
        }
    }
    Exploration { states, trace: None }
}

fn describe<C: Checks>(path: &[State], bounds: Bounds) -> Vec<String> {
    let mut transitions = vec!["start".to_owned()];
    for pair in path.windows(2) {
        let taken = pair[0]
            .successors::<C>(bounds)
            .into_iter()
            .find(|state| state.canonical::<C>() == pair[1]);
        transitions.push(taken.map(|state| state.transition).unwrap_or_default());
    }
    transitions.extend(
        path.last()
            .and_then(|state| state.violation)
            .map(|violation| format!("violation: {violation}")),
    );
    transitions
}
