//! Contract of the platform, checked against each adapter.
//!
//! `SKYLARKWICK_PLATFORM` names the address of a real service to check instead of the
//! simulated one; its table has to be empty.

use std::{env, net::SocketAddr, time::Duration};

use skylarkwick_connection::platform::{
    Commit, Error, Key, Table, Transaction, documents,
    http::Platform,
    retry::{self, commit_with_retry},
};
use skylarkwick_process::duty::StopSignal;
use skylarkwick_stand_in::{platform, table::Memory};
use skylarkwick_version::{
    name,
    revision::{Revision, Token},
    source::Source,
};

const DOCUMENT: &str = include_str!("../../../examples/caroni/retail.toml");

fn replace_row(token: u128, key: &str, at: Revision, value: &str) -> Transaction {
    Transaction::new(Token(token)).replace(Key::new(key), at, value.to_owned())
}

fn commit_applied<T: Table>(table: &T, transaction: &Transaction) -> Revision {
    match table.commit(transaction).unwrap() {
        Commit::Applied(revision) => revision,
        Commit::Conflict(rows) => panic!("unexpected conflict: {rows:?}"),
    }
}

fn check_contract<T: Table>(table: &T) {
    let key = Key::new("contract/a");
    let absent = table.read(std::slice::from_ref(&key)).unwrap().remove(0);
    assert_eq!((absent.revision, absent.value), (Revision::ABSENT, None));

    let first = commit_applied(table, &replace_row(1, "contract/a", Revision::ABSENT, "one"));
    let row = table.read(std::slice::from_ref(&key)).unwrap().remove(0);
    assert_eq!((row.revision, row.token), (first, Some(Token(1))));
    assert_eq!(row.value.as_deref(), Some("one"));

    let stale = replace_row(2, "contract/a", Revision::ABSENT, "two");
    match table.commit(&stale).unwrap() {
        Commit::Conflict(rows) => assert_eq!(rows, [row]),
        Commit::Applied(_) => panic!("a stale condition was accepted"),
    }

    // A transaction over several rows applies all of its writes or none.
    let mixed = replace_row(3, "contract/b", Revision::ABSENT, "b").replace(
        key.clone(),
        Revision::ABSENT,
        "three".to_owned(),
    );
    assert!(matches!(table.commit(&mixed).unwrap(), Commit::Conflict(_)));
    let rows = table.read(&[key.clone(), Key::new("contract/b")]).unwrap();
    assert_eq!(rows[0].value.as_deref(), Some("one"));
    assert_eq!(rows[1].value, None);

    // A scan returns the rows changed after a revision, including deleted ones.
    let second = commit_applied(table, &replace_row(4, "contract/b", Revision::ABSENT, "b"));
    assert!(second > first);
    let delete = Transaction::new(Token(5)).delete(key.clone(), first);
    let third = commit_applied(table, &delete);
    let scan = table.scan("contract/", first).unwrap();
    assert!(scan.complete_through >= third);
    let changes: Vec<_> =
        scan.rows.iter().map(|row| (row.key.as_str(), row.value.is_some())).collect();
    assert_eq!(changes, [("contract/a", false), ("contract/b", true)]);
    assert_eq!(table.scan("contract/", third).unwrap().rows, []);

    // A deleted row keeps its revision, so a write that expects it never to have existed
    // conflicts.
    let again = replace_row(6, "contract/a", Revision::ABSENT, "again");
    assert!(matches!(table.commit(&again).unwrap(), Commit::Conflict(_)));
}

fn origin() -> name::DataCentre {
    name::DataCentre::try_from("kapana").unwrap()
}

struct Harness {
    platform: platform::Platform,
    client: Platform,
    stop: StopSignal,
}

impl Harness {
    fn start() -> Harness {
        let platform = platform::Platform::default();
        let stop = StopSignal::default();
        let (address, _) =
            platform.listen(SocketAddr::from(([127, 0, 0, 1], 0)), stop.clone()).unwrap();
        Harness { platform, client: Platform::new(address, origin()), stop }
    }

    fn switches(&self) -> &skylarkwick_stand_in::fault::Switches {
        &self.platform.table.switches
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        self.stop.request();
    }
}

#[test]
fn memory_keeps_contract() {
    check_contract(&Memory::default());
}

#[test]
fn http_keeps_contract() {
    match env::var("SKYLARKWICK_PLATFORM") {
        Ok(address) => check_contract(&Platform::new(address.parse().unwrap(), origin())),
        Err(_) => check_contract(&Harness::start().client),
    }
}

#[test]
fn lost_answers_resolved() {
    let harness = Harness::start();
    harness.switches().update(|faults| faults.lost_answer_every = 1);
    let write = replace_row(1, "a", Revision::ABSENT, "one");
    assert_eq!(harness.client.commit(&write), Err(Error::Lost));
    let outcome = commit_with_retry(&harness.client, &replace_row(2, "b", Revision::ABSENT, "two"));
    assert!(matches!(outcome, retry::Outcome::Applied(_)), "{outcome:?}");
    let conflicting =
        commit_with_retry(&harness.client, &replace_row(3, "b", Revision::ABSENT, "three"));
    assert!(matches!(conflicting, retry::Outcome::Conflict(_)), "{conflicting:?}");
}

#[test]
fn outage_writes_nothing() {
    let harness = Harness::start();
    harness.switches().update(|faults| faults.is_unavailable = true);
    let outcome = commit_with_retry(&harness.client, &replace_row(1, "a", Revision::ABSENT, "one"));
    assert_eq!(outcome, retry::Outcome::NotWritten(Error::Unreachable));
    assert_eq!(harness.platform.table.peek("a"), []);
}

#[test]
fn cut_off_fails() {
    let harness = Harness::start();
    harness.switches().update(|faults| {
        faults.cut_off.insert(origin());
    });
    assert_eq!(harness.client.scan("", Revision::ABSENT), Err(Error::Unreachable));
    harness.switches().update(|faults| faults.cut_off.clear());
    assert!(harness.client.scan("", Revision::ABSENT).is_ok());
}

#[test]
fn unreachable_writes_nothing() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let outcome = commit_with_retry(
        &Platform::new(address, origin()),
        &replace_row(1, "a", Revision(0), "x"),
    );
    assert_eq!(outcome, retry::Outcome::NotWritten(Error::Unreachable));
}

#[test]
fn stale_change_conflicts() {
    let table = Memory::default();
    let source = Source::new("retail.toml", DOCUMENT);
    let first = documents::apply(&table, &source, "anna", Some(0), Token(1)).unwrap();
    assert_eq!(first.change, 1);
    let changed = Source::new("retail.toml", &DOCUMENT.replace("hosts = 12", "hosts = 13"));
    let second = documents::apply(&table, &changed, "boris", Some(1), Token(2)).unwrap();
    assert_eq!(second.change, 2);
    let outdated = Source::new("retail.toml", &DOCUMENT.replace("hosts = 12", "hosts = 11"));
    match documents::apply(&table, &outdated, "anna", Some(1), Token(3)) {
        Err(documents::Error::Conflict { operator, change, keys, .. }) => {
            assert_eq!((operator.as_str(), change), ("boris", 2));
            assert_eq!(keys, "capacity.hosts");
        }
        other => panic!("expected a conflict: {other:?}"),
    }
    let history = documents::history(&table, &first.service).unwrap();
    let operators: Vec<&str> = history.iter().map(|change| change.operator.as_str()).collect();
    assert_eq!(operators, ["anna", "boris"]);
}

#[test]
fn lost_apply_retried() {
    let table = Memory::default();
    table.switches.update(|faults| faults.lost_answer_every = 1);
    let source = Source::new("retail.toml", DOCUMENT);
    let applied = documents::apply(&table, &source, "anna", None, Token(1)).unwrap();
    assert_eq!(applied.change, 1);
    assert_eq!(documents::history(&table, &applied.service).unwrap().len(), 1);
}

#[test]
fn slow_answer_lost() {
    let harness = Harness::start();
    harness.switches().update(|faults| faults.request_delay = Duration::from_millis(1500));
    assert_eq!(harness.client.scan("", Revision::ABSENT), Err(Error::Lost));
}
