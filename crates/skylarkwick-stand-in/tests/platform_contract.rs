//! The platform's contract: one table of cases, run against each adapter.
//!
//! A real service can be tried with the same table by giving its address in
//! `SKYLARKWICK_PLATFORM`; it has to be empty.

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

fn put(token: u128, key: &str, at: Revision, value: &str) -> Transaction {
    Transaction::new(Token(token)).replace(Key::new(key), at, value.to_owned())
}

fn applied<T: Table>(table: &T, transaction: &Transaction) -> Revision {
    match table.commit(transaction).unwrap() {
        Commit::Applied(revision) => revision,
        Commit::Conflict(rows) => panic!("unexpected conflict: {rows:?}"),
    }
}

fn contract<T: Table>(table: &T) {
    let key = Key::new("contract/a");
    let absent = table.read(std::slice::from_ref(&key)).unwrap().remove(0);
    assert_eq!((absent.revision, absent.value), (Revision::ABSENT, None));

    let first = applied(table, &put(1, "contract/a", Revision::ABSENT, "one"));
    let row = table.read(std::slice::from_ref(&key)).unwrap().remove(0);
    assert_eq!((row.revision, row.token), (first, Some(Token(1))));
    assert_eq!(row.value.as_deref(), Some("one"));

    let stale = put(2, "contract/a", Revision::ABSENT, "two");
    match table.commit(&stale).unwrap() {
        Commit::Conflict(rows) => assert_eq!(rows, [row]),
        Commit::Applied(_) => panic!("a stale condition was met"),
    }

    // All or nothing, over several rows.
    let mixed = put(3, "contract/b", Revision::ABSENT, "b").replace(
        key.clone(),
        Revision::ABSENT,
        "three".to_owned(),
    );
    assert!(matches!(table.commit(&mixed).unwrap(), Commit::Conflict(_)));
    let rows = table.read(&[key.clone(), Key::new("contract/b")]).unwrap();
    assert_eq!(rows[0].value.as_deref(), Some("one"));
    assert_eq!(rows[1].value, None);

    // A scan shows what changed after a revision, deleted rows included.
    let second = applied(table, &put(4, "contract/b", Revision::ABSENT, "b"));
    assert!(second > first);
    let delete = Transaction::new(Token(5)).delete(key.clone(), first);
    let third = applied(table, &delete);
    let scan = table.scan("contract/", first).unwrap();
    assert!(scan.complete_through >= third);
    let seen: Vec<_> =
        scan.rows.iter().map(|row| (row.key.as_str(), row.value.is_some())).collect();
    assert_eq!(seen, [("contract/a", false), ("contract/b", true)]);
    assert_eq!(table.scan("contract/", third).unwrap().rows, []);

    // A deleted row keeps its revision, so that it can't be written by mistake.
    let again = put(6, "contract/a", Revision::ABSENT, "again");
    assert!(matches!(table.commit(&again).unwrap(), Commit::Conflict(_)));
}

fn origin() -> name::DataCentre {
    name::DataCentre::try_from("kapana").unwrap()
}

struct Served {
    platform: platform::Platform,
    client: Platform,
    stop: StopSignal,
}

impl Served {
    fn start() -> Served {
        let platform = platform::Platform::default();
        let stop = StopSignal::default();
        let (address, _) =
            platform.listen(SocketAddr::from(([127, 0, 0, 1], 0)), stop.clone()).unwrap();
        Served { platform, client: Platform::new(address, origin()), stop }
    }

    fn faults(&self) -> &skylarkwick_stand_in::fault::Switches {
        &self.platform.table.switches
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.stop.request();
    }
}

#[test]
fn memory_keeps_contract() {
    contract(&Memory::default());
}

#[test]
fn http_keeps_contract() {
    match env::var("SKYLARKWICK_PLATFORM") {
        Ok(address) => contract(&Platform::new(address.parse().unwrap(), origin())),
        Err(_) => contract(&Served::start().client),
    }
}

#[test]
fn lost_answer_recognised() {
    let served = Served::start();
    served.faults().update(|faults| faults.lost_answer_every = 1);
    let write = put(1, "a", Revision::ABSENT, "one");
    assert_eq!(served.client.commit(&write), Err(Error::Lost));
    let settled = commit_with_retry(&served.client, &put(2, "b", Revision::ABSENT, "two"));
    assert!(matches!(settled, retry::Outcome::Applied(_)), "{settled:?}");
    let foreign = commit_with_retry(&served.client, &put(3, "b", Revision::ABSENT, "three"));
    assert!(matches!(foreign, retry::Outcome::Conflict(_)), "{foreign:?}");
}

#[test]
fn outage_writes_nothing() {
    let served = Served::start();
    served.faults().update(|faults| faults.is_unavailable = true);
    let settled = commit_with_retry(&served.client, &put(1, "a", Revision::ABSENT, "one"));
    assert_eq!(settled, retry::Outcome::NotWritten(Error::Unreachable));
    assert_eq!(served.platform.table.peek("a"), []);
}

#[test]
fn cut_data_centre_only() {
    let served = Served::start();
    served.faults().update(|faults| {
        faults.cut_off.insert(origin());
    });
    assert_eq!(served.client.scan("", Revision::ABSENT), Err(Error::Unreachable));
    served.faults().update(|faults| faults.cut_off.clear());
    assert!(served.client.scan("", Revision::ABSENT).is_ok());
}

#[test]
fn nobody_listens() {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let settled =
        commit_with_retry(&Platform::new(address, origin()), &put(1, "a", Revision(0), "x"));
    assert_eq!(settled, retry::Outcome::NotWritten(Error::Unreachable));
}

#[test]
fn documents_by_swap() {
    let table = Memory::default();
    let source = Source::new("retail.toml", DOCUMENT);
    let first = documents::apply(&table, &source, "anna", Some(0), Token(1)).unwrap();
    assert_eq!(first.change, 1);
    let more = Source::new("retail.toml", &DOCUMENT.replace("hosts = 12", "hosts = 13"));
    let second = documents::apply(&table, &more, "boris", Some(1), Token(2)).unwrap();
    assert_eq!(second.change, 2);
    let late = Source::new("retail.toml", &DOCUMENT.replace("hosts = 12", "hosts = 11"));
    match documents::apply(&table, &late, "anna", Some(1), Token(3)) {
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
fn lost_apply_counts_once() {
    let table = Memory::default();
    table.switches.update(|faults| faults.lost_answer_every = 1);
    let source = Source::new("retail.toml", DOCUMENT);
    let applied = documents::apply(&table, &source, "anna", None, Token(1)).unwrap();
    assert_eq!(applied.change, 1);
    assert_eq!(documents::history(&table, &applied.service).unwrap().len(), 1);
}

#[test]
fn slow_platform_is_lost() {
    let served = Served::start();
    served.faults().update(|faults| faults.request_delay = Duration::from_millis(1500));
    assert_eq!(served.client.scan("", Revision::ABSENT), Err(Error::Lost));
}
