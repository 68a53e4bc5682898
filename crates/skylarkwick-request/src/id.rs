//! Identifiers of requests and attempts, and hashes of keys and requests.

use std::fmt;

use skylarkwick_version::lease::Incarnation;

/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// Identifier of a request accepted by an entry host, unique across incarnations; printed as
/// `incarnation-number`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Request {
    /// The incarnation of the entry host that accepted the request.
    pub incarnation: Incarnation,
    /// Sequence number within that incarnation.
    pub number: u64,
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.number)
    }
}

/// Identifier of an attempt to run a request on a backend server; printed as the request's
/// identifier, a hyphen and the attempt's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// The request.
    pub request: Request,
    /// Number of the attempt within the request, from zero.
    pub number: u32,
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

/// Hash of a service name and an idempotency key or a ticket, printed as 32 hexadecimal
/// digits. Names the row in which a process claims an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key([u8; 16]);

impl Key {
    /// Hashes a service name and an idempotency key; a ticket is hashed as a key of the
    /// service with the empty name.
    pub fn of(service: &str, key: &str) -> Key {
        let mut hasher = blake3::Hasher::new();
        hasher.update(service.as_bytes()).update(&[0]).update(key.as_bytes());
        Key(truncated_hash(&hasher))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Hash of a request's kind and body.
///
/// Distinguishes a repeat of a request from another request with the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest(pub u128);

impl Digest {
    /// Hashes a request's kind and body.
    pub fn of(kind: &str, body: &[u8]) -> Digest {
        let mut hasher = blake3::Hasher::new();
        hasher.update(kind.as_bytes()).update(&[0]).update(body);
        Digest(u128::from_be_bytes(truncated_hash(&hasher)))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Returns the first 16 bytes of a hash.
fn truncated_hash(hasher: &blake3::Hasher) -> [u8; 16] {
    let mut bytes = [0; 16];
    hasher.finalize_xof().fill(&mut bytes);
    bytes
}
