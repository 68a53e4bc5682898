//! One planning round for a data centre.
//!
//! The round looks at what is and returns the steps that lead to what should be.
//! It keeps no state of its own: a planner that takes over continues where the
//! last one was, and a step that was lost is proposed again. See
//! `docs/DESIGN.md`, section "Planners".

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    budget::Budget,
    capacity::{self, OwnershipChange, PoolDemand},
    document,
    host::{self, Cause, Ownership, Phase, Report},
    name, wave,
};

/// What is known of a host of the data centre.
#[derive(Clone, Debug)]
pub struct HostState {
    /// Its rack.
    pub rack: name::Rack,
    /// Its ownership, if it has a row.
    pub ownership: Option<Ownership>,
    /// What it said of itself last, unless it is silent.
    pub report: Option<Report>,
    /// Whether the platform lists it as about to stop.
    pub is_stopping: bool,
    /// Whether an operator keeps it out of every pool.
    pub is_drained: bool,
}

/// A wave and the hosts of the data centre that it has done.
#[derive(Clone, Debug)]
pub struct WaveState {
    /// The wave.
    pub wave: wave::Wave,
    /// Its progress here.
    pub progress: wave::Progress,
}

/// What a planning round is based on.
#[derive(Debug)]
pub struct Input<'a> {
    /// The data centre that is planned.
    pub data_centre: &'a name::DataCentre,
    /// All data centres of the site.
    pub data_centres: &'a [name::DataCentre],
    /// Documents in force.
    pub documents: &'a [std::sync::Arc<document::Settings>],
    /// Hosts of the data centre.
    pub hosts: &'a BTreeMap<name::Host, HostState>,
    /// Budgets of the services.
    pub budgets: &'a BTreeMap<name::Service, Budget>,
    /// Hosts of each pool in data centres that nobody has heard from.
    pub unreachable_hosts: &'a BTreeMap<name::Pool, BTreeSet<name::Host>>,
    /// Waves, in the order of their names.
    pub waves: &'a [WaveState],
}

/// One change to write; each is a transaction of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Give a newly listed host a row.
    Register(name::Host),
    /// Give a free host to a pool.
    Assign(name::Host, name::Pool),
    /// Take hosts out of their pools; `granted` names the services whose budgets
    /// have to grant it.
    Leave {
        /// The hosts.
        hosts: Vec<name::Host>,
        /// Why they leave.
        cause: Cause,
        /// Services whose budgets grant it, with the hosts that each counts.
        granted: BTreeMap<name::Service, Vec<name::Host>>,
    },
    /// Let go of a leaving host that has finished its work.
    Depart(name::Host),
    /// Give a host that has booted back to its pool.
    Recover(name::Host),
    /// Note which hosts of a service are down without a grant.
    Report(name::Service, BTreeSet<name::Host>),
}

impl Input<'_> {
    /// Returns the steps of this round, those that give capacity back first.
    pub fn plan(&self) -> Vec<Step> {
        let round = Round::new(self);
        let mut steps = round.reports();
        steps.extend(round.returns());
        steps.extend(round.registrations());
        steps.extend(round.capacity());
        steps.extend(round.drains());
        steps.extend(round.waves());
        steps
    }
}

/// Input, and the hosts of each pool, found once for the whole round.
struct Round<'a> {
    facts: &'a Input<'a>,
    owned: BTreeMap<&'a name::Pool, Vec<(&'a name::Host, &'a HostState)>>,
}

impl<'a> Round<'a> {
    fn new(facts: &'a Input<'a>) -> Round<'a> {
        let mut owned: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (host, known) in facts.hosts {
            if let Some(pool) = known.ownership.as_ref().and_then(Ownership::pool) {
                owned.entry(pool).or_default().push((host, known));
            }
        }
        Round { facts, owned }
    }

    /// Returns the hosts that a pool owns here, leaving and maintained ones too.
    fn owned(&self, pool: &name::Pool) -> impl Iterator<Item = (&'a name::Host, &'a HostState)> {
        self.owned.get(pool).into_iter().flatten().copied()
    }

    /// Returns the need of each pool in this data centre.
    fn needs(&self) -> BTreeMap<name::Pool, PoolDemand> {
        let mut needs: BTreeMap<name::Pool, PoolDemand> = BTreeMap::new();
        for document in self.facts.documents {
            let wanted = capacity::hosts_for_data_centre(
                document.hosts,
                self.facts.data_centres,
                self.facts.data_centre,
            );
            let owned = self.owned(&document.pool).filter(|(_, known)| counts(known)).count();
            let need = needs.entry(document.pool.clone()).or_insert(PoolDemand {
                target_hosts: 0,
                owned_hosts: owned as u32,
                is_spare: false,
            });
            need.target_hosts += wanted;
            need.is_spare |= document.is_spare;
        }
        needs
    }

    fn services_of<'b>(
        &'b self,
        pool: &'b name::Pool,
    ) -> impl Iterator<Item = &'b std::sync::Arc<document::Settings>> {
        self.facts.documents.iter().filter(move |document| document.pool == *pool)
    }

    fn reports(&self) -> Vec<Step> {
        let empty = Budget::default();
        let mut steps = Vec::new();
        for document in self.facts.documents {
            let budget = self.facts.budgets.get(&document.service).unwrap_or(&empty);
            let down: BTreeSet<name::Host> = self
                .owned(&document.pool)
                .filter(|(host, known)| {
                    known.report.is_none() && !budget.grants.contains_key(*host)
                })
                .map(|(host, _)| host.clone())
                .collect();
            let reported =
                budget.down_hosts.get(self.facts.data_centre).cloned().unwrap_or_default();
            if down != reported {
                steps.push(Step::Report(document.service.clone(), down));
            }
        }
        steps
    }

    fn returns(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (host, known) in self.facts.hosts {
            let Some(ownership) = &known.ownership else { continue };
            match (&ownership.phase, known.report) {
                (Phase::Leaving { .. }, said)
                    if ownership.finish_leave::<host::AllChecks>(said).is_some() =>
                {
                    steps.push(Step::Depart(host.clone()));
                }
                (Phase::Maintenance { .. }, Some(said))
                    if ownership.finish_maintenance(said).is_some() =>
                {
                    steps.push(Step::Recover(host.clone()));
                }
                _ => {}
            }
        }
        steps
    }

    fn registrations(&self) -> Vec<Step> {
        self.facts
            .hosts
            .iter()
            .filter(|(_, known)| known.ownership.is_none() && !known.is_stopping)
            .map(|(host, _)| Step::Register(host.clone()))
            .collect()
    }

    fn capacity(&self) -> Vec<Step> {
        let mut free: BTreeSet<&name::Host> = self
            .facts
            .hosts
            .iter()
            .filter(|(_, known)| is_free(known))
            .map(|(host, _)| host)
            .collect();
        let coming = self.facts.hosts.values().filter(|known| is_coming(known)).count() as u32;
        let mut racked = self.racked();
        let mut withdrawn: BTreeSet<name::Host> = BTreeSet::new();
        let mut steps = Vec::new();
        for change in capacity::plan_changes(&self.needs(), free.len() as u32, coming) {
            match change {
                OwnershipChange::Assign { pool } => {
                    let Some(host) = self.least_racked(&pool, &free, &racked) else { continue };
                    free.remove(host);
                    *racked
                        .entry((pool.clone(), self.facts.hosts[host].rack.clone()))
                        .or_default() += 1;
                    steps.push(Step::Assign(host.clone(), pool));
                }
                OwnershipChange::Withdraw { pool } => {
                    let Some(host) = self.idlest(&pool, &withdrawn).cloned() else { continue };
                    withdrawn.insert(host.clone());
                    let (cause, granted) = (Cause::Move, BTreeMap::new());
                    steps.push(Step::Leave { hosts: vec![host], cause, granted });
                }
            }
        }
        steps
    }

    /// Counts the hosts of each pool in each rack.
    fn racked(&self) -> BTreeMap<(name::Pool, name::Rack), u32> {
        let mut racked = BTreeMap::new();
        for known in self.facts.hosts.values() {
            if let Some(pool) = known.ownership.as_ref().and_then(Ownership::pool) {
                *racked.entry((pool.clone(), known.rack.clone())).or_default() += 1;
            }
        }
        racked
    }

    /// Chooses a free host in the rack where the pool has the fewest hosts, so
    /// that a rack that fails takes as little of one pool as can be.
    fn least_racked(
        &self,
        pool: &name::Pool,
        free: &BTreeSet<&'a name::Host>,
        racked: &BTreeMap<(name::Pool, name::Rack), u32>,
    ) -> Option<&'a name::Host> {
        let count = |host: &name::Host| {
            let place = (pool.clone(), self.facts.hosts[host].rack.clone());
            racked.get(&place).copied().unwrap_or(0)
        };
        free.iter().copied().min_by_key(|host| (count(host), *host))
    }

    /// Chooses the active host of a pool with the least work in progress.
    fn idlest(
        &self,
        pool: &name::Pool,
        withdrawn: &BTreeSet<name::Host>,
    ) -> Option<&'a name::Host> {
        self.owned(pool)
            .filter(|(host, known)| is_active(known) && !withdrawn.contains(*host))
            .filter_map(|(host, known)| Some((known.report?.running, host)))
            .min()
            .map(|(_, host)| host)
    }

    fn drains(&self) -> Vec<Step> {
        let mut room = self.room();
        let mut steps = Vec::new();
        for (host, known) in self.facts.hosts {
            let Some(pool) = known.ownership.as_ref().and_then(Ownership::pool) else { continue };
            if !known.is_drained || !is_active(known) {
                continue;
            }
            let hosts = [host.clone()];
            if let Some(granted) = self.grants(&hosts, pool, &mut room) {
                let hosts = hosts.to_vec();
                steps.push(Step::Leave { hosts, cause: Cause::Drain, granted });
            }
        }
        steps
    }

    fn waves(&self) -> Vec<Step> {
        let mut room = self.room();
        let mut steps = Vec::new();
        for WaveState { wave, progress } in self.facts.waves {
            if wave.state == wave::State::Paused {
                continue;
            }
            for hosts in wave::select_hosts(&self.candidates(wave, progress), &room) {
                let pools: BTreeSet<&name::Pool> = hosts
                    .iter()
                    .filter_map(|host| self.facts.hosts[host].ownership.as_ref()?.pool())
                    .collect();
                let mut granted = BTreeMap::new();
                for pool in pools {
                    let of_pool: Vec<name::Host> = hosts
                        .iter()
                        .filter(|host| {
                            self.facts.hosts[*host].ownership.as_ref().and_then(Ownership::pool)
                                == Some(pool)
                        })
                        .cloned()
                        .collect();
                    granted.extend(self.grants(&of_pool, pool, &mut room).unwrap_or_default());
                }
                let cause = Cause::Wave(wave.name.clone());
                steps.push(Step::Leave { hosts, cause, granted });
            }
        }
        steps
    }

    fn candidates(&self, wave: &wave::Wave, progress: &wave::Progress) -> Vec<wave::Candidate> {
        let room = self.room();
        let mut candidates = Vec::new();
        for (host, known) in self.facts.hosts {
            let pool = known.ownership.as_ref().and_then(Ownership::pool);
            let (Some(pool), Some(said)) = (pool, known.report) else { continue };
            let is_in_scope = wave.pool.as_ref().is_none_or(|wanted| wanted == pool);
            if !is_in_scope || !is_active(known) || progress.done.contains(host) {
                continue;
            }
            // With several services on a pool, the tightest budget decides.
            let tightest = self
                .services_of(pool)
                .min_by_key(|document| room.get(&document.service).copied().unwrap_or(0));
            if let Some(document) = tightest {
                candidates.push(wave::Candidate {
                    host: host.clone(),
                    rack: known.rack.clone(),
                    service: document.service.clone(),
                    work_left_ms: u64::from(said.running)
                        * document.work.run_time.as_millis() as u64,
                });
            }
        }
        candidates
    }

    /// Returns the grants that each budget has left.
    fn room(&self) -> BTreeMap<name::Service, u32> {
        let empty = Budget::default();
        let nobody = BTreeSet::new();
        self.facts
            .documents
            .iter()
            .map(|document| {
                let budget = self.facts.budgets.get(&document.service).unwrap_or(&empty);
                let silent = self.facts.unreachable_hosts.get(&document.pool).unwrap_or(&nobody);
                let left = document.max_unavailable.saturating_sub(budget.unavailable(silent));
                (document.service.clone(), left)
            })
            .collect()
    }

    fn grants(
        &self,
        hosts: &[name::Host],
        pool: &name::Pool,
        room: &mut BTreeMap<name::Service, u32>,
    ) -> Option<BTreeMap<name::Service, Vec<name::Host>>> {
        let services: Vec<name::Service> =
            self.services_of(pool).map(|document| document.service.clone()).collect();
        let needed = hosts.len() as u32;
        if services.iter().any(|service| room.get(service).copied().unwrap_or(0) < needed) {
            return None;
        }
        for service in &services {
            if let Some(left) = room.get_mut(service) {
                *left -= needed;
            }
        }
        Some(services.into_iter().map(|service| (service, hosts.to_vec())).collect())
    }
}

fn is_active(known: &HostState) -> bool {
    matches!(&known.ownership, Some(Ownership { phase: Phase::Active { .. }, .. }))
}

/// Tells whether a host will be free to assign once it has left its pool.
fn is_coming(known: &HostState) -> bool {
    let cause = match &known.ownership {
        Some(Ownership { phase: Phase::Leaving { cause, .. }, .. }) => cause,
        _ => return false,
    };
    *cause == Cause::Move && !known.is_drained
}

/// Tells whether a host counts towards its pool's capacity: it does while it is
/// maintained, but not once it is leaving for good or has fallen silent.
fn counts(known: &HostState) -> bool {
    match known.ownership.as_ref().map(|ownership| &ownership.phase) {
        Some(Phase::Active { .. }) => known.report.is_some(),
        Some(Phase::Maintenance { .. } | Phase::Leaving { cause: Cause::Wave(_), .. }) => true,
        _ => false,
    }
}

fn is_free(known: &HostState) -> bool {
    let has_no_owner = matches!(&known.ownership, Some(Ownership { phase: Phase::Free, .. }));
    has_no_owner && known.report.is_some() && !known.is_stopping && !known.is_drained
}
