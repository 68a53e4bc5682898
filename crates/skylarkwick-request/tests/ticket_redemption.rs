//! Tickets: where each can be redeemed, and their text form.

use quickcheck::{Gen, QuickCheck};
use skylarkwick_request::ticket::{Issuer, Redemption, Ticket};
use skylarkwick_version::{lease::Incarnation, name};

fn issuer(entry: &str, incarnation: u64) -> Issuer {
    Issuer::new(name::Entry::try_from(entry).unwrap(), Incarnation(incarnation))
}

#[test]
fn redemption_table() {
    let mut local = issuer("pos-e1", 1);
    let ticket = local.issue();
    assert_eq!(local.redemption(&ticket), Redemption::Local);
    assert_eq!(issuer("pos-e2", 2).redemption(&ticket), Redemption::AtIssuer);
    assert_eq!(issuer("pos-e1", 9).redemption(&ticket), Redemption::Expired);
    let forged = Ticket { number: 5, ..ticket };
    assert_eq!(local.redemption(&forged), Redemption::NeverIssued);
}

#[test]
fn ticket_redeemed_once() {
    let mut local = issuer("pos-e1", 1);
    let ticket = local.issue();
    assert!(local.redeem(&ticket));
    assert!(!local.redeem(&ticket));
}

#[test]
fn old_tickets_expire() {
    let mut local = issuer("pos-e1", 1);
    let oldest = local.issue();
    assert!(local.redeem(&oldest));
    for _ in 0..100_000 {
        local.issue();
    }
    assert_eq!(local.redemption(&oldest), Redemption::Expired);
}

#[test]
fn tickets_round_trip() {
    let ticket = issuer("pos-e1", 0xfeed).issue();
    assert_eq!(ticket.to_string().parse::<Ticket>().unwrap(), ticket);
    for malformed in ["", "pos-e1", "pos-e1_zz_1", "pos-e1_1_", "POS_1_1", "pos-e1_1_-1"] {
        assert!(malformed.parse::<Ticket>().is_err(), "{malformed:?}");
    }
    fn never_panics(text: String) -> bool {
        let _ = text.parse::<Ticket>();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(48, 3))
        .tests(500)
        .quickcheck(never_panics as fn(String) -> bool);
}
