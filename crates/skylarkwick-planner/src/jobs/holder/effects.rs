//! How the holder executes what the shard decides on.

use skylarkwick_connection::{control::Orders, store::row::PoolSizesRow};
use skylarkwick_process::ring;
use skylarkwick_request::shard::{effect::Effect, input::HostOrderResult};
use slog::warn;

use super::{
    super::{
        activity, dispatch, event::Event, host_orders, poller::PollRequest, saver::SaveRequest,
    },
    Holder,
};

impl<O: Orders> Holder<O> {
    /// Executes an effect or passes it to the duty that does. If the duty's ring is full or
    /// a polling duty cannot be started, queues the event that reports the failure to the
    /// shard; a pace order is dropped, and so are pool sizes, with a log entry.
    pub(super) fn execute(&mut self, effect: Effect) {
        let follow_up = match effect {
            Effect::Start { target, start } => {
                self.dispatch.send(dispatch::Order::Start(target, start))
            }
            Effect::Stop { target, task, run } => {
                self.dispatch.send(dispatch::Order::Stop(target, task, run))
            }
            Effect::SetPace { target, task, run, percent } => {
                self.dispatch.send(dispatch::Order::Pace(target, task, run, percent))
            }
            Effect::Poll { target, lease_until_ms, acknowledged, max_wait } => {
                self.pollers.poll(PollRequest { target, lease_until_ms, acknowledged, max_wait })
            }
            Effect::RemoveServer(server) => {
                self.pollers.remove(&server);
                None
            }
            Effect::Save(batch) => match self.saver.try_send(SaveRequest::Batch(batch)) {
                Ok(()) => None,
                Err(ring::SendError::Full(SaveRequest::Batch(batch))) => {
                    Some(Event::BatchNotSaved(Box::new(batch)))
                }
                Err(_) => None,
            },
            Effect::MoveHost { host, pool } => {
                self.send_host_order(host_orders::Order::Move(host, pool))
            }
            Effect::MaintainHost { host, wave } => {
                self.send_host_order(host_orders::Order::Maintain(host, wave))
            }
            Effect::SaveWave { wave, started, time_left, is_completed } => {
                let started = started.iter().map(ToString::to_string).collect();
                let sent = self.saver.try_send(SaveRequest::Wave {
                    wave,
                    started,
                    time_left,
                    is_completed,
                });
                let failure = Event::WaveSaveResult { wave, is_saved: false, is_completed };
                sent.is_err().then_some(failure)
            }
            Effect::SavePoolSizes(pool_sizes) => {
                let hosts =
                    pool_sizes.iter().map(|(pool, hosts)| (pool.to_string(), *hosts)).collect();
                if self.saver.try_send(SaveRequest::PoolSizes(PoolSizesRow { hosts })).is_err() {
                    warn!(self.log, "pool sizes not saved"; "because" => "the saver's ring is full");
                }
                None
            }
            Effect::Log(entry) => {
                activity::log_decision(&entry, &self.log);
                None
            }
            Effect::StepDown => {
                self.lose("a backend server rejected the fencing token");
                None
            }
        };
        self.follow_ups.extend(follow_up);
    }

    /// Queues an order for a host to be recorded and sent; returns the event that
    /// reports it as not sent if the ring is full.
    fn send_host_order(&mut self, order: host_orders::Order) -> Option<Event> {
        let host = order.host().clone();
        self.host_orders.try_send(order).is_err().then(|| {
            warn!(self.log, "host order dropped"; "because" => "the ring for host orders is full");
            Event::HostOrderResult(host, HostOrderResult::Busy)
        })
    }
}
