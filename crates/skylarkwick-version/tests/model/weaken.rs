//! Safety checks of the protocol, and variants of the protocol with one disabled.

use skylarkwick_version::{budget, host};

/// Every safety check that the model can disable.
pub(crate) trait Checks: host::Checks + budget::Checks {
    /// Whether writes are conditional on the lease.
    const FENCES_WRITES: bool;
    /// Whether the host rejects epochs below its fence.
    const CHECKS_EPOCH: bool;
}

macro_rules! checks {
    ($(#[$doc:meta])* $name:ident, $fencing:literal, $epoch:literal, $budget:literal, $acknowledgement:literal) => {
        $(#[$doc])*
        pub(crate) struct $name;

        impl host::Checks for $name {
            const NEEDS_ACKNOWLEDGEMENT: bool = $acknowledgement;
        }

        impl budget::Checks for $name {
            const COUNTS_UNAVAILABLE: bool = $budget;
        }

        impl Checks for $name {
            const FENCES_WRITES: bool = $fencing;
            const CHECKS_EPOCH: bool = $epoch;
        }
    };
}

checks!(
    /// Every check enabled, as in production.
    AllChecks, true, true, true, true
);
checks!(
    /// Writes are not conditional on the lease.
    NoFencing, false, true, true, true
);
checks!(
    /// Hosts accept tasks of any epoch.
    NoEpochCheck, true, false, true, true
);
checks!(
    /// Grants ignore unavailable hosts.
    NoBudget, true, true, false, true
);
checks!(
    /// Hosts are released without their acknowledgement.
    NoAcknowledgement, true, true, true, false
);
