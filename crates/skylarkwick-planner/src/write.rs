//! Commits the steps of a round as conditional transactions.
//!
//! Every transaction is conditional on the lease, so that a planner that was
//! paused until another one took the lease over writes nothing, and on every row
//! that it replaces.

use std::collections::BTreeMap;

use skylarkwick_connection::platform::{
    Key, Table, Transaction,
    retry::{self, commit_with_retry},
    row::{self, BUDGET, HOST},
};
use skylarkwick_version::{
    budget::{self, Budget, Decision},
    host::{self, Cause, Ownership, Phase},
    name,
    plan::{HostView, Input, Step, WaveState},
    revision::{Revision, Token},
};

use crate::{round::progress_key, row_cache::RowCache};

/// What the transactions of a round are built from: key and revision of the lease row that
/// each is conditional on, the cached rows with the revisions that writes are conditional
/// on, and the decoded rows that the steps were planned from.
pub(crate) struct CommitContext<'a> {
    pub(crate) lease: Key,
    pub(crate) lease_revision: Revision,
    pub(crate) data_centre: &'a name::DataCentre,
    pub(crate) view: &'a RowCache,
    pub(crate) budgets: &'a RowCache,
    pub(crate) plans: &'a RowCache,
    pub(crate) decoded_budgets: &'a BTreeMap<name::Service, Budget>,
    pub(crate) waves: &'a [WaveState],
    pub(crate) hosts: &'a BTreeMap<name::Host, HostView>,
    pub(crate) input: &'a Input<'a>,
}

/// Why a step was not committed: it is outdated, a budget is exhausted, a row was changed
/// by another writer, or the platform did not respond.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CommitError {
    /// The host's row, its last report or the service's document no longer allows
    /// the step.
    #[error("the host is no longer in the phase that the step needs")]
    Outdated,
    /// The grants for the step would exceed the budget of a service, of which
    /// `unavailable` hosts are unavailable already.
    #[error(
        "the budget of {service} allows {max_unavailable} unavailable hosts, and {unavailable} are unavailable"
    )]
    BudgetExhausted { service: name::Service, unavailable: u32, max_unavailable: u32 },
    /// This row, possibly the lease, has changed since it was read.
    #[error("row {0} was changed by another writer")]
    Conflict(Key),
    /// The platform was unreachable, refused the request or lost the response; the
    /// steps may have been written.
    #[error("the platform did not respond")]
    NoResponse,
}

/// Commits steps in one transaction and returns its revision. The transaction is
/// conditional on the lease and on each row that it replaces, and retried if its
/// response is lost.
///
/// # Errors
///
/// Returns why none of the steps was committed; only after
/// [`CommitError::NoResponse`] may all of them have been.
pub(crate) fn commit<T: Table>(
    table: &T,
    context: &CommitContext<'_>,
    steps: &[Step],
) -> Result<Revision, CommitError> {
    let start = Transaction::new(Token(rand::random()))
        .unchanged(context.lease.clone(), context.lease_revision);
    let transaction =
        steps.iter().try_fold(start, |transaction, step| context.add_step(transaction, step))?;
    match commit_with_retry(table, &transaction) {
        retry::Outcome::Applied(revision) => Ok(revision),
        retry::Outcome::Conflict(conflicts) => {
            let key = conflicts.first().map(|row| row.key.clone());
            Err(CommitError::Conflict(key.unwrap_or(context.lease.clone())))
        }
        retry::Outcome::NotWritten(_) | retry::Outcome::InDoubt => Err(CommitError::NoResponse),
    }
}

impl CommitContext<'_> {
    /// Adds the writes of a step of the planner to a transaction and returns it. A step changes
    /// the ownership of hosts, with the budgets that they are charged to, or the down hosts
    /// in a service's budget.
    ///
    /// # Errors
    ///
    /// Returns [`CommitError::Outdated`] if the rows no longer allow the step, and
    /// [`CommitError::BudgetExhausted`] if the budget of unavailable hosts of a service
    /// is used up.
    fn add_step(&self, transaction: Transaction, step: &Step) -> Result<Transaction, CommitError> {
        match step {
            Step::Register(host) => {
                Ok(self.put_host(transaction, host, &Ownership::NEW, "listed by the platform"))
            }
            Step::Assign(host, pool) => {
                let next = self.ownership(host)?.assign(pool).ok_or(CommitError::Outdated)?;
                let reason = format!("pool {pool} lacks a host here");
                Ok(self.put_host(transaction, host, &next, &reason))
            }
            Step::Leave { hosts, cause, granted } => {
                self.begin_leave(transaction, hosts, cause, granted)
            }
            Step::Depart(host) => self.finish_leave(transaction, host),
            Step::Recover(host) => self.finish_maintenance(transaction, host),
            Step::Report(service, down) => {
                let budget = self.budget(service).set_down(self.data_centre, down.clone());
                Ok(self.put_budget(transaction, service, &budget))
            }
        }
    }

    /// Adds the rows of `hosts`, which start to leave their pools, and the budgets that
    /// they are charged to. `granted` lists, for each service, the hosts that are charged
    /// to its budget of unavailable hosts; it is empty for [`Cause::Move`].
    ///
    /// # Errors
    ///
    /// Returns [`CommitError::Outdated`] if a host is not active or a service has no
    /// document, and [`CommitError::BudgetExhausted`] if a budget does not grant all of
    /// its hosts.
    fn begin_leave(
        &self,
        mut transaction: Transaction,
        hosts: &[name::Host],
        cause: &Cause,
        granted: &BTreeMap<name::Service, Vec<name::Host>>,
    ) -> Result<Transaction, CommitError> {
        let reason = match cause {
            Cause::Move => "withdrawn: another pool lacks a host here".to_owned(),
            Cause::Drain => "drained on an operator's word".to_owned(),
            Cause::Wave(wave) => format!("maintained in wave {wave}"),
        };
        for host in hosts {
            let next =
                self.ownership(host)?.begin_leave(cause.clone()).ok_or(CommitError::Outdated)?;
            transaction = self.put_host(transaction, host, &next, &reason);
        }
        for (service, hosts) in granted {
            let budget = self.grant(service, hosts, cause)?;
            transaction = self.put_budget(transaction, service, &budget);
        }
        Ok(transaction)
    }

    /// Returns the budget of a service with a grant for each of `hosts`, the permission
    /// to make the host unavailable; writes nothing.
    ///
    /// # Errors
    ///
    /// Returns [`CommitError::BudgetExhausted`] if the budget refuses the grants, and
    /// [`CommitError::Outdated`] if the service has no document in force.
    fn grant(
        &self,
        service: &name::Service,
        hosts: &[name::Host],
        cause: &Cause,
    ) -> Result<Budget, CommitError> {
        let document = self.input.documents.iter().find(|document| document.service == *service);
        let document = document.ok_or(CommitError::Outdated)?;
        let unreachable_hosts =
            self.input.unreachable_hosts.get(&document.pool).cloned().unwrap_or_default();
        let max_unavailable = document.max_unavailable;
        let current = self.budget(service);
        match current.grant::<budget::AllChecks>(hosts, cause, &unreachable_hosts, max_unavailable)
        {
            Decision::Granted(budget) => Ok(budget),
            Decision::Refused { unavailable, allowed } => Err(CommitError::BudgetExhausted {
                service: service.clone(),
                unavailable,
                max_unavailable: allowed,
            }),
        }
    }

    /// Adds the row of a leaving host that its last report allows to go: it becomes free
    /// and its grants are released, or, in a wave, its maintenance starts and its grants
    /// stay.
    ///
    /// # Errors
    ///
    /// Returns [`CommitError::Outdated`] if the host is not leaving or not listed, or if it
    /// has no recent report that acknowledges its epoch and shows no running task.
    fn finish_leave(
        &self,
        transaction: Transaction,
        host: &name::Host,
    ) -> Result<Transaction, CommitError> {
        let report = self.hosts.get(host).and_then(|state| state.report);
        let ownership = self.ownership(host)?;
        let next =
            ownership.finish_leave::<host::AllChecks>(report).ok_or(CommitError::Outdated)?;
        let reason = match &next.phase {
            Phase::Maintenance { wave, .. } => format!("rebooting in wave {wave}"),
            _ => "left its pool with no task in progress".to_owned(),
        };
        let transaction = self.put_host(transaction, host, &next, &reason);
        match next.phase {
            Phase::Free => Ok(self.release_grants(transaction, host)),
            _ => Ok(transaction),
        }
    }

    /// Adds the row of a rebooted host that returns to its pool, the release of its grants,
    /// and the wave's progress, in which the host counts as done; the progress is left out
    /// if the wave's row no longer exists.
    ///
    /// # Errors
    ///
    /// Returns [`CommitError::Outdated`] if the host is not under maintenance or not
    /// listed, or if no recent report of it shows a reboot.
    fn finish_maintenance(
        &self,
        transaction: Transaction,
        host: &name::Host,
    ) -> Result<Transaction, CommitError> {
        let ownership = self.ownership(host)?;
        let report =
            self.hosts.get(host).and_then(|state| state.report).ok_or(CommitError::Outdated)?;
        let next = ownership.finish_maintenance(report).ok_or(CommitError::Outdated)?;
        let Phase::Maintenance { wave, .. } = &ownership.phase else {
            return Err(CommitError::Outdated);
        };
        let reason = format!("back from wave {wave}");
        let transaction = self.put_host(transaction, host, &next, &reason);
        let transaction = self.release_grants(transaction, host);
        let progress = self.waves.iter().find(|state| state.wave.name == *wave);
        let Some(WaveState { progress, .. }) = progress else { return Ok(transaction) };
        let mut progress = progress.clone();
        progress.done.insert(host.clone());
        let key = progress_key(wave, self.data_centre);
        let revision = self.plans.get(&key).revision;
        let value = row::encode(&row::Progress::from(&progress));
        Ok(transaction.replace(key, revision, value))
    }

    /// Adds the release of the host's grant to the budget of each service that holds
    /// one.
    fn release_grants(&self, transaction: Transaction, host: &name::Host) -> Transaction {
        let budgets = self.decoded_budgets.iter();
        budgets.filter(|(_, budget)| budget.grants.contains_key(host)).fold(
            transaction,
            |transaction, (service, budget)| {
                self.put_budget(transaction, service, &budget.release(host))
            },
        )
    }

    /// Returns the ownership of a host, or [`CommitError::Outdated`] if it has no row or
    /// is not listed.
    fn ownership(&self, host: &name::Host) -> Result<Ownership, CommitError> {
        let state = self.hosts.get(host).and_then(|state| state.ownership.clone());
        state.ok_or(CommitError::Outdated)
    }

    /// Returns the budget of a service; an empty one if it has no row.
    fn budget(&self, service: &name::Service) -> Budget {
        self.decoded_budgets.get(service).cloned().unwrap_or_default()
    }

    /// Adds the write of a host's row, conditional on the revision that was read; `reason`
    /// is stored in the row for operators.
    fn put_host(
        &self,
        transaction: Transaction,
        host: &name::Host,
        ownership: &Ownership,
        reason: &str,
    ) -> Transaction {
        let key = row::key(HOST, host.as_str());
        let revision = self.view.get(&key).revision;
        let value = row::encode(&row::Host::new(ownership, self.data_centre, reason));
        transaction.replace(key, revision, value)
    }

    /// Adds the write of `budget` as a service's budget row, conditional on the revision
    /// that was read.
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
