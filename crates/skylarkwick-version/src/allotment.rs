//! Allotments: the parts of a workspace's quota that the shards of a site may use.
//!
//! One row a workspace says what each shard may have running and what it lacks. A shard changes
//! only its own entry, on condition that the row is the one that it has read, and raises it only
//! by what no shard has. So the parts never add up to more than the quota. It lowers its entry
//! only to what its holder goes by already. See `docs/design/quotas.md`.

use std::collections::BTreeMap;

use crate::{resources::Resources, sharding::ShardId, workspace::Quota};

/// A shard's part of a workspace's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allotment {
    /// What the shard may have running.
    pub granted: Resources,
    /// What it could use beyond that; zero if it lacks nothing.
    pub wanted: Resources,
    /// The largest indivisible part of its work that waits for its turn: a task, or a gang.
    pub unit: Resources,
    /// Since when it waits for its turn, on the store's clock, in milliseconds; 0 if it does
    /// not.
    pub since_ms: u64,
}

impl Allotment {
    /// Returns whether the shard lacks something.
    pub fn is_short(&self) -> bool {
        self.wanted != Resources::default()
    }
}

/// The parts of one workspace's quota, by shard.
pub type Allotments = BTreeMap<ShardId, Allotment>;

/// What a shard's holder has and needs of one workspace: the limit that it goes by, what may
/// be running, what it could have running now, and the largest part of that which is
/// indivisible.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// What the holder lets the workspace have running.
    pub limit: Resources,
    /// What may be running, planned or still being stopped.
    pub used: Resources,
    /// `used`, and what waits.
    pub demand: Resources,
    /// The largest task or gang that waits.
    pub unit: Resources,
}

/// What a shard does about one workspace: the limit that its holder has to go by from now on, and
/// the entry to write if it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Limit for the holder until the entry is written; never above what is stored.
    pub limit: Resources,
    /// The shard's entry to store, if it differs. Once it is stored, the limit follows from the
    /// row with it.
    pub entry: Option<Allotment>,
}

/// Decides what a shard does about a workspace whose row has these entries. `shards` is the
/// number of shards of the site, `now_ms` the time on the store's clock.
///
/// The components of resources are decided apart.
pub fn next(
    entries: &Allotments,
    own: ShardId,
    need: &Need,
    quota: Quota,
    shards: u32,
    now_ms: u64,
) -> Step {
    let current = entries.get(&own).copied().unwrap_or_default();
    let ceiling = quota.ceiling().components();
    let waits = need.unit != Resources::default();
    let own_since_ms = match current.since_ms {
        0 => now_ms,
        since_ms => since_ms,
    };
    let mut limits = [u64::MAX; COMPONENTS];
    let mut grants = current.granted.components();
    for component in 0..COMPONENTS {
        let at = |resources: Resources| resources.components()[component];
        if ceiling[component] == u64::MAX {
            grants[component] = 0;
            continue;
        }
        let mut parts: Vec<Part> = Vec::with_capacity(entries.len() + 1);
        parts.push(Part {
            granted: at(current.granted),
            demand: at(need.demand),
            unit: at(need.unit),
            since: (own_since_ms, own),
        });
        parts.extend(entries.iter().filter(|(shard, _)| **shard != own).map(|(shard, entry)| {
            Part {
                granted: at(entry.granted),
                demand: at(entry.granted).saturating_add(at(entry.wanted)),
                unit: at(entry.unit),
                since: (entry.since_ms, *shard),
            }
        }));
        let target = target(&parts, ceiling[component], shards);
        let granted = parts[0].granted;
        limits[component] = match is_exceeded(&parts, ceiling[component]) {
            true => 0,
            false => granted.min(target),
        };
        grants[component] = match () {
            () if target > granted => target.min(free(&parts, ceiling[component])).max(granted),
            () if at(need.limit) <= target => target.max(at(need.used)).min(granted),
            () => granted,
        };
    }
    let granted = Resources::from_components(grants);
    let wanted = limited(need.demand - granted, ceiling);
    let is_short = wanted != Resources::default();
    // A shard keeps its turn until what it was granted more for has started.
    let has_turn = is_short || (waits && current.since_ms != 0);
    let entry = Allotment {
        granted,
        wanted,
        unit: if has_turn { need.unit } else { Resources::default() },
        since_ms: if has_turn { own_since_ms } else { 0 },
    };
    let is_awaited = entries.iter().any(|(shard, entry)| *shard != own && entry.is_short());
    let is_changed = entry.granted != current.granted
        || entry.is_short() != current.is_short()
        || !entry.wanted.fits_within(&current.wanted)
        || (is_awaited && (entry.since_ms == 0) != (current.since_ms == 0));
    Step { limit: Resources::from_components(limits), entry: is_changed.then_some(entry) }
}

/// Number of components of [`Resources`].
const COMPONENTS: usize = 3;

/// One component of a shard's entry: what is granted, what could be used, the largest
/// indivisible part of that, and the order in which shards that lack something are served.
#[derive(Clone, Copy, Debug)]
struct Part {
    granted: u64,
    demand: u64,
    /// Zero if none waits.
    unit: u64,
    since: (u64, ShardId),
}

impl Part {
    const fn is_short(&self) -> bool {
        self.demand > self.granted
    }
}

/// Returns what remains of resources in the components that have a ceiling.
fn limited(resources: Resources, ceiling: [u64; COMPONENTS]) -> Resources {
    let mut components = resources.components();
    for (component, ceiling) in components.iter_mut().zip(ceiling) {
        *component = if ceiling == u64::MAX { 0 } else { (*component).min(ceiling) };
    }
    Resources::from_components(components)
}

/// Returns how much the first shard may have at most without taking from others.
fn free(parts: &[Part], ceiling: u64) -> u64 {
    let others = parts[1..].iter().map(|part| part.granted).fold(0, u64::saturating_add);
    ceiling.saturating_sub(others)
}

/// Returns whether the parts add up to more than the quota, which was lowered. Any start could
/// then exceed it, until enough of what runs has ended.
fn is_exceeded(parts: &[Part], ceiling: u64) -> bool {
    parts.iter().map(|part| part.granted).fold(0, u64::saturating_add) > ceiling
}

/// Returns what the first shard should have.
///
/// While no other shard lacks anything it keeps what it has, and takes its equal part and
/// what it needs. Otherwise the quota is divided by need: the largest indivisible part of each
/// shard that lacks something, whoever has waited longest first, and of the rest an equal part
/// each, as far as it is needed.
fn target(parts: &[Part], ceiling: u64, shards: u32) -> u64 {
    let own = &parts[0];
    let wanted = match parts[1..].iter().any(Part::is_short) {
        true => divided(parts, ceiling),
        false => own.granted.max(own.demand).max(ceiling / u64::from(shards.max(1))),
    };
    match is_exceeded(parts, ceiling) {
        // Everybody gives up the same part.
        true => {
            let sum = parts.iter().map(|part| u128::from(part.granted)).sum::<u128>();
            let part = u128::from(own.granted) * u128::from(ceiling) / sum.max(1);
            wanted.min(u64::try_from(part).unwrap_or(ceiling))
        }
        false => wanted.min(ceiling),
    }
}

/// Divides a ceiling by need, and returns the part of the first shard.
fn divided(parts: &[Part], ceiling: u64) -> u64 {
    let mut given = vec![0_u64; parts.len()];
    let mut left = ceiling;
    let mut order: Vec<usize> = (0..parts.len()).filter(|&part| parts[part].unit > 0).collect();
    order.sort_by_key(|&part| parts[part].since);
    for part in order {
        let unit = parts[part].unit.min(parts[part].demand);
        if unit <= left {
            given[part] = unit;
            left -= unit;
        }
    }
    let mut open: Vec<usize> = (0..parts.len()).collect();
    open.sort_by_key(|&part| parts[part].demand.saturating_sub(given[part]));
    for (served, &part) in open.iter().enumerate() {
        let equal = left / u64::try_from(open.len() - served).unwrap_or(1);
        let more = parts[part].demand.saturating_sub(given[part]).min(equal);
        given[part] += more;
        left -= more;
    }
    // What nobody needs stays where it is.
    given[0].max(parts[0].granted.min(given[0].saturating_add(left)))
}
