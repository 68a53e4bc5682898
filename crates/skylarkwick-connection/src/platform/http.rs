//! HTTP client of the platform.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use skylarkwick_version::{name, revision::Revision};
use ureq::{Agent, RequestBuilder, http::Response, typestate::WithBody};

use super::{Commit, Error, HostRecord, Hosts, Key, Row, Scan, Table, Transaction, wire};
use crate::agent::{Agents, Generation, is_timeout, was_not_sent};

/// Longest time of a call, from its start to the end of the response; the platform
/// usually takes a few milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Largest number of idle connections to the platform.
const MAX_IDLE: usize = 8;
/// Largest body of a response, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Request header with the data centre that a call comes from.
pub const ORIGIN_HEADER: &str = "skylarkwick-data-centre";

/// HTTP client of the platform's table and its list of hosts: the platform's address, the
/// data centre that calls come from, and the connections.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    origin: name::DataCentre,
    agents: Agents,
}

impl Platform {
    /// Creates a client for calls from the data centre `origin`.
    pub fn new(address: SocketAddr, origin: name::DataCentre) -> Platform {
        Platform { address, origin, agents: Agents::new(MAX_IDLE) }
    }

    /// Sends a body as JSON and parses the response.
    fn post<A: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<A, Error> {
        let text = serde_json::to_string(body).map_err(|e| Error::Refused(e.to_string()))?;
        let (generation, agent) = self.agents.get(self.address);
        let request = self.post_request(&agent, path).content_type("application/json");
        self.parse_response(generation, request.send(text))
    }

    /// Sends a `GET` request and parses the response.
    fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        let (generation, agent) = self.agents.get(self.address);
        let request = agent
            .get(format!("http://{}{path}", self.address))
            .header(ORIGIN_HEADER, self.origin.as_str())
            .config()
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .build();
        self.parse_response(generation, request.call())
    }

    /// Builds a `POST` request without its body.
    fn post_request(&self, agent: &Agent, path: &str) -> RequestBuilder<WithBody> {
        agent
            .post(format!("http://{}{path}", self.address))
            .header(ORIGIN_HEADER, self.origin.as_str())
            .config()
            .timeout_global(Some(RESPONSE_TIMEOUT))
            .build()
    }

    /// Parses the JSON body of a response with status 200; any other response or failure
    /// becomes an error that tells whether a write may have taken effect.
    fn parse_response<A: DeserializeOwned>(
        &self,
        generation: Generation,
        result: Result<Response<ureq::Body>, ureq::Error>,
    ) -> Result<A, Error> {
        let mut response = result.map_err(|error| self.convert_error(generation, &error))?;
        let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_string();
        let text = body.map_err(|error| self.convert_error(generation, &error))?;
        match response.status().as_u16() {
            // A truncated response does not tell whether a write took effect.
            200 => serde_json::from_str(&text).map_err(|_| Error::Lost),
            503 => Err(Error::Unreachable),
            status if status >= 500 => Err(Error::Lost),
            status => Err(Error::Refused(format!("status {status}: {text}"))),
        }
    }

    /// Converts a failed call: [`Error::Unreachable`] if nothing was sent, [`Error::Lost`]
    /// otherwise. If the call timed out, drops all connections of `generation`, which are
    /// those opened since the last drop, unless they have been dropped already.
    fn convert_error(&self, generation: Generation, error: &ureq::Error) -> Error {
        if is_timeout(error) {
            self.agents.drop_connections(self.address, generation);
        }
        match was_not_sent(error) {
            true => Error::Unreachable,
            false => Error::Lost,
        }
    }
}

impl Table for Platform {
    /// Sends `POST /v1/rows/read`.
    fn read(&self, keys: &[Key]) -> Result<Vec<Row>, Error> {
        let body = wire::Read { keys: keys.iter().map(|key| key.as_str().to_owned()).collect() };
        let rows: wire::Rows = self.post("/v1/rows/read", &body)?;
        Ok(Scan::try_from(rows)?.rows)
    }

    /// Sends `GET /v1/rows`.
    fn scan(&self, prefix: &str, after: Revision) -> Result<Scan, Error> {
        let rows: wire::Rows = self.get(&format!("/v1/rows?prefix={prefix}&after={after}"))?;
        Ok(Scan::try_from(rows)?)
    }

    /// Sends `POST /v1/transactions` once.
    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let body = wire::Transaction::from(transaction);
        let commit: wire::Commit = self.post("/v1/transactions", &body)?;
        Ok(Commit::try_from(commit)?)
    }
}

impl Hosts for Platform {
    /// Sends `GET /v1/hosts`.
    fn hosts(&self, data_centre: Option<&name::DataCentre>) -> Result<Vec<HostRecord>, Error> {
        let path = match data_centre {
            Some(data_centre) => format!("/v1/hosts?data-centre={data_centre}"),
            None => "/v1/hosts".to_owned(),
        };
        let hosts: Vec<wire::HostRecord> = self.get(&path)?;
        Ok(hosts.into_iter().map(HostRecord::try_from).collect::<Result<_, _>>()?)
    }
}
