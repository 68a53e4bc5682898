//! Types with the lifetime of a row version, and the decisions that change them.
//!
//! Documents, hosts, budgets, leases and waves are rows of the platform's table
//! service. This crate holds their validated types and the pure functions that
//! compute the next version of a row, so that every process and the model
//! checker share one implementation. Nothing here reads a clock, a socket or a
//! file; see `docs/DESIGN.md`, section "Versions".

pub mod allotment;
pub mod budget;
pub mod capacity;
pub mod document;
pub mod host;
pub mod host_order;
pub mod lease;
pub mod moment;
pub mod name;
pub mod plan;
pub mod resources;
pub mod revision;
pub mod shard_lease;
pub mod sharding;
pub mod source;
pub mod wave;
pub mod workspace;
