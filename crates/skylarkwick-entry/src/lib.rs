//! The process of an entry host that serves callers.
//!
//! Each duty is a module and a thread that owns its state; bounded rings join
//! the duties. Full rings cannot deadlock: executors and the view duty block on
//! sends to the dispatch duty, the dispatch and writer duties on sends to the
//! claims duty, and the claims duty on none. See `docs/DESIGN.md`, section "Entry hosts".

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
