//! What lives as long as a request or a job.
//!
//! Admission, queues, claims, choice of worker, retries and outcomes are pure
//! state machines: they take the time and the random numbers as arguments and
//! touch no socket. The duties of the entry hosts drive them; the measurements
//! drive the same code in virtual time. See `docs/DESIGN.md`, section
//! "Requests".

pub mod balancer;
pub mod breaker;
pub mod claim;
pub mod estimate;
pub mod id;
pub mod job;
pub mod outcome;
pub mod queue;
pub mod retry;
pub mod scheduler;
pub mod shard;
pub mod ticket;
