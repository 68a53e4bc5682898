//! The probe duty: asks the hosts of the data centre how they are.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use skylarkwick_connection::backend::{Control, Status};
use skylarkwick_process::{
    clock::Clock,
    duty::StopSignal,
    ring::{self, SendError},
};
use skylarkwick_version::{
    host::{Epoch, Report},
    moment::Moment,
    name,
};

/// Pause between two rounds of questions.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Silence after which a host counts as down.
const SILENCE: Duration = Duration::from_secs(1);

/// What to ask a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Question {
    /// How it is.
    Status,
    /// To refuse every epoch below this one.
    Fence(Epoch),
    /// To reboot, if its boot number is still this one.
    Reboot(u64),
}

/// Whom to ask what.
pub(crate) type Targets = BTreeMap<name::Host, (SocketAddr, Question)>;

/// What the hosts said; silent ones are left out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Answers {
    pub(crate) reports: BTreeMap<name::Host, Report>,
    pub(crate) leaving: Vec<name::Host>,
}

struct Heard {
    status: Status,
    at: Moment,
}

/// Runs until the stop or the end of the planner.
pub(crate) fn run<B: Control, C: Clock>(
    backend: &B,
    clock: &C,
    input: &ring::Receiver<Targets>,
    output: &ring::Sender<Answers>,
    stop: &StopSignal,
) {
    let mut targets = Targets::new();
    let mut heard: BTreeMap<name::Host, Heard> = BTreeMap::new();
    while !stop.sleep(PROBE_PERIOD) {
        while let Some(latest) = input.try_receive() {
            targets = latest;
        }
        for (host, (address, question)) in &targets {
            if let Some(status) = ask(backend, *address, *question) {
                heard.insert(host.clone(), Heard { status, at: clock.now() });
            }
        }
        heard.retain(|host, heard| {
            targets.contains_key(host) && clock.now().since(heard.at) < SILENCE
        });
        // A planner that is busy reads the next answers.
        if let Err(SendError::Closed(_)) = output.try_send(answers(&heard)) {
            return;
        }
    }
}

fn ask<B: Control>(backend: &B, address: SocketAddr, question: Question) -> Option<Status> {
    match question {
        Question::Status => backend.status(address).ok(),
        Question::Fence(epoch) => backend.fence(address, epoch).ok(),
        Question::Reboot(boot) => {
            let status = backend.status(address).ok()?;
            if status.report.boot == boot {
                // A host that did not hear it is asked again in the next round.
                let _ = backend.reboot(address, boot);
            }
            Some(status)
        }
    }
}

fn answers(heard: &BTreeMap<name::Host, Heard>) -> Answers {
    let leaving = heard.iter().filter(|(_, heard)| heard.status.is_leaving);
    Answers {
        reports: heard.iter().map(|(host, heard)| (host.clone(), heard.status.report)).collect(),
        leaving: leaving.map(|(host, _)| host.clone()).collect(),
    }
}
