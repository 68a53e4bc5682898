//! Hosts that leave their pools for a drain or for maintenance, as far as the budgets of the
//! pools' services grant it.

use std::collections::{BTreeMap, BTreeSet};

use super::{Round, Step, WaveState, is_active};
use crate::{
    budget::Budget,
    host::{Cause, Ownership},
    name, wave,
};

impl Round<'_> {
    /// Returns a step for each active host that an operator drains, as far as the budgets
    /// of its pool's services grant it.
    pub(super) fn drains(&self) -> Vec<Step> {
        let mut remaining_grants = self.remaining_grants();
        let mut steps = Vec::new();
        for (host, state) in self.input.hosts {
            let Some(pool) = state.ownership.as_ref().and_then(Ownership::pool) else { continue };
            if !state.is_drained || !is_active(state) {
                continue;
            }
            let hosts = [host.clone()];
            if let Some(granted) = self.take_grants(&hosts, pool, &mut remaining_grants) {
                let hosts = hosts.to_vec();
                steps.push(Step::Leave { hosts, cause: Cause::Drain, granted });
            }
        }
        steps
    }

    /// Returns a step for each group of hosts whose maintenance starts now, in the order
    /// of the waves and as far as the budgets grant it. Paused waves start none.
    pub(super) fn waves(&self) -> Vec<Step> {
        let mut remaining_grants = self.remaining_grants();
        let mut steps = Vec::new();
        for WaveState { wave, progress } in self.input.waves {
            if wave.state == wave::State::Paused {
                continue;
            }
            for hosts in wave::select_hosts(&self.candidates(wave, progress), &remaining_grants) {
                let pools: BTreeSet<&name::Pool> = hosts
                    .iter()
                    .filter_map(|host| self.input.hosts[host].ownership.as_ref()?.pool())
                    .collect();
                let mut granted = BTreeMap::new();
                for pool in pools {
                    let pool_hosts: Vec<name::Host> = hosts
                        .iter()
                        .filter(|host| {
                            self.input.hosts[*host].ownership.as_ref().and_then(Ownership::pool)
                                == Some(pool)
                        })
                        .cloned()
                        .collect();
                    granted.extend(
                        self.take_grants(&pool_hosts, pool, &mut remaining_grants)
                            .unwrap_or_default(),
                    );
                }
                let cause = Cause::Wave(wave.name.clone());
                steps.push(Step::Leave { hosts, cause, granted });
            }
        }
        steps
    }

    /// Returns the hosts whose maintenance a wave may start if a budget grants it: active
    /// ones in its scope that respond and have not completed it. A host whose pool runs no
    /// service is left out, because no budget applies to it.
    fn candidates(&self, wave: &wave::Wave, progress: &wave::Progress) -> Vec<wave::Candidate> {
        let remaining_grants = self.remaining_grants();
        let mut candidates = Vec::new();
        for (host, state) in self.input.hosts {
            let pool = state.ownership.as_ref().and_then(Ownership::pool);
            let (Some(pool), Some(report)) = (pool, state.report) else { continue };
            let is_in_scope = wave.pool.as_ref().is_none_or(|scope| scope == pool);
            if !is_in_scope || !is_active(state) || progress.done.contains(host) {
                continue;
            }
            // If several services share a pool, the smallest remaining budget applies.
            let most_constrained = self.documents_of(pool).min_by_key(|document| {
                remaining_grants.get(&document.service).copied().unwrap_or(0)
            });
            if let Some(document) = most_constrained {
                candidates.push(wave::Candidate {
                    host: host.clone(),
                    rack: state.rack.clone(),
                    service: document.service.clone(),
                    work_left_ms: u64::from(report.running)
                        * document.work.run_time.as_millis() as u64,
                });
            }
        }
        candidates
    }

    /// Returns the number of grants left in each service's budget: the allowed number of
    /// unavailable hosts less those that are unavailable for any reason.
    fn remaining_grants(&self) -> BTreeMap<name::Service, u32> {
        let empty = Budget::default();
        let no_hosts = BTreeSet::new();
        self.input
            .documents
            .iter()
            .map(|document| {
                let budget = self.input.budgets.get(&document.service).unwrap_or(&empty);
                let unreachable_hosts =
                    self.input.unreachable_hosts.get(&document.pool).unwrap_or(&no_hosts);
                let remaining =
                    document.max_unavailable.saturating_sub(budget.unavailable(unreachable_hosts));
                (document.service.clone(), remaining)
            })
            .collect()
    }

    /// Takes a grant for each of `hosts` from the budget of every service of `pool`, by
    /// reducing `remaining_grants`.
    ///
    /// Returns the hosts granted by each service; none, with nothing taken, if a budget
    /// has fewer grants left than there are hosts.
    fn take_grants(
        &self,
        hosts: &[name::Host],
        pool: &name::Pool,
        remaining_grants: &mut BTreeMap<name::Service, u32>,
    ) -> Option<BTreeMap<name::Service, Vec<name::Host>>> {
        let services: Vec<name::Service> =
            self.documents_of(pool).map(|document| document.service.clone()).collect();
        let needed = hosts.len() as u32;
        if services
            .iter()
            .any(|service| remaining_grants.get(service).copied().unwrap_or(0) < needed)
        {
            return None;
        }
        for service in &services {
            if let Some(remaining) = remaining_grants.get_mut(service) {
                *remaining -= needed;
            }
        }
        Some(services.into_iter().map(|service| (service, hosts.to_vec())).collect())
    }
}
