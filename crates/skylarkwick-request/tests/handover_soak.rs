//! The soak of restarts with changes of the holder: holders are killed or stopped as planned,
//! servers are cut off for longer than their leases, and answers of the store are lost. The
//! same rules hold: no task runs twice at the same time, none starts again after its end was
//! acknowledged, and all finish.

mod harness;
mod simulation;

use simulation::{plan::Trouble, seeds, world::World};

/// Seeds that are played if the environment names no other number.
const SEEDS: u64 = 40;

/// A long run is started by hand: `SOAK_SEEDS=400 cargo test --release -p skylarkwick-request
/// --test handover_soak`.
#[test]
fn seeds_keep_rules() {
    for seed in seeds(SEEDS) {
        World::new(seed, Trouble::HandOvers).run();
    }
}
