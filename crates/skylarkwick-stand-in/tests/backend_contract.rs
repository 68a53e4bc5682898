//! Contract of backend servers: the outcome of a task under each injected fault.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use skylarkwick_connection::backend::{Answer, Control, Runner, Task, http::Backend};
use skylarkwick_process::duty::StopSignal;
use skylarkwick_request::{
    id::{Attempt, Request},
    outcome::{BackendRefusal, Outcome, Refusal, UnknownReason},
};
use skylarkwick_stand_in::{
    ledger::Ledger,
    relay::Relay,
    worker::{Faults, Receipt, TaskBody, Worker},
};
use skylarkwick_version::{host::Epoch, lease::Incarnation, name};

const RUN_TIME: Duration = Duration::from_millis(20);

struct Harness {
    worker: Worker,
    ledger: Ledger,
    address: SocketAddr,
    stop: StopSignal,
}

impl Harness {
    fn start(slots: u32) -> Harness {
        let ledger = Ledger::default();
        let host = name::Host::try_from("h1").unwrap();
        let worker = Worker::new(host, slots, RUN_TIME, ledger.clone());
        let stop = StopSignal::default();
        let (address, _) =
            worker.listen(SocketAddr::from(([127, 0, 0, 1], 0)), stop.clone()).unwrap();
        Harness { worker, ledger, address, stop }
    }

    fn task(&self, number: u64, epoch: u64) -> Task {
        let body = TaskBody { run_us: RUN_TIME.as_micros() as u64, payload: format!("p{number}") };
        Task {
            address: self.address,
            attempt: Attempt {
                request: Request { incarnation: Incarnation(1), number },
                number: 0,
            },
            epoch: Epoch(epoch),
            service: name::Service::try_from("retail").unwrap(),
            kind: name::Kind::try_from("short").unwrap(),
            key: None,
            body: Arc::from(serde_json::to_vec(&body).unwrap()),
            answer_timeout: Duration::from_millis(300),
            time_left: Duration::from_secs(5),
            traceparent: None,
        }
    }

    fn run_count(&self) -> usize {
        self.ledger.runs().len()
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.stop.request();
    }
}

fn payload(outcome: &Outcome<Answer>) -> Option<String> {
    let Outcome::Done(answer) = outcome else { return None };
    Some(serde_json::from_slice::<Receipt>(&answer.body).unwrap().payload)
}

#[test]
fn fault_table() {
    let none = Faults::default();
    let slow = Faults { answer_delay: Duration::from_secs(1), ..none };
    let foreign = Faults { answers_foreign: true, ..none };
    let failing = Faults { fails_all: true, ..none };
    let cases = [
        ("no fault", none, Some("p1"), 1),
        ("late answer", slow, Some("p1"), 1),
        ("foreign answer", foreign, Some("p1"), 1),
        ("fails all", failing, None, 1),
    ];
    for (case, faults, expected, runs) in cases {
        let harness = Harness::start(2);
        harness.worker.update_faults(|current| *current = faults);
        let outcome = Backend::default().run(&harness.task(1, 1));
        assert_eq!(payload(&outcome).as_deref(), expected, "{case}: {outcome:?}");
        assert_eq!(harness.run_count(), runs, "{case}");
        if expected.is_none() {
            assert_eq!(outcome, Outcome::Unknown(UnknownReason::Failed), "{case}");
        }
    }
}

#[test]
fn refusals_run_nothing() {
    let harness = Harness::start(1);
    let backend = Backend::default();
    backend.fence(harness.address, Epoch(5)).unwrap();
    let refused = |refusal| Outcome::NotRun(Refusal::Backend(refusal));
    assert_eq!(backend.run(&harness.task(1, 4)), refused(BackendRefusal::StaleEpoch));
    harness.worker.set_leaving(true);
    assert_eq!(backend.run(&harness.task(2, 5)), refused(BackendRefusal::Leaving));
    assert_eq!(harness.run_count(), 0);
}

#[test]
fn full_host_refuses() {
    let harness = Harness::start(1);
    let backend = Backend::default();
    let (other, mut long_task) = (backend.clone(), harness.task(1, 1));
    let body = TaskBody { run_us: 400_000, payload: "long".to_owned() };
    long_task.body = Arc::from(serde_json::to_vec(&body).unwrap());
    long_task.answer_timeout = Duration::from_secs(2);
    let running = std::thread::spawn(move || other.run(&long_task));
    while harness.worker.running_count() == 0 {
        std::thread::sleep(Duration::from_millis(2));
    }
    let refused = backend.run(&harness.task(2, 1));
    assert_eq!(refused, Outcome::NotRun(Refusal::Backend(BackendRefusal::Full)));
    assert_eq!(payload(&running.join().unwrap()).as_deref(), Some("long"));
}

#[test]
fn blackhole_detected() {
    let harness = Harness::start(2);
    let relay = Relay::start(Duration::ZERO, harness.stop.clone()).unwrap();
    relay.set_target(harness.address);
    let backend = Backend::default();
    let task = |number| Task { address: relay.address, ..harness.task(number, 1) };
    assert_eq!(payload(&backend.run(&task(1))).as_deref(), Some("p1"));
    relay.blackhole();
    let outcome = backend.run(&task(2));
    // The server has not received the attempt, and it confirms that it will never start it.
    assert_eq!(outcome, Outcome::NotRun(Refusal::Backend(BackendRefusal::Forbidden)));
    assert_eq!(harness.run_count(), 1);
    assert_eq!(payload(&backend.run(&task(3))).as_deref(), Some("p3"));
}

#[test]
fn disconnect_is_unknown() {
    let harness = Harness::start(2);
    let relay = Relay::start(Duration::ZERO, harness.stop.clone()).unwrap();
    relay.set_target(harness.address);
    let backend = Backend::default();
    relay.disconnect();
    let outcome = backend.run(&Task { address: relay.address, ..harness.task(1, 1) });
    assert_eq!(outcome, Outcome::Unknown(UnknownReason::Timeout));
}

#[test]
fn unreachable_runs_nothing() {
    let harness = Harness::start(1);
    let task = Task { address: SocketAddr::from(([127, 0, 0, 1], 1)), ..harness.task(1, 1) };
    assert_eq!(Backend::default().run(&task), Outcome::NotRun(Refusal::Unreachable));
}

#[test]
fn attempt_runs_once() {
    let harness = Harness::start(2);
    let backend = Backend::default();
    assert!(payload(&backend.run(&harness.task(1, 1))).is_some());
    let repeated = backend.run(&harness.task(1, 1));
    assert_eq!(repeated, Outcome::NotRun(Refusal::Backend(BackendRefusal::Forbidden)));
    assert_eq!(harness.run_count(), 1);
}

#[test]
fn repeated_reboot_ignored() {
    let harness = Harness::start(1);
    let backend = Backend::default();
    let before = backend.status(harness.address).unwrap().report.boot;
    backend.reboot(harness.address, before).unwrap();
    let booted = loop {
        match backend.status(harness.address) {
            Ok(status) if status.report.boot > before => break status.report.boot,
            _ => std::thread::sleep(Duration::from_millis(2)),
        }
    };
    // A repeated order for the same boot changes nothing.
    backend.reboot(harness.address, before).unwrap();
    assert_eq!(backend.status(harness.address).unwrap().report.boot, booted);
}
