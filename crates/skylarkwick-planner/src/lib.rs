//! The planner of a data centre: leases, capacity, budgets and maintenance waves.
//!
//! One planner runs on every entry host. The holder of the data centre's lease
//! plans; the others stand by and take over when the lease expires. All state is
//! in the platform's rows. See `docs/DESIGN.md`, section "Planners".

pub mod jobs;
mod leases;
mod planner;
mod probe;
mod round;
mod row_cache;
mod write;

pub use self::planner::Planner;
