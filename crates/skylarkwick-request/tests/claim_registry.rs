//! Claims: one start behind a key, whatever comes back late or twice.

use std::sync::Arc;

use skylarkwick_request::{
    claim::{Action, Registry},
    id::{Digest, Key},
    outcome::{Outcome, Refusal, UnknownReason},
};

type Keys = Registry<u8, u32>;

fn key() -> Key {
    Key::of("retail", "k1")
}

fn done() -> Outcome<Arc<u8>> {
    Outcome::Done(Arc::new(7))
}

const BODY: Digest = Digest(1);

#[test]
fn repeat_gets_answer() {
    let mut keys = Keys::default();
    assert_eq!(keys.submit(key(), BODY, 1), Action::WriteClaim);
    assert_eq!(keys.submit(key(), BODY, 2), Action::Wait);
    assert_eq!(keys.claim_written(key()), Some(1));
    assert_eq!(keys.submit(key(), BODY, 3), Action::Wait);
    assert_eq!(keys.finish(key(), done(), 8), [2, 3]);
    assert_eq!(keys.submit(key(), BODY, 4), Action::Answer(4, done()));
    assert_eq!(keys.claim_written(key()), None);
}

#[test]
fn other_body_refused() {
    let mut keys = Keys::default();
    keys.submit(key(), BODY, 1);
    let reused = Action::Answer(2, Outcome::NotRun(Refusal::KeyReused));
    assert_eq!(keys.submit(key(), Digest(2), 2), reused);
    keys.claim_written(key());
    keys.finish(key(), done(), 8);
    let reused = Action::Answer(3, Outcome::NotRun(Refusal::KeyReused));
    assert_eq!(keys.submit(key(), Digest(2), 3), reused);
}

#[test]
fn doubtful_row_starts_once() {
    let mut keys = Keys::default();
    keys.submit(key(), BODY, 1);
    assert_eq!(keys.claim_uncertain(key()), [1]);
    assert_eq!(keys.submit(key(), BODY, 2), Action::WriteClaim);
    assert!(keys.is_write_in_doubt(key()));
    assert_eq!(keys.claim_written(key()), Some(2));
    assert!(!keys.is_write_in_doubt(key()));
}

#[test]
fn own_row_without_memory() {
    let mut keys = Keys::default();
    keys.submit(key(), BODY, 1);
    assert!(!keys.is_write_in_doubt(key()));
    assert_eq!(keys.claim_lost(key()), [1]);
    let forgotten = Action::Answer(2, Outcome::Unknown(UnknownReason::Forgotten));
    assert_eq!(keys.submit_forwarded(key(), BODY, 2), forgotten);
}

#[test]
fn refused_work_may_start() {
    let mut keys = Keys::default();
    keys.submit(key(), BODY, 1);
    keys.claim_written(key());
    keys.finish(key(), Outcome::NotRun(Refusal::NoHost), 0);
    assert_eq!(keys.submit(key(), BODY, 2), Action::Start(2));
    assert_eq!(keys.submit(key(), BODY, 3), Action::Wait);
}

#[test]
fn unknown_never_restarts() {
    let mut keys = Keys::default();
    keys.submit(key(), BODY, 1);
    keys.claim_written(key());
    let unknown = Outcome::Unknown(UnknownReason::Timeout);
    keys.finish(key(), unknown.clone(), 0);
    assert_eq!(keys.submit(key(), BODY, 2), Action::Answer(2, unknown));
}

#[test]
fn spent_ticket_forgotten() {
    let mut keys = Keys::default();
    assert_eq!(keys.submit_ticket(key(), BODY, 1, true), Action::Start(1));
    assert_eq!(keys.submit_ticket(key(), BODY, 2, false), Action::Wait);
    keys.finish(key(), done(), 8);
    assert_eq!(keys.submit_ticket(key(), BODY, 3, false), Action::Answer(3, done()));
    let mut empty = Keys::default();
    let forgotten = Action::Answer(4, Outcome::Unknown(UnknownReason::Forgotten));
    assert_eq!(empty.submit_ticket(key(), BODY, 4, false), forgotten);
}

#[test]
fn memory_is_bounded() {
    let mut keys = Keys::default();
    for number in 0..40 {
        let key = Key::of("retail", &number.to_string());
        keys.submit(key, BODY, number);
        keys.claim_written(key);
        keys.finish(key, done(), 1 << 20);
    }
    assert_eq!(keys.len(), 32);
}
