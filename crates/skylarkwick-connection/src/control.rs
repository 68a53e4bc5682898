//! Control of backend servers and hosts, and the operators' configuration.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use skylarkwick_request::{
    job::task,
    shard::{
        effect::{Start, Target},
        input::{
            Host, HostId, HostOrderResult, MaintenanceWave, OrderResult, Queue, ServerInfo,
            StatusReport,
        },
    },
};
use skylarkwick_version::{
    revision::Revision,
    workspace::{Keyring, Workspaces},
};

use crate::store;

/// Why a poll returned no status report: no response, a later holder of the shard, or
/// another server.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PollError {
    /// The server gave no usable response.
    #[error("no response: {0}")]
    NoResponse(String),
    /// A later holder of the shard has fenced the server.
    #[error("a later holder has fenced the server")]
    Fenced,
    /// Another incarnation of the server, or another server, is at the address.
    #[error("another incarnation of the server, or another server, is at the address")]
    IncarnationMismatch,
}

/// Sends orders to backend servers on behalf of the holder of a shard. Each call waits for
/// the server's response.
pub trait Orders: Clone + Send + Sync + 'static {
    /// Orders a server to start a run of a task; returns whether it did, refused, or may
    /// have done so.
    fn start(&self, target: &Target, start: &Start) -> OrderResult;

    /// Orders a server to stop a run of a task.
    fn stop(&self, target: &Target, task: &task::Id, run: task::RunId) -> OrderResult;

    /// Orders a server to set the pace of a run, in percent of the full pace.
    fn pace(&self, target: &Target, task: &task::Id, run: task::RunId, percent: u32)
    -> OrderResult;

    /// Polls a server for its status, renews its lease until `lease_until_ms` on the
    /// server's clock, or not at all for `None`, and acknowledges finished runs up to the
    /// end numbered `acknowledged`.
    ///
    /// The server may wait up to `max_wait` for a run to finish before it responds.
    ///
    /// # Errors
    ///
    /// Returns why there is no status report; without a response, the lease may have been
    /// renewed.
    fn poll(
        &self,
        target: &Target,
        lease_until_ms: Option<u64>,
        acknowledged: u64,
        max_wait: Duration,
    ) -> Result<StatusReport, PollError>;
}

/// Lists hosts and sends orders for them, through the platform.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// Lists the hosts of the fleet, with their pools, states and resources.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not respond.
    fn hosts(&self) -> Result<Vec<Host>, store::Error>;

    /// Orders the platform to move a host to another pool.
    fn move_host(&self, authority: &Authority, host: &HostId, pool: &str) -> HostOrderResult;

    /// Orders the platform to start the maintenance of a host for the wave with this
    /// number.
    fn maintain(&self, authority: &Authority, host: &HostId, wave: u64) -> HostOrderResult;
}

/// The sender of an order for a host and the order's fencing token, by which the platform
/// rejects a late order of an earlier holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    /// Name of the entry host that sends the order.
    pub holder: Arc<str>,
    /// Fencing token, which grows with each order for the host.
    pub fencing: u64,
}

/// A queue and the requests that are routed to it: those for a host name whose path has a
/// prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host name that callers request, without a port.
    pub host: Arc<str>,
    /// Prefix of the paths.
    pub prefix: Arc<str>,
    /// The queue.
    pub queue: Queue,
    /// Whether requests need no API key.
    pub is_open: bool,
}

/// The configuration that the operators have put in force: routes to queues, spare pools,
/// the size of requests, and the workspaces with their API keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version of the configuration, which only grows.
    pub version: u64,
    /// The queues.
    pub routes: Vec<Route>,
    /// Pools whose hosts are switched off.
    pub spare_pools: BTreeSet<Arc<str>>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// Workspaces; empty if the site has none.
    pub workspaces: Workspaces,
    /// API keys of the workspaces.
    pub keyring: Keyring,
}

impl Configuration {
    /// Returns the route with the longest matching path prefix among those for a host
    /// name, whose case is ignored; `None` if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}

/// Changes by operators since a revision: the configuration if it changed, the
/// maintenance waves requested since, and the revision from which to read on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorChanges {
    /// The configuration, if it has changed.
    pub configuration: Option<Configuration>,
    /// Maintenance waves that were requested since.
    pub waves: Vec<MaintenanceWave>,
    /// What operators wrote that was ignored, and why; it never contains an API key.
    pub problems: Vec<String>,
    /// Revision from which to read the next changes.
    pub revision: Revision,
}

/// Access to the configuration, waves and server entries that operators and backend
/// servers store on the platform.
pub trait Registry: Clone + Send + Sync + 'static {
    /// Waits up to `wait` for changes by operators after a revision; without a
    /// revision, reads everything.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not respond.
    fn operator_changes(
        &self,
        after: Option<Revision>,
        wait: Duration,
    ) -> Result<OperatorChanges, store::Error>;

    /// Lists the backend servers, without entries that can't be decoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform did not respond.
    fn servers(&self) -> Result<Vec<ServerInfo>, store::Error>;

    /// Stores for the operators whether a wave is completed.
    ///
    /// # Errors
    ///
    /// Returns an error if the report may not have been stored.
    fn report_wave(&self, number: u64, is_completed: bool) -> Result<(), store::Error>;
}
