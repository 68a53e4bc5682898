//! Orders for backend servers and for hosts, and what the platform says of both.

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
use skylarkwick_version::revision::Revision;

use crate::store;

/// Why a look brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PollError {
    /// No answer came.
    #[error("no answer: {0}")]
    NoResponse(String),
    /// A later holder has fenced the server.
    #[error("a later holder has fenced the server")]
    Fenced,
    /// Another life of the server, or another server, is at the address.
    #[error("another life of the server is at the address")]
    IncarnationMismatch,
}

/// Backend servers that take orders.
pub trait Orders: Clone + Send + Sync + 'static {
    /// Starts a task.
    fn start(&self, target: &Target, start: &Start) -> OrderResult;

    /// Stops a run.
    fn stop(&self, target: &Target, task: &task::Id, run: task::RunId) -> OrderResult;

    /// Sets the pace of a run, in percent.
    fn pace(&self, target: &Target, task: &task::Id, run: task::RunId, percent: u32)
    -> OrderResult;

    /// Looks at a server, renews its lease and acknowledges ends.
    ///
    /// # Errors
    ///
    /// Tells why the server said nothing of itself.
    fn poll(
        &self,
        target: &Target,
        lease_until_ms: Option<u64>,
        acknowledged: u64,
        max_wait: Duration,
    ) -> Result<StatusReport, PollError>;
}

/// The platform's word on hosts.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// Lists the hosts.
    ///
    /// # Errors
    ///
    /// Returns a fault when no answer came.
    fn hosts(&self) -> Result<Vec<Host>, store::Error>;

    /// Moves a host to another pool.
    fn move_host(&self, authority: &Authority, host: &HostId, pool: &str) -> HostOrderResult;

    /// Begins the maintenance of a host.
    fn maintain(&self, authority: &Authority, host: &HostId, wave: u64) -> HostOrderResult;
}

/// Who gives an order for a host, and its fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Authority {
    /// The entry host of the process.
    pub holder: Arc<str>,
    /// Number that grows with each order for the host.
    pub fencing: u64,
}

/// A queue and the requests that belong to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name that callers ask for.
    pub host: Arc<str>,
    /// Start of the paths.
    pub prefix: Arc<str>,
    /// The queue.
    pub queue: Queue,
}

/// What operators have put in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version, which only grows.
    pub version: u64,
    /// The queues.
    pub routes: Vec<Route>,
    /// Pools whose hosts are off.
    pub spare_pools: BTreeSet<Arc<str>>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: u64,
}

impl Configuration {
    /// Returns the queue of a request: the longest prefix that fits.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&*route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}

/// What operators wrote since the last look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorChanges {
    /// The configuration, when it has changed.
    pub configuration: Option<Configuration>,
    /// Waves that were asked for.
    pub waves: Vec<MaintenanceWave>,
    /// Where to go on.
    pub revision: Revision,
}

/// What operators and backend servers write at the platform.
pub trait Registry: Clone + Send + Sync + 'static {
    /// Waits for what operators write after a revision; reads everything when
    /// there is none.
    ///
    /// # Errors
    ///
    /// Returns a fault when no answer came.
    fn operator_changes(
        &self,
        after: Option<Revision>,
        wait: Duration,
    ) -> Result<OperatorChanges, store::Error>;

    /// Lists the backend servers; entries that can't be read name none.
    ///
    /// # Errors
    ///
    /// Returns a fault when no answer came.
    fn servers(&self) -> Result<Vec<ServerInfo>, store::Error>;

    /// Tells operators how far a wave is.
    ///
    /// # Errors
    ///
    /// Returns a fault when it may not be stored.
    fn report_wave(&self, number: u64, is_completed: bool) -> Result<(), store::Error>;
}
