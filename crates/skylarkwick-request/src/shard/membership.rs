//! Membership of backend servers: which are known, in which incarnation, and when the
//! runs on them are given up.

use std::{cmp::Ordering, time::Duration};

use skylarkwick_version::moment::{Moment, millis};

use super::{
    Shard, Timings,
    effect::{Effect, Target},
    input::{ServerId, ServerInfo},
    liveness::{Evidence, Liveness},
    server::Server,
};
use crate::job::task;

/// Factor by which a lease may last longer than granted, on a server whose clock is
/// slow.
const MAX_LEASE_STRETCH: f64 = 1.03;
/// Time before a holder's term in which a server's start is recent: an order by an earlier
/// clock comes a few seconds after it, and times of day differ by seconds.
const RECENT_START: Duration = Duration::from_secs(30);
/// Allows for the delays of the store's answers, by which holders estimate its clock: one tells
/// the next a time by it.
const STORE_CLOCK_MARGIN: Duration = Duration::from_millis(500);
/// Reason with which the log tells of runs whose server has restarted.
const RESTARTED: &str = "the server restarted or changed its address";

impl Shard {
    /// Replaces the platform's list of servers. A later incarnation (start of the
    /// server process) replaces a known server, see `restart_server`. An entry of
    /// an earlier one is from before the server's last restart and is ignored: the
    /// list may lag behind what the server itself has reported.
    ///
    /// A server whose known incarnation is not listed gets no new work, because its
    /// pool or resources may have changed with its restart; its runs are given up
    /// only when its lease has expired.
    pub fn set_servers(&mut self, now: Moment, servers: Vec<ServerInfo>) {
        self.are_servers_listed = true;
        for server in self.servers.values_mut() {
            server.is_unlisted = true;
        }
        for info in servers {
            let known = self.servers.get_mut(&info.id);
            match known.map(|server| (info.incarnation_ms.cmp(&server.info.incarnation_ms), server))
            {
                None => {
                    let own_calls_until = self.incarnations.own_calls_until(now, &info.id);
                    let mut server = Server::new(info, now);
                    server.own_calls_until = own_calls_until;
                    self.servers.insert(server.id().clone(), server);
                }
                Some((Ordering::Less, _)) => {}
                Some((Ordering::Equal, server)) => {
                    server.info = info;
                    server.is_unlisted = false;
                }
                Some((Ordering::Greater, _)) => self.restart_server(now, info),
            }
        }
    }

    /// Replaces a server by a later incarnation of it, `info`. Runs that are
    /// certainly over are given up. The others may be in progress there, since
    /// their starts may have reached it; they stay, and its reports decide. It is
    /// polled at once. Does nothing if the server is unknown.
    pub(super) fn restart_server(&mut self, now: Moment, info: ServerInfo) {
        let id = info.id.clone();
        self.give_up_runs(&id, Evidence::Restarted, RESTARTED);
        let Some(earlier) = self.servers.remove(&id) else {
            return;
        };
        let server = earlier.restarted(info, now);
        for task in server.runs.keys() {
            self.log("run in doubt", task, &id, "its start may have reached the restarted server");
        }
        self.servers.insert(id.clone(), server);
        self.effects.push(Effect::RemoveServer(id));
    }

    /// Handles the replacement of a server: another incarnation or server is at
    /// its address, so the runs on it are gone. The server is removed until the
    /// platform's next list names it. A call to an earlier incarnation, whose
    /// address may have been another, is ignored.
    pub fn handle_server_replaced(&mut self, target: &Target) {
        let id = &target.server;
        let known = self.servers.get(id).map(|server| server.info.incarnation_ms);
        if known.is_none_or(|known| known == target.incarnation_ms) {
            self.unrecord_server(id);
            self.remove_server(
                id,
                Evidence::Replaced,
                "another incarnation or server is at the address",
            );
        }
    }

    /// Gives up the runs on servers whose leases have certainly expired, and
    /// removes those of these servers that the platform does not list. A server
    /// that has not reported yet counts as expired after `is_silence_over`.
    pub(super) fn expire_leases(&mut self, now: Moment) {
        let expired: Vec<ServerId> = self
            .servers
            .values()
            .filter(|server| {
                let have_expired = server.have_leases_expired(now);
                have_expired.unwrap_or_else(|| self.is_silence_over(now, server))
            })
            .filter(|server| server.is_unlisted || !server.runs.is_empty())
            .map(|server| server.id().clone())
            .collect();
        for id in expired {
            self.unrecord_server(&id);
            let is_unlisted = self.servers.get(&id).is_some_and(|server| server.is_unlisted);
            if is_unlisted {
                self.remove_server(
                    &id,
                    Evidence::LeaseExpired,
                    "left the list and its lease lapsed",
                );
            } else {
                self.give_up_runs(&id, Evidence::LeaseExpired, "lease expired");
            }
        }
    }

    /// Returns whether all that earlier holders have started on a server is known or over: it
    /// has answered this holder, or was silent for long enough, or it has left and the
    /// holder before knew that nothing runs there any more.
    pub(super) fn are_earlier_runs_settled(&self, now: Moment, id: &ServerId) -> bool {
        match self.servers.get(id) {
            Some(server) => server.is_fenced || self.is_silence_over(now, server),
            None => {
                let is_gone = self.are_servers_listed || self.is_takeover_grace_over(now);
                is_gone && now > self.unlisted_end(id)
            }
        }
    }

    /// Returns until when at the latest anything that earlier holders have started may be in
    /// progress on a server that has not answered this holder.
    pub(super) fn earlier_runs_end(&self, now: Moment, id: &ServerId) -> Moment {
        match self.servers.get(id) {
            Some(server) => self.silence_end(now, server),
            None => self.unlisted_end(id),
        }
    }

    /// Returns until when the runs of earlier holders may be in progress on a server that is not
    /// in the platform's list: as long as the holder before has handed on when it released the
    /// shard, else as on one that is listed.
    pub(super) fn unlisted_end(&self, id: &ServerId) -> Moment {
        let longest_end = self.term.since + self.timings.longest_grace;
        match (self.settled_servers.get(id), self.incarnations.inherited_unlisted(id)) {
            (Some(end), _) => longest_end.min(*end),
            (None, Some(late_calls_until)) => self.late_lease_end(late_calls_until),
            (None, None) if self.incarnations.is_empty() => self.takeover_grace_end(),
            (None, None) => longest_end,
        }
    }

    /// Returns until when the runs of earlier holders may be in progress on a server that carries
    /// out no call by an earlier clock after a moment.
    fn late_lease_end(&self, late_calls_until: Moment) -> Moment {
        let longest_lease = self.timings.max_lease.mul_f64(MAX_LEASE_STRETCH);
        let late_lease_end = late_calls_until + longest_lease + STORE_CLOCK_MARGIN;
        let longest_end = self.term.since + self.timings.longest_grace;
        late_lease_end.max(self.takeover_grace_end()).min(longest_end)
    }

    /// Returns whether all runs are over on a server that has not reported yet.
    fn is_silence_over(&self, now: Moment, server: &Server) -> bool {
        now > self.silence_end(now, server)
    }

    /// Returns until when the runs on a server that has not reported yet may be in progress:
    /// those of earlier holders until the takeover grace is over, and those that moved to
    /// it with a restart until the longest lease is.
    ///
    /// An earlier holder may have extended the leases of a server that it did not know to
    /// have restarted as far as the platform allows. One that started long before this
    /// holder's term has no such lease, nor has one of which an earlier holder has handed on
    /// that no call by an earlier clock was carried out so late.
    pub(super) fn silence_end(&self, now: Moment, server: &Server) -> Moment {
        let Timings { start_window, max_lease, longest_grace, .. } = self.timings;
        let longest_end = self.term.since + longest_grace;
        match (server.is_restarted, self.late_calls_until(server)) {
            (true, _) => {
                let longest_lease = max_lease.mul_f64(MAX_LEASE_STRETCH);
                longest_end.max(server.since + start_window + longest_lease)
            }
            (false, Some(late_calls_until)) => self.late_lease_end(late_calls_until),
            (false, None) if self.has_started_recently(now, server) => longest_end,
            (false, None) => self.takeover_grace_end(),
        }
    }

    /// Returns whether a server has started so late that an earlier holder may have sent it
    /// orders without knowing, by its entry in the platform's list.
    fn has_started_recently(&self, now: Moment, server: &Server) -> bool {
        let term_age_ms = millis(now.since(self.term.since));
        let recent_ms = self.unix_ms.saturating_sub(term_age_ms + millis(RECENT_START));
        server.info.incarnation_ms >= recent_ms
    }

    /// Releases the runs on a server that are over by this evidence, logs each
    /// with the reason, and makes their tasks avoid the server.
    fn give_up_runs(&mut self, id: &ServerId, evidence: Evidence, reason: &'static str) {
        let Some(server) = self.servers.get(id) else {
            return;
        };
        let over =
            server.runs.iter().filter(|(_, run)| server.liveness(run, evidence) == Liveness::Ended);
        let runs: Vec<(task::Id, task::RunId)> =
            over.map(|(task, active_run)| (task.clone(), active_run.id)).collect();
        for (task, run) in runs {
            self.release(id, &task, run, true);
            self.log("run given up", &task, id, reason);
        }
    }

    /// Gives up the runs on a server, all of which are over by this evidence, for
    /// the logged reason, forgets the server and stops polling it.
    fn remove_server(&mut self, id: &ServerId, evidence: Evidence, reason: &'static str) {
        self.give_up_runs(id, evidence, reason);
        if self.servers.remove(id).is_some() {
            self.incarnations.record_removed(self.last_housekeeping, id);
            self.effects.push(Effect::RemoveServer(id.clone()));
        }
    }
}
