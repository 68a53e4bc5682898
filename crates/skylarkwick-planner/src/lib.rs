//! A planner: leases, capacity, budgets and waves of one data centre.
//!
//! One runs on every entry host. The one that holds the lease of its data
//! centre plans; the others look on and take over when the lease lapses. All
//! state is in the platform's rows. See `docs/DESIGN.md`, section "Planners".

pub mod jobs;
mod leases;
mod mirror;
mod planner;
mod probe;
mod round;
mod write;

pub use self::planner::Planner;
