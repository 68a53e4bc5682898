//! A duty that panics ends the process that has asked for it.

use std::{
    env,
    process::{self, Command},
    time::Duration,
};

use skylarkwick_process::duty::{self, Duty, StopSignal};

/// Set in the process that this test starts from its own program.
const CHILD_VARIABLE: &str = "SKYLARKWICK_TEST_CHILD";
/// Time after which the started process ends by itself, which fails the test.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against a holder of the shard that goes on without one of its duties and keeps
/// its lease: nothing starts, and no other process can take over.
#[test]
fn panic_ends_process() {
    if env::var_os(CHILD_VARIABLE).is_some() {
        duty::abort_on_panic();
        Duty::spawn("broken", || panic!("a broken invariant")).expect("a thread");
        StopSignal::default().sleep(TIMEOUT);
        process::exit(0);
    }
    let child = Command::new(env::current_exe().expect("a program"))
        .args(["--exact", "panic_ends_process", "--nocapture"])
        .env(CHILD_VARIABLE, "1")
        .output()
        .expect("the process starts");
    assert!(!child.status.success(), "the process went on without its duty");
    assert!(String::from_utf8_lossy(&child.stderr).contains("a broken invariant"));
}
