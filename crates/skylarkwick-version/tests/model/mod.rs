//! The specification: a small world whose transitions call the product's
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

pub(crate) use weaken::{Guards, Strict};

/// How far a world may go.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Highest epoch of the host.
    pub(crate) epoch: u64,
    /// Highest fencing number of the lease.
    pub(crate) fencing: u64,
    /// Highest revision of the lease, renewals included.
    pub(crate) lease: u8,
    /// Highest revision of the budget up to which the far planner writes.
    pub(crate) far: u8,
}

/// Hosts of the service that may be down at once.
const ALLOWED: u32 = 1;

/// What one exploration found.
pub(crate) struct Explored {
    pub(crate) states: usize,
    /// The shortest way to a broken promise, in words.
    pub(crate) trace: Option<Vec<String>>,
}

/// A row and how often it was written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Row<T> {
    value: T,
    revision: u8,
}

/// A transaction on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    lease_revision: u8,
    host: (u8, Ownership),
    budget: Option<(u8, Budget)>,
    was_applied: bool,
}

/// What a planner knows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Planner {
    held: Option<u8>,
    write: Option<Write>,
}

/// The host as it really is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    fence: Epoch,
    running: BTreeSet<name::Pool>,
    boot: u64,
}

/// Everything.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    last: String,
    lease: Row<Lease>,
    row: Row<Ownership>,
    budget: Row<Budget>,
    planners: [Planner; 2],
    host: Host,
    view: Ownership,
    task: Option<(name::Pool, Epoch)>,
    broken: Option<&'static str>,
}

fn pool(name: &str) -> name::Pool {
    name::Pool::try_from(name).unwrap()
}

fn near() -> name::Host {
    name::Host::try_from("near").unwrap()
}

fn far() -> name::Host {
    name::Host::try_from("far").unwrap()
}

impl World {
    fn start() -> World {
        let owned = Ownership { epoch: Epoch(1), phase: Phase::Active { pool: pool("a") } };
        World {
            last: "start".to_owned(),
            lease: Row { value: Lease::VACANT, revision: 0 },
            row: Row { value: owned.clone(), revision: 0 },
            budget: Row { value: Budget::default(), revision: 0 },
            planners: [Planner::default(), Planner::default()],
            host: Host { fence: Epoch(1), running: BTreeSet::new(), boot: 0 },
            view: owned,
            task: None,
            broken: None,
        }
    }

    fn next<G: Guards>(&self, bounds: Bounds) -> Vec<World> {
        if self.broken.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for planner in 0..2 {
            next.extend(self.take_lease(planner, bounds));
            next.extend(self.decide::<G>(planner, bounds));
            next.extend(self.apply::<G>(planner));
            next.extend(self.crash(planner));
        }
        next.extend(self.far_grant::<G>(bounds));
        next.extend(self.entry_host());
        next.extend(self.real_host::<G>());
        next
    }

    fn step(&self, what: String, change: impl FnOnce(&mut World)) -> World {
        let mut world = self.clone();
        world.last = what;
        change(&mut world);
        world.broken = world.broken.or(world.broken_promise());
        world
    }

    /// A lease may lapse at any moment, since its holder may be paused.
    fn take_lease(&self, planner: usize, bounds: Bounds) -> Option<World> {
        let me = Incarnation(planner as u64);
        if self.planners[planner].held == Some(self.lease.revision) {
            return None;
        }
        let entry = name::Entry::try_from(format!("e{planner}")).unwrap();
        match self.lease.value.next_action(me, &entry, true, true) {
            Action::Write(lease)
                if lease.fencing_token.0 <= bounds.fencing
                    && self.lease.revision < bounds.lease =>
            {
                Some(self.step(format!("planner {planner} takes the lease"), |world| {
                    world.lease = Row { value: lease, revision: world.lease.revision + 1 };
                    world.planners[planner].held = Some(world.lease.revision);
                }))
            }
            _ => None,
        }
    }

    /// Reads, asks the host and sends a step: every one that the rows allow, not
    /// only those a plan would propose. How late the write arrives stands for
    /// how old the reads were.
    fn decide<G: Guards>(&self, planner: usize, bounds: Bounds) -> Vec<World> {
        let knows = &self.planners[planner];
        let (Some(held), None) = (knows.held, &knows.write) else { return Vec::new() };
        let (row, budget) = (&self.row, &self.budget);
        let said = Some(Report {
            epoch: self.host.fence,
            running: self.host.running.len() as u32,
            boot: self.host.boot,
        });
        let wave = Cause::Wave(name::Wave::try_from("w").unwrap());
        let granted = |next: Budget| Some((budget.revision, next));
        let mut writes = Vec::new();
        let mut add = |what: &str, next: Option<Ownership>, budget: Option<(u8, Budget)>| {
            if let Some(next) = next.filter(|next| next.epoch.0 <= bounds.epoch) {
                writes.push((what.to_owned(), next, budget));
            }
        };
        add("a move out", row.value.begin_leave(Cause::Move), None);
        let answer = budget.value.grant::<G>(&[near()], &wave, &BTreeSet::new(), ALLOWED);
        if let Decision::Granted(next) = answer {
            add("the start of its maintenance", row.value.begin_leave(wave), granted(next));
        }
        add("its departure", row.value.finish_leave::<G>(said), None);
        let back = said.and_then(|said| row.value.finish_maintenance(said));
        add("its return", back, granted(budget.value.release(&near())));
        add("its assignment to b", row.value.assign(&pool("b")), None);
        writes
            .into_iter()
            .map(|(what, next, budget)| {
                self.step(format!("planner {planner} sends {what}"), |world| {
                    world.planners[planner].write = Some(Write {
                        lease_revision: held,
                        host: (row.revision, next),
                        budget,
                        was_applied: false,
                    });
                })
            })
            .collect()
    }

    /// The platform takes a write, whose answer may be lost, so that it comes again.
    fn apply<G: Guards>(&self, planner: usize) -> Vec<World> {
        let Some(write) = &self.planners[planner].write else { return Vec::new() };
        let meets_lease = !G::FENCES_WRITES || write.lease_revision == self.lease.revision;
        let meets_budget =
            write.budget.as_ref().is_none_or(|(revision, _)| *revision == self.budget.revision);
        let is_met = meets_lease && write.host.0 == self.row.revision && meets_budget;
        let holds = self.lease.value.holder == Some(Incarnation(planner as u64));
        let take = |world: &mut World, keeps: bool| {
            if is_met {
                world.row = Row { value: write.host.1.clone(), revision: world.row.revision + 1 };
                if let Some((_, budget)) = &write.budget {
                    world.budget =
                        Row { value: budget.clone(), revision: world.budget.revision + 1 };
                }
                if !holds {
                    world.broken = Some("a planner without the lease wrote");
                }
            }
            world.planners[planner].write = match keeps {
                true => Some(Write { was_applied: true, ..write.clone() }),
                false => None,
            };
        };
        let mut next = vec![self.step(
            format!("the platform takes the write of planner {planner}: {is_met}"),
            |world| take(world, false),
        )];
        if is_met && !write.was_applied {
            next.push(self.step(
                format!("the platform takes the write of planner {planner}; its answer is lost"),
                |world| take(world, true),
            ));
        }
        next
    }

    fn crash(&self, planner: usize) -> Option<World> {
        let knows = &self.planners[planner];
        knows.write.is_some().then(|| {
            self.step(format!("planner {planner} crashes; its write is lost"), |world| {
                world.planners[planner] = Planner::default();
            })
        })
    }

    /// A planner elsewhere draws on the same budget, and gives back.
    fn far_grant<G: Guards>(&self, bounds: Bounds) -> Vec<World> {
        let replace = |what: &str, next: Budget| {
            self.step(what.to_owned(), |world| {
                world.budget = Row { value: next, revision: world.budget.revision + 1 };
            })
        };
        let is_bounded = self.budget.revision < bounds.far;
        let answer =
            self.budget.value.grant::<G>(&[far()], &Cause::Drain, &BTreeSet::new(), ALLOWED);
        match answer {
            _ if !is_bounded => Vec::new(),
            _ if self.budget.value.grants.contains_key(&far()) => {
                vec![replace("the far host is back", self.budget.value.release(&far()))]
            }
            Decision::Granted(next) => vec![replace("the far host is drained", next)],
            Decision::Refused { .. } => Vec::new(),
        }
    }

    fn entry_host(&self) -> Vec<World> {
        let mut next = Vec::new();
        if self.view != self.row.value {
            next.push(self.step("the entry host adopts the row".to_owned(), |world| {
                world.view = world.row.value.clone();
            }));
        }
        if let (Phase::Active { pool }, None) = (&self.view.phase, &self.task) {
            let task = (pool.clone(), self.view.epoch);
            next.push(self.step(
                format!("the entry host sends a task of {pool} at epoch {}", task.1.0),
                |world| world.task = Some(task),
            ));
        }
        next
    }

    fn real_host<G: Guards>(&self) -> Vec<World> {
        let mut next = Vec::new();
        if let Some((pool, epoch)) = &self.task {
            let accepts = !G::CHECKS_EPOCH || *epoch >= self.host.fence;
            let verdict = if accepts { "takes" } else { "refuses" };
            next.push(self.step(format!("the host {verdict} the task of {pool}"), |world| {
                world.task = None;
                if accepts {
                    world.host.fence = world.host.fence.max(*epoch);
                    world.host.running.insert(pool.clone());
                }
            }));
        }
        for pool in &self.host.running {
            next.push(self.step(format!("a task of {pool} ends"), |world| {
                world.host.running.remove(pool);
            }));
        }
        match &self.row.value.phase {
            Phase::Leaving { .. } if self.host.fence < self.row.value.epoch => {
                next.push(self.step("the host hears of its fence".to_owned(), |world| {
                    world.host.fence = world.row.value.epoch;
                }));
            }
            Phase::Maintenance { boot, .. } if *boot == self.host.boot => {
                next.push(self.step("the host reboots".to_owned(), |world| {
                    if !world.host.running.is_empty() {
                        world.broken = Some("a planned reboot cut a task");
                    }
                    world.host.running.clear();
                    world.host.boot += 1;
                }));
            }
            _ => {}
        }
        next
    }

    fn broken_promise(&self) -> Option<&'static str> {
        let owner = self.row.value.pool();
        match &self.host.running {
            running if running.len() > 1 => Some("a host ran work of two pools"),
            running if running.iter().any(|pool| Some(pool) != owner) => {
                Some("a host ran work of a pool that does not own it")
            }
            _ if self.budget.value.unavailable(&BTreeSet::new()) > ALLOWED => {
                Some("the budget broke")
            }
            _ => None,
        }
    }

    /// Returns the one world that stands for all that behave alike: the words for
    /// how it came about do not matter, and neither does a write or a lease
    /// whose conditions can never be met again, since revisions only grow.
    fn same<G: Guards>(&self) -> World {
        let mut world = World { last: String::new(), ..self.clone() };
        for planner in &mut world.planners {
            let is_fenced = |revision: u8| G::FENCES_WRITES && revision < self.lease.revision;
            planner.held = planner.held.filter(|held| !is_fenced(*held));
            planner.write = planner.write.take().filter(|write| {
                let is_late = write.host.0 < self.row.revision
                    || write.budget.as_ref().is_some_and(|b| b.0 < self.budget.revision);
                !is_late && !is_fenced(write.lease_revision)
            });
        }
        world
    }
}

/// Explores every reachable state.
pub(crate) fn explore<G: Guards>(bounds: Bounds) -> Explored {
    let start = World::start().same::<G>();
    let successors =
        |world: &World| world.next::<G>(bounds).iter().map(World::same::<G>).collect::<Vec<_>>();
    let mut states = 0;
    for (world, _) in bfs_reach((start.clone(), ()), |(world, ())| {
        successors(world).into_iter().map(|world| (world, ())).collect::<Vec<_>>()
    }) {
        states += 1;
        if world.broken.is_some() {
            let path = bfs(&start, successors, |world| world.broken.is_some());
            return Explored { states, trace: path.map(|path| words::<G>(&path, bounds)) };
        }
    }
    Explored { states, trace: None }
}

fn words<G: Guards>(path: &[World], bounds: Bounds) -> Vec<String> {
    let mut words = vec!["start".to_owned()];
    for pair in path.windows(2) {
        let taken =
            pair[0].next::<G>(bounds).into_iter().find(|world| world.same::<G>() == pair[1]);
        words.push(taken.map(|world| world.last).unwrap_or_default());
    }
    words.extend(path.last().and_then(|world| world.broken).map(|why| format!("broken: {why}")));
    words
}
