//! Tickets: at-most-once execution without the platform.
//!
//! A ticket is bound to the incarnation of the entry host that issued it and is
//! redeemed at most once, in that process's memory. Other entry hosts forward it
//! to its issuer. Once the issuer is gone, the outcome is unknown and the work is
//! never run. Non-repeatable requests can thus be served while the platform is
//! down or the data centre is partitioned. See `docs/DESIGN.md`, section "At most
//! once".

use std::{collections::BTreeSet, fmt, str::FromStr};

use skylarkwick_version::{lease::Incarnation, name};

/// Number of the most recently issued tickets of an issuer that are valid; bounds its memory.
const MAX_VALID_TICKETS: u64 = 100_000;

/// A ticket, with which a caller may have one request run at most once. Its text form, which
/// callers send, is `entry_incarnation_number`, with the incarnation in hexadecimal and the
/// number in decimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The entry host that issued the ticket.
    pub entry: name::Entry,
    /// The incarnation of that entry host, which is one process from start to end.
    pub incarnation: Incarnation,
    /// Sequence number within that incarnation.
    pub number: u64,
}

/// Error for text that is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ticket is malformed; send one exactly as POST /v1/tickets returned it")]
pub struct ParseError;

impl fmt::Display for Ticket {
    /// Writes the text form of a [`Ticket`].
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}_{}_{}", self.entry, self.incarnation, self.number)
    }
}

impl FromStr for Ticket {
    type Err = ParseError;

    /// Parses the text form of a [`Ticket`]; whether it was issued is not checked. Fails if a
    /// part is missing or malformed.
    fn from_str(text: &str) -> Result<Ticket, ParseError> {
        let mut parts = text.splitn(3, '_');
        let mut part = || parts.next().ok_or(ParseError);
        let entry = name::Entry::try_from(part()?).map_err(|_| ParseError)?;
        let incarnation = u64::from_str_radix(part()?, 16).map_err(|_| ParseError)?;
        let number = part()?.parse().map_err(|_| ParseError)?;
        Ok(Ticket { entry, incarnation: Incarnation(incarnation), number })
    }
}

/// Issues and redeems the tickets of one incarnation of an entry host. It holds the number of
/// the next ticket and those that were redeemed.
#[derive(Debug)]
pub struct Issuer {
    entry: name::Entry,
    incarnation: Incarnation,
    next_number: u64,
    redeemed: BTreeSet<u64>,
}

/// Where a ticket can be redeemed: here, at its issuer, or nowhere because it is expired or
/// was never issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Redemption {
    /// At this entry host.
    Local,
    /// At the entry host that issued it.
    AtIssuer,
    /// Nowhere: its incarnation has ended, or too many tickets were issued since.
    Expired,
    /// Nowhere: no ticket with this number was issued.
    NeverIssued,
}

impl Issuer {
    /// Creates an issuer that has issued no ticket.
    pub fn new(entry: name::Entry, incarnation: Incarnation) -> Issuer {
        Issuer { entry, incarnation, next_number: 0, redeemed: BTreeSet::new() }
    }

    /// Issues a ticket. If 100,000 are valid already, the oldest one expires.
    pub fn issue(&mut self) -> Ticket {
        let number = self.next_number;
        self.next_number += 1;
        self.redeemed = self.redeemed.split_off(&self.oldest_valid());
        Ticket { entry: self.entry.clone(), incarnation: self.incarnation, number }
    }

    /// Returns where a ticket can be redeemed, whether or not it was redeemed before.
    pub fn redemption(&self, ticket: &Ticket) -> Redemption {
        match ticket.entry == self.entry {
            false => Redemption::AtIssuer,
            true if ticket.incarnation != self.incarnation => Redemption::Expired,
            true if ticket.number >= self.next_number => Redemption::NeverIssued,
            true if ticket.number < self.oldest_valid() => Redemption::Expired,
            true => Redemption::Local,
        }
    }

    /// Marks a ticket as redeemed; returns false if it was before. The caller has checked
    /// that its [`Issuer::redemption`] is `Local`.
    pub fn redeem(&mut self, ticket: &Ticket) -> bool {
        self.redeemed.insert(ticket.number)
    }

    /// Returns the number of the oldest ticket that is still valid.
    fn oldest_valid(&self) -> u64 {
        self.next_number.saturating_sub(MAX_VALID_TICKETS)
    }
}
