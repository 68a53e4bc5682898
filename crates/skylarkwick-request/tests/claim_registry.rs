//! Claim registry: the work of a key starts at most once, also after repeats and
//! uncertain writes of its row.

use std::sync::Arc;

use skylarkwick_request::{
    claim::{Action, Registry},
    id::{Digest, Key},
    outcome::{Outcome, Refusal, UnknownReason},
};

type TestRegistry = Registry<u8, u32>;

fn key() -> Key {
    Key::of("retail", "k1")
}

fn done() -> Outcome<Arc<u8>> {
    Outcome::Done(Arc::new(7))
}

const BODY: Digest = Digest(1);

#[test]
fn repeat_gets_answer() {
    let mut registry = TestRegistry::default();
    assert_eq!(registry.submit(key(), BODY, 1), Action::WriteClaim);
    assert_eq!(registry.submit(key(), BODY, 2), Action::Wait);
    assert_eq!(registry.claim_written(key()), Some(1));
    assert_eq!(registry.submit(key(), BODY, 3), Action::Wait);
    assert_eq!(registry.finish(key(), done(), 8), [2, 3]);
    assert_eq!(registry.submit(key(), BODY, 4), Action::Answer(4, done()));
    assert_eq!(registry.claim_written(key()), None);
}

#[test]
fn other_body_refused() {
    let mut registry = TestRegistry::default();
    registry.submit(key(), BODY, 1);
    let reused = Action::Answer(2, Outcome::NotRun(Refusal::KeyReused));
    assert_eq!(registry.submit(key(), Digest(2), 2), reused);
    registry.claim_written(key());
    registry.finish(key(), done(), 8);
    let reused = Action::Answer(3, Outcome::NotRun(Refusal::KeyReused));
    assert_eq!(registry.submit(key(), Digest(2), 3), reused);
}

#[test]
fn uncertain_claim_retried() {
    let mut registry = TestRegistry::default();
    registry.submit(key(), BODY, 1);
    assert_eq!(registry.claim_uncertain(key()), [1]);
    assert_eq!(registry.submit(key(), BODY, 2), Action::WriteClaim);
    assert!(registry.is_write_in_doubt(key()));
    assert_eq!(registry.claim_written(key()), Some(2));
    assert!(!registry.is_write_in_doubt(key()));
}

#[test]
fn forgotten_row_unknown() {
    let mut registry = TestRegistry::default();
    registry.submit(key(), BODY, 1);
    assert!(!registry.is_write_in_doubt(key()));
    assert_eq!(registry.claim_lost(key()), [1]);
    let forgotten = Action::Answer(2, Outcome::Unknown(UnknownReason::Forgotten));
    assert_eq!(registry.submit_forwarded(key(), BODY, 2), forgotten);
}

#[test]
fn refused_work_restarts() {
    let mut registry = TestRegistry::default();
    registry.submit(key(), BODY, 1);
    registry.claim_written(key());
    registry.finish(key(), Outcome::NotRun(Refusal::NoHost), 0);
    assert_eq!(registry.submit(key(), BODY, 2), Action::Start(2));
    assert_eq!(registry.submit(key(), BODY, 3), Action::Wait);
}

#[test]
fn unknown_never_restarts() {
    let mut registry = TestRegistry::default();
    registry.submit(key(), BODY, 1);
    registry.claim_written(key());
    let unknown = Outcome::Unknown(UnknownReason::Timeout);
    registry.finish(key(), unknown.clone(), 0);
    assert_eq!(registry.submit(key(), BODY, 2), Action::Answer(2, unknown));
}

#[test]
fn redeemed_ticket_forgotten() {
    let mut registry = TestRegistry::default();
    assert_eq!(registry.submit_ticket(key(), BODY, 1, true), Action::Start(1));
    assert_eq!(registry.submit_ticket(key(), BODY, 2, false), Action::Wait);
    registry.finish(key(), done(), 8);
    assert_eq!(registry.submit_ticket(key(), BODY, 3, false), Action::Answer(3, done()));
    let mut empty = TestRegistry::default();
    let forgotten = Action::Answer(4, Outcome::Unknown(UnknownReason::Forgotten));
    assert_eq!(empty.submit_ticket(key(), BODY, 4, false), forgotten);
}

#[test]
fn memory_is_bounded() {
    let mut registry = TestRegistry::default();
    for number in 0..40 {
        let key = Key::of("retail", &number.to_string());
        registry.submit(key, BODY, number);
        registry.claim_written(key);
        registry.finish(key, done(), 1 << 20);
    }
    assert_eq!(registry.len(), 32);
}
