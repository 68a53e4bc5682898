//! Wire forms: what goes out comes back, and nothing that comes in panics.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
    sync::Arc,
    time::Duration,
};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use serde::{Serialize, de::DeserializeOwned};
use skylarkwick_connection::{
    backend::Answer,
    caller::{Call, Idempotency},
    peer::{self, wire::Redeemed},
    platform::{Commit, HostRecord, Key, Row, Scan, Transaction, row, wire},
};
use skylarkwick_request::{
    claim::Claim,
    id::Digest,
    outcome::{BackendRefusal, Outcome, Refusal, UnknownReason},
};
use skylarkwick_version::{
    budget::Budget,
    host::{Cause, Epoch, Ownership, Phase},
    lease::{FencingToken, Incarnation, Lease},
    name,
    revision::{Revision, Token},
    wave::{Progress, State, Wave},
};

fn round_trip<W, T>(value: &T)
where
    W: for<'a> From<&'a T> + Serialize + DeserializeOwned,
    T: TryFrom<W> + PartialEq + Debug,
    T::Error: Debug,
{
    let text = serde_json::to_string(&W::from(value)).unwrap();
    let wire: W = serde_json::from_str(&text).unwrap();
    assert_eq!(T::try_from(wire).unwrap(), *value);
}

fn pool() -> name::Pool {
    name::Pool::try_from("retail").unwrap()
}

fn host(number: u8) -> name::Host {
    name::Host::try_from(format!("h{number}")).unwrap()
}

#[test]
fn rows_round_trip() {
    let wave = name::Wave::try_from("december").unwrap();
    let phases = [
        Phase::Free,
        Phase::Active { pool: pool() },
        Phase::Leaving { pool: pool(), cause: Cause::Move },
        Phase::Leaving { pool: pool(), cause: Cause::Drain },
        Phase::Leaving { pool: pool(), cause: Cause::Wave(wave.clone()) },
        Phase::Maintenance { pool: pool(), wave: wave.clone(), boot: 3 },
    ];
    for phase in phases {
        round_trip::<row::Host, _>(&Ownership { epoch: Epoch(4), phase });
    }
    round_trip::<row::Lease, _>(&Lease::VACANT);
    round_trip::<row::Lease, _>(&Lease {
        holder: Some(Incarnation(u64::MAX)),
        entry: Some(name::Entry::try_from("pos-e1").unwrap()),
        fencing_token: FencingToken(9),
    });
    let place = name::DataCentre::try_from("kapana").unwrap();
    round_trip::<row::Budget, _>(&Budget {
        grants: BTreeMap::from([(host(1), Cause::Wave(wave.clone())), (host(2), Cause::Drain)]),
        down_hosts: BTreeMap::from([(place, BTreeSet::from([host(3)]))]),
    });
    round_trip::<row::Wave, _>(&Wave { name: wave, state: State::Paused, pool: Some(pool()) });
    round_trip::<row::Progress, _>(&Progress { done: BTreeSet::from([host(1), host(2)]) });
    round_trip::<row::Claim, _>(&Claim {
        entry: name::Entry::try_from("pos-e1").unwrap(),
        incarnation: Incarnation(7),
        digest: Digest(u128::MAX),
    });
}

#[test]
fn outcomes_round_trip() {
    let wait = Duration::from_millis(250);
    let outcomes = [
        Outcome::Done(Arc::new(Answer { content_type: "text/plain".into(), body: vec![0, 255] })),
        Outcome::NotRun(Refusal::Invalid("the body is too long".into())),
        Outcome::NotRun(Refusal::QueueFull { retry_after: wait }),
        Outcome::NotRun(Refusal::TooLate { retry_after: wait }),
        Outcome::NotRun(Refusal::Backend(BackendRefusal::Forbidden)),
        Outcome::NotRun(Refusal::PlatformOut),
        Outcome::Unknown(UnknownReason::Timeout),
        Outcome::Unknown(UnknownReason::OwnerGone),
        Outcome::Unknown(UnknownReason::Forgotten),
    ];
    for outcome in outcomes {
        round_trip::<Redeemed, _>(&outcome);
    }
}

#[test]
fn calls_round_trip() {
    let ticket = "pos-e1_00000000000000ff_3".parse().unwrap();
    for idempotency in [Idempotency::Key(Arc::from("k-1")), Idempotency::Ticket(ticket)] {
        let call = Call {
            service: name::Service::try_from("retail").unwrap(),
            kind: name::Kind::try_from("short").unwrap(),
            idempotency,
            deadline: Some(Duration::from_millis(1500)),
            body: Arc::from([0, 1, 255]),
        };
        let redeem = peer::wire::Redeem::new(&call, Incarnation(5));
        assert_eq!(redeem.owner(), Incarnation(5));
        assert_eq!(Call::try_from(redeem).unwrap(), call);
    }
}

#[derive(Clone, Debug)]
struct Text(String);

impl Arbitrary for Text {
    /// Breaks valid JSON a little, which reaches further than noise does.
    fn arbitrary(random: &mut Gen) -> Text {
        let seeds = [
            r#"{"key":"view/host/h1","revision":3,"token":"ff","value":"{}"}"#,
            r#"{"epoch":1,"phase":{"leaving":{"pool":"a","cause":{"wave":"w"}}},"why":""}"#,
            r#"{"epoch":1,"phase":{"maintenance":{"pool":"a","wave":"w","boot":1}}}"#,
            r#"{"holder":1,"entry":"e1","fencing":2}"#,
            r#"{"grants":{"h1":"drain"},"down":{"here":["h2"]}}"#,
            r#"{"token":"1f","conditions":[["a",1]],"writes":[["a",null]]}"#,
            r#"{"conflict":[{"key":"a","revision":1}]}"#,
            r#"{"entry":"e1","incarnation":1,"digest":"0f"}"#,
            r#"{"not-run":{"code":"no-host","detail":"","retry_after_ms":1}}"#,
            r#"{"service":"s","kind":"k","key":"x","ticket":null,"deadline_ms":1,"body":"AA==","owner":1}"#,
        ];
        let mut bytes = random.choose(&seeds).unwrap().as_bytes().to_vec();
        for _ in 0..u8::arbitrary(random) % 3 {
            let place = usize::arbitrary(random) % bytes.len();
            bytes[place] = u8::arbitrary(random) % 128;
        }
        Text(String::from_utf8(bytes).unwrap())
    }
}

fn take<W: DeserializeOwned, T: TryFrom<W>>(text: &str) {
    if let Ok(wire) = serde_json::from_str::<W>(text) {
        let _ = T::try_from(wire);
    }
}

#[test]
fn broken_input_survives() {
    fn survives(Text(text): Text) -> bool {
        take::<wire::Row, Row>(&text);
        take::<wire::Rows, Scan>(&text);
        take::<wire::Transaction, Transaction>(&text);
        take::<wire::Commit, Commit>(&text);
        take::<wire::HostRecord, HostRecord>(&text);
        take::<row::Host, Ownership>(&text);
        take::<row::Lease, Lease>(&text);
        take::<row::Budget, Budget>(&text);
        take::<row::Claim, Claim>(&text);
        take::<Redeemed, Outcome<Arc<Answer>>>(&text);
        take::<peer::wire::Redeem, Call>(&text);
        take::<peer::wire::Heartbeat, peer::Heartbeat>(&text);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 17))
        .tests(5_000)
        .quickcheck(survives as fn(Text) -> bool);
}

#[test]
fn transaction_round_trip() {
    let transaction = Transaction::new(Token(u128::MAX))
        .replace(Key::new("a"), Revision(3), "x".to_owned())
        .delete(Key::new("b"), Revision(4))
        .unchanged(Key::new("c"), Revision::ABSENT);
    round_trip::<wire::Transaction, _>(&transaction);
}
