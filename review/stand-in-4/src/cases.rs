//! The cases.

pub mod early_cancel;
pub mod excess_fills;
pub mod foreign_entry;
pub mod lasting_done;
pub mod lost_holder;
pub mod waiting_count;
