//! Claims: one start behind a key, whatever comes back late or twice.

use std::sync::Arc;

use skylarkwick_request::{
    claim::{Register, Step},
    id::{Digest, Key},
    outcome::{Doubt, Outcome, Refusal},
};

type Keys = Register<u8, u32>;

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
    assert_eq!(keys.submit(key(), BODY, 1), Step::Write);
    assert_eq!(keys.submit(key(), BODY, 2), Step::Wait);
    assert_eq!(keys.claimed(key()), Some(1));
    assert_eq!(keys.submit(key(), BODY, 3), Step::Wait);
    assert_eq!(keys.finish(key(), done(), 8), [2, 3]);
    assert_eq!(keys.submit(key(), BODY, 4), Step::Answer(4, done()));
    assert_eq!(keys.claimed(key()), None);
}

#[test]
fn other_body_refused() {
    let mut keys = Keys::default();
    keys.submit(key(), BODY, 1);
    let reused = Step::Answer(2, Outcome::NotRun(Refusal::KeyReused));
    assert_eq!(keys.submit(key(), Digest(2), 2), reused);
    keys.claimed(key());
    keys.finish(key(), done(), 8);
    let reused = Step::Answer(3, Outcome::NotRun(Refusal::KeyReused));
    assert_eq!(keys.submit(key(), Digest(2), 3), reused);
}

#[test]
fn doubtful_row_starts_once() {
    let mut keys = Keys::default();
    keys.submit(key(), BODY, 1);
    assert_eq!(keys.abandon(key()), [1]);
    assert_eq!(keys.submit(key(), BODY, 2), Step::Write);
    assert!(keys.is_in_doubt(key()));
    assert_eq!(keys.claimed(key()), Some(2));
    assert!(!keys.is_in_doubt(key()));
}

#[test]
fn own_row_without_memory() {
    let mut keys = Keys::default();
    keys.submit(key(), BODY, 1);
    assert!(!keys.is_in_doubt(key()));
    assert_eq!(keys.yield_to_owner(key()), [1]);
    let forgotten = Step::Answer(2, Outcome::Unknown(Doubt::Forgotten));
    assert_eq!(keys.repeat(key(), BODY, 2), forgotten);
}

#[test]
fn refused_work_may_start() {
    let mut keys = Keys::default();
    keys.submit(key(), BODY, 1);
    keys.claimed(key());
    keys.finish(key(), Outcome::NotRun(Refusal::NoHost), 0);
    assert_eq!(keys.submit(key(), BODY, 2), Step::Start(2));
    assert_eq!(keys.submit(key(), BODY, 3), Step::Wait);
}

#[test]
fn unknown_never_restarts() {
    let mut keys = Keys::default();
    keys.submit(key(), BODY, 1);
    keys.claimed(key());
    let unknown = Outcome::Unknown(Doubt::Timeout);
    keys.finish(key(), unknown.clone(), 0);
    assert_eq!(keys.submit(key(), BODY, 2), Step::Answer(2, unknown));
}

#[test]
fn spent_ticket_forgotten() {
    let mut keys = Keys::default();
    assert_eq!(keys.spend(key(), BODY, 1, true), Step::Start(1));
    assert_eq!(keys.spend(key(), BODY, 2, false), Step::Wait);
    keys.finish(key(), done(), 8);
    assert_eq!(keys.spend(key(), BODY, 3, false), Step::Answer(3, done()));
    let mut empty = Keys::default();
    let forgotten = Step::Answer(4, Outcome::Unknown(Doubt::Forgotten));
    assert_eq!(empty.spend(key(), BODY, 4, false), forgotten);
}

#[test]
fn memory_is_bounded() {
    let mut keys = Keys::default();
    for number in 0..40 {
        let key = Key::of("retail", &number.to_string());
        keys.submit(key, BODY, number);
        keys.claimed(key);
        keys.finish(key, done(), 1 << 20);
    }
    assert_eq!(keys.len(), 32);
}
