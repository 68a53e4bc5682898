//! Jobs of a queue that the configuration no longer has: what was accepted is worked off.

mod harness;

use harness::{Harness, QUEUE, finished_run, queue, starts, step, taken_shard, task};
use skylarkwick_request::{
    job::{
        Step,
        progress::TaskPosition,
        task::{Id, RunId, RunOutcome},
    },
    shard::{
        effect::{Change, Effect},
        input::{AcceptedJob, Queue},
    },
};

/// A pool other than that of the harness's queue.
const OTHER_POOL: &str = "other";

fn two_steps() -> Vec<Step> {
    vec![step(1, 4), Step { depends_on: vec![0], ..step(1, 4) }]
}

/// A job that was accepted while its queue had these settings.
fn accepted_under(settings: Queue) -> AcceptedJob {
    AcceptedJob { queue_settings: Some(settings), ..Harness::accepted_job("job", two_steps()) }
}

fn started(effects: &[Effect]) -> Vec<Id> {
    starts(effects).into_iter().map(|(_, start)| start.task).collect()
}

/// Gives a job to a new holder of two servers, one of each pool, before it knows of any queue, and
/// then these queues. Returns the server that starts the first task.
fn first_server(accepted: AcceptedJob, queues: Vec<Queue>) -> Option<String> {
    let mut harness = taken_shard();
    harness.shard.set_queues(Vec::new());
    harness.shard.add_job(harness.now, accepted);
    harness.shard.set_queues(queues);
    let servers = [("a", harness::POOL), ("b", OTHER_POOL)];
    let list = servers.map(|(name, pool)| harness::server_info(name, pool, name));
    harness.shard.set_servers(harness.now, list.into());
    harness.decide();
    for (name, _) in servers {
        harness.report(name, &[], &[]);
    }
    let effects = harness.decide();
    starts(&effects).first().map(|(server, _)| server.to_string())
}

/// Guards against a job that stands still after its first step, because a configuration has
/// removed its queue (review/14).
#[test]
fn later_step_started() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", two_steps());
    let effects = harness.decide();
    let (_, first) = harness.confirm_starts(&effects).remove(0);
    harness.shard.set_queues(Vec::new());
    let end = finished_run(1, first.task, first.run, RunOutcome::Done);
    harness.advance(50);
    harness.report("a", &[], &[end]);
    assert_eq!(started(&harness.decide()), [task("job", 1, 0)]);
}

/// Guards against a job that stands still because the holder has never seen its queue, which was
/// removed before it took the shard.
#[test]
fn unseen_queue_served() {
    let accepted = accepted_under(queue(QUEUE, OTHER_POOL));
    assert_eq!(first_server(accepted, Vec::new()).as_deref(), Some("b"));
}

/// Guards against a job that a pool gets to which the configuration no longer sends its queue.
#[test]
fn returned_queue_followed() {
    let accepted = accepted_under(queue(QUEUE, OTHER_POOL));
    let queues = vec![queue(QUEUE, harness::POOL)];
    assert_eq!(first_server(accepted, queues).as_deref(), Some("a"));
}

/// Guards against a pool that gets no hosts because only jobs of removed queues need them.
#[test]
fn removed_queue_counted() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", two_steps());
    harness.shard.set_queues(Vec::new());
    harness.decide();
    let loads = harness.shard.pool_loads(harness.now);
    assert_eq!(loads.get(harness::POOL).map(|load| load.jobs), Some(1));
}

/// Guards against a job that a new holder fails by the stored limit of attempts before it knows the
/// one in force.
#[test]
fn stored_limit_awaits_configuration() {
    let settings = Queue { max_attempts: 1, ..queue(QUEUE, harness::POOL) };
    let mut accepted = accepted_under(settings);
    let failed = accepted.progress.tasks.entry(TaskPosition::default()).or_default();
    failed.failed_runs = [RunId(4)].into();
    failed.last_ended_run = RunId(4);
    let mut harness = Harness::unconfigured(2);
    harness.shard.add_job(harness.now, accepted);
    harness.shard.set_queues(vec![queue(QUEUE, harness::POOL)]);
    harness.advance(1);
    let effects = harness.decide();
    let updates = harness::batches(&effects).into_iter().flat_map(|batch| batch.updates);
    let mut changes = updates.map(|update| update.change);
    assert!(!changes.any(|change| matches!(change, Change::Finished(_))), "{effects:?}");
}

/// Guards against a removed queue whose jobs are started again without end, because nothing limits
/// their attempts.
#[test]
fn removed_queue_limits_attempts() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    harness.shard.set_queues(Vec::new());
    let mut runs = 0;
    for number in 1..=5 {
        let effects = harness.decide();
        for (_, start) in harness.confirm_starts(&effects) {
            runs += 1;
            let end = finished_run(number, start.task, start.run, RunOutcome::Failed);
            harness.advance(50);
            harness.report("a", &[], &[end]);
        }
        harness.advance(5000);
        harness.report("a", &[], &[]);
    }
    assert_eq!(runs, queue(QUEUE, harness::POOL).max_attempts);
}
