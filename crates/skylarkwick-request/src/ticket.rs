//! Tickets: at most one run without the platform.
//!
//! A ticket is bound to the run of the entry host that issued it and is spent
//! once in that process's memory. Any other entry host forwards it to its
//! issuer; when the issuer is gone, the outcome is unknown and the work is never
//! run. So unrepeatable work goes on while the platform is out or the data
//! centre is cut off. See `docs/DESIGN.md`, section "At most once".

use std::{collections::BTreeSet, fmt, str::FromStr};

use skylarkwick_version::{lease::Incarnation, name};

/// Tickets after which an older one expires; it bounds what an issuer remembers.
const MAX_TICKETS: u64 = 100_000;

/// A ticket as the caller holds it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The entry host that issued the ticket.
    pub entry: name::Entry,
    /// The run of that entry host.
    pub incarnation: Incarnation,
    /// Number of the ticket within that run.
    pub number: u64,
}

/// A text that is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ticket is malformed; send one exactly as POST /v1/tickets returned it")]
pub struct ParseError;

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}_{}_{}", self.entry, self.incarnation, self.number)
    }
}

impl FromStr for Ticket {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Ticket, ParseError> {
        let mut parts = text.splitn(3, '_');
        let mut part = || parts.next().ok_or(ParseError);
        let entry = name::Entry::try_from(part()?).map_err(|_| ParseError)?;
        let incarnation = u64::from_str_radix(part()?, 16).map_err(|_| ParseError)?;
        let number = part()?.parse().map_err(|_| ParseError)?;
        Ok(Ticket { entry, incarnation: Incarnation(incarnation), number })
    }
}

/// Issues the tickets of one run of an entry host.
#[derive(Debug)]
pub struct Issuer {
    entry: name::Entry,
    incarnation: Incarnation,
    next: u64,
    spent: BTreeSet<u64>,
}

/// Where a ticket is to be spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Redemption {
    /// Local, in the claim register.
    Local,
    /// At the entry host that issued it.
    AtIssuer,
    /// Nowhere: the run that issued it is over, or too many were issued since.
    Expired,
    /// Nowhere: it was never issued.
    NeverIssued,
}

impl Issuer {
    /// Starts to issue tickets.
    pub fn new(entry: name::Entry, incarnation: Incarnation) -> Issuer {
        Issuer { entry, incarnation, next: 0, spent: BTreeSet::new() }
    }

    /// Issues a ticket.
    pub fn issue(&mut self) -> Ticket {
        let number = self.next;
        self.next += 1;
        self.spent = self.spent.split_off(&self.oldest());
        Ticket { entry: self.entry.clone(), incarnation: self.incarnation, number }
    }

    /// Tells where a ticket is to be spent.
    pub fn redemption(&self, ticket: &Ticket) -> Redemption {
        match ticket.entry == self.entry {
            false => Redemption::AtIssuer,
            true if ticket.incarnation != self.incarnation => Redemption::Expired,
            true if ticket.number >= self.next => Redemption::NeverIssued,
            true if ticket.number < self.oldest() => Redemption::Expired,
            true => Redemption::Local,
        }
    }

    /// Spends a ticket; returns false when it was spent before.
    pub fn redeem(&mut self, ticket: &Ticket) -> bool {
        self.spent.insert(ticket.number)
    }

    fn oldest(&self) -> u64 {
        self.next.saturating_sub(MAX_TICKETS)
    }
}
