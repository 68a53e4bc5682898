//! A fake of the platform, served over HTTP.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use serde::de::DeserializeOwned;
use skylarkwick_connection::{
    listen::{Request, Response, listen},
    platform::{Error, HostRecord, Key, Liveness, Table, Transaction, http::ORIGIN_HEADER, wire},
};
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    log,
};
use skylarkwick_version::{name, revision::Revision};

use crate::table::Memory;

/// Number of requests that the fake platform handles concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// A platform that keeps its tables, list of hosts and objects in memory; clones share
/// them.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// The tables and the injected faults.
    pub table: Memory,
    hosts: Arc<Mutex<Hosts>>,
    objects: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
}

/// Records of all hosts: the current ones, and those that requests see.
#[derive(Clone, Debug, Default)]
struct Hosts {
    current: BTreeMap<name::Host, HostRecord>,
    /// The records that requests see; they differ from `current` while the list is
    /// frozen.
    published: BTreeMap<name::Host, HostRecord>,
}

impl Platform {
    /// Adds a host to the list or replaces its record. While the list is frozen,
    /// requests do not see this; they see it with the first change after that.
    pub fn set_host(&self, record: HostRecord) {
        let frozen = self.table.switches.get().is_host_list_frozen;
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.current.insert(record.host.clone(), record);
        if !frozen {
            hosts.published = hosts.current.clone();
        }
    }

    /// Changes the liveness of those hosts in `changed` that the list contains. While
    /// the list is frozen, requests do not see this; they see it with the first change
    /// after that.
    pub fn set_liveness(&self, changed: &BTreeSet<name::Host>, liveness: Liveness) {
        let frozen = self.table.switches.get().is_host_list_frozen;
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, record) in hosts.current.iter_mut().filter(|(host, _)| changed.contains(*host)) {
            record.liveness = liveness;
        }
        if !frozen {
            hosts.published = hosts.current.clone();
        }
    }

    /// Starts the server; returns its bound address and its duty.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when the address can't be bound.
    pub fn listen(&self, address: SocketAddr, stop: StopSignal) -> io::Result<(SocketAddr, Duty)> {
        let platform = self.clone();
        listen(
            "platform",
            address,
            MAX_CONCURRENT_REQUESTS,
            move |request| platform.handle(request),
            &log::discard(),
            stop,
        )
    }

    /// Handles an HTTP request, or rejects it with status 503 if its data centre is cut
    /// off.
    fn handle(&self, request: &Request) -> Response {
        let origin = request.header(ORIGIN_HEADER).unwrap_or_default();
        if self.table.switches.get().cut_off.contains(origin) {
            return Response::text("this data centre is cut off from the platform")
                .with_status_code(503);
        }
        let path = request.path();
        match (request.method(), path.as_ref()) {
            ("GET", "/v1/rows") => self.scan_rows(request),
            ("POST", "/v1/rows/read") => self.read_rows(request),
            ("POST", "/v1/transactions") => self.commit_transaction(request),
            ("GET", "/v1/hosts") => self.list_hosts(request),
            (method, path) => match path.strip_prefix("/v1/objects/") {
                Some(key) => self.handle_object(method, key, request),
                None => Response::empty(404),
            },
        }
    }

    /// Responds with the rows under the parameter `prefix` that changed after the
    /// revision in the parameter `after`; 0 if that is missing.
    fn scan_rows(&self, request: &Request) -> Response {
        let prefix = request.parameter("prefix").unwrap_or_default();
        let after = request.parameter("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        respond(self.table.scan(&prefix, Revision(after)).map(|scan| wire::Rows {
            through: scan.complete_through.0,
            rows: scan.rows.into_iter().map(wire::Row::from).collect(),
        }))
    }

    /// Responds with the rows whose keys are in the body.
    fn read_rows(&self, request: &Request) -> Response {
        let Some(read) = parse_body::<wire::Read>(request) else { return bad_request() };
        let keys: Vec<Key> = read.keys.iter().map(|key| Key::new(key)).collect();
        respond(self.table.read(&keys).map(|rows| wire::Rows {
            through: 0,
            rows: rows.into_iter().map(wire::Row::from).collect(),
        }))
    }

    /// Commits the transaction in the body; responds with an empty body if the answer
    /// is to be lost.
    fn commit_transaction(&self, request: &Request) -> Response {
        let transaction = parse_body::<wire::Transaction>(request)
            .map(Transaction::try_from)
            .and_then(Result::ok);
        let Some(transaction) = transaction else { return bad_request() };
        match self.table.commit(&transaction) {
            Err(Error::Lost) => Response::from_data("application/json", Vec::new()),
            commit => respond(commit.map(wire::Commit::from)),
        }
    }

    /// Responds with the published records of the data centre in the parameter
    /// `data-centre`, or of all data centres without it.
    fn list_hosts(&self, request: &Request) -> Response {
        let data_centre = request.parameter("data-centre");
        if self.table.switches.get().is_unavailable {
            return unavailable();
        }
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let records: Vec<wire::HostRecord> = hosts
            .published
            .values()
            .filter(|record| {
                data_centre.as_deref().is_none_or(|name| record.data_centre.as_str() == name)
            })
            .map(wire::HostRecord::from)
            .collect();
        Response::json(&records)
    }

    /// Returns the object with a key on `GET`, and stores the body under the key on
    /// `PUT`.
    fn handle_object(&self, method: &str, key: &str, request: &Request) -> Response {
        if self.table.switches.get().is_unavailable {
            return unavailable();
        }
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        match (method, objects.get(key)) {
            ("GET", Some(object)) => {
                Response::from_data("application/octet-stream", object.clone())
            }
            ("PUT", _) => {
                objects.insert(key.to_owned(), request.body().to_vec());
                Response::text("stored")
            }
            _ => Response::empty(404),
        }
    }
}

/// Responds with a value as JSON, or with status 503 for an error.
fn respond<T: serde::Serialize>(result: Result<T, Error>) -> Response {
    match result {
        Ok(value) => Response::json(&value),
        Err(_) => unavailable(),
    }
}

/// Returns the response of a platform that is unavailable, with status 503.
fn unavailable() -> Response {
    Response::text("the platform is unavailable").with_status_code(503)
}

/// Returns the response to an invalid body, with status 400.
fn bad_request() -> Response {
    Response::text("the request body is not valid").with_status_code(400)
}

/// Parses the body of a request as JSON; returns `None` if it can't be parsed.
fn parse_body<T: DeserializeOwned>(request: &Request) -> Option<T> {
    serde_json::from_slice(request.body()).ok()
}
