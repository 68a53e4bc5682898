//! Lists of servers that are older than what a server has reported itself: the incarnation
//! that is known of a server never goes down.

mod harness;

use harness::{Harness, server, starts, step, stops};
use skylarkwick_request::shard::effect::Start;

/// The later incarnation of server a; the first one is 1.
const LATER: u64 = 2;

/// A task runs on the later incarnation of server a, which is listed and has reported it.
fn with_later_run() -> (Harness, Start) {
    let mut harness = Harness::with_servers(&["a"]);
    harness.list_incarnation("a", LATER);
    harness.report_incarnation("a", LATER, &[], &[]);
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    let (_, start) = harness.confirm_starts(&effects).remove(0);
    harness.advance(10);
    harness.report_incarnation("a", LATER, &[(start.task.clone(), start.run, 10)], &[]);
    (harness, start)
}

/// Guards against a second run beside one of a server whose entry in the list is still that of
/// its earlier incarnation, as after an outage of the store.
#[test]
fn older_entry_ignored() {
    let (mut harness, start) = with_later_run();
    for _ in 0..8 {
        harness.advance(250);
        harness.set_servers(&["a", "b"]);
        harness.report("b", &[], &[]);
        harness.report_incarnation("a", LATER, &[(start.task.clone(), start.run, 20)], &[]);
        let effects = harness.decide();
        assert!(starts(&effects).is_empty() && stops(&effects).is_empty(), "{effects:?}");
    }
}

/// Guards against tasks on a server that is of another pool or kind since its restart.
#[test]
fn own_entry_awaited() {
    let mut harness = Harness::with_servers(&["a"]);
    for _ in 0..2 {
        harness.report_incarnation("a", LATER, &[], &[]);
    }
    harness.submit("job", vec![step(1, 4)]);
    assert!(starts(&harness.decide()).is_empty(), "what is listed is an earlier incarnation");
    harness.set_servers(&["a"]);
    assert!(starts(&harness.decide()).is_empty(), "the list is an older one");
    harness.list_incarnation("a", LATER);
    let started = starts(&harness.decide());
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0, server("a"));
}
