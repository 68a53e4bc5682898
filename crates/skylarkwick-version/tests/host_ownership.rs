//! Host ownership: the transitions of a host, also when repeated or in the wrong phase.

use skylarkwick_version::{
    host::{AllChecks, Cause, Epoch, Ownership, Phase, Report},
    name,
};

fn pool(name: &str) -> name::Pool {
    name::Pool::try_from(name).unwrap()
}

fn report(epoch: u64, running: u32, boot: u64) -> Option<Report> {
    Some(Report { epoch: Epoch(epoch), running, boot })
}

fn active(epoch: u64, owner: &str) -> Ownership {
    Ownership { epoch: Epoch(epoch), phase: Phase::Active { pool: pool(owner) } }
}

fn wave() -> name::Wave {
    name::Wave::try_from("december").unwrap()
}

#[test]
fn move_completes() {
    let assigned = Ownership::NEW.assign(&pool("a")).unwrap();
    assert_eq!(assigned, active(1, "a"));
    let leaving = assigned.begin_leave(Cause::Move).unwrap();
    assert_eq!(leaving.epoch, Epoch(2));
    assert!(!leaving.serves(&pool("a")));
    assert_eq!(leaving.pool(), Some(&pool("a")));
    let free = leaving.finish_leave::<AllChecks>(report(2, 0, 0)).unwrap();
    assert_eq!(free, Ownership { epoch: Epoch(2), phase: Phase::Free });
    assert_eq!(free.assign(&pool("b")).unwrap(), active(3, "b"));
}

#[test]
fn leave_needs_acknowledgement() {
    let leaving = active(1, "a").begin_leave(Cause::Move).unwrap();
    let cases = [
        ("the host does not respond", None, false),
        ("the host accepts the old epoch", report(1, 0, 0), false),
        ("a task is running", report(2, 1, 0), false),
        ("the host has acknowledged", report(2, 0, 0), true),
        ("the host has seen a later epoch", report(5, 0, 0), true),
    ];
    for (case, report, expected) in cases {
        assert_eq!(leaving.finish_leave::<AllChecks>(report).is_some(), expected, "{case}");
    }
}

#[test]
fn wave_returns_host() {
    let leaving = active(1, "a").begin_leave(Cause::Wave(wave())).unwrap();
    let in_maintenance = leaving.finish_leave::<AllChecks>(report(2, 0, 4)).unwrap();
    assert_eq!(in_maintenance.pool(), Some(&pool("a")));
    let not_rebooted = report(2, 0, 4).unwrap();
    assert_eq!(in_maintenance.finish_maintenance(not_rebooted), None);
    let rebooted = report(2, 0, 5).unwrap();
    assert_eq!(in_maintenance.finish_maintenance(rebooted).unwrap(), active(3, "a"));
}

#[test]
fn wrong_phase_refused() {
    let free = Ownership { epoch: Epoch(2), phase: Phase::Free };
    let leaving = active(1, "a").begin_leave(Cause::Drain).unwrap();
    assert_eq!(free.begin_leave(Cause::Move), None);
    assert_eq!(free.finish_leave::<AllChecks>(report(9, 0, 0)), None);
    assert_eq!(free.finish_maintenance(report(9, 0, 9).unwrap()), None);
    assert_eq!(leaving.assign(&pool("b")), None);
    assert_eq!(leaving.begin_leave(Cause::Move), None);
    assert_eq!(active(1, "a").assign(&pool("b")), None);
    assert_eq!(active(1, "a").finish_leave::<AllChecks>(report(9, 0, 0)), None);
}
