//! Starts of long-running tasks whose answers are lost: no task of a step is made
//! unavailable beyond what the step allows.

mod harness;

use harness::{Harness, ms, server, server_info, starts, step, stops};
use skylarkwick_request::{
    job::{Step, task},
    shard::{
        effect::{Effect, Start},
        input::{OrderResult, ServerId},
    },
};

/// Time after a takeover in which no long-running task is stopped, and a little more.
const SETTLING_MS: u64 = 3000;
/// Tasks of the step.
const TASKS: u32 = 2;

/// A step of two long-running tasks, of which one may be unavailable, on servers a to d;
/// each fills most of a server.
struct Service {
    harness: Harness,
    running: Vec<(ServerId, Start)>,
}

impl Service {
    fn new() -> Service {
        let mut harness = Harness::with_servers(&["a", "b", "c", "d"]);
        harness.submit("job", vec![long_running()]);
        let effects = harness.decide();
        let running = harness.confirm_starts(&effects);
        assert_eq!(running.len(), 2);
        harness.advance(SETTLING_MS);
        let mut service = Service { harness, running };
        service.report_all();
        service
    }

    /// A service whose servers with tasks drain; one task was stopped, and its start on
    /// another server, which is returned, has no answer yet.
    fn draining() -> (Service, (ServerId, Start)) {
        let mut service = Service::new();
        service.drain();
        let effects = service.harness.decide();
        let restarted = service.restart(&effects);
        (service, restarted)
    }

    /// Reports that the known runs are available, and that no others exist.
    fn report_all(&mut self) {
        for name in ["a", "b", "c", "d"] {
            let runs = self.running.iter().filter(|(id, _)| *id == server(name));
            let runs: Vec<_> =
                runs.map(|(_, start)| (start.task.clone(), start.run, 100)).collect();
            self.harness.report(name, &runs, &[]);
        }
    }

    /// Marks both servers with tasks as leaving.
    fn drain(&mut self) {
        let mut servers: Vec<_> =
            ["a", "b", "c", "d"].map(|name| server_info(name, harness::POOL, name)).into();
        for info in &mut servers {
            info.is_leaving = self.running.iter().any(|(id, _)| *id == info.id);
        }
        self.harness.shard.set_servers(self.harness.now, servers);
    }

    /// Ends the only run that `effects` stops, and returns the start of its task on another
    /// server.
    fn restart(&mut self, effects: &[Effect]) -> (ServerId, Start) {
        let [(id, task, run)] = &stops(effects)[..] else {
            panic!("the step allows one task to be unavailable: {effects:?}");
        };
        let answer = OrderResult::Done(self.harness.reading());
        self.harness.shard.handle_stop_result(self.harness.now, id, task, *run, answer);
        self.running.retain(|(_, start)| start.task != *task);
        self.harness.advance(200);
        let ended = harness::finished_run(1, task.clone(), *run, task::RunOutcome::Stopped);
        self.harness.report(&id.0, &[], &[ended]);
        let effects = self.harness.decide();
        assert!(stops(&effects).is_empty());
        starts(&effects).remove(0)
    }

    /// Handles the loss of the answer to a start.
    fn lose_answer(&mut self, (id, start): &(ServerId, Start)) {
        let (now, shard) = (self.harness.now, &mut self.harness.shard);
        shard.handle_start_result(now, id, &start.task, start.run, OrderResult::Unknown);
    }
}

fn long_running() -> Step {
    Step { is_long_running: true, max_unavailable: 1, ..step(TASKS, 40) }
}

/// Guards against the stop of a task that its server has reported as available, while another
/// task of its step is unavailable for maintenance.
#[test]
fn reported_start_kept() {
    let (mut service, restarted) = Service::draining();
    service.harness.advance(700);
    service.running.push(restarted.clone());
    service.report_all();
    let effects = service.harness.decide();
    assert_eq!(stops(&effects).len(), 1, "the other task leaves its host");
    service.harness.advance(100);
    service.lose_answer(&restarted);
    let effects = service.harness.decide();
    assert_eq!(stops(&effects), [], "both tasks would be unavailable");
}

/// Guards against the stop of a task that may be available, because the answer to its start
/// was lost and its server has not reported since.
#[test]
fn unreported_start_kept() {
    let (mut service, restarted) = Service::draining();
    service.harness.advance(800);
    service.lose_answer(&restarted);
    assert_eq!(stops(&service.harness.decide()), [], "the start may have been carried out");
    service.running.push(restarted.clone());
    service.report_all();
    let effects = service.harness.decide();
    let [(id, ..)] = &stops(&effects)[..] else {
        panic!("the other task leaves its host: {effects:?}");
    };
    assert_ne!(*id, restarted.0);
}

/// Guards against a task that waits for good, because the answer to its start was lost and
/// the start was not carried out.
#[test]
fn void_start_repeated() {
    let (mut service, restarted) = Service::draining();
    service.harness.advance(800);
    service.lose_answer(&restarted);
    service.report_all();
    assert!(starts(&service.harness.decide()).is_empty(), "the start may still be carried out");
    service.harness.now = service.harness.now + harness::timings().start_window + ms(200);
    service.report_all();
    let again = starts(&service.harness.decide());
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].1.task, restarted.1.task);
    assert!(again[0].1.run > restarted.1.run);
}
