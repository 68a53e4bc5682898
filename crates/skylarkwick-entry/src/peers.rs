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
use skylarkwick_request::outcome::{Outcome, Refusal, UnknownReason};
use skylarkwick_version::{lease::Incarnation, name, revision::Revision};

use crate::{
    dispatch::Leaving,
    event::{Claims, Dispatch, Ended, Keyed, Reply, Submission, Verdict},
    identity::Identity,
    membership::{HEARTBEAT_PERIOD, Membership},
    view::{Handed, Rows},
};

/// Longest wait for a peer's heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time beyond a request's deadline for which its end is waited for.
pub(crate) const DEADLINE_MARGIN: Duration = Duration::from_secs(3);

/// What this entry host does for its peers.
pub(crate) struct Handler<C> {
    pub(crate) identity: Identity,
    pub(crate) clock: C,
    pub(crate) shared: Handle,
    pub(crate) rows: Rows,
    pub(crate) membership: Arc<Mutex<Membership>>,
    pub(crate) leaving: Leaving,
    pub(crate) is_stopping: Arc<AtomicBool>,
    pub(crate) claims: ring::Sender<Claims>,
    pub(crate) dispatch: ring::Sender<Dispatch>,
}

impl<C: Clock> Handler<C> {
    /// Forms this entry host's own heartbeat.
    fn own(&self) -> Heartbeat {
        Heartbeat {
            entry: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            revision: self.shared.get().revision,
            is_stopping: self.is_stopping.load(Ordering::Acquire),
            leaving: self.leaving.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        }
    }

    /// Takes what a peer says of itself and of leaving hosts.
    fn hear(&self, heartbeat: &Heartbeat) {
        let mut membership = self.membership.lock().unwrap_or_else(PoisonError::into_inner);
        match heartbeat.is_stopping {
            true => membership.leave(&heartbeat.entry),
            false => membership.hear(&heartbeat.entry, heartbeat.incarnation, self.clock.now()),
        }
        drop(membership);
        if !heartbeat.leaving.is_empty() {
            // On a full ring the next heartbeat brings the same news.
            let _ = self.dispatch.try_send(Dispatch::Leaving(heartbeat.leaving.clone()));
        }
    }
}

impl<C: Clock> peer::Handler for Handler<C> {
    fn heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        self.hear(&heartbeat);
        self.own()
    }

    fn rows_after(&self, after: Revision) -> Vec<platform::Row> {
        self.rows.after(after)
    }

    fn redeem(&self, call: Call, owner: Incarnation) -> Ended {
        if owner != self.identity.incarnation {
            return Outcome::Unknown(UnknownReason::OwnerGone);
        }
        let view = self.shared.get();
        let Some(document) = view.document(call.service.as_str()) else {
            return Outcome::NotRun(Refusal::NoService);
        };
        let deadline = call.deadline.unwrap_or(document.work.deadline);
        let (verdict, answer) = ring::bounded(1);
        let submission = Submission {
            id: self.identity.request(),
            document: Arc::clone(document),
            call: Arc::new(call),
            deadline,
            reply: Reply::Caller(verdict.clone()),
            span: Span::noop(),
        };
        let keyed = Box::new(Keyed { submission, verdict });
        if self.claims.try_send(Claims::Redeem(keyed)).is_err() {
            return Outcome::Unknown(UnknownReason::Timeout);
        }
        match answer.receive_timeout(deadline + DEADLINE_MARGIN) {
            Ok(Verdict::Ended(outcome)) => outcome,
            Ok(Verdict::Forward { .. }) | Err(_) => Outcome::Unknown(UnknownReason::Timeout),
        }
    }
}

/// State of the peers duty.
pub(crate) struct Duty<C> {
    pub(crate) handler: Arc<Handler<C>>,
    pub(crate) peers: BTreeMap<name::Entry, site::EntryHost>,
    pub(crate) platform_is_out: Arc<AtomicBool>,
    pub(crate) view: ring::Sender<Handed>,
}

impl<C: Clock> Duty<C> {
    /// Runs until the stop.
    pub(crate) fn run(self, stop: &StopSignal) {
        let (mut near, mut far) = self.clients();
        let mut shared = None;
        while !stop.sleep(HEARTBEAT_PERIOD) {
            for client in &mut near {
                self.exchange(client);
            }
            // Entry hosts elsewhere are asked in turn: they matter only while the
            // platform is out of reach, and there are many of them.
            if let Some(client) = far.first_mut() {
                self.exchange(client);
                far.rotate_left(1);
            }
            let share = self.share();
            if shared != Some(share) {
                let (rank, entries) = share;
                if self.handler.dispatch.try_send(Dispatch::Share { rank, entries }).is_ok() {
                    shared = Some(share);
                }
            }
        }
        for client in &mut near {
            // A peer that is not reached finds out by the silence.
            let _ = client.heartbeat(self.handler.own());
        }
    }

    /// Prepares links to the entry hosts of this data centre and to the others.
    fn clients(&self) -> (Vec<Client>, Vec<Client>) {
        let me = &self.handler.identity;
        let link = |host: &site::EntryHost| Client::new(host.peer_address, HEARTBEAT_TIMEOUT).ok();
        let others = self.peers.iter().filter(|(entry, _)| **entry != me.entry);
        let (near, far): (Vec<_>, Vec<_>) =
            others.map(|(_, host)| host).partition(|host| host.data_centre == me.data_centre);
        (near.into_iter().filter_map(link).collect(), far.into_iter().filter_map(link).collect())
    }

    fn exchange(&self, client: &mut Client) {
        let Ok(theirs) = client.heartbeat(self.handler.own()) else { return };
        self.handler.hear(&theirs);
        let known = self.handler.shared.get().revision;
        if !self.platform_is_out.load(Ordering::Acquire) || theirs.revision <= known {
            return;
        }
        if let Ok(rows) = client.rows_after(known) {
            // On a full ring the next heartbeat asks again.
            let _ = self.view.try_send(Handed { rows, through: theirs.revision });
        }
    }

    fn share(&self) -> (u32, u32) {
        let identity = &self.handler.identity;
        let near = self
            .peers
            .iter()
            .filter(|(_, host)| host.data_centre == identity.data_centre)
            .map(|(entry, _)| entry);
        let membership = self.handler.membership.lock().unwrap_or_else(PoisonError::into_inner);
        membership.rank(&identity.entry, near, self.handler.clock.now())
    }
}
