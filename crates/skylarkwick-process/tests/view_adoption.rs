//! Views: rows are applied by revision, in any order and from any source.

use quickcheck::{Gen, QuickCheck};
use skylarkwick_process::view::{Content, Row, View};
use skylarkwick_version::{
    host::{Epoch, Ownership, Phase},
    name,
    revision::Revision,
};

fn row(host: u8, revision: u64) -> Row {
    let host = name::Host::try_from(format!("h{host}")).unwrap();
    let ownership = Ownership { epoch: Epoch(revision), phase: Phase::Free };
    Row { revision: Revision(revision), change: Content::Host(host, ownership) }
}

#[test]
fn late_row_ignored() {
    let mut view = View::default();
    assert!(view.apply(vec![row(1, 5)], Revision(5)));
    assert!(!view.apply(vec![row(1, 4)], Revision(4)));
    assert!(!view.apply(vec![row(1, 5)], Revision(5)));
    assert_eq!(view.hosts["h1"].ownership.epoch, Epoch(5));
    assert_eq!(view.revision, Revision(5));
}

#[test]
fn order_does_not_matter() {
    fn holds(writes: Vec<(u8, u8)>) -> bool {
        let rows: Vec<Row> =
            writes.iter().map(|&(host, revision)| row(host % 4, u64::from(revision) + 1)).collect();
        let mut in_order = View::default();
        let mut reversed = View::default();
        for row in &rows {
            in_order.apply(vec![row.clone()], row.revision);
        }
        reversed.apply(rows.into_iter().rev().collect(), in_order.revision);
        in_order == reversed
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn peer_gets_newer_rows() {
    let mut view = View::default();
    view.apply(vec![row(1, 3), row(2, 7)], Revision(9));
    let mut peer = View::default();
    peer.apply(vec![row(1, 3)], Revision(3));
    let rows = view.rows_after(peer.revision);
    assert_eq!(rows.len(), 1);
    peer.apply(rows, view.revision);
    assert_eq!(peer, view);
}
