//! Small fakes of the platform and of backend servers, with fault switches.
//!
//! Tests and the demo run the product against these over real sockets. They
//! also keep a [`ledger`] of what really ran, apart from what the product
//! believes, so that promises are checked against facts.

pub mod fault;
pub mod ledger;
pub mod platform;
pub mod relay;
pub mod site;
pub mod table;
pub mod worker;
