//! The process of an entry host that serves callers.
//!
//! Each duty is a module and a thread that owns its state; bounded rings join
//! the duties. The dispatch duty never blocks except to receive from its own
//! ring, so full rings cannot deadlock. See `docs/DESIGN.md`, section "Entry hosts".

mod api;
mod claims;
mod dispatch;
mod entry;
mod event;
mod executor;
mod identity;
pub mod jobs;
mod membership;
mod peers;
mod view;
mod writer;

pub use self::entry::{Addresses, EntryHost};
