//! State with the life span of a connection.
//!
//! There is one module for each remote party: callers, backend servers, the
//! platform and peers. Each has a small trait, the wire types with their
//! conversions, and an adapter over a library. Decision logic never handles a
//! wire type. See `docs/DESIGN.md`, section "Connections".

pub mod agent;
pub mod backend;
pub mod caller;
pub mod control;
pub mod listen;
pub mod neighbour;
pub mod peer;
pub mod platform;
mod resolver;
pub mod store;
mod transport;
