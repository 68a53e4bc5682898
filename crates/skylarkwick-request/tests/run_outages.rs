//! Long-running tasks without a run: since when, and why, as the holder logs it.

mod harness;

use std::{collections::BTreeMap, sync::Arc};

use harness::{
    Harness, POOL, QUEUE, finished_run, host_up, job_key, ms, queue, server, server_info, starts,
    step, taken_shard,
};
use skylarkwick_request::{
    job::{Step, task::RunOutcome},
    shard::{
        effect::Start,
        input::{AcceptedJob, OrderResult, RejectReason},
        outage::{Cause, Origin, Outage, Status},
        takeover::Unanswered,
    },
};
use skylarkwick_version::{
    resources::Resources,
    workspace::{Quota, Workspace, Workspaces},
};

fn long_running(count: u32, cores: u64) -> Step {
    Step { is_long_running: true, max_unavailable: 1, ..step(count, cores) }
}

/// The only task without a run.
fn outage(harness: &Harness) -> Outage {
    let outages = harness.shard.outages(harness.now);
    let mut listed = outages.longest();
    let outage = listed.next().expect("a task without a run").clone();
    assert!(listed.next().is_none(), "{outages:?}");
    outage
}

fn cause(harness: &Harness) -> Cause {
    outage(harness).reason.cause
}

/// A long-running task that runs on the server a.
fn with_running_task() -> (Harness, Start) {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![long_running(1, 4)]);
    let effects = harness.decide();
    let (_, start) = harness.confirm_starts(&effects).remove(0);
    harness.report("a", &[(start.task.clone(), start.run, 100)], &[]);
    assert_eq!(harness.shard.outages(harness.now).running, 1);
    (harness, start)
}

/// A job that an earlier holder may have started on the servers a and b.
fn earlier_long_running() -> AcceptedJob {
    let mut accepted = Harness::accepted_job("job", vec![long_running(1, 4)]);
    accepted.progress.servers = [Arc::from("a"), Arc::from("b")].into();
    accepted.age = ms(50_000);
    accepted
}

/// A task that runs counts as one without a run, or the reverse.
#[test]
fn run_is_none() {
    let (harness, start) = with_running_task();
    let outages = harness.shard.outages(harness.now);
    assert_eq!((outages.count(), outages.longest_time()), (0, ms(0)));
    let status = harness.shard.task_status(harness.now, &start.task);
    assert_eq!(status, Status::Running(server("a"), harness.now));
}

/// The wait for a server of an earlier holder can't be told from a lack of room.
#[test]
fn earlier_server_awaited() {
    let mut harness = taken_shard();
    let begin = harness.now;
    harness.set_servers(&["a", "b", "c"]);
    harness.shard.add_job(harness.now, earlier_long_running());
    harness.report("a", &[], &[]);
    harness.report("c", &[], &[]);
    harness.advance(4000);
    harness.decide();
    let outage = outage(&harness);
    assert_eq!(outage.reason.cause, Cause::EarlierRuns);
    let awaited = outage.reason.awaited.expect("a server");
    // The grace, and the longest lease in place of the usual one, as it started just before.
    let until = begin + ms(11_000) + ms(1400).mul_f64(1.03);
    assert_eq!((awaited.server, awaited.until), (server("b"), Some(until)));
}

/// The time before the term is made up, or the holder claims to know it.
#[test]
fn counts_from_term() {
    let mut harness = taken_shard();
    let begin = harness.now;
    harness.set_servers(&["a", "b"]);
    harness.shard.add_job(harness.now, earlier_long_running());
    harness.decide();
    let found = outage(&harness);
    assert_eq!((found.since, found.origin), (begin, Origin::Term));
    harness.submit("later", vec![long_running(1, 65)]);
    let accepted = harness.now;
    harness.decide();
    let outages = harness.shard.outages(harness.now);
    let later = outages.longest().last().expect("a second one");
    assert_eq!((later.since, later.origin), (accepted, Origin::Acceptance));
}

/// A silent server is not named, or the time until its leases have expired is missing.
#[test]
fn silent_server_named() {
    let (mut harness, start) = with_running_task();
    let last_report = harness.now;
    harness.advance(2000);
    harness.fail_poll("a");
    harness.decide();
    let outage = outage(&harness);
    assert_eq!((outage.task, outage.since), (start.task, last_report));
    assert_eq!(outage.origin, Origin::LastRun);
    assert_eq!(outage.reason.cause, Cause::SilentServer);
    let awaited = outage.reason.awaited.expect("a server");
    assert_eq!(awaited.server, server("a"));
    assert!(awaited.until.is_some_and(|until| until > harness.now), "{awaited:?}");
}

/// The time begins anew when the run is given up, or when a start fails.
#[test]
fn failed_start_counted() {
    let (mut harness, _) = with_running_task();
    let last_report = harness.now;
    harness.set_servers(&["a", "b"]);
    harness.decide();
    harness.report("b", &[], &[]);
    let mut sent = Vec::new();
    while sent.is_empty() {
        harness.advance(200);
        harness.fail_poll("a");
        harness.report("b", &[], &[]);
        sent = starts(&harness.decide());
        assert!(harness.now.since(last_report) < ms(12_000), "the run is never given up");
    }
    assert_eq!((outage(&harness).since, cause(&harness)), (last_report, Cause::UnansweredStart));
    let (id, start) = sent.remove(0);
    let refused = OrderResult::Refused(RejectReason::InsufficientCapacity, None);
    harness.shard.handle_start_result(harness.now, &id, &start.task, start.run, refused);
    assert_eq!(outage(&harness).since, last_report);
}

/// A run that has vanished from the reports of its server leaves no time behind.
#[test]
fn vanished_run_counted() {
    let (mut harness, _) = with_running_task();
    let last_report = harness.now;
    harness.advance(500);
    harness.report("a", &[], &[]);
    let found = outage(&harness);
    assert_eq!((found.since, found.origin), (last_report, Origin::LastRun));
}

/// A run that ends as failed leaves no time behind.
#[test]
fn ended_run_counted() {
    let (mut harness, start) = with_running_task();
    let last_report = harness.now;
    harness.advance(500);
    let end = finished_run(1, start.task, start.run, RunOutcome::Failed);
    harness.report("a", &[], &[end]);
    let found = outage(&harness);
    assert_eq!((found.since, found.origin), (last_report, Origin::LastRun));
}

/// A long-running task that ended as done is started again, and counts as without a run until then.
#[test]
fn done_run_counted() {
    let (mut harness, start) = with_running_task();
    let last_report = harness.now;
    harness.advance(500);
    let end = finished_run(1, start.task, start.run, RunOutcome::Done);
    harness.report("a", &[], &[end]);
    let found = outage(&harness);
    assert_eq!((found.since, found.origin), (last_report, Origin::LastRun));
}

/// A start that waits for the store can't be told from one that waits for its server.
#[test]
fn store_or_server() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![long_running(1, 4)]);
    harness.advance(50);
    let batch = harness::batches(&harness.decide_unsaved()).remove(0);
    assert_eq!(cause(&harness), Cause::Unsaved);
    harness.shard.handle_batch_save_failed(&batch);
    assert_eq!(cause(&harness), Cause::FailedWrites);
    let effects = harness.decide();
    assert_eq!(starts(&effects).len(), 1);
    assert_eq!(cause(&harness), Cause::UnansweredStart);
    let (id, start) = starts(&effects).remove(0);
    let unknown = OrderResult::Unknown;
    harness.shard.handle_start_result(harness.now, &id, &start.task, start.run, unknown);
    let reason = outage(&harness).reason;
    assert_eq!(reason.cause, Cause::UnansweredStart);
    assert_eq!(reason.awaited.map(|awaited| awaited.server), Some(server("a")));
}

/// Writes that go on failing look like a lack of room.
#[test]
fn failing_writes_told() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![long_running(1, 4)]);
    for _ in 0..4 {
        harness.advance(50);
        for batch in harness::batches(&harness.decide_unsaved()) {
            harness.shard.handle_batch_save_failed(&batch);
        }
    }
    harness.advance(50);
    harness.decide_unsaved();
    assert_eq!(cause(&harness), Cause::FailedWrites);
}

/// A holder whose lease is not confirmed looks like one without room.
#[test]
fn unconfirmed_lease_told() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![long_running(1, 4)]);
    harness.decide_unconfirmed();
    assert_eq!(cause(&harness), Cause::UnconfirmedLease);
}

/// A removed route looks like a lack of room; both kinds of jobs are held by it.
#[test]
fn unknown_queue_told() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.shard.set_queues(vec![queue("other", POOL)]);
    harness.submit("lasting", vec![long_running(1, 4)]);
    harness.submit("finite", vec![step(1, 4)]);
    let accepted = harness.now;
    harness.decide();
    harness.advance(2000);
    assert_eq!(cause(&harness), Cause::UnknownQueue);
    let outages = harness.shard.outages(harness.now);
    let jobs = &outages.jobs[&Cause::UnknownQueue];
    assert_eq!((jobs.count, jobs.longest), (1, harness.now.since(accepted)));
    assert_eq!(jobs.job, Some(job_key("finite")));
}

/// A step that waits for earlier ones looks like one that the holder forgot.
#[test]
fn earlier_step_told() {
    let mut harness = Harness::with_servers(&["a"]);
    let later = Step { depends_on: vec![0], ..long_running(1, 4) };
    harness.submit("job", vec![step(1, 4), later]);
    harness.decide();
    assert_eq!(cause(&harness), Cause::EarlierSteps);
}

/// A lack of room, of a label and the limit of a host look alike.
#[test]
fn room_told_apart() {
    let cases = [
        (long_running(1, 65), Cause::Room),
        (Step { required_label: Some(Arc::from("gpu")), ..long_running(1, 4) }, Cause::Label),
        (Step { max_per_host: 1, ..long_running(2, 4) }, Cause::HostLimit),
    ];
    for (step, expected) in cases {
        let mut harness = Harness::with_servers(&["a"]);
        harness.submit("job", vec![step]);
        let effects = harness.decide();
        harness.confirm_starts(&effects);
        assert_eq!(cause(&harness), expected);
    }
}

/// What a workspace may use, and what is kept from it, look like a lack of room.
#[test]
fn workspace_limits_told() {
    let mut harness = Harness::with_servers(&["a"]);
    let quota = Quota(Resources { millicores: 4000, memory_mib: 0, accelerators: 0 });
    let workspaces: Workspaces = [(Arc::from("team"), Workspace { weight: 1.0, quota })].into();
    harness.shard.set_workspaces(workspaces);
    let workspace = Some(Arc::from("team"));
    let accepted = Harness::accepted_job("job", vec![long_running(2, 4)]);
    harness.shard.add_job(harness.now, AcceptedJob { workspace, ..accepted });
    let effects = harness.decide();
    harness.confirm_starts(&effects);
    assert_eq!(cause(&harness), Cause::Quota);
}

/// A job that waits for one with the same identifier looks like one without room.
#[test]
fn namesake_told() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.shard.set_queues(vec![queue(QUEUE, POOL), queue("other", POOL)]);
    harness.submit("job", vec![long_running(1, 4)]);
    let effects = harness.decide();
    harness.confirm_starts(&effects);
    let accepted = Harness::accepted_job("job", vec![long_running(1, 4)]);
    harness.shard.add_job(harness.now, AcceptedJob { queue: Arc::from("other"), ..accepted });
    harness.decide();
    assert_eq!(cause(&harness), Cause::Namesake);
}

/// A start without an answer whose server has restarted looks like one in progress.
#[test]
fn doubtful_run_stopped() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![long_running(1, 4)]);
    let (id, start) = starts(&harness.decide()).remove(0);
    let unknown = OrderResult::Unknown;
    harness.shard.handle_start_result(harness.now, &id, &start.task, start.run, unknown);
    harness.list_incarnation("a", 2);
    assert_eq!(cause(&harness), Cause::Stopping);
}

/// A job that a decision has not considered yet looks like one without room.
#[test]
fn undecided_told() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![long_running(1, 4)]);
    assert_eq!(cause(&harness), Cause::Undecided);
}

/// A holder that can send no more starts looks like one without servers.
#[test]
fn send_window_told() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("large", vec![step(1000, 0)]);
    harness.decide();
    harness.submit("job", vec![long_running(1, 4)]);
    harness.decide();
    assert_eq!(cause(&harness), Cause::SendWindow);
}

/// Jobs that leave room to other workspaces look like jobs that nobody considers.
#[test]
fn waiting_jobs_told() {
    let mut harness = Harness::with_servers(&["a"]);
    let workspace = |weight| Workspace { weight, quota: Quota::default() };
    let weights = [("hot", 1.0), ("quiet", 100.0)];
    let weights = weights.map(|(name, weight)| (Arc::from(name), workspace(weight)));
    harness.shard.set_workspaces(weights.into());
    let submit = |harness: &mut Harness, name: &str, id: String, cores| {
        let workspace = Some(Arc::from(name));
        let accepted = Harness::accepted_job(&id, vec![step(1, cores)]);
        harness.shard.add_job(harness.now, AcceptedJob { workspace, ..accepted });
    };
    for number in 0..8 {
        submit(&mut harness, "hot", format!("hot-{number}"), 10);
    }
    harness.decide();
    for number in 0..2 {
        submit(&mut harness, "quiet", format!("quiet-{number}"), 30);
    }
    harness.decide();
    let jobs = harness.shard.outages(harness.now).jobs;
    let causes: Vec<Cause> = jobs.into_keys().collect();
    assert_eq!(causes, [Cause::Reserve, Cause::Room]);
}

/// A long-running task of a workspace above its share looks like one without room.
#[test]
fn share_told() {
    let mut harness = Harness::with_servers(&["a"]);
    let workspace = || Workspace { weight: 1.0, quota: Quota::default() };
    harness.shard.set_workspaces(["large", "small"].map(|n| (Arc::from(n), workspace())).into());
    for (name, id, tasks) in [("large", "first", 6), ("small", "next", 1), ("large", "last", 1)] {
        let workspace = Some(Arc::from(name));
        let accepted = Harness::accepted_job(id, vec![long_running(tasks, 10)]);
        harness.shard.add_job(harness.now, AcceptedJob { workspace, ..accepted });
        let effects = harness.decide();
        harness.confirm_starts(&effects);
    }
    let outages = harness.shard.outages(harness.now);
    let causes: Vec<Cause> = outages.tasks.into_keys().collect();
    assert_eq!(causes, [Cause::Share, Cause::Room]);
}

/// A run whose server has restarted counts as at work until a report shows it.
#[test]
fn restarted_server_doubted() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![long_running(1, 4)]);
    let effects = harness.decide();
    harness.confirm_starts(&effects);
    let confirmed = harness.now;
    harness.advance(500);
    harness.list_incarnation("a", 2);
    harness.decide();
    let found = outage(&harness);
    assert_eq!((found.reason.cause, found.since), (Cause::RunInDoubt, confirmed));
}

/// A takeover does not tell how many servers never answered, nor what waited for them.
#[test]
fn unanswered_servers_counted() {
    let mut harness = taken_shard();
    harness.servers = ["a", "b"].iter().map(|name| server_info(name, POOL, name)).collect();
    // They have run for long: the usual grace holds.
    harness.unix_ms = 1_000_000;
    harness.shard.set_servers(harness.now, harness.servers.clone());
    harness.shard.set_hosts(harness.now, vec![host_up("a", POOL, Some("a"))]);
    harness.shard.add_job(harness.now, earlier_long_running());
    harness.report("a", &[], &[]);
    harness.decide();
    let takeover = harness.shard.takeover(harness.now);
    assert!(!takeover.is_grace_over);
    assert_eq!(takeover.awaited, Unanswered { servers: 1, jobs: 1 });
    harness.advance(11_000);
    harness.report("a", &[], &[]);
    harness.decide();
    let takeover = harness.shard.takeover(harness.now);
    assert!(takeover.is_grace_over);
    assert_eq!(takeover.given_up, Unanswered { servers: 1, jobs: 1 });
    assert_eq!(takeover.awaited, Unanswered::default());
}

/// A task has a name for each reason, so that alarms can go by them.
#[test]
fn names_differ() {
    let causes = [
        Cause::EarlierRuns,
        Cause::SilentServer,
        Cause::RunInDoubt,
        Cause::Stopping,
        Cause::UnknownQueue,
        Cause::EarlierSteps,
        Cause::Namesake,
        Cause::Label,
        Cause::HostLimit,
        Cause::Quota,
        Cause::Reserve,
        Cause::Share,
        Cause::Room,
        Cause::FailedWrites,
        Cause::UnconfirmedLease,
        Cause::Unsaved,
        Cause::UnansweredStart,
        Cause::SendWindow,
        Cause::Undecided,
    ];
    let names: BTreeMap<&str, Cause> =
        causes.iter().map(|cause| (cause.as_str(), *cause)).collect();
    assert_eq!(names.len(), causes.len());
}
