//! State with the lifetime of a request or a job.
//!
//! Admission, queues, claims, worker selection, retries and outcomes are pure
//! state machines: they take the time and the random number generator as
//! arguments and do no I/O. The duties of the entry hosts run them in real
//! time, the measurements run the same code in virtual time. See
//! `docs/DESIGN.md`, section "Requests".

pub mod balancer;
pub mod breaker;
pub mod claim;
pub mod estimate;
pub mod id;
pub mod intake;
pub mod job;
pub mod outcome;
pub mod queue;
pub mod retry;
pub mod scheduler;
pub mod shard;
pub mod submission;
pub mod ticket;
pub mod triage;
pub mod wave_share;
