//! The platform over HTTP.

use std::{net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use skylarkwick_version::{name, revision::Revision};
use ureq::{Agent, RequestBuilder, http::Response, typestate::WithBody};

use super::{Commit, Error, HostRecord, Hosts, Key, Row, Scan, Table, Transaction, wire};
use crate::agent::{Agents, Generation, is_timeout, was_not_sent};

/// Longest wait for an answer; the platform usually takes a few milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Idle connections kept to the platform.
const MAX_IDLE: usize = 8;
/// Largest answer that is read.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Tells the platform which data centre a call comes from.
pub const ORIGIN_HEADER: &str = "skylarkwick-data-centre";

/// A connection to the platform's service.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    origin: name::DataCentre,
    agents: Agents,
}

impl Platform {
    /// Prepares connections from a data centre to the platform.
    pub fn new(address: SocketAddr, origin: name::DataCentre) -> Platform {
        Platform { address, origin, agents: Agents::new(MAX_IDLE) }
    }

    fn post<A: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<A, Error> {
        let text = serde_json::to_string(body).map_err(|e| Error::Refused(e.to_string()))?;
        let (generation, agent) = self.agents.get(self.address);
        let request = self.prepare(&agent, path).content_type("application/json");
        self.finish(generation, request.send(text))
    }

    fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A, Error> {
        let (generation, agent) = self.agents.get(self.address);
        let request = agent
            .get(format!("http://{}{path}", self.address))
            .header(ORIGIN_HEADER, self.origin.as_str())
            .config()
            .timeout_global(Some(ANSWER_TIMEOUT))
            .build();
        self.finish(generation, request.call())
    }

    fn prepare(&self, agent: &Agent, path: &str) -> RequestBuilder<WithBody> {
        agent
            .post(format!("http://{}{path}", self.address))
            .header(ORIGIN_HEADER, self.origin.as_str())
            .config()
            .timeout_global(Some(ANSWER_TIMEOUT))
            .build()
    }

    fn finish<A: DeserializeOwned>(
        &self,
        generation: Generation,
        answer: Result<Response<ureq::Body>, ureq::Error>,
    ) -> Result<A, Error> {
        let mut response = answer.map_err(|error| self.fault(generation, &error))?;
        let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_string();
        let text = body.map_err(|error| self.fault(generation, &error))?;
        match response.status().as_u16() {
            // An answer cut short on its way says nothing about the write behind it.
            200 => serde_json::from_str(&text).map_err(|_| Error::Lost),
            503 => Err(Error::Unreachable),
            status if status >= 500 => Err(Error::Lost),
            status => Err(Error::Refused(format!("status {status}: {text}"))),
        }
    }

    fn fault(&self, generation: Generation, error: &ureq::Error) -> Error {
        if is_timeout(error) {
            self.agents.drop_silent(self.address, generation);
        }
        match was_not_sent(error) {
            true => Error::Unreachable,
            false => Error::Lost,
        }
    }
}

impl Table for Platform {
    fn read(&self, keys: &[Key]) -> Result<Vec<Row>, Error> {
        let body = wire::Read { keys: keys.iter().map(|key| key.as_str().to_owned()).collect() };
        let rows: wire::Rows = self.post("/v1/rows/read", &body)?;
        Ok(Scan::try_from(rows)?.rows)
    }

    fn scan(&self, prefix: &str, after: Revision) -> Result<Scan, Error> {
        let rows: wire::Rows = self.get(&format!("/v1/rows?prefix={prefix}&after={after}"))?;
        Ok(Scan::try_from(rows)?)
    }

    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        let body = wire::Transaction::from(transaction);
        let commit: wire::Commit = self.post("/v1/transactions", &body)?;
        Ok(Commit::try_from(commit)?)
    }
}

impl Hosts for Platform {
    fn hosts(&self, data_centre: Option<&name::DataCentre>) -> Result<Vec<HostRecord>, Error> {
        let path = match data_centre {
            Some(data_centre) => format!("/v1/hosts?data-centre={data_centre}"),
            None => "/v1/hosts".to_owned(),
        };
        let hosts: Vec<wire::HostRecord> = self.get(&path)?;
        Ok(hosts.into_iter().map(HostRecord::try_from).collect::<Result<_, _>>()?)
    }
}
