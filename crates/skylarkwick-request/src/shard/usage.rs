//! What is used of the servers that can run a step, within one decision. See
//! `docs/design/shares.md`.

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_version::{moment::Moment, resources::Resources};

use super::{Shard, ranking::ReadyStep};
use crate::job::{Step, footprint::Reservation};

/// Servers that can run a step: those of a pool, with the label that the step requires.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Group {
    pool: Arc<str>,
    label: Option<Arc<str>>,
}

/// The capacity of a group of servers, and what is reserved there: by all runs, by the long-running
/// ones, and by those of each workspace that has or wants some of it.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    pub(super) capacity: Resources,
    pub(super) reserved: Reservation,
    pub(super) long_running: Reservation,
    pub(super) workspaces: BTreeMap<Arc<str>, Reservation>,
}

impl Usage {
    /// Adds what tasks of a step reserve, also to what a workspace has here.
    pub(super) fn add(
        &mut self,
        workspace: Option<&Arc<str>>,
        step: &Step,
        reservation: Reservation,
    ) {
        self.reserved = self.reserved + reservation;
        if step.is_long_running {
            self.long_running = self.long_running + reservation;
        }
        if let Some(name) = workspace {
            let own = self.workspaces.entry(Arc::clone(name)).or_default();
            *own = *own + reservation;
        }
    }
}

impl ReadyStep {
    /// Returns the servers that can run the step.
    pub(super) fn group(&self) -> Group {
        let label = self.job.steps[self.step].required_label.clone();
        Group { pool: Arc::clone(&self.pool), label }
    }

    /// Returns all servers of the step's pool.
    pub(super) fn whole_pool(&self) -> Group {
        Group { pool: Arc::clone(&self.pool), label: None }
    }
}

impl Shard {
    /// Returns the usage of a group of servers now. Servers that can't be used are left out, with
    /// what runs there.
    pub(super) fn usage(&self, now: Moment, group: &Group) -> Usage {
        let mut usage = Usage::default();
        let servers = self.servers.values().filter(|server| server.info.pool == group.pool);
        let labelled = servers.filter(|server| server.has_label(group.label.as_ref()));
        for server in labelled.filter(|server| self.is_usable(now, server)) {
            usage.capacity = usage.capacity + server.info.capacity;
            let tally = server.tally();
            usage.reserved = usage.reserved + tally.reserved();
            usage.long_running = usage.long_running + tally.long_running();
            for (name, account) in tally.accounts() {
                let own = usage.workspaces.entry(Arc::clone(name)).or_default();
                *own = *own + account.reservation;
            }
        }
        usage
    }
}
