//! The platform's service over HTTP.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, Read},
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use rouille::{Request, Response};
use serde::de::DeserializeOwned;
use skylarkwick_connection::{
    listen::listen,
    platform::{Error, HostRecord, Key, Liveness, Table, Transaction, http::ORIGIN_HEADER, wire},
};
use skylarkwick_process::duty::{Duty, StopSignal};
use skylarkwick_version::{name, revision::Revision};

use crate::table::Memory;

/// Requests that the platform handles at once.
const THREADS: usize = 32;

/// The platform's service.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    /// The table service.
    pub table: Memory,
    hosts: Arc<Mutex<Hosts>>,
    objects: Arc<Mutex<BTreeMap<String, Vec<u8>>>>,
}

#[derive(Clone, Debug, Default)]
struct Hosts {
    listed: BTreeMap<name::Host, HostRecord>,
    shown: BTreeMap<name::Host, HostRecord>,
}

impl Platform {
    /// Adds a host to the list, or replaces it.
    pub fn list(&self, listed: HostRecord) {
        let frozen = self.table.switches.get().is_host_list_frozen;
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        hosts.listed.insert(listed.host.clone(), listed);
        if !frozen {
            hosts.shown = hosts.listed.clone();
        }
    }

    /// Marks hosts as leaving, or as live again.
    pub fn mark(&self, marked: &BTreeSet<name::Host>, liveness: Liveness) {
        let frozen = self.table.switches.get().is_host_list_frozen;
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, listed) in hosts.listed.iter_mut().filter(|(host, _)| marked.contains(*host)) {
            listed.liveness = liveness;
        }
        if !frozen {
            hosts.shown = hosts.listed.clone();
        }
    }

    /// Starts to listen; returns the address in use and the duty.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be listened on.
    pub fn listen(&self, address: SocketAddr, stop: StopSignal) -> io::Result<(SocketAddr, Duty)> {
        let platform = self.clone();
        listen("platform", address, THREADS, move |request| platform.handle(request), stop)
    }

    fn handle(&self, request: &Request) -> Response {
        let origin = request.header(ORIGIN_HEADER).unwrap_or_default();
        if self.table.switches.get().cut_off.contains(origin) {
            return Response::text("cut").with_status_code(503);
        }
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("GET", "/v1/rows") => self.scan(request),
            ("POST", "/v1/rows/read") => self.read(request),
            ("POST", "/v1/transactions") => self.commit(request),
            ("GET", "/v1/hosts") => self.hosts(request),
            (method, path) => match path.strip_prefix("/v1/objects/") {
                Some(key) => self.object(method, key, request),
                None => Response::empty_404(),
            },
        }
    }

    fn scan(&self, request: &Request) -> Response {
        let prefix = request.get_param("prefix").unwrap_or_default();
        let after = request.get_param("after").and_then(|text| text.parse().ok()).unwrap_or(0);
        answer(self.table.scan(&prefix, Revision(after)).map(|scan| wire::Rows {
            through: scan.complete_through.0,
            rows: scan.rows.into_iter().map(wire::Row::from).collect(),
        }))
    }

    fn read(&self, request: &Request) -> Response {
        let Some(read) = body::<wire::Read>(request) else { return bad_request() };
        let keys: Vec<Key> = read.keys.iter().map(|key| Key::new(key)).collect();
        answer(self.table.read(&keys).map(|rows| wire::Rows {
            through: 0,
            rows: rows.into_iter().map(wire::Row::from).collect(),
        }))
    }

    fn commit(&self, request: &Request) -> Response {
        let transaction =
            body::<wire::Transaction>(request).map(Transaction::try_from).and_then(Result::ok);
        let Some(transaction) = transaction else { return bad_request() };
        match self.table.commit(&transaction) {
            Err(Error::Lost) => Response::from_data("application/json", Vec::new()),
            commit => answer(commit.map(wire::Commit::from)),
        }
    }

    fn hosts(&self, request: &Request) -> Response {
        let wanted = request.get_param("data-centre");
        if self.table.switches.get().is_unavailable {
            return unavailable();
        }
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let listed: Vec<wire::HostRecord> = hosts
            .shown
            .values()
            .filter(|listed| {
                wanted.as_deref().is_none_or(|name| listed.data_centre.as_str() == name)
            })
            .map(wire::HostRecord::from)
            .collect();
        Response::json(&listed)
    }

    fn object(&self, method: &str, key: &str, request: &Request) -> Response {
        if self.table.switches.get().is_unavailable {
            return unavailable();
        }
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        match (method, objects.get(key)) {
            ("GET", Some(object)) => {
                Response::from_data("application/octet-stream", object.clone())
            }
            ("PUT", _) => match bytes(request) {
                Some(object) => {
                    objects.insert(key.to_owned(), object);
                    Response::text("stored")
                }
                None => bad_request(),
            },
            _ => Response::empty_404(),
        }
    }
}

fn answer<T: serde::Serialize>(result: Result<T, Error>) -> Response {
    match result {
        Ok(value) => Response::json(&value),
        Err(_) => unavailable(),
    }
}

fn unavailable() -> Response {
    Response::text("the platform is out").with_status_code(503)
}

fn bad_request() -> Response {
    Response::text("the body is not valid").with_status_code(400)
}

fn bytes(request: &Request) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    request.data()?.read_to_end(&mut bytes).ok()?;
    Some(bytes)
}

fn body<T: DeserializeOwned>(request: &Request) -> Option<T> {
    serde_json::from_slice(&bytes(request)?).ok()
}
