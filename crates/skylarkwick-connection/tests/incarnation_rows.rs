//! The row of the incarnations of a shard's servers: it is storable, and tells each time by the
//! store's clock.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_connection::store::{
    clock::Reading,
    row::{self, IncarnationsRow},
};
use skylarkwick_request::shard::{Incarnation, input::ServerId};
use skylarkwick_version::moment::Moment;

/// Largest value of a row, as the platform's pages state it.
const ROW_BYTES: usize = 65_536;
/// A shard has up to 172 hosts; each may have a server that has left beside its current one.
const SERVERS: usize = 344;
const STARTED_MS: u64 = 1_780_000_000_000;

fn at(ms: u64) -> Moment {
    Moment::from_start(Duration::from_millis(ms))
}

fn reading(now_ms: u64, store_ms: u64) -> Reading {
    Reading { now: at(now_ms), store_ms }
}

fn known(names: impl Iterator<Item = String>) -> BTreeMap<ServerId, Incarnation> {
    let incarnation = Incarnation { started_ms: STARTED_MS, late_calls_until: at(40_000) };
    names.map(|name| (ServerId(Arc::from(name)), incarnation)).collect()
}

fn read_back(bytes: &[u8], clock: Reading) -> BTreeMap<ServerId, Incarnation> {
    row::decode::<IncarnationsRow>(bytes).expect("it decodes").incarnations(clock)
}

/// Guards against a wait that is too short, because a time counts by another process's clock.
#[test]
fn times_translated() {
    let written = known(["a".to_owned()].into_iter());
    let bytes = row::encode(&IncarnationsRow::new(&written, reading(39_000, 700_000)));
    for (now_ms, store_ms, until_ms) in [(5_000, 700_500, 5_500), (90_000, 711_000, 80_000)] {
        let read = read_back(&bytes, reading(now_ms, store_ms));
        let expected = Incarnation { started_ms: STARTED_MS, late_calls_until: at(until_ms) };
        assert_eq!(read, [(ServerId(Arc::from("a")), expected)].into());
    }
}

#[test]
fn shard_fits() {
    let known = known((0..SERVERS).map(|number| format!("i-9ad4d5e8{number:03}")));
    let clock = reading(50_000, u64::MAX);
    let bytes = row::encode(&IncarnationsRow::new(&known, clock));
    assert!(bytes.len() <= ROW_BYTES / 4, "{} bytes", bytes.len());
    assert_eq!(read_back(&bytes, clock).len(), SERVERS);
}

/// Guards against a row that the store refuses, with the backlog that is written beside it.
#[test]
fn excess_left_out() {
    let known = known((0..2_000).map(|number| format!("{number:0200}")));
    let clock = reading(50_000, u64::MAX);
    let bytes = row::encode(&IncarnationsRow::new(&known, clock));
    assert!(bytes.len() <= ROW_BYTES, "the store refuses {} bytes", bytes.len());
    let read = read_back(&bytes, clock);
    assert!(read.len() > 200 && read.keys().all(|server| known.contains_key(server)));
}
