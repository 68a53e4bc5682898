//! The peers duty: heartbeats, and rows from peers while the platform is out.

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
use skylarkwick_request::outcome::{Doubt, Outcome, Refusal};
use skylarkwick_version::{lease::Incarnation, name, revision::Revision};

use crate::{
    dispatch::LeavingHosts,
    event::{
        ClaimsEvent, DispatchEvent, KeyedRequest, ReplyTo, RequestOutcome, Resolution, Submission,
    },
    identity::Identity,
    membership::{HEARTBEAT_PERIOD, Membership},
    view::{PeerRows, Rows},
};

/// Longest wait for a peer's heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time beyond a request's deadline for which its end is waited for.
pub(crate) const DEADLINE_MARGIN: Duration = Duration::from_secs(3);

/// What this entry host does for its peers.
pub(crate) struct Handler<C> {
    pub(crate) identity: Identity,
    pub(crate) clock: C,
    pub(crate) view_handle: Handle,
    pub(crate) rows: Rows,
    pub(crate) membership: Arc<Mutex<Membership>>,
    pub(crate) leaving: LeavingHosts,
    pub(crate) is_stopping: Arc<AtomicBool>,
    pub(crate) claims: ring::Sender<ClaimsEvent>,
    pub(crate) dispatch: ring::Sender<DispatchEvent>,
}

impl<C: Clock> Handler<C> {
    /// Forms this entry host's own heartbeat.
    fn own_heartbeat(&self) -> Heartbeat {
        Heartbeat {
            entry: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            revision: self.view_handle.get().revision,
            is_stopping: self.is_stopping.load(Ordering::Acquire),
            leaving: self.leaving.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        }
    }

    /// Takes what a peer says of itself and of leaving hosts.
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
            // On a full ring the next heartbeat brings the same news.
            let _ = self.dispatch.try_send(DispatchEvent::HostsLeaving(heartbeat.leaving.clone()));
        }
    }
}

impl<C: Clock> peer::Handler for Handler<C> {
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.record_heartbeat(&heartbeat);
        self.own_heartbeat()
    }

    fn rows_after(&self, after: Revision) -> Vec<platform::Row> {
        self.rows.after(after)
    }

    fn redeem(&self, call: Call, owner: Incarnation) -> RequestOutcome {
        if owner != self.identity.incarnation {
            return Outcome::Unknown(Doubt::OwnerGone);
        }
        let view = self.view_handle.get();
        let Some(document) = view.document(call.service.as_str()) else {
            return Outcome::NotRun(Refusal::NoService);
        };
        let deadline = call.deadline.unwrap_or(document.work.deadline);
        let (waiter, answer) = ring::bounded(1);
        let submission = Submission {
            id: self.identity.request(),
            document: Arc::clone(document),
            call: Arc::new(call),
            deadline,
            reply_to: ReplyTo::Caller(waiter.clone()),
            span: Span::noop(),
        };
        let keyed_request = Box::new(KeyedRequest { submission, waiter });
        if self.claims.try_send(ClaimsEvent::SubmitForwarded(keyed_request)).is_err() {
            return Outcome::Unknown(Doubt::Timeout);
        }
        match answer.receive_timeout(deadline + DEADLINE_MARGIN) {
            Ok(Resolution::Completed(outcome)) => outcome,
            Ok(Resolution::Forward { .. }) | Err(_) => Outcome::Unknown(Doubt::Timeout),
        }
    }
}

/// State of the peers duty.
pub(crate) struct Duty<C> {
    pub(crate) handler: Arc<Handler<C>>,
    pub(crate) peers: BTreeMap<name::Entry, site::EntryHost>,
    pub(crate) is_platform_unreachable: Arc<AtomicBool>,
    pub(crate) peer_rows: ring::Sender<PeerRows>,
}

impl<C: Clock> Duty<C> {
    /// Runs until the stop.
    pub(crate) fn run(self, stop: &StopSignal) {
        let (mut local, mut remote) = self.clients();
        let mut sent_share = None;
        while !stop.sleep(HEARTBEAT_PERIOD) {
            for client in &mut local {
                self.exchange_heartbeats(client);
            }
            // Entry hosts elsewhere are asked in turn: they matter only while the
            // platform is out of reach, and there are many of them.
            if let Some(client) = remote.first_mut() {
                self.exchange_heartbeats(client);
                remote.rotate_left(1);
            }
            let share = self.current_share();
            if sent_share != Some(share) {
                let (rank, entries) = share;
                if self
                    .handler
                    .dispatch
                    .try_send(DispatchEvent::ShareChanged { rank, entries })
                    .is_ok()
                {
                    sent_share = Some(share);
                }
            }
        }
        for client in &mut local {
            // A peer that is not reached finds out by the silence.
            let _ = client.heartbeat(self.handler.own_heartbeat());
        }
    }

    /// Prepares links to the entry hosts of this data centre and to the others.
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

    fn exchange_heartbeats(&self, client: &mut Client) {
        let Ok(theirs) = client.heartbeat(self.handler.own_heartbeat()) else { return };
        self.handler.record_heartbeat(&theirs);
        let known = self.handler.view_handle.get().revision;
        if !self.is_platform_unreachable.load(Ordering::Acquire) || theirs.revision <= known {
            return;
        }
        if let Ok(rows) = client.rows_after(known) {
            // On a full ring the next heartbeat asks again.
            let _ = self.peer_rows.try_send(PeerRows { rows, through: theirs.revision });
        }
    }

    fn current_share(&self) -> (u32, u32) {
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
