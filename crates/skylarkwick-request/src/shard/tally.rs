//! Sums over the runs of a server, kept as runs come and go, so that no decision adds them up.

use std::{collections::BTreeMap, sync::Arc};

use super::server::ActiveRun;
use crate::job::footprint::{Charge, Reservation};

/// What the runs of a server reserve, all and the long-running ones, and what those of each
/// workspace count for it.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    reserved: Reservation,
    long_running: Reservation,
    accounts: BTreeMap<Arc<str>, Account>,
}

/// The runs of one workspace on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Account {
    /// What they count for its quota.
    pub(super) charge: Charge,
    /// What they reserve.
    pub(super) reservation: Reservation,
}

impl Tally {
    /// Adds a run.
    pub(super) fn add(&mut self, run: &ActiveRun) {
        self.reserved = self.reserved + run.reservation;
        if run.is_long_running {
            self.long_running = self.long_running + run.reservation;
        }
        if let Some((workspace, charge)) = &run.charge {
            let account = self.accounts.entry(Arc::clone(workspace)).or_default();
            account.charge = account.charge + *charge;
            account.reservation = account.reservation + run.reservation;
        }
    }

    /// Removes a run that was added.
    pub(super) fn remove(&mut self, run: &ActiveRun) {
        self.reserved = self.reserved - run.reservation;
        if run.is_long_running {
            self.long_running = self.long_running - run.reservation;
        }
        let Some((workspace, charge)) = &run.charge else {
            return;
        };
        if let Some(account) = self.accounts.get_mut(workspace) {
            account.charge = account.charge - *charge;
            account.reservation = account.reservation - run.reservation;
            if *account == Account::default() {
                self.accounts.remove(workspace);
            }
        }
    }

    /// Returns what all runs reserve.
    pub(super) fn reserved(&self) -> Reservation {
        self.reserved
    }

    /// Returns what the long-running ones reserve.
    pub(super) fn long_running(&self) -> Reservation {
        self.long_running
    }

    /// Returns the runs of each workspace.
    pub(super) fn accounts(&self) -> impl Iterator<Item = (&Arc<str>, &Account)> {
        self.accounts.iter()
    }
}
