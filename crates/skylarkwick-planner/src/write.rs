//! Writing the steps of a round, each as one conditional transaction.
//!
//! Every transaction is conditional on the lease, so a planner that was paused
//! past it writes nothing, and on every row that the step was decided on.

use std::collections::BTreeMap;

use skylarkwick_connection::platform::{
    Key, Table, Transaction,
    row::{self, BUDGET, HOST},
    settle::{Settled, settle},
};
use skylarkwick_version::{
    budget::{self, Budget, Decision},
    host::{self, Cause, Ownership, Phase},
    name,
    plan::{HostView, Input, Step, WaveState},
    revision::{Revision, Token},
};

use crate::{mirror::Mirror, round::progress_key};

/// What the steps were decided on.
pub(crate) struct Rows<'a> {
    pub(crate) lease: Key,
    pub(crate) lease_revision: Revision,
    pub(crate) data_centre: &'a name::DataCentre,
    pub(crate) view: &'a Mirror,
    pub(crate) budgets: &'a Mirror,
    pub(crate) plans: &'a Mirror,
    pub(crate) checked_budgets: &'a BTreeMap<name::Service, Budget>,
    pub(crate) waves: &'a [WaveState],
    pub(crate) hosts: &'a BTreeMap<name::Host, HostView>,
    pub(crate) facts: &'a Input<'a>,
}

/// Why a step was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Untaken {
    /// The step no longer fits the rows.
    #[error("the host is no longer in the phase that the step needs")]
    Outdated,
    /// A budget has no room.
    #[error("the budget of {service} allows {allowed} hosts down and {unavailable} are")]
    NoRoom { service: name::Service, unavailable: u32, allowed: u32 },
    /// Another writer came first.
    #[error("row {0} was changed by another writer")]
    Conflict(Key),
    /// The platform gave no answer.
    #[error("the platform gave no answer")]
    NoAnswer,
}

/// Writes steps in one transaction.
pub(crate) fn commit<T: Table>(
    table: &T,
    rows: &Rows<'_>,
    steps: &[Step],
) -> Result<Revision, Untaken> {
    let start =
        Transaction::new(Token(rand::random())).unchanged(rows.lease.clone(), rows.lease_revision);
    let transaction =
        steps.iter().try_fold(start, |transaction, step| rows.add(transaction, step))?;
    match settle(table, &transaction) {
        Settled::Applied(revision) => Ok(revision),
        Settled::Conflict(conflicts) => {
            let key = conflicts.first().map(|row| row.key.clone());
            Err(Untaken::Conflict(key.unwrap_or(rows.lease.clone())))
        }
        Settled::NotWritten(_) | Settled::InDoubt => Err(Untaken::NoAnswer),
    }
}

impl Rows<'_> {
    fn add(&self, transaction: Transaction, step: &Step) -> Result<Transaction, Untaken> {
        match step {
            Step::Register(host) => {
                Ok(self.put_host(transaction, host, &Ownership::NEW, "listed by the platform"))
            }
            Step::Assign(host, pool) => {
                let next = self.ownership(host)?.assign(pool).ok_or(Untaken::Outdated)?;
                let why = format!("pool {pool} lacks a host here");
                Ok(self.put_host(transaction, host, &next, &why))
            }
            Step::Leave { hosts, cause, granted } => self.leave(transaction, hosts, cause, granted),
            Step::Depart(host) => self.depart(transaction, host),
            Step::Recover(host) => self.recover(transaction, host),
            Step::Report(service, down) => {
                let budget = self.budget(service).set_down(self.data_centre, down.clone());
                Ok(self.put_budget(transaction, service, &budget))
            }
        }
    }

    fn leave(
        &self,
        mut transaction: Transaction,
        hosts: &[name::Host],
        cause: &Cause,
        granted: &BTreeMap<name::Service, Vec<name::Host>>,
    ) -> Result<Transaction, Untaken> {
        let why = match cause {
            Cause::Move => "withdrawn: another pool lacks a host here".to_owned(),
            Cause::Drain => "drained on an operator's word".to_owned(),
            Cause::Wave(wave) => format!("maintained in wave {wave}"),
        };
        for host in hosts {
            let next = self.ownership(host)?.begin_leave(cause.clone()).ok_or(Untaken::Outdated)?;
            transaction = self.put_host(transaction, host, &next, &why);
        }
        for (service, hosts) in granted {
            let budget = self.grant(service, hosts, cause)?;
            transaction = self.put_budget(transaction, service, &budget);
        }
        Ok(transaction)
    }

    fn grant(
        &self,
        service: &name::Service,
        hosts: &[name::Host],
        cause: &Cause,
    ) -> Result<Budget, Untaken> {
        let document = self.facts.documents.iter().find(|document| document.service == *service);
        let document = document.ok_or(Untaken::Outdated)?;
        let silent = self.facts.unreachable_hosts.get(&document.pool).cloned().unwrap_or_default();
        let allowed = document.max_unavailable;
        let current = self.budget(service);
        match current.grant::<budget::AllChecks>(hosts, cause, &silent, allowed) {
            Decision::Granted(budget) => Ok(budget),
            Decision::Refused { unavailable, allowed } => {
                Err(Untaken::NoRoom { service: service.clone(), unavailable, allowed })
            }
        }
    }

    fn depart(&self, transaction: Transaction, host: &name::Host) -> Result<Transaction, Untaken> {
        let said = self.hosts.get(host).and_then(|known| known.report);
        let ownership = self.ownership(host)?;
        let next = ownership.finish_leave::<host::AllChecks>(said).ok_or(Untaken::Outdated)?;
        let why = match &next.phase {
            Phase::Maintenance { wave, .. } => format!("rebooting in wave {wave}"),
            _ => "left its pool with no task in progress".to_owned(),
        };
        let transaction = self.put_host(transaction, host, &next, &why);
        match next.phase {
            Phase::Free => Ok(self.release(transaction, host)),
            _ => Ok(transaction),
        }
    }

    fn recover(&self, transaction: Transaction, host: &name::Host) -> Result<Transaction, Untaken> {
        let ownership = self.ownership(host)?;
        let said = self.hosts.get(host).and_then(|known| known.report).ok_or(Untaken::Outdated)?;
        let next = ownership.finish_maintenance(said).ok_or(Untaken::Outdated)?;
        let Phase::Maintenance { wave, .. } = &ownership.phase else {
            return Err(Untaken::Outdated);
        };
        let why = format!("back from wave {wave}");
        let transaction = self.put_host(transaction, host, &next, &why);
        let transaction = self.release(transaction, host);
        let progress = self.waves.iter().find(|known| known.wave.name == *wave);
        let Some(WaveState { progress, .. }) = progress else { return Ok(transaction) };
        let mut progress = progress.clone();
        progress.done.insert(host.clone());
        let key = progress_key(wave, self.data_centre);
        let revision = self.plans.get(&key).revision;
        let value = row::encode(&row::Progress::from(&progress));
        Ok(transaction.replace(key, revision, value))
    }

    /// Ends every grant of a host.
    fn release(&self, transaction: Transaction, host: &name::Host) -> Transaction {
        let granting = self.checked_budgets.iter();
        granting.filter(|(_, budget)| budget.grants.contains_key(host)).fold(
            transaction,
            |transaction, (service, budget)| {
                self.put_budget(transaction, service, &budget.release(host))
            },
        )
    }

    fn ownership(&self, host: &name::Host) -> Result<Ownership, Untaken> {
        let known = self.hosts.get(host).and_then(|known| known.ownership.clone());
        known.ok_or(Untaken::Outdated)
    }

    fn budget(&self, service: &name::Service) -> Budget {
        self.checked_budgets.get(service).cloned().unwrap_or_default()
    }

    fn put_host(
        &self,
        transaction: Transaction,
        host: &name::Host,
        ownership: &Ownership,
        why: &str,
    ) -> Transaction {
        let key = row::key(HOST, host.as_str());
        let revision = self.view.get(&key).revision;
        let value = row::encode(&row::Host::new(ownership, self.data_centre, why));
        transaction.replace(key, revision, value)
    }

    fn put_budget(
        &self,
        transaction: Transaction,
        service: &name::Service,
        budget: &Budget,
    ) -> Transaction {
        let key = row::key(BUDGET, service.as_str());
        let revision = self.budgets.get(&key).revision;
        transaction.replace(key, revision, row::encode(&row::Budget::from(budget)))
    }
}
