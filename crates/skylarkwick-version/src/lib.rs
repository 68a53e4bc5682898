//! What lives as long as a version of something that the platform keeps.
//!
//! Documents, hosts, budgets, leases and waves are rows of the platform's table
//! service. This crate holds their checked forms and the pure decisions that
//! change them, so that every process and the model checker share one copy of
//! the logic. Nothing here reads a clock, a socket or a file; see
//! `docs/DESIGN.md`, section "Versions".

pub mod budget;
pub mod capacity;
pub mod document;
pub mod host;
pub mod lease;
pub mod moment;
pub mod name;
pub mod plan;
pub mod resources;
pub mod revision;
pub mod shard_lease;
pub mod source;
pub mod wave;
