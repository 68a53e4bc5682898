//! Steps that require a label wait only for servers with that label.

mod harness;

use std::{collections::BTreeSet, sync::Arc};

use harness::{Harness, POOL, server_info, starts, step};
use skylarkwick_request::job::Step;

/// Cores of each server of the harness.
const ALL_CORES: u64 = 64;

/// Creates a shard with a server for each of these labels.
fn with_labels(labels: &[&str]) -> Harness {
    let mut harness = Harness::new(1);
    for label in labels {
        let mut info = server_info(&format!("on-{label}"), POOL, &format!("host-{label}"));
        info.labels = BTreeSet::from([Arc::from(*label)]);
        harness.servers.push(info);
    }
    harness.shard.set_servers(harness.now, harness.servers.clone());
    harness.decide();
    for label in labels {
        harness.report(&format!("on-{label}"), &[], &[]);
    }
    harness
}

fn labelled(label: &str, cores: u64) -> Vec<Step> {
    vec![Step { required_label: Some(Arc::from(label)), ..step(1, cores) }]
}

/// Creates a step that is placed after the others, because it has the most work.
fn last_labelled(label: &str, cores: u64) -> Vec<Step> {
    let run_time_estimate = harness::ms(60_000);
    vec![Step { run_time_estimate, ..labelled(label, cores).remove(0) }]
}

/// Returns the jobs and servers of the starts of one decision, in order of the jobs.
fn started(harness: &mut Harness) -> Vec<(String, String)> {
    let mut started: Vec<(String, String)> = starts(&harness.decide())
        .into_iter()
        .map(|(server, start)| (start.task.job.as_str().to_owned(), server.0.to_string()))
        .collect();
    started.sort();
    started
}

fn pairs(expected: &[(&str, &str)]) -> Vec<(String, String)> {
    expected.iter().map(|(job, server)| ((*job).to_owned(), (*server).to_owned())).collect()
}

/// Guards against a step that is skipped because one with another label found no server.
#[test]
fn shortage_kept_apart() {
    let mut harness = with_labels(&["x", "y"]);
    harness.submit("a", labelled("x", ALL_CORES));
    harness.submit("b", labelled("x", ALL_CORES));
    harness.submit("c", labelled("y", ALL_CORES));
    assert_eq!(started(&mut harness), pairs(&[("a", "on-x"), ("c", "on-y")]));
}

/// Guards against a step that is skipped although it needs less than one without a server.
#[test]
fn smaller_step_placed() {
    let mut harness = with_labels(&["x"]);
    harness.submit("a", labelled("x", ALL_CORES - 2));
    assert_eq!(started(&mut harness), pairs(&[("a", "on-x")]));
    harness.submit("b", labelled("x", 3));
    harness.submit("c", labelled("x", 4));
    harness.submit("d", last_labelled("x", 2));
    assert_eq!(started(&mut harness), pairs(&[("d", "on-x")]));
}

/// Guards against a shortage of a step that may not share a host: it is no shortage of
/// resources.
#[test]
fn spread_step_no_shortage() {
    let mut harness = with_labels(&["x"]);
    let spread = Step { count: 2, max_per_host: 1, ..labelled("x", 1).remove(0) };
    harness.submit("a", vec![spread]);
    harness.submit("b", last_labelled("x", 1));
    assert_eq!(started(&mut harness), pairs(&[("a", "on-x"), ("b", "on-x")]));
}

/// Guards against a shortage that outlasts its decision.
#[test]
fn shortage_forgotten() {
    let mut harness = with_labels(&["x"]);
    harness.submit("a", labelled("y", 1));
    assert_eq!(started(&mut harness), pairs(&[]));
    let mut info = server_info("late", POOL, "host-late");
    info.labels = BTreeSet::from([Arc::from("y")]);
    harness.servers.push(info);
    harness.shard.set_servers(harness.now, harness.servers.clone());
    harness.decide();
    harness.report("late", &[], &[]);
    assert_eq!(started(&mut harness), pairs(&[("a", "late")]));
}
