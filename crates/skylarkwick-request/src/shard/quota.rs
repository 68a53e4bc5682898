//! Quotas of workspaces: what each may have running in this shard, what may be running, and
//! what it needs. See `docs/design/quotas.md`.

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_version::{
    allotment::Need,
    moment::Moment,
    resources::Resources,
    workspace::{Quota, Workspaces},
};

use super::{Shard, active::ActiveJob, occurrence::Occurrence, server::ActiveRun};
use crate::job::{Step, footprint::Charge};

/// The workspaces of the configuration, the limits of this shard, and the needs at the last
/// decision.
#[derive(Clone, Debug, Default)]
pub(super) struct Quotas {
    pub(super) workspaces: Workspaces,
    /// What each workspace may have running in this shard, if the site has several; one that
    /// is missing may run nothing yet. On an undivided site the quotas are the limits.
    limits: Option<BTreeMap<Arc<str>, Resources>>,
    needs: BTreeMap<Arc<str>, Need>,
}

impl Quotas {
    /// Returns whether any workspace has a quota.
    fn is_active(&self) -> bool {
        self.workspaces.values().any(|workspace| !workspace.quota.is_unlimited())
    }

    /// Returns the weight of a workspace; `None` if it has none, so that its jobs are not limited.
    pub(super) fn weight(&self, name: &str) -> Option<f64> {
        let weight = self.workspaces.get(name)?.weight;
        (weight > 0.0).then_some(weight)
    }

    /// Returns what a workspace may have running in this shard. One that the configuration no
    /// longer has may run what was accepted.
    fn limit(&self, name: &Arc<str>) -> Resources {
        let Some(workspace) = self.workspaces.get(name) else {
            return Quota::default().ceiling();
        };
        match &self.limits {
            None => workspace.quota.ceiling(),
            Some(_) if workspace.quota.is_unlimited() => workspace.quota.ceiling(),
            Some(limits) => limits.get(name).copied().unwrap_or_default(),
        }
    }
}

/// What workspaces have and need within one decision; kept only for those with a quota.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    accounts: BTreeMap<Arc<str>, Need>,
}

impl Ledger {
    /// Returns how many of `tasks` waiting tasks of a step its workspace may start now. A gang
    /// starts as a whole or not at all. What waits counts as needed.
    pub(super) fn admit(
        &mut self,
        workspace: Option<&Arc<str>>,
        step: &Step,
        tasks: usize,
    ) -> usize {
        let Some(account) = workspace.and_then(|name| self.accounts.get_mut(name)) else {
            return tasks;
        };
        let count = u64::try_from(tasks).unwrap_or(u64::MAX);
        let unit = if step.is_gang { count } else { 1 };
        let charge = step.charge();
        account.demand = account.demand + charge.times(count).resources();
        account.unit = account.unit.max_each(&charge.times(unit).resources());
        let room = account.limit - account.used;
        let fitting = charge.resources().count_within(&room).unwrap_or(u64::MAX).min(count);
        match step.is_gang && fitting < count {
            true => 0,
            false => usize::try_from(fitting).unwrap_or(tasks),
        }
    }

    /// Charges tasks of a step that were placed.
    pub(super) fn charge(&mut self, workspace: Option<&Arc<str>>, step: &Step, tasks: usize) {
        if let Some(name) = workspace {
            self.use_of(name, step.charge().times(u64::try_from(tasks).unwrap_or(u64::MAX)));
        }
    }

    /// Returns the needs, in which nothing waits where nothing was left over.
    fn into_needs(self) -> BTreeMap<Arc<str>, Need> {
        let settled = |mut need: Need| {
            if need.demand.fits_within(&need.used) {
                need.unit = Resources::default();
            }
            need.demand = need.demand.max_each(&need.used);
            need
        };
        self.accounts.into_iter().map(|(name, need)| (name, settled(need))).collect()
    }
}

impl Shard {
    /// Returns the workspaces of the configuration.
    pub fn workspaces(&self) -> &Workspaces {
        &self.quotas.workspaces
    }

    /// Replaces what each workspace may have running in this shard of a divided site; one that
    /// is missing may run nothing.
    pub fn set_quota_limits(&mut self, limits: BTreeMap<Arc<str>, Resources>) {
        self.quotas.limits = Some(limits);
    }

    /// Returns what each workspace with a quota has and needs here, at the last decision.
    pub fn quota_needs(&self) -> &BTreeMap<Arc<str>, Need> {
        &self.quotas.needs
    }

    /// Returns what the workspaces with a quota may have running now; nothing if there is no
    /// quota.
    pub(super) fn quota_ledger(&self, now: Moment) -> Ledger {
        if !self.quotas.is_active() {
            return Ledger::default();
        }
        let mut ledger = Ledger::default();
        for (name, workspace) in &self.quotas.workspaces {
            if !workspace.quota.is_unlimited() {
                let need = Need { limit: self.quotas.limit(name), ..Need::default() };
                ledger.accounts.insert(Arc::clone(name), need);
            }
        }
        let mut unknown = 0;
        for server in self.servers.values() {
            server
                .tally()
                .accounts()
                .for_each(|(name, account)| ledger.use_of(name, account.charge));
            unknown += server.runs.values().filter(|active_run| active_run.is_unknown).count();
        }
        if unknown > 0 {
            let count = u64::try_from(unknown).unwrap_or(u64::MAX);
            ledger.use_of_all(self.largest_task().times(count));
        }
        for active in self.jobs.values() {
            if let Some(name) =
                active.workspace.as_ref().filter(|_| !active.unverified_servers.is_empty())
                && !self.are_earlier_runs_known(now, active)
            {
                ledger.use_of(name, possibly_running(active));
            }
        }
        for need in ledger.accounts.values_mut() {
            need.demand = need.used;
        }
        ledger
    }

    /// Keeps the needs of a decision.
    pub(super) fn record_needs(&mut self, ledger: Ledger) {
        self.quotas.needs = ledger.into_needs();
    }

    /// Returns the largest resources of a task of any workspace. A run whose job is over, which
    /// an earlier holder has not stopped yet, may have had as much.
    fn largest_task(&self) -> Charge {
        let jobs = self.jobs.values().filter(|active| active.workspace.is_some());
        let steps = jobs.flat_map(|active| &active.job.steps);
        steps.fold(Charge::default(), |largest, step| largest.max_each(step.charge()))
    }
}

impl Ledger {
    fn use_of(&mut self, name: &Arc<str>, charge: Charge) {
        if let Some(account) = self.accounts.get_mut(name) {
            account.used = account.used + charge.resources();
        }
    }

    fn use_of_all(&mut self, charge: Charge) {
        for account in self.accounts.values_mut() {
            account.used = account.used + charge.resources();
        }
    }
}

/// Returns the resources of all tasks of a job that an earlier holder may have started: those
/// that are neither done nor known to run, of the steps whose turn has come.
fn possibly_running(active: &ActiveJob) -> Charge {
    let mut sum = Charge::default();
    let unopened = active.count_unopened();
    let untouched = (unopened > 0).then(|| Occurrence::new(&active.job));
    let open = active.occurrences.values().map(|occurrence| (occurrence, 1));
    for (occurrence, times) in open.chain(untouched.iter().map(|one| (one, unopened))) {
        for (number, tasks) in occurrence.steps.iter().enumerate() {
            if occurrence.is_ready(&active.job, number) {
                let waiting = u64::try_from(tasks.count_waiting()).unwrap_or(u64::MAX);
                let charge = active.job.steps[number].charge();
                sum = sum + charge.times(waiting.saturating_mul(times));
            }
        }
    }
    sum
}

/// Returns the workspace of a run, and what it counts for that.
pub(super) fn charge(
    active: Option<&ActiveJob>,
    step: Option<&Step>,
) -> Option<(Arc<str>, Charge)> {
    let workspace = active?.workspace.as_ref()?;
    Some((Arc::clone(workspace), step?.charge()))
}

impl ActiveRun {
    /// Returns the run with what it counts for its workspace.
    pub(super) fn charged(self, charge: Option<(Arc<str>, Charge)>) -> ActiveRun {
        ActiveRun { charge, ..self }
    }
}
