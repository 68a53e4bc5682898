//! An entry host's process for callers: the door, the dispatch and what they
//! need.
//!
//! One module for each duty. The duties own their state and are joined by
//! bounded rings; the dispatch never waits for anything but its own ring, so no
//! circle of full rings can form. See `docs/DESIGN.md`, section "Entry hosts".

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
