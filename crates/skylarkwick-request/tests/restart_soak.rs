//! Seeded soak of a shard whose servers crash and start again under their names, while calls
//! are late or lost and the store is down at times: no task runs twice at the same time, none
//! starts again after its end was acknowledged, and all finish once the trouble is over.

mod harness;
mod simulation;

use simulation::{plan::Trouble, seeds, world::World};

/// Seeds that are played if the environment names no other number.
const SEEDS: u64 = 40;

/// A long run is started by hand: `SOAK_SEEDS=400 cargo test --release -p skylarkwick-request
/// --test restart_soak`.
#[test]
fn seeds_keep_rules() {
    for seed in seeds(SEEDS) {
        World::new(seed, Trouble::Restarts).run();
    }
}
