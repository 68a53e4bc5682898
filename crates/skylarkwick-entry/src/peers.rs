//! The peers duty: exchanges heartbeats with other entry hosts, and fetches view
//! rows from them while the platform is unreachable.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use skylarkwick_connection::{
    caller::Call,
    peer::{self, Heartbeat, client::Client},
    platform,
};
use skylarkwick_process::trace::Span;
use skylarkwick_process::{clock::Clock, duty::StopSignal, ring, settings::site, view::Handle};
use skylarkwick_request::outcome::{Outcome, Refusal, UnknownReason};
use skylarkwick_version::{lease::Incarnation, name, revision::Revision};

use crate::{
    dispatch::ExcludedHosts,
    event::{
        ClaimsEvent, DispatchEvent, KeyedRequest, ReplyTo, RequestOutcome, Resolution, Submission,
    },
    identity::Identity,
    membership::{HEARTBEAT_PERIOD, Membership},
    view::{PeerRows, Rows},
};

/// Timeout of requests to a peer for a heartbeat or for view rows.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time beyond a request's deadline for which its outcome is awaited; after that, the
/// outcome is unknown.
pub(crate) const DEADLINE_MARGIN: Duration = Duration::from_secs(3);

/// Handles requests from peers: heartbeats, reads of view rows, and forwarded requests. It
/// also holds the state that the peers duty shares with the peer server.
pub(crate) struct Handler<C> {
    pub(crate) identity: Identity,
    pub(crate) clock: C,
    pub(crate) view_handle: Handle,
    pub(crate) rows: Rows,
    pub(crate) membership: Arc<Mutex<Membership>>,
    pub(crate) excluded_hosts: ExcludedHosts,
    pub(crate) is_stopping: Arc<AtomicBool>,
    pub(crate) claims: ring::Sender<ClaimsEvent>,
    pub(crate) dispatch: ring::Sender<DispatchEvent>,
}

impl<C: Clock> Handler<C> {
    /// Returns the present heartbeat of this entry host: its incarnation, the revision of its
    /// view, whether it is stopping, and the hosts that it excludes.
    fn own_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            entry: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            revision: self.view_handle.get().revision,
            is_stopping: self.is_stopping.load(Ordering::Acquire),
            leaving: self.excluded_hosts.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        }
    }

    /// Records a peer as live, or removes it if it is stopping, and passes the hosts that
    /// the peer excludes to the dispatch duty.
    fn record_heartbeat(&self, heartbeat: &Heartbeat) {
        let mut membership = self.membership.lock().unwrap_or_else(PoisonError::into_inner);
        match heartbeat.is_stopping {
            true => membership.remove(&heartbeat.entry),
            false => membership.record_heartbeat(
                &heartbeat.entry,
                heartbeat.incarnation,
                self.clock.now(),
            ),
        }
        drop(membership);
        if !heartbeat.leaving.is_empty() {
            // If the ring is full, the next heartbeat repeats the report.
            let _ = self.dispatch.try_send(DispatchEvent::HostsExcluded(heartbeat.leaving.clone()));
        }
    }
}

impl<C: Clock> peer::Handler for Handler<C> {
    /// Records a peer's heartbeat and returns that of this entry host.
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.record_heartbeat(&heartbeat);
        self.own_heartbeat()
    }

    fn rows_after(&self, after: Revision) -> Vec<platform::Row> {
        self.rows.after(after)
    }

    /// Runs a call that a peer forwarded, or joins its run, and waits for the outcome. It is
    /// unknown if `owner` is an earlier incarnation of this entry host, whose claims are lost.
    fn redeem(&self, call: Call, owner: Incarnation) -> RequestOutcome {
        if owner != self.identity.incarnation {
            return Outcome::Unknown(UnknownReason::OwnerGone);
        }
        let view = self.view_handle.get();
        let Some(document) = view.document(call.service.as_str()) else {
            return Outcome::NotRun(Refusal::NoService);
        };
        let deadline = call.deadline.unwrap_or(document.work.deadline);
        let (waiter, receiver) = ring::bounded(1);
        let submission = Submission {
            id: self.identity.new_request_id(),
            document: Arc::clone(document),
            call: Arc::new(call),
            deadline,
            reply_to: ReplyTo::Caller(waiter.clone()),
            span: Span::noop(),
        };
        let keyed_request = Box::new(KeyedRequest { submission, waiter });
        if self.claims.try_send(ClaimsEvent::SubmitForwarded(keyed_request)).is_err() {
            return Outcome::Unknown(UnknownReason::Timeout);
        }
        match receiver.receive_timeout(deadline + DEADLINE_MARGIN) {
            Ok(Resolution::Completed(outcome)) => outcome,
            Ok(Resolution::Forward { .. }) | Err(_) => Outcome::Unknown(UnknownReason::Timeout),
        }
    }
}

/// State of the peers duty: the handler whose state it shares, the entry hosts of the site
/// including this one, whether the platform is unreachable, and the ring of the view duty.
pub(crate) struct Duty<C> {
    pub(crate) handler: Arc<Handler<C>>,
    pub(crate) peers: BTreeMap<name::Entry, site::EntryHost>,
    pub(crate) is_platform_unreachable: Arc<AtomicBool>,
    pub(crate) peer_rows: ring::Sender<PeerRows>,
}

impl<C: Clock> Duty<C> {
    /// Exchanges heartbeats until `stop` is requested, in each round with all peers of this
    /// data centre and one of another. Sends the rank of this entry host to the dispatch duty
    /// when it changes, and at the end announces the stop to the peers of this data centre.
    pub(crate) fn run(self, stop: &StopSignal) {
        let (mut local, mut remote) = self.clients();
        let mut sent_rank = None;
        while !stop.sleep(HEARTBEAT_PERIOD) {
            for client in &mut local {
                self.exchange_heartbeats(client);
            }
            // Entry hosts of other data centres are many and matter only while the
            // platform is unreachable, so each round contacts one of them.
            if let Some(client) = remote.first_mut() {
                self.exchange_heartbeats(client);
                remote.rotate_left(1);
            }
            let current = self.rank_and_count();
            if sent_rank != Some(current) {
                let (rank, entry_count) = current;
                if self
                    .handler
                    .dispatch
                    .try_send(DispatchEvent::RankChanged { rank, entry_count })
                    .is_ok()
                {
                    sent_rank = Some(current);
                }
            }
        }
        for client in &mut local {
            // Announces the stop; a peer that is not reached removes this entry host after
            // its timeout.
            let _ = client.heartbeat(self.handler.own_heartbeat());
        }
    }

    /// Creates clients for the other entry hosts of this data centre, and for those
    /// of other data centres.
    fn clients(&self) -> (Vec<Client>, Vec<Client>) {
        let me = &self.handler.identity;
        let connect =
            |host: &site::EntryHost| Client::new(host.peer_address, HEARTBEAT_TIMEOUT).ok();
        let others = self.peers.iter().filter(|(entry, _)| **entry != me.entry);
        let (local, remote): (Vec<_>, Vec<_>) =
            others.map(|(_, host)| host).partition(|host| host.data_centre == me.data_centre);
        (
            local.into_iter().filter_map(connect).collect(),
            remote.into_iter().filter_map(connect).collect(),
        )
    }

    /// Exchanges heartbeats with a peer. While the platform is unreachable, also fetches the
    /// view rows that the peer knows and this entry host does not. Does nothing if the peer
    /// does not respond.
    fn exchange_heartbeats(&self, client: &mut Client) {
        let Ok(theirs) = client.heartbeat(self.handler.own_heartbeat()) else { return };
        self.handler.record_heartbeat(&theirs);
        let known = self.handler.view_handle.get().revision;
        if !self.is_platform_unreachable.load(Ordering::Acquire) || theirs.revision <= known {
            return;
        }
        if let Ok(rows) = client.rows_after(known) {
            // If the ring is full, the rows are requested again at the next heartbeat.
            let _ = self.peer_rows.try_send(PeerRows { rows, through: theirs.revision });
        }
    }

    /// Returns the rank of this entry host among the live ones of its data centre, from 0, and
    /// their number.
    fn rank_and_count(&self) -> (u32, u32) {
        let identity = &self.handler.identity;
        let local = self
            .peers
            .iter()
            .filter(|(_, host)| host.data_centre == identity.data_centre)
            .map(|(entry, _)| entry);
        let membership = self.handler.membership.lock().unwrap_or_else(PoisonError::into_inner);
        membership.rank_and_count(&identity.entry, local, self.handler.clock.now())
    }
}
