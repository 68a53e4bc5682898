//! The planner duty: reads the rows, plans a round, writes its steps.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use skylarkwick_connection::platform::{
    Fault, Hosts, Key, Listed, Row, Standing, Table,
    row::{self, BUDGET, DOCUMENT, DRAIN, HOST, PLAN, PROGRESS, VIEW, WAVE},
    wire::Invalid,
};
use skylarkwick_process::{clock::Clock, duty::StopSignal, ring};
use skylarkwick_version::{
    budget::Budget,
    document,
    host::{Ownership, Phase},
    moment::Moment,
    name,
    plan::{HostView, Input, Step, WaveState},
    wave,
};
use slog::{Logger, info, warn};

use crate::{
    leases::Leases,
    mirror::Mirror,
    probe::{Answers, Question, Targets},
    write::{self, Rows, Untaken},
};

/// Pause between rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(200);
/// Time after taking the lease in which hosts are only asked, so that a host
/// counts as silent only when it was asked.
const SETTLING_TIME: Duration = Duration::from_millis(1500);

/// State of the planner duty.
pub(crate) struct Duty<P, C> {
    pub(crate) platform: P,
    pub(crate) clock: C,
    pub(crate) data_centre: name::DataCentre,
    pub(crate) data_centres: Vec<name::DataCentre>,
    pub(crate) leases: Leases,
    pub(crate) targets: ring::Sender<Targets>,
    pub(crate) answers: ring::Receiver<Answers>,
    pub(crate) keeps_lease: Arc<AtomicBool>,
    pub(crate) log: Logger,
}

/// Rows and lists as they were read last.
struct Sources {
    view: Mirror,
    budgets: Mirror,
    plans: Mirror,
    /// Documents and hosts, decoded when their rows change.
    documents: BTreeMap<name::Service, Arc<document::Settings>>,
    owned: BTreeMap<name::Host, (Ownership, name::DataCentre)>,
    listed: BTreeMap<name::Host, Listed>,
    answers: Answers,
    held_since: Option<Moment>,
}

impl Sources {
    fn new() -> Sources {
        Sources {
            view: Mirror::new(VIEW),
            budgets: Mirror::new(BUDGET),
            plans: Mirror::new(PLAN),
            documents: BTreeMap::new(),
            owned: BTreeMap::new(),
            listed: BTreeMap::new(),
            answers: Answers::default(),
            held_since: None,
        }
    }

    /// Takes in a row of the view that has changed.
    fn adopt(&mut self, row: &Row) -> Result<(), Invalid> {
        if let Some(service) = row.key.after(DOCUMENT) {
            let service = name::Service::try_from(service)?;
            match row::decode::<row::Document, document::Settings>(row)? {
                Some(settings) => drop(self.documents.insert(service, Arc::new(settings))),
                None => drop(self.documents.remove(&service)),
            }
        } else if let Some(host) = row.key.after(HOST) {
            let host = name::Host::try_from(host)?;
            match row::decode::<row::Host, Ownership>(row)? {
                Some(owned) => drop(self.owned.insert(host, (owned, row::data_centre(row)?))),
                None => drop(self.owned.remove(&host)),
            }
        }
        Ok(())
    }
}

/// Rows in their checked forms.
struct Checked {
    documents: Vec<Arc<document::Settings>>,
    hosts: BTreeMap<name::Host, HostView>,
    budgets: BTreeMap<name::Service, Budget>,
    unreachable_hosts: BTreeMap<name::Pool, BTreeSet<name::Host>>,
    waves: Vec<WaveState>,
}

impl<P: Table + Hosts, C: Clock> Duty<P, C> {
    /// Runs until the stop, and then gives the lease up.
    pub(crate) fn run(mut self, stop: &StopSignal) {
        let mut sources = Sources::new();
        while !stop.sleep(ROUND_PERIOD) {
            let now = self.clock.now();
            self.leases.step(&self.platform, now);
            match self.leases.fence() {
                Some(_) => self.round(&mut sources, now),
                None => sources.held_since = None,
            }
        }
        if !self.keeps_lease.load(Ordering::Acquire) {
            self.leases.release(&self.platform);
        }
    }

    fn round(&mut self, sources: &mut Sources, now: Moment) {
        let since = *sources.held_since.get_or_insert_with(|| {
            info!(self.log, "planning"; "data-centre" => %self.data_centre);
            now
        });
        if let Err(fault) = self.read(sources) {
            warn!(self.log, "no round: nothing new is started"; "cause" => %fault);
            return;
        }
        while let Some(answers) = self.answers.try_receive() {
            sources.answers = answers;
        }
        // A probe that is still busy takes the next targets.
        let _ = self.targets.try_send(targets(sources));
        if now.since(since) < SETTLING_TIME {
            return;
        }
        let checked = match self.check(sources, now) {
            Ok(checked) => checked,
            Err(error) => {
                warn!(self.log, "no round: a row is not valid"; "cause" => %error);
                return;
            }
        };
        let facts = Input {
            data_centre: &self.data_centre,
            data_centres: &self.data_centres,
            documents: &checked.documents,
            hosts: &checked.hosts,
            budgets: &checked.budgets,
            unreachable_hosts: &checked.unreachable_hosts,
            waves: &checked.waves,
        };
        self.write(&facts, &checked, sources);
    }

    fn read(&self, sources: &mut Sources) -> Result<(), Fault> {
        for row in sources.view.refresh(&self.platform)? {
            if let Err(error) = sources.adopt(&row) {
                warn!(self.log, "row skipped"; "key" => %row.key, "cause" => %error);
            }
        }
        sources.budgets.refresh(&self.platform)?;
        sources.plans.refresh(&self.platform)?;
        let listed = self.platform.hosts(Some(&self.data_centre))?;
        sources.listed = listed.into_iter().map(|listed| (listed.host.clone(), listed)).collect();
        Ok(())
    }

    fn check(&self, sources: &Sources, now: Moment) -> Result<Checked, Invalid> {
        Ok(Checked {
            documents: sources.documents.values().cloned().collect(),
            hosts: known(sources),
            budgets: budgets(&sources.budgets)?,
            unreachable_hosts: self.silent(&sources.owned, now),
            waves: waves(&sources.plans, &self.data_centre)?,
        })
    }

    /// Returns the hosts of data centres that nobody has heard from, by pool.
    fn silent(
        &self,
        owned: &BTreeMap<name::Host, (Ownership, name::DataCentre)>,
        now: Moment,
    ) -> BTreeMap<name::Pool, BTreeSet<name::Host>> {
        let places = self.leases.silent(now);
        let mut silent: BTreeMap<name::Pool, BTreeSet<name::Host>> = BTreeMap::new();
        for (host, (ownership, place)) in owned {
            if let (Some(pool), true) = (ownership.pool(), places.contains(place)) {
                silent.entry(pool.clone()).or_default().insert(host.clone());
            }
        }
        silent
    }

    fn write(&self, facts: &Input<'_>, checked: &Checked, sources: &Sources) {
        let Some((lease, revision)) = self.leases.fence() else { return };
        let rows = Rows {
            lease,
            lease_revision: revision,
            data_centre: &self.data_centre,
            view: &sources.view,
            budgets: &sources.budgets,
            plans: &sources.plans,
            checked_budgets: &checked.budgets,
            waves: &checked.waves,
            hosts: &checked.hosts,
            facts,
        };
        let (registrations, others): (Vec<Step>, Vec<Step>) =
            facts.plan().into_iter().partition(|step| matches!(step, Step::Register(_)));
        let batches = std::iter::once(registrations).chain(others.into_iter().map(|s| vec![s]));
        // Two steps on one row conflict; the second is proposed again next round.
        for batch in batches.filter(|batch| !batch.is_empty()) {
            match write::commit(&self.platform, &rows, &batch) {
                Ok(revision) => {
                    info!(self.log, "step"; "step" => ?batch.first(), "steps" => batch.len(),
                        "revision" => %revision);
                }
                Err(error) => {
                    warn!(self.log, "step not taken"; "step" => ?batch.first(), "cause" => %error);
                    if error == Untaken::NoAnswer {
                        return;
                    }
                }
            }
        }
    }
}

fn known(sources: &Sources) -> BTreeMap<name::Host, HostView> {
    let listed = sources.listed.iter();
    listed
        .map(|(host, listed)| {
            let said_leaving = sources.answers.leaving.contains(host);
            let known = HostView {
                rack: listed.rack.clone(),
                ownership: sources.owned.get(host).map(|(ownership, _)| ownership.clone()),
                report: sources.answers.reports.get(host).copied(),
                is_stopping: said_leaving || listed.standing == Standing::Leaving,
                is_drained: sources.plans.get(&row::key(DRAIN, host.as_str())).value.is_some(),
            };
            (host.clone(), known)
        })
        .collect()
}

fn budgets(mirror: &Mirror) -> Result<BTreeMap<name::Service, Budget>, Invalid> {
    mirror
        .under(BUDGET)
        .filter_map(|(service, row)| {
            let budget = row::decode::<row::Budget, Budget>(row).transpose()?;
            Some(budget.and_then(|budget| Ok((name::Service::try_from(service)?, budget))))
        })
        .collect()
}

fn waves(plans: &Mirror, data_centre: &name::DataCentre) -> Result<Vec<WaveState>, Invalid> {
    plans
        .under(WAVE)
        .filter_map(|(_, row)| row::decode::<row::Wave, wave::Wave>(row).transpose())
        .map(|wave| {
            let wave = wave?;
            let row = plans.get(&progress_key(&wave.name, data_centre));
            let progress = row::decode::<row::Progress, wave::Progress>(&row)?.unwrap_or_default();
            Ok(WaveState { wave, progress })
        })
        .collect()
}

/// Returns the key of a wave's progress in a data centre.
pub(crate) fn progress_key(wave: &name::Wave, data_centre: &name::DataCentre) -> Key {
    row::key(PROGRESS, &format!("{wave}/{data_centre}"))
}

/// Decides what to ask each host.
fn targets(sources: &Sources) -> Targets {
    sources
        .listed
        .iter()
        .map(|(host, listed)| {
            let ownership = sources.owned.get(host).map(|(ownership, _)| ownership);
            let question = match ownership {
                Some(Ownership { epoch, phase: Phase::Leaving { .. } }) => Question::Fence(*epoch),
                Some(Ownership { phase: Phase::Maintenance { boot, .. }, .. }) => {
                    Question::Reboot(*boot)
                }
                _ => Question::Status,
            };
            (host.clone(), (listed.address, question))
        })
        .collect()
}
