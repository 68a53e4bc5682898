//! Rows that an earlier release has written, and those of this one that an earlier release reads.

use serde::{Deserialize, Serialize};
use skylarkwick_connection::store::row::{self, LeaseRow};

/// The lease row as the release before wrote and read it.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct EarlierLease {
    holder: String,
    incarnation: u64,
    number: u64,
    fencing: u64,
    renewed_ms: u64,
}

fn earlier_lease() -> EarlierLease {
    EarlierLease {
        holder: "entry".to_owned(),
        incarnation: 1,
        number: 200,
        fencing: 3,
        renewed_ms: 4,
    }
}

fn lease(earlier_until_ms: Option<u64>) -> LeaseRow {
    let EarlierLease { holder, incarnation, number, fencing, renewed_ms } = earlier_lease();
    LeaseRow { holder, incarnation, number, fencing, renewed_ms, earlier_until_ms }
}

/// Guards against numbers of holders that begin anew, because the row no longer decodes.
#[test]
fn earlier_lease_read() {
    let read = row::decode::<LeaseRow>(&row::encode(&earlier_lease()));
    assert_eq!(read.expect("it decodes"), lease(None));
}

#[test]
fn lease_read_back() {
    for row in [lease(None), lease(Some(9_000_000))] {
        assert_eq!(row::decode::<LeaseRow>(&row::encode(&row)).expect("it decodes"), row);
        let read = row::decode::<EarlierLease>(&row::encode(&row));
        assert_eq!(read.expect("the release before decodes it"), earlier_lease());
    }
}
