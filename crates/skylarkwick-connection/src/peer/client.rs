//! The side of a peer link that calls.
//!
//! A client belongs to one duty, which owns its runtime too. A call that gets
//! no answer in time drops the client's connections, so a link that fell silent
//! is found within one timeout and a new one is opened.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::{
    core::client::{ClientT, Error as RpcError},
    http_client::{HttpClient, HttpClientBuilder},
    rpc_params,
};
use serde::{Serialize, de::DeserializeOwned};
use skylarkwick_request::outcome::{Outcome, UnknownReason};
use skylarkwick_version::{lease::Incarnation, revision::Revision};

use super::{Heartbeat, wire};
use crate::{backend::Answer, caller::Call, platform};

/// Why a peer gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, so nothing was sent.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The call was sent and no answer came.
    #[error("the peer gave no answer")]
    Silent,
    /// The answer can't be read.
    #[error("the peer answered {0}")]
    Refused(String),
}

/// A link to one peer.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    runtime: tokio::runtime::Runtime,
    link: Option<HttpClient>,
}

impl Client {
    /// Prepares a link; `timeout` bounds every call.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no runtime can be started.
    pub fn new(address: SocketAddr, timeout: Duration) -> io::Result<Client> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Client { address, timeout, runtime, link: None })
    }

    /// Exchanges heartbeats.
    ///
    /// # Errors
    ///
    /// Returns why the peer gave no answer.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat) -> Result<Heartbeat, Error> {
        let answer: wire::Heartbeat =
            self.call(wire::HEARTBEAT, wire::Heartbeat::from(heartbeat))?;
        Heartbeat::try_from(answer).map_err(|error| Error::Refused(error.0))
    }

    /// Reads the rows of the peer's view after a revision.
    ///
    /// # Errors
    ///
    /// Returns why the peer gave no answer.
    pub fn rows_after(&mut self, after: Revision) -> Result<Vec<platform::Row>, Error> {
        let rows: Vec<platform::wire::Row> = self.call(wire::ROWS_AFTER, after.0)?;
        let rows = rows.into_iter().map(platform::Row::try_from).collect::<Result<_, _>>();
        rows.map_err(|error| Error::Refused(error.0))
    }

    /// Has the owner of a call's key or ticket run it.
    pub fn redeem(&mut self, call: &Call, owner: Incarnation) -> Outcome<Arc<Answer>> {
        match self.call::<wire::Redeemed>(wire::REDEEM, wire::Redeem::new(call, owner)) {
            Ok(redeemed) => redeemed.try_into().unwrap_or(Outcome::Unknown(UnknownReason::Broken)),
            // An owner that can't be reached may have run the work before.
            Err(Error::Unreachable) => Outcome::Unknown(UnknownReason::OwnerGone),
            Err(_) => Outcome::Unknown(UnknownReason::Timeout),
        }
    }

    fn call<A: DeserializeOwned>(
        &mut self,
        method: &str,
        params: impl Serialize,
    ) -> Result<A, Error> {
        let link = match self.link.take() {
            Some(link) => link,
            None => self.open()?,
        };
        let call = link.request::<A, _>(method, rpc_params![params]);
        let answer = self.runtime.block_on(async {
            match tokio::time::timeout(self.timeout, call).await {
                Ok(Ok(answer)) => Ok(answer),
                Ok(Err(error)) => Err(fault(&error)),
                Err(_) => Err(Error::Silent),
            }
        });
        // A link that failed is dropped with every connection it holds.
        if answer.is_ok() {
            self.link = Some(link);
        }
        answer
    }

    fn open(&self) -> Result<HttpClient, Error> {
        HttpClientBuilder::default()
            .request_timeout(self.timeout)
            .build(format!("http://{}", self.address))
            .map_err(|error| Error::Refused(error.to_string()))
    }
}

fn fault(error: &RpcError) -> Error {
    match error {
        RpcError::Transport(error) => {
            let causes = std::iter::successors(error.source(), |error| error.source());
            let mut kinds =
                causes.filter_map(|error| error.downcast_ref::<io::Error>()).map(io::Error::kind);
            match kinds.any(|kind| kind == io::ErrorKind::ConnectionRefused) {
                true => Error::Unreachable,
                false => Error::Silent,
            }
        }
        RpcError::RequestTimeout => Error::Silent,
        error => Error::Refused(error.to_string()),
    }
}
