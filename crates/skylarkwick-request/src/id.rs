//! Identifiers of requests and attempts, and hashes of keys and requests.

use std::fmt;

use skylarkwick_version::lease::Incarnation;

/// Maximum length of an idempotency key, in bytes; requests with a longer one are refused.
pub const MAX_KEY_BYTES: usize = 255;

/// Identifier of a request accepted by an entry host, unique across incarnations, which are
/// the processes of entry hosts from start to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Request {
    /// The incarnation of the entry host that accepted the request.
    pub incarnation: Incarnation,
    /// Sequence number within that incarnation.
    pub number: u64,
}

impl fmt::Display for Request {
    /// Writes a [`Request`] as `incarnation-number`, with the incarnation in hexadecimal.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.incarnation, self.number)
    }
}

/// Identifier of an attempt to run a request on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// The request.
    pub request: Request,
    /// Number of the attempt within the request, from zero.
    pub number: u32,
}

impl fmt::Display for Attempt {
    /// Writes an [`Attempt`] as its request, a hyphen and its number.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.request, self.number)
    }
}

/// Hash of a service name and an idempotency key or a ticket, of 128 bits. Names the row in
/// which a process claims an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key([u8; 16]);

impl Key {
    /// Hashes a service name and an idempotency key. For a ticket, `service` is empty and
    /// `key` is the name of the service, a space and the ticket.
    pub fn of(service: &str, key: &str) -> Key {
        let mut hasher = blake3::Hasher::new();
        hasher.update(service.as_bytes()).update(&[0]).update(key.as_bytes());
        Key(truncated_hash(&hasher))
    }
}

impl fmt::Display for Key {
    /// Writes a [`Key`] as 32 hexadecimal digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Hash of a request's kind and body, of 128 bits.
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
    /// Writes a [`Digest`] as 32 hexadecimal digits.
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
