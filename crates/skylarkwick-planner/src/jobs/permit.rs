//! Permission of a shard's holder to call backend servers, checked right before each call.
//!
//! An order may wait in a ring, or its process may be paused, between the decision and the
//! call. By then the lease that permitted the decision can have run out and another process
//! can hold the shard. The backend servers reject the orders of an earlier holder, but only
//! once the next one has reached them. See `docs/DESIGN.md`, section "Shards".

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use skylarkwick_connection::control::{Orders, PollError};
use skylarkwick_process::clock::Clock;
use skylarkwick_request::{
    job::task,
    shard::{
        effect::{Start, Target},
        input::{OrderResult, RejectReason, StatusReport},
    },
};
use skylarkwick_version::{moment::Moment, shard_lease};

/// Permission to act for a shard, which ends [`shard_lease::MAX_RENEWAL_GAP`] after the last
/// confirmed renewal of its lease was sent. Clones share it.
#[derive(Clone, Debug)]
pub struct Permit<C> {
    clock: C,
    /// When the last confirmed renewal was sent; `None` once the lease is lost.
    renewed: Arc<Mutex<Option<Moment>>>,
}

impl<C: Clock> Permit<C> {
    /// Creates the permission of a holder whose lease was written at `acquired`.
    pub fn new(clock: C, acquired: Moment) -> Permit<C> {
        Permit { clock, renewed: Arc::new(Mutex::new(Some(acquired))) }
    }

    /// Extends the permission after a renewal that was sent at `sent` is confirmed. A
    /// permission that was revoked stays so.
    pub fn extend(&self, sent: Moment) {
        let mut renewed = self.renewed.lock().unwrap_or_else(PoisonError::into_inner);
        *renewed = renewed.map(|_| sent);
    }

    /// Ends the permission for good, because another process holds the shard.
    pub fn revoke(&self) {
        *self.renewed.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Returns whether the holder may act now.
    pub fn is_valid(&self) -> bool {
        let renewed = *self.renewed.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        renewed.is_some_and(|renewed| now.since(renewed) < shard_lease::MAX_RENEWAL_GAP)
    }
}

/// Client of backend servers that makes a call only while the permission is valid. `O` makes
/// the calls.
#[derive(Clone, Debug)]
pub struct Client<O, C> {
    orders: O,
    permit: Permit<C>,
}

impl<O: Orders, C: Clock> Client<O, C> {
    /// Creates a client that calls through `orders`.
    pub fn new(orders: O, permit: Permit<C>) -> Client<O, C> {
        Client { orders, permit }
    }

    /// Makes a call, or reports it as not sent if the permission is not valid.
    fn call(&self, call: impl FnOnce(&O) -> OrderResult) -> OrderResult {
        match self.permit.is_valid() {
            true => call(&self.orders),
            false => OrderResult::Refused(RejectReason::NotSent, None),
        }
    }
}

impl<O: Orders, C: Clock> Orders for Client<O, C> {
    fn start(&self, target: &Target, start: &Start) -> OrderResult {
        self.call(|orders| orders.start(target, start))
    }

    fn stop(&self, target: &Target, task: &task::Id, run: task::RunId) -> OrderResult {
        self.call(|orders| orders.stop(target, task, run))
    }

    fn pace(
        &self,
        target: &Target,
        task: &task::Id,
        run: task::RunId,
        percent: u32,
    ) -> OrderResult {
        self.call(|orders| orders.pace(target, task, run, percent))
    }

    fn poll(
        &self,
        target: &Target,
        lease_until_ms: Option<u64>,
        acknowledged: u64,
        max_wait: Duration,
    ) -> Result<StatusReport, PollError> {
        match self.permit.is_valid() {
            true => self.orders.poll(target, lease_until_ms, acknowledged, max_wait),
            false => Err(PollError::NoResponse("the lease of the shard has run out".to_owned())),
        }
    }
}
