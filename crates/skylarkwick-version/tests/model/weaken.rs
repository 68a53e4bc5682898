//! The guards of the protocol, and the protocol without each of them.

use skylarkwick_version::{budget, host};

/// Every guard that the model can take away.
pub(crate) trait Guards: host::Checks + budget::Checks {
    /// Whether writes are conditional on the lease.
    const FENCES_WRITES: bool;
    /// Whether the host refuses epochs below its fence.
    const CHECKS_EPOCH: bool;
}

macro_rules! guards {
    ($(#[$doc:meta])* $name:ident, $fencing:literal, $epoch:literal, $budget:literal, $word:literal) => {
        $(#[$doc])*
        pub(crate) struct $name;

        impl host::Checks for $name {
            const NEEDS_ACKNOWLEDGEMENT: bool = $word;
        }

        impl budget::Checks for $name {
            const COUNTS_UNAVAILABLE: bool = $budget;
        }

        impl Guards for $name {
            const FENCES_WRITES: bool = $fencing;
            const CHECKS_EPOCH: bool = $epoch;
        }
    };
}

guards!(
    /// The product.
    Strict, true, true, true, true
);
guards!(
    /// Writes are not conditional on the lease.
    NoFencing, false, true, true, true
);
guards!(
    /// Hosts take tasks of any epoch.
    NoEpochCheck, true, false, true, true
);
guards!(
    /// Grants do not count who is unavailable.
    NoBudget, true, true, false, true
);
guards!(
    /// Hosts are let go without their own word.
    NoAcknowledgement, true, true, true, false
);
