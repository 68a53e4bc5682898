//! Faults that the demo can switch on.

use std::{collections::BTreeSet, time::Duration};

use skylarkwick_connection::platform::Liveness;
use skylarkwick_version::name;

use crate::site::Running;

/// A fault of the brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    PlatformOut,
    PlatformSlow,
    LostWriteAnswer,
    SilentConnections,
    LateAnswers,
    ForeignAnswers,
    WorkerFailsAll,
    RackDown,
    DataCentreCut,
    EntryReplaced,
    CancelWave,
    RetrySameKeyEverywhere,
    PlannerReplaced,
    PlannerPaused,
    TwoOperators,
    HostNeverReturns,
    LaggingList,
}

/// Delay of a slow platform.
const SLOW_PLATFORM: Duration = Duration::from_millis(150);
/// Delay of late answers.
const LATE_ANSWER: Duration = Duration::from_millis(900);
/// Every how many-th write loses its answer.
const LOST_ANSWER_EVERY: u64 = 5;

impl Fault {
    /// Every fault.
    pub(crate) const ALL: [Fault; 17] = [
        Fault::PlatformOut,
        Fault::PlatformSlow,
        Fault::LostWriteAnswer,
        Fault::SilentConnections,
        Fault::LateAnswers,
        Fault::ForeignAnswers,
        Fault::WorkerFailsAll,
        Fault::RackDown,
        Fault::DataCentreCut,
        Fault::EntryReplaced,
        Fault::CancelWave,
        Fault::RetrySameKeyEverywhere,
        Fault::PlannerReplaced,
        Fault::PlannerPaused,
        Fault::TwoOperators,
        Fault::HostNeverReturns,
        Fault::LaggingList,
    ];

    /// Returns the name of the fault on the command line.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Fault::PlatformOut => "platform-out",
            Fault::PlatformSlow => "platform-slow",
            Fault::LostWriteAnswer => "lost-write-answer",
            Fault::SilentConnections => "silent-connections",
            Fault::LateAnswers => "late-answers",
            Fault::ForeignAnswers => "foreign-answers",
            Fault::WorkerFailsAll => "worker-fails-all",
            Fault::RackDown => "rack-down",
            Fault::DataCentreCut => "data-centre-cut",
            Fault::EntryReplaced => "entry-replaced",
            Fault::CancelWave => "cancel-wave",
            Fault::RetrySameKeyEverywhere => "retry-same-key-everywhere",
            Fault::PlannerReplaced => "planner-replaced",
            Fault::PlannerPaused => "planner-paused",
            Fault::TwoOperators => "two-operators",
            Fault::HostNeverReturns => "host-never-returns",
            Fault::LaggingList => "lagging-list",
        }
    }

    /// Returns the fault with a name.
    pub(crate) fn named(name: &str) -> Result<Fault, String> {
        Fault::ALL
            .into_iter()
            .find(|fault| fault.name() == name)
            .ok_or_else(|| format!("fault {name:?} does not exist; see --list-faults"))
    }

    /// Tells whether the fault needs relays before the workers.
    pub(crate) fn needs_relays(self) -> bool {
        matches!(self, Fault::SilentConnections | Fault::RackDown)
    }

    /// Switches the fault on.
    pub(crate) fn start(self, site: &Running) {
        let platform = &site.stand_ins.platform;
        let switches = &platform.table.switches;
        let first = site.first_hosts();
        match self {
            Fault::PlatformOut => switches.update(|faults| faults.is_unavailable = true),
            Fault::PlatformSlow => switches.update(|faults| faults.answer_delay = SLOW_PLATFORM),
            Fault::LostWriteAnswer => {
                switches.update(|faults| faults.lost_answer_every = LOST_ANSWER_EVERY);
            }
            Fault::SilentConnections => {
                site.stand_ins.relays.values().for_each(|relay| relay.blackhole());
                site.peer_relays.values().for_each(|relay| relay.blackhole());
            }
            Fault::LateAnswers => {
                site.on_workers(&first, |faults| faults.answer_delay = LATE_ANSWER);
            }
            Fault::ForeignAnswers => {
                site.on_workers(&first, |faults| faults.answers_foreign = true);
            }
            Fault::WorkerFailsAll => site.on_workers(&first, |faults| faults.fails_all = true),
            Fault::RackDown => {
                for host in site.first_rack() {
                    site.on_workers(&BTreeSet::from([host.clone()]), |f| f.is_down = true);
                    if let Some(relay) = site.stand_ins.relays.get(&host) {
                        relay.disconnect();
                    }
                }
            }
            Fault::DataCentreCut => {
                let cut = site.first_data_centre();
                switches.update(|faults| {
                    faults.cut_off.insert(cut.clone());
                });
            }
            Fault::EntryReplaced => site.replace_entry(),
            Fault::PlannerReplaced => site.replace_planner(),
            Fault::PlannerPaused => site.pause_planner(true),
            Fault::HostNeverReturns => {
                site.on_workers(&site.one_maintained(), |faults| faults.never_returns = true);
            }
            Fault::LaggingList => {
                switches.update(|faults| faults.is_host_list_frozen = true);
                let leaving: BTreeSet<name::Host> = first.iter().take(1).cloned().collect();
                platform.set_liveness(&leaving, Liveness::Leaving);
                site.set_leaving(&leaving, true);
            }
            // These are what callers and operators do; see their modules.
            Fault::CancelWave | Fault::RetrySameKeyEverywhere | Fault::TwoOperators => {}
        }
    }

    /// Switches the fault off.
    pub(crate) fn end(self, site: &Running) {
        let platform = &site.stand_ins.platform;
        let switches = &platform.table.switches;
        let first = site.first_hosts();
        match self {
            Fault::PlatformOut => switches.update(|faults| faults.is_unavailable = false),
            Fault::PlatformSlow => switches.update(|faults| faults.answer_delay = Duration::ZERO),
            Fault::LostWriteAnswer => switches.update(|faults| faults.lost_answer_every = 0),
            Fault::LateAnswers => {
                site.on_workers(&first, |faults| faults.answer_delay = Duration::ZERO);
            }
            Fault::ForeignAnswers => {
                site.on_workers(&first, |faults| faults.answers_foreign = false);
            }
            Fault::WorkerFailsAll => site.on_workers(&first, |faults| faults.fails_all = false),
            Fault::RackDown => {
                for host in site.first_rack() {
                    site.on_workers(&BTreeSet::from([host.clone()]), |f| f.is_down = false);
                    if let Some(relay) = site.stand_ins.relays.get(&host) {
                        relay.resume();
                    }
                }
            }
            Fault::DataCentreCut => switches.update(|faults| faults.cut_off.clear()),
            Fault::PlannerPaused => site.pause_planner(false),
            Fault::LaggingList => {
                switches.update(|faults| faults.is_host_list_frozen = false);
                let leaving: BTreeSet<name::Host> = first.iter().take(1).cloned().collect();
                platform.set_liveness(&leaving, Liveness::Live);
                site.set_leaving(&leaving, false);
            }
            Fault::SilentConnections
            | Fault::EntryReplaced
            | Fault::PlannerReplaced
            | Fault::HostNeverReturns
            | Fault::CancelWave
            | Fault::RetrySameKeyEverywhere
            | Fault::TwoOperators => {}
        }
    }
}
