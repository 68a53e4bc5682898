//! Allotments of a workspace's quota to shards: no order of changes, crashes of holders, lost
//! and late answers and lowered quotas lets them use more than the quota together.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Gen, QuickCheck};
use skylarkwick_version::{
    allotment::{self, Allotment, Allotments, Need},
    resources::Resources,
    sharding::ShardId,
    workspace::Quota,
};

const SHARDS: u32 = 3;

fn cores(cores: u64) -> Resources {
    Resources { millicores: cores * 1000, ..Resources::default() }
}

/// A holder of a shard: what it lets run, what it was last told to let run, what runs, what could
/// run, and the writes whose answers were lost.
#[derive(Clone, Debug, Default)]
struct Holder {
    limit: Resources,
    told: Resources,
    used: Resources,
    demand: Resources,
    unit: Resources,
    unanswered: Vec<(u64, Allotments)>,
}

impl Holder {
    /// The holder may go by any earlier limit until it has confirmed the last one.
    fn need(&self) -> Need {
        let Holder { limit, told, used, demand, unit, .. } = *self;
        let limit = if limit == told { limit } else { Quota::default().ceiling() };
        Need { limit, used, demand: demand.max_each(&used), unit }
    }
}

/// A site's row of one workspace, and the holders of its shards.
#[derive(Clone, Debug)]
struct Site {
    revision: u64,
    row: Allotments,
    quota: Quota,
    now_ms: u64,
    holders: BTreeMap<ShardId, Holder>,
}

/// How a write ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Applied,
    LostAfter,
    LostBefore,
}

impl Site {
    fn new(quota: u64) -> Site {
        let holders = (0..SHARDS).map(|shard| (ShardId(shard), Holder::default())).collect();
        let quota = Quota(cores(quota));
        Site { revision: 0, row: Allotments::new(), quota, now_ms: 1, holders }
    }

    /// One holder reads the row, goes by what it decides, and writes its entry.
    fn step(&mut self, shard: ShardId, answer: Answer) {
        self.now_ms += 100;
        let holder = self.holders.get_mut(&shard).expect("a shard");
        // A write without an answer can still be carried out until the row has changed.
        holder.unanswered.retain(|(revision, _)| *revision == self.revision);
        let pending = holder.unanswered.iter().map(|(_, row)| row[&shard].granted);
        let ceiling = pending.fold(cores(1 << 30), min);
        let need = holder.need();
        let step = allotment::next(&self.row, shard, &need, self.quota, SHARDS, self.now_ms);
        let limit = min(step.limit, ceiling);
        holder.told = limit;
        // A write without an answer is settled by another one on the same condition.
        let current = self.row.get(&shard).copied().unwrap_or_default();
        let Some(entry) = step.entry.or((!holder.unanswered.is_empty()).then_some(current)) else {
            return;
        };
        let mut row = self.row.clone();
        row.insert(shard, entry);
        match answer {
            Answer::LostBefore => holder.unanswered.push((self.revision, row)),
            Answer::LostAfter => {
                holder.unanswered.push((self.revision, row.clone()));
                (self.row, self.revision) = (row, self.revision + 1);
            }
            Answer::Applied => {
                (self.row, self.revision) = (row, self.revision + 1);
                let step =
                    allotment::next(&self.row, shard, &need, self.quota, SHARDS, self.now_ms);
                holder.told = step.limit;
            }
        }
    }

    /// A holder goes by the limit that it was told last.
    fn apply(&mut self, shard: ShardId) {
        let holder = self.holders.get_mut(&shard).expect("a shard");
        holder.limit = holder.told;
    }

    /// A write that had no answer is carried out now.
    fn carry_out_late(&mut self, shard: ShardId) {
        let holder = &self.holders[&shard];
        let pending = holder.unanswered.iter().find(|(revision, _)| *revision == self.revision);
        if let Some((revision, row)) = pending.cloned() {
            (self.row, self.revision) = (row, revision + 1);
        }
    }

    /// A new holder starts from the row; what ran goes on and is counted. The fence that it has
    /// replaced refuses late writes of the holder before.
    fn replace_holder(&mut self, shard: ShardId) {
        let holder = self.holders.get_mut(&shard).expect("a shard");
        (holder.limit, holder.told) = Default::default();
        holder.unanswered.clear();
    }

    /// The workspace's work in a shard starts as far as its limit allows, or ends.
    fn work(&mut self, shard: ShardId, demand: Resources, unit: Resources) {
        let holder = self.holders.get_mut(&shard).expect("a shard");
        (holder.demand, holder.unit) = (demand, unit);
        holder.used = match demand.fits_within(&holder.used) {
            true => demand,
            false => holder.used.max_each(&min(demand, holder.limit)),
        };
    }

    fn used(&self) -> Resources {
        self.holders.values().fold(Resources::default(), |sum, holder| sum + holder.used)
    }

    fn granted(&self) -> Resources {
        self.row.values().fold(Resources::default(), |sum, entry| sum + entry.granted)
    }

    /// Lets all holders act in turn until nothing changes.
    fn settle(&mut self) {
        for _ in 0..30 {
            for shard in (0..SHARDS).map(ShardId) {
                self.step(shard, Answer::Applied);
                self.apply(shard);
                let Holder { demand, unit, .. } = self.holders[&shard];
                self.work(shard, demand, unit);
            }
        }
    }
}

fn min(left: Resources, right: Resources) -> Resources {
    let each = |left: u64, right: u64| left.min(right);
    Resources {
        millicores: each(left.millicores, right.millicores),
        memory_mib: each(left.memory_mib, right.memory_mib),
        accelerators: each(left.accelerators, right.accelerators),
    }
}

#[test]
fn never_above_quota() {
    fn property(actions: Vec<(u8, u8, u8)>) -> bool {
        let mut site = Site::new(60);
        // The highest quota that a holder may still go by.
        let mut highest = cores(60);
        let mut unaware = BTreeSet::new();
        for (action, which, amount) in actions {
            let shard = ShardId(u32::from(which) % SHARDS);
            let amount = cores(u64::from(amount) % 90);
            if action % 12 == 9 {
                unaware.remove(&shard);
            }
            match action % 12 {
                0..=3 => site.step(shard, Answer::Applied),
                4 => site.step(shard, Answer::LostAfter),
                5 => site.step(shard, Answer::LostBefore),
                6 => site.carry_out_late(shard),
                7 => site.replace_holder(shard),
                9 => {
                    site.step(shard, Answer::Applied);
                    site.apply(shard);
                }
                10 => site.apply(shard),
                8 if action >= 128 => {
                    site.quota = Quota(amount.max_each(&cores(1)));
                    unaware.extend((0..SHARDS).map(ShardId));
                }
                _ => {
                    let before = site.used();
                    site.work(shard, amount, cores(1));
                    let is_started = !site.used().fits_within(&before);
                    if is_started && !site.used().fits_within(&highest) {
                        return false;
                    }
                }
            }
            highest = match unaware.is_empty() {
                true => site.quota.0,
                false => highest.max_each(&site.quota.0),
            };
        }
        true
    }
    let property: fn(Vec<(u8, u8, u8)>) -> bool = property;
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 44)).tests(3000).quickcheck(property);
}

#[test]
fn equal_parts_at_first() {
    let mut site = Site::new(60);
    site.settle();
    assert!(site.row.values().all(|entry| entry.granted == cores(20)));
}

/// Writes that were lost hold nothing up for good.
#[test]
fn lost_writes_repeated() {
    let mut site = Site::new(60);
    for shard in (0..SHARDS).map(ShardId) {
        site.step(shard, Answer::LostBefore);
        site.step(shard, Answer::LostBefore);
    }
    site.work(ShardId(1), cores(50), cores(1));
    site.settle();
    assert_eq!(site.holders[&ShardId(1)].used, cores(50));
}

/// All of the work of a workspace falls to one shard.
#[test]
fn unused_parts_move() {
    let mut site = Site::new(60);
    site.settle();
    site.work(ShardId(1), cores(50), cores(1));
    site.settle();
    assert_eq!(site.holders[&ShardId(1)].used, cores(50));
    assert!(site.granted().fits_within(&cores(60)));
}

/// Two shards each wait for a gang of which only one fits; the second runs when the first is
/// over.
#[test]
fn gangs_take_turns() {
    let mut site = Site::new(60);
    site.settle();
    for shard in [ShardId(0), ShardId(2)] {
        let holder = site.holders.get_mut(&shard).expect("a shard");
        (holder.demand, holder.unit) = (cores(54), cores(54));
    }
    let start_whole = |site: &mut Site| {
        for _ in 0..30 {
            for shard in (0..SHARDS).map(ShardId) {
                site.step(shard, Answer::Applied);
                site.apply(shard);
                let holder = site.holders.get_mut(&shard).expect("a shard");
                if holder.demand.fits_within(&holder.limit) {
                    holder.used = holder.demand;
                }
            }
        }
    };
    start_whole(&mut site);
    let running: Vec<ShardId> =
        (0..SHARDS).map(ShardId).filter(|shard| site.holders[shard].used == cores(54)).collect();
    assert_eq!(running.len(), 1);
    let first = site.holders.get_mut(&running[0]).expect("a shard");
    (first.used, first.demand, first.unit) = Default::default();
    start_whole(&mut site);
    assert_eq!(site.used(), cores(54));
}

#[test]
fn equal_needs_equal_parts() {
    let mut site = Site::new(60);
    site.settle();
    for shard in (0..SHARDS).map(ShardId) {
        site.work(shard, cores(100), cores(1));
    }
    site.settle();
    assert!(site.holders.values().all(|holder| holder.used == cores(20)));
}

/// Guards against a quota that is lowered while all of it is used: everybody gives up a part.
#[test]
fn lowered_quota_shared() {
    let mut site = Site::new(60);
    site.settle();
    for shard in (0..SHARDS).map(ShardId) {
        site.work(shard, cores(20), cores(1));
    }
    site.quota = Quota(cores(30));
    for shard in (0..SHARDS).map(ShardId) {
        site.step(shard, Answer::Applied);
        site.apply(shard);
        site.work(shard, cores(8), cores(1));
    }
    site.settle();
    assert!(site.granted().fits_within(&cores(30)));
    assert!(site.used().fits_within(&cores(30)));
}

#[test]
fn unlimited_stays_unstored() {
    let need = Need { demand: cores(1000), ..Need::default() };
    let quota = Quota::default();
    let step = allotment::next(&Allotments::new(), ShardId(0), &need, quota, SHARDS, 1);
    assert_eq!(step.limit, quota.ceiling());
    assert_eq!(step.entry, None);
}

/// The part of a shard that nobody holds stays its own.
#[test]
fn silent_shard_keeps_its_part() {
    let silent = Allotment { granted: cores(20), ..Allotment::default() };
    let mut entries = Allotments::from([(ShardId(1), silent), (ShardId(2), silent)]);
    entries.insert(ShardId(0), silent);
    let need = Need { limit: cores(20), used: cores(20), demand: cores(60), unit: cores(1) };
    let step = allotment::next(&entries, ShardId(0), &need, Quota(cores(60)), SHARDS, 9);
    let entry = step.entry.expect("a wish");
    assert_eq!((entry.granted, entry.wanted, entry.since_ms), (cores(20), cores(40), 9));
}
