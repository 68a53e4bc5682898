//! JSON-RPC client of a peer.
//!
//! A client and its runtime belong to one duty. A call that gets no response in
//! time drops the client's connections, so a connection that no longer delivers
//! anything is detected within one timeout and replaced.

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

/// Why a peer gave no usable response, and whether the call may have been executed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No connection could be opened, so nothing was sent.
    #[error("the peer cannot be reached")]
    Unreachable,
    /// The call timed out or its connection failed; it may have been executed.
    #[error("the peer did not respond")]
    NoResponse,
    /// The response is an error or can't be decoded.
    #[error("the peer's response is not usable: {0}")]
    Refused(String),
}

/// A client of one peer, with the timeout of its calls, a runtime of its own, and the
/// HTTP client, which is absent before the first call and after a failed one.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    runtime: tokio::runtime::Runtime,
    http_client: Option<HttpClient>,
}

impl Client {
    /// Creates a client that connects at its first call; `timeout` bounds every call as a
    /// whole.
    ///
    /// # Errors
    ///
    /// Returns the system error if the runtime can't be started.
    pub fn new(address: SocketAddr, timeout: Duration) -> io::Result<Client> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Client { address, timeout, runtime, http_client: None })
    }

    /// Sends a heartbeat and returns the peer's own.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer gave no usable response.
    pub fn heartbeat(&mut self, heartbeat: Heartbeat) -> Result<Heartbeat, Error> {
        let response: wire::Heartbeat =
            self.call(wire::HEARTBEAT, wire::Heartbeat::from(heartbeat))?;
        Heartbeat::try_from(response).map_err(|error| Error::Refused(error.0))
    }

    /// Returns the rows of the peer's view that changed after a revision, deleted ones
    /// included.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer gave no usable response.
    pub fn rows_after(&mut self, after: Revision) -> Result<Vec<platform::Row>, Error> {
        let rows: Vec<platform::wire::Row> = self.call(wire::ROWS_AFTER, after.0)?;
        let rows = rows.into_iter().map(platform::Row::try_from).collect::<Result<_, _>>();
        rows.map_err(|error| Error::Refused(error.0))
    }

    /// Forwards a call to `owner`, the incarnation that owns its key or ticket, which runs
    /// it or returns the outcome of an earlier run. Without a usable response, the outcome
    /// is unknown.
    pub fn redeem(&mut self, call: &Call, owner: Incarnation) -> Outcome<Arc<Answer>> {
        match self.call::<wire::Redeemed>(wire::REDEEM, wire::Redeem::new(call, owner)) {
            Ok(redeemed) => {
                redeemed.try_into().unwrap_or(Outcome::Unknown(UnknownReason::BrokenConnection))
            }
            // An unreachable owner may have run the work earlier.
            Err(Error::Unreachable) => Outcome::Unknown(UnknownReason::OwnerGone),
            Err(_) => Outcome::Unknown(UnknownReason::Timeout),
        }
    }

    /// Calls a method with one parameter and decodes its result; drops the connections
    /// after any error.
    fn call<A: DeserializeOwned>(
        &mut self,
        method: &str,
        params: impl Serialize,
    ) -> Result<A, Error> {
        let http_client = match self.http_client.take() {
            Some(http_client) => http_client,
            None => self.build_http_client()?,
        };
        let call = http_client.request::<A, _>(method, rpc_params![params]);
        let response = self.runtime.block_on(async {
            match tokio::time::timeout(self.timeout, call).await {
                Ok(Ok(response)) => Ok(response),
                Ok(Err(error)) => Err(convert_error(&error)),
                Err(_) => Err(Error::NoResponse),
            }
        });
        // After an error, the HTTP client is dropped with all of its connections.
        if response.is_ok() {
            self.http_client = Some(http_client);
        }
        response
    }

    /// Builds an HTTP client, which opens its connections when it is used.
    fn build_http_client(&self) -> Result<HttpClient, Error> {
        HttpClientBuilder::default()
            .request_timeout(self.timeout)
            .build(format!("http://{}", self.address))
            .map_err(|error| Error::Refused(error.to_string()))
    }
}

/// Converts an error of the library: a refused connection is [`Error::Unreachable`], any
/// other failed connection or a timeout [`Error::NoResponse`].
fn convert_error(error: &RpcError) -> Error {
    match error {
        RpcError::Transport(error) => {
            let causes = std::iter::successors(error.source(), |error| error.source());
            let mut kinds =
                causes.filter_map(|error| error.downcast_ref::<io::Error>()).map(io::Error::kind);
            match kinds.any(|kind| kind == io::ErrorKind::ConnectionRefused) {
                true => Error::Unreachable,
                false => Error::NoResponse,
            }
        }
        RpcError::RequestTimeout => Error::NoResponse,
        error => Error::Refused(error.to_string()),
    }
}
