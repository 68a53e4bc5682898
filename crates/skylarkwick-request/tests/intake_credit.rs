//! What all entry hosts accept for a shard stays bounded, whenever they read of its room.

use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use skylarkwick_request::intake::{Credit, Publication};
use skylarkwick_version::moment::Moment;

/// Memory for the jobs of a shard, in bytes.
const LIMIT: u64 = 16 << 20;
const ENTRIES: usize = 8;
/// What an entry host may accept for a shard with much room at the least, in bytes.
const MIN_CREDIT: u64 = 512 << 10;
/// Largest job, in bytes.
const MAX_JOB: usize = 400 << 10;

#[derive(Clone, Debug)]
enum Step {
    /// A job of this size comes to an entry host.
    Submit { entry: usize, bytes: usize },
    /// The holder publishes its room.
    Publish,
    /// An entry host that asks from now on reads the last publication.
    Read,
    /// One that asks from now on reads nothing, because the store doesn't answer.
    FailRead,
    /// Seconds pass.
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) {
            0 => Step::Publish,
            1 | 7..=10 => Step::Read,
            2..=5 => Step::FailRead,
            6 => Step::Wait(u8::arbitrary(g)),
            _ => Step::Submit {
                entry: usize::arbitrary(g) % ENTRIES,
                bytes: 1 + usize::arbitrary(g) % MAX_JOB,
            },
        }
    }
}

/// Returns what is accepted, in bytes; nothing ever ends.
fn accepted(steps: &[Step]) -> u64 {
    let mut now = Moment::ZERO;
    let mut credits = [Credit::default(); ENTRIES];
    let mut published = Publication { written_ms: 1, room: Some(LIMIT) };
    let mut read = Some(published);
    let mut accepted = 0;
    for step in steps {
        match *step {
            Step::Submit { entry, bytes } => {
                let credit = &mut credits[entry];
                let has_room = credit.spend(now, bytes) || {
                    credit.renew(now, read, ENTRIES);
                    credit.spend(now, bytes)
                };
                accepted += if has_room { u64::try_from(bytes).unwrap_or(u64::MAX) } else { 0 };
            }
            Step::Publish => {
                let room = Some(LIMIT.saturating_sub(accepted));
                published = Publication { written_ms: published.written_ms + 1, room };
            }
            Step::Read => read = Some(published),
            Step::FailRead => read = None,
            Step::Wait(seconds) => now = now + Duration::from_secs(u64::from(seconds)),
        }
    }
    accepted
}

/// A part of the machine's memory is for jobs; what is accepted takes at most two such parts, and
/// the least credit of each entry host.
#[test]
fn accepted_work_bounded() {
    fn is_bounded(steps: Vec<Step>) -> bool {
        let bound = 2 * LIMIT + u64::try_from(ENTRIES).unwrap_or_default() * MIN_CREDIT;
        accepted(&steps) <= bound
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(3_000, 59))
        .tests(200)
        .quickcheck(is_bounded as fn(Vec<Step>) -> bool);
}

/// Guards against work that is refused beside much room.
#[test]
fn room_is_granted() {
    let mut credit = Credit::default();
    credit.renew(Moment::ZERO, Some(Publication { written_ms: 1, room: Some(LIMIT) }), 100);
    assert!(credit.spend(Moment::ZERO, MAX_JOB));
    let later = Moment::ZERO + Duration::from_secs(61);
    assert!(!credit.spend(later, 1), "the room may have been used by others");
    credit.renew(later, Some(Publication { written_ms: 2, room: Some(0) }), 100);
    assert!(!credit.spend(later, 1));
}

/// Guards against a credit that is granted again for each publication that can't be read, and
/// against one that is lost for it.
#[test]
fn unread_publication() {
    let published = Publication { written_ms: 1, room: Some(LIMIT) };
    let mut credit = Credit::default();
    credit.renew(Moment::ZERO, Some(published), 1);
    let later = Moment::ZERO + Duration::from_secs(61);
    credit.renew(later, None, 1);
    assert!(credit.spend(later, MAX_JOB), "what was granted is left");
    while credit.spend(later, MAX_JOB) {}
    for published in [None, Some(published), None] {
        credit.renew(later, published, 1);
        assert!(!credit.spend(later, MAX_JOB));
    }
}
