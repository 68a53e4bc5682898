//! Fakes of the platform and of backend servers, with fault injection.
//!
//! Tests and the demo run the product against these over real sockets. The
//! fakes keep a [`ledger`] of the runs they executed, independent of the
//! product's own state, so that the product's guarantees can be checked.

pub mod fault;
pub mod ledger;
pub mod platform;
pub mod relay;
pub mod site;
pub mod table;
pub mod worker;
