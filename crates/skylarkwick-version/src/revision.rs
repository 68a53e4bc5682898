//! Row revisions and transaction tokens.
//!
//! The platform stamps every row with the revision of the transaction that
//! wrote it. A token is unique to one transaction and is stored in its rows, so
//! that a writer that lost the response can tell its own write from another's.

use std::fmt;

/// Revision of the platform's rows; it increases with every transaction that the
/// platform commits, and a row has that of the transaction that last wrote it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Revision(pub u64);

impl Revision {
    /// The revision of a row that was never written.
    pub const ABSENT: Revision = Revision(0);
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Random identifier of a transaction, printed as 32 hexadecimal digits; a retry of the
/// transaction has the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(pub u128);

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
