//! Names as shared immutable strings.
//!
//! A name is validated once, on input; cloning it only increments a reference
//! count. Each kind of name has its own type, so that a host cannot be passed
//! where a pool is expected. `docs/GLOSSARY.md` defines the terms.

use std::{borrow::Borrow, fmt, sync::Arc};

/// Maximum length of a name, in bytes; it keeps every row key under 256 bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Error returned when a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{kind} name {text:?} is not valid; use 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-' and '.', starting with a letter or digit"
)]
pub struct Error {
    kind: &'static str,
    text: String,
}

/// Checks that a name has 1 to [`MAX_NAME_BYTES`] bytes of `a-z`, `0-9`, `-` and `.`, and
/// starts with a letter or digit. `kind` is named in the error.
fn validate(kind: &'static str, text: &str) -> Result<(), Error> {
    let first_is_alphanumeric = text.bytes().next().is_some_and(|b| b.is_ascii_alphanumeric());
    let all_allowed = text
        .bytes()
        .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.');
    match text.len() <= MAX_NAME_BYTES && first_is_alphanumeric && all_allowed {
        true => Ok(()),
        false => Err(Error { kind, text: text.chars().take(2 * MAX_NAME_BYTES).collect() }),
    }
}

/// Defines the type of one kind of name; `$kind` is what error messages call it.
macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(text: &str) -> Result<Self, Error> {
                validate($kind, text).map(|()| Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = Error;

            fn try_from(text: String) -> Result<Self, Error> {
                Self::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

name!(
    /// A service, owned by a team.
    Service,
    "service"
);
name!(
    /// A pool: hosts that run the tasks of the same services.
    Pool,
    "pool"
);
name!(
    /// A host: a machine of the fleet, which runs one backend server.
    Host,
    "host"
);
name!(
    /// A rack: hosts that share a switch and power, and so fail together.
    Rack,
    "rack"
);
name!(
    /// A data centre.
    DataCentre,
    "data centre"
);
name!(
    /// A team that owns services.
    Team,
    "team"
);
name!(
    /// An entry host: a host that runs skylarkwick's own processes.
    Entry,
    "entry host"
);
name!(
    /// A kind of request within a service; run times are estimated for each kind.
    Kind,
    "kind"
);
name!(
    /// A maintenance wave: an operator's request to maintain every host in its scope once.
    Wave,
    "wave"
);
