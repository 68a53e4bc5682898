//! Faults that the demo can inject.

use std::{collections::BTreeSet, time::Duration};

use skylarkwick_connection::platform::Liveness;
use skylarkwick_version::name;

use crate::site::RunningSite;

/// A fault of the platform, the workers, the entry hosts, the planners, the callers or
/// the operators, named on the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// The platform answers every request with status 503.
    PlatformOut,
    /// Each table request to the platform is delayed.
    PlatformSlow,
    /// Some writes take effect although their answers are lost.
    LostWriteAnswer,
    /// Open connections to workers and between entry hosts drop all data without
    /// closing.
    SilentConnections,
    /// Some workers answer late.
    LateAnswers,
    /// Some workers answer with the id of another attempt.
    ForeignAnswers,
    /// Some workers fail every task at once.
    WorkerFailsAll,
    /// All hosts of one rack are down.
    RackDown,
    /// The platform is unavailable to one data centre.
    DataCentreCut,
    /// An entry host stops and is replaced.
    EntryReplaced,
    /// Callers cancel some of their requests.
    CancelWave,
    /// Callers repeat requests with the same idempotency key, also at other entry
    /// hosts.
    RetrySameKeyEverywhere,
    /// The planners of one data centre end without releasing their lease.
    PlannerReplaced,
    /// The writes of one planner arrive late.
    PlannerPaused,
    /// Two operators change the same document at the same time.
    TwoOperators,
    /// One host under maintenance does not come back from its reboot.
    HostNeverReturns,
    /// The platform's list of hosts does not show that a host is leaving.
    LaggingList,
}

/// Delay of each table request to the platform under the fault `platform-slow`.
const PLATFORM_DELAY: Duration = Duration::from_millis(150);
/// Delay between the end of a task and its answer under the fault `late-answers`.
const ANSWER_DELAY: Duration = Duration::from_millis(900);
/// Every n-th accepted write to the platform loses its answer under the fault
/// `lost-write-answer`.
const LOST_ANSWER_EVERY: u64 = 5;

impl Fault {
    /// All faults, in the order in which they are listed.
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

    /// Returns the command-line name of the fault.
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

    /// Returns the fault with the given command-line name.
    ///
    /// # Errors
    ///
    /// Returns a message if there is no such fault.
    pub(crate) fn from_name(name: &str) -> Result<Fault, String> {
        Fault::ALL
            .into_iter()
            .find(|fault| fault.name() == name)
            .ok_or_else(|| format!("fault {name:?} does not exist; see --list-faults"))
    }

    /// Returns whether the fault needs relays in front of the workers.
    pub(crate) fn needs_relays(self) -> bool {
        matches!(self, Fault::SilentConnections | Fault::RackDown)
    }

    /// Injects the fault; does nothing for those that callers or the scenario carry out
    /// themselves.
    pub(crate) fn inject(self, site: &RunningSite) {
        let platform = &site.stand_ins.platform;
        let switches = &platform.table.switches;
        let faulty = site.faulty_hosts();
        match self {
            Fault::PlatformOut => switches.update(|faults| faults.is_unavailable = true),
            Fault::PlatformSlow => switches.update(|faults| faults.request_delay = PLATFORM_DELAY),
            Fault::LostWriteAnswer => {
                switches.update(|faults| faults.lost_answer_every = LOST_ANSWER_EVERY);
            }
            Fault::SilentConnections => {
                site.stand_ins.relays.values().for_each(|relay| relay.blackhole());
                site.peer_relays.values().for_each(|relay| relay.blackhole());
            }
            Fault::LateAnswers => {
                site.update_worker_faults(&faulty, |faults| faults.answer_delay = ANSWER_DELAY);
            }
            Fault::ForeignAnswers => {
                site.update_worker_faults(&faulty, |faults| faults.answers_foreign = true);
            }
            Fault::WorkerFailsAll => {
                site.update_worker_faults(&faulty, |faults| faults.fails_all = true)
            }
            Fault::RackDown => {
                for host in site.first_rack() {
                    site.update_worker_faults(&BTreeSet::from([host.clone()]), |faults| {
                        faults.is_down = true
                    });
                    if let Some(relay) = site.stand_ins.relays.get(&host) {
                        relay.disconnect();
                    }
                }
            }
            Fault::DataCentreCut => {
                let data_centre = site.first_data_centre();
                switches.update(|faults| {
                    faults.cut_off.insert(data_centre.clone());
                });
            }
            Fault::EntryReplaced => site.replace_entry(),
            Fault::PlannerReplaced => site.replace_planner(),
            Fault::PlannerPaused => site.pause_planner(true),
            Fault::HostNeverReturns => {
                site.update_worker_faults(&site.maintained_host(), |faults| {
                    faults.never_returns = true
                });
            }
            Fault::LaggingList => {
                switches.update(|faults| faults.is_host_list_frozen = true);
                let leaving: BTreeSet<name::Host> = faulty.iter().take(1).cloned().collect();
                platform.set_liveness(&leaving, Liveness::Leaving);
                site.set_leaving(&leaving, true);
            }
            // Implemented by the callers and by the scenario in `run`.
            Fault::CancelWave | Fault::RetrySameKeyEverywhere | Fault::TwoOperators => {}
        }
    }

    /// Ends the fault; does nothing for those that are single events, last until the
    /// end of the run, or are carried out by the callers or the scenario.
    pub(crate) fn clear(self, site: &RunningSite) {
        let platform = &site.stand_ins.platform;
        let switches = &platform.table.switches;
        let faulty = site.faulty_hosts();
        match self {
            Fault::PlatformOut => switches.update(|faults| faults.is_unavailable = false),
            Fault::PlatformSlow => switches.update(|faults| faults.request_delay = Duration::ZERO),
            Fault::LostWriteAnswer => switches.update(|faults| faults.lost_answer_every = 0),
            Fault::LateAnswers => {
                site.update_worker_faults(&faulty, |faults| faults.answer_delay = Duration::ZERO);
            }
            Fault::ForeignAnswers => {
                site.update_worker_faults(&faulty, |faults| faults.answers_foreign = false);
            }
            Fault::WorkerFailsAll => {
                site.update_worker_faults(&faulty, |faults| faults.fails_all = false)
            }
            Fault::RackDown => {
                for host in site.first_rack() {
                    site.update_worker_faults(&BTreeSet::from([host.clone()]), |faults| {
                        faults.is_down = false
                    });
                    if let Some(relay) = site.stand_ins.relays.get(&host) {
                        relay.resume();
                    }
                }
            }
            Fault::DataCentreCut => switches.update(|faults| faults.cut_off.clear()),
            Fault::PlannerPaused => site.pause_planner(false),
            Fault::LaggingList => {
                switches.update(|faults| faults.is_host_list_frozen = false);
                let leaving: BTreeSet<name::Host> = faulty.iter().take(1).cloned().collect();
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
