//! Rows of the platform's table and their encoding.
//!
//! The values are JSON: field and variant names of the encoded types are stored.
//!
//! | prefix | row |
//! |---|---|
//! | `view/document/` | a service's document |
//! | `view/host/` | the ownership of a host |
//! | `history/` | every accepted change of a document, never overwritten |
//! | `lease/` | the holder of a shard of the control plane |
//! | `budget/` | grants and failures of a service |
//! | `plan/wave/` | a maintenance wave as requested by its operator |
//! | `plan/progress/` | the hosts of a data centre that a wave has maintained |
//! | `plan/drain/` | a host that an operator keeps out of every pool |
//! | `claim/` | the entry host that may run the request of a key, never overwritten |

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use skylarkwick_process::view;
use skylarkwick_request::{claim, id::Digest};
use skylarkwick_version::{
    budget, document,
    host::{Cause, Epoch, Ownership, Phase},
    lease::{self, FencingToken, Incarnation},
    name,
    source::Source,
    wave,
};

use super::{Key, Row, wire::Error};

/// Prefix of the view, the rows that every entry host keeps a copy of: documents and
/// the ownership of hosts.
pub const VIEW: &str = "view/";
/// Prefix of documents; the key continues with the service.
pub const DOCUMENT: &str = "view/document/";
/// Prefix of the ownership of hosts; the key continues with the host.
pub const HOST: &str = "view/host/";
/// Prefix of the history of documents; the key continues with the service and the
/// number of the change.
pub const HISTORY: &str = "history/";
/// Prefix of leases of the control plane; the key continues with the data centre, each
/// of which is one shard.
pub const LEASE: &str = "lease/";
/// Prefix of budgets; the key continues with the service.
pub const BUDGET: &str = "budget/";
/// Prefix of the waves, their progress and the drained hosts, which planners read
/// together.
pub const PLAN: &str = "plan/";
/// Prefix of waves; the key continues with the wave.
pub const WAVE: &str = "plan/wave/";
/// Prefix of the progress of waves; the key continues with the wave and the data
/// centre.
pub const PROGRESS: &str = "plan/progress/";
/// Prefix of hosts that are kept out of every pool; the key continues with the host.
pub const DRAIN: &str = "plan/drain/";
/// Prefix of claims; the key continues with the hash of the request's key or ticket.
pub const CLAIM: &str = "claim/";

/// Returns the key that consists of one of the prefixes and a name.
pub fn key(prefix: &str, name: &str) -> Key {
    Key::new(&format!("{prefix}{name}"))
}

/// Parses the value of a row from its JSON form `W` and converts it to `T`; returns
/// `None` for an absent row.
///
/// # Errors
///
/// Returns an error if the value is not valid JSON of that form or can't be converted.
pub fn decode<W, T>(row: &Row) -> Result<Option<T>, Error>
where
    W: DeserializeOwned,
    T: TryFrom<W, Error = Error>,
{
    let Some(value) = &row.value else { return Ok(None) };
    let wire: W = serde_json::from_str(value)
        .map_err(|error| Error(format!("row {} is not valid: {error}", row.key)))?;
    T::try_from(wire).map(Some)
}

/// Encodes the value of a row as JSON.
pub fn encode<W: Serialize>(wire: &W) -> String {
    serde_json::to_string(wire).expect("wire types have string keys and no failing serializer")
}

/// Row of a service's document, or of one change in its history: the text as submitted,
/// the operator, and the number of the change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The text of the document.
    pub text: String,
    /// The operator who applied it.
    pub operator: String,
    /// Number of the change within the service's history, from 1.
    pub change: u64,
}

impl TryFrom<Document> for document::Settings {
    type Error = Error;

    /// Parses and validates the text; the error holds the first diagnostic.
    fn try_from(row: Document) -> Result<document::Settings, Error> {
        let source = Source::new("document", &row.text);
        document::Options::load(&source).map_err(|diagnostic| Error(diagnostic.to_string()))
    }
}

/// Row of a host's ownership: epoch, phase, data centre and reason of the last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    epoch: u64,
    phase: HostPhase,
    /// The host's data centre; empty if none was stored.
    #[serde(default)]
    pub data_centre: String,
    /// Reason of the planner's last change, shown to operators; empty if none was stored.
    #[serde(default)]
    pub why: String,
}

impl Host {
    /// Creates the row for a change of ownership; `why` is its reason.
    pub fn new(ownership: &Ownership, data_centre: &name::DataCentre, why: &str) -> Host {
        let data_centre = data_centre.to_string();
        Host { data_centre, why: why.to_owned(), ..Host::from(ownership) }
    }
}

/// Stored form of [`Phase`]: which pool owns the host, and whether it is leaving that
/// pool or under maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum HostPhase {
    Free,
    Active { pool: String },
    Leaving { pool: String, cause: HostCause },
    Maintenance { pool: String, wave: String, boot: u64 },
}

/// Stored form of [`Cause`]: why a host leaves its pool; a wave is stored by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum HostCause {
    Move,
    Drain,
    Wave(String),
}

impl From<&Cause> for HostCause {
    fn from(cause: &Cause) -> HostCause {
        match cause {
            Cause::Move => HostCause::Move,
            Cause::Drain => HostCause::Drain,
            Cause::Wave(wave) => HostCause::Wave(wave.to_string()),
        }
    }
}

impl TryFrom<HostCause> for Cause {
    type Error = Error;

    /// Fails if the name of the wave is invalid.
    fn try_from(cause: HostCause) -> Result<Cause, Error> {
        match cause {
            HostCause::Move => Ok(Cause::Move),
            HostCause::Drain => Ok(Cause::Drain),
            HostCause::Wave(wave) => Ok(Cause::Wave(name::Wave::try_from(wave)?)),
        }
    }
}

impl From<&Ownership> for Host {
    /// Leaves the data centre and the reason empty; see [`Host::new`].
    fn from(ownership: &Ownership) -> Host {
        let phase = match &ownership.phase {
            Phase::Free => HostPhase::Free,
            Phase::Active { pool } => HostPhase::Active { pool: pool.to_string() },
            Phase::Leaving { pool, cause } => {
                HostPhase::Leaving { pool: pool.to_string(), cause: cause.into() }
            }
            Phase::Maintenance { pool, wave, boot } => HostPhase::Maintenance {
                pool: pool.to_string(),
                wave: wave.to_string(),
                boot: *boot,
            },
        };
        Host { epoch: ownership.epoch.0, phase, data_centre: String::new(), why: String::new() }
    }
}

impl TryFrom<Host> for Ownership {
    type Error = Error;

    /// Fails if the name of the pool or wave is invalid.
    fn try_from(host: Host) -> Result<Ownership, Error> {
        let phase = match host.phase {
            HostPhase::Free => Phase::Free,
            HostPhase::Active { pool } => Phase::Active { pool: pool.try_into()? },
            HostPhase::Leaving { pool, cause } => {
                Phase::Leaving { pool: pool.try_into()?, cause: cause.try_into()? }
            }
            HostPhase::Maintenance { pool, wave, boot } => {
                Phase::Maintenance { pool: pool.try_into()?, wave: wave.try_into()?, boot }
            }
        };
        Ok(Ownership { epoch: Epoch(host.epoch), phase })
    }
}

/// Decodes the data centre of a host's row.
///
/// # Errors
///
/// Returns an error if the row is absent or invalid, or names no valid data centre.
pub fn data_centre(row: &Row) -> Result<name::DataCentre, Error> {
    Ok(name::DataCentre::try_from(decode_host(row)?.data_centre)?)
}

/// Decodes the planner's reason for its last change of a host's row; empty if none was
/// stored.
///
/// # Errors
///
/// Returns an error if the row is absent or invalid.
pub fn why(row: &Row) -> Result<String, Error> {
    Ok(decode_host(row)?.why)
}

/// Decodes a host's row, which must not be absent.
fn decode_host(row: &Row) -> Result<Host, Error> {
    serde_json::from_str(row.value.as_deref().unwrap_or_default())
        .map_err(|error| Error(format!("row {} is not valid: {error}", row.key)))
}

/// Row of the lease of a data centre's control plane: the holder's incarnation and entry
/// host, absent if it was released, and the holder's fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    holder: Option<u64>,
    entry: Option<String>,
    fencing: u64,
}

impl From<&lease::Lease> for Lease {
    fn from(lease: &lease::Lease) -> Lease {
        Lease {
            holder: lease.holder.map(|holder| holder.0),
            entry: lease.entry.as_ref().map(ToString::to_string),
            fencing: lease.fencing_token.0,
        }
    }
}

impl TryFrom<Lease> for lease::Lease {
    type Error = Error;

    /// Fails if the name of the entry host is invalid.
    fn try_from(lease: Lease) -> Result<lease::Lease, Error> {
        Ok(lease::Lease {
            holder: lease.holder.map(Incarnation),
            entry: lease.entry.map(name::Entry::try_from).transpose()?,
            fencing_token: FencingToken(lease.fencing),
        })
    }
}

/// Row of a service's budget: hosts with a granted disruption, each with its cause, and
/// hosts that are down without a grant, by data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Budget {
    grants: BTreeMap<String, HostCause>,
    down: BTreeMap<String, BTreeSet<String>>,
}

impl From<&budget::Budget> for Budget {
    fn from(budget: &budget::Budget) -> Budget {
        let grants = budget.grants.iter();
        let down = budget.down_hosts.iter();
        Budget {
            grants: grants.map(|(host, cause)| (host.to_string(), cause.into())).collect(),
            down: down
                .map(|(data_centre, hosts)| {
                    (data_centre.to_string(), hosts.iter().map(ToString::to_string).collect())
                })
                .collect(),
        }
    }
}

impl TryFrom<Budget> for budget::Budget {
    type Error = Error;

    /// Fails if the name of a host, data centre or wave is invalid.
    fn try_from(budget: Budget) -> Result<budget::Budget, Error> {
        let grants = budget
            .grants
            .into_iter()
            .map(|(host, cause)| Ok((name::Host::try_from(host)?, Cause::try_from(cause)?)));
        let down = budget.down.into_iter().map(|(data_centre, hosts)| {
            let hosts = hosts.into_iter().map(name::Host::try_from);
            Ok((name::DataCentre::try_from(data_centre)?, hosts.collect::<Result<_, _>>()?))
        });
        Ok(budget::Budget {
            grants: grants.collect::<Result<_, Error>>()?,
            down_hosts: down.collect::<Result<_, Error>>()?,
        })
    }
}

/// Row of a maintenance wave: its name, whether it is paused, and the pool to which it
/// is limited, if any.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    name: String,
    paused: bool,
    pool: Option<String>,
}

impl From<&wave::Wave> for Wave {
    fn from(wave: &wave::Wave) -> Wave {
        Wave {
            name: wave.name.to_string(),
            paused: wave.state == wave::State::Paused,
            pool: wave.pool.as_ref().map(ToString::to_string),
        }
    }
}

impl TryFrom<Wave> for wave::Wave {
    type Error = Error;

    /// Fails if the name of the wave or pool is invalid.
    fn try_from(wave: Wave) -> Result<wave::Wave, Error> {
        Ok(wave::Wave {
            name: wave.name.try_into()?,
            state: match wave.paused {
                true => wave::State::Paused,
                false => wave::State::Running,
            },
            pool: wave.pool.map(name::Pool::try_from).transpose()?,
        })
    }
}

/// Row of the hosts of a data centre that a wave has maintained.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    done: BTreeSet<String>,
}

impl From<&wave::Progress> for Progress {
    fn from(progress: &wave::Progress) -> Progress {
        Progress { done: progress.done.iter().map(ToString::to_string).collect() }
    }
}

impl TryFrom<Progress> for wave::Progress {
    type Error = Error;

    /// Fails if the name of a host is invalid.
    fn try_from(progress: Progress) -> Result<wave::Progress, Error> {
        let done = progress.done.into_iter().map(name::Host::try_from);
        Ok(wave::Progress { done: done.collect::<Result<_, _>>()? })
    }
}

/// Row of a claim on a request's key: the entry host that may run the request, its
/// incarnation, and the digest of the request in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    entry: String,
    incarnation: u64,
    digest: String,
}

impl From<&claim::Claim> for Claim {
    fn from(claim: &claim::Claim) -> Claim {
        Claim {
            entry: claim.entry.to_string(),
            incarnation: claim.incarnation.0,
            digest: claim.digest.to_string(),
        }
    }
}

impl TryFrom<Claim> for claim::Claim {
    type Error = Error;

    /// Fails if the name of the entry host or the digest is invalid.
    fn try_from(claim: Claim) -> Result<claim::Claim, Error> {
        let digest = u128::from_str_radix(&claim.digest, 16);
        Ok(claim::Claim {
            entry: claim.entry.try_into()?,
            incarnation: Incarnation(claim.incarnation),
            digest: Digest(digest.map_err(|_| Error("digest is not hexadecimal".to_owned()))?),
        })
    }
}

/// Decodes a row of the view; returns `None` for an absent host row and for a row of an
/// unknown kind, which a later release may have added. An absent document is returned
/// as a document without settings.
///
/// # Errors
///
/// Returns an error if the row is invalid.
pub fn view_row(row: &Row) -> Result<Option<view::Row>, Error> {
    let change = match (row.key.after(DOCUMENT), row.key.after(HOST)) {
        (Some(service), _) => {
            let settings = decode::<Document, document::Settings>(row)?.map(Arc::new);
            Some(view::Content::Document(service.try_into()?, settings))
        }
        (_, Some(host)) => decode::<Host, Ownership>(row)?
            .map(|ownership| Ok(view::Content::Host(name::Host::try_from(host)?, ownership)))
            .transpose()
            .map_err(|error: Error| error)?,
        _ => None,
    };
    Ok(change.map(|change| view::Row { revision: row.revision, change }))
}
