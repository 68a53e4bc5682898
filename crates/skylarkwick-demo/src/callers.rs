//! Callers: they send the demand through the balancer and note what they are
//! told.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use skylarkwick_connection::agent::Agents;
use skylarkwick_stand_in::worker::{self, Receipt};

use crate::{demand::Order, fault::Fault, site::Running};

/// Callers that wait for an answer at once.
const CALLERS: usize = 700;
/// Idle connections kept to each entry host.
const MAX_IDLE: usize = 160;
/// Time beyond the deadline for which a caller waits.
const PATIENCE: Duration = Duration::from_secs(6);
/// How often the balancer asks for readiness.
const READINESS_PERIOD: Duration = Duration::from_millis(100);
/// Share of requests that a wave of cancellations cancels.
const CANCEL_EVERY: usize = 3;

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// The answer, and whether it was its own.
    Done { is_own: bool },
    /// The work did not run, for this reason.
    NotRun(String),
    /// Nobody knows.
    Unknown(String),
}

/// One request and its end.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) order: Order,
    pub(crate) sent: Instant,
    pub(crate) told: Told,
}

/// The platform's balancer: hands requests to the entry hosts that are ready.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    next: Arc<AtomicUsize>,
}

impl Balancer {
    /// Asks every entry host whether it is ready.
    pub(crate) fn refresh(&self, agents: &Agents, site: &Running) {
        let ready = site.entries().into_iter().map(|(_, address, _)| address).filter(|address| {
            let (_, agent) = agents.get(*address);
            let request = agent.get(format!("http://{address}/ready"));
            let request = request.config().timeout_global(Some(READINESS_PERIOD * 10)).build();
            request.call().is_ok_and(|response| response.status().as_u16() == 200)
        });
        let ready = ready.collect();
        *self.ready.lock().unwrap_or_else(PoisonError::into_inner) = ready;
    }

    fn choose(&self) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        (!ready.is_empty()).then(|| ready[next % ready.len()])
    }
}

/// Sends every request at its time; returns what callers were told.
pub(crate) fn send_all(
    orders: Vec<Order>,
    site: &Arc<Running>,
    faults: &[Fault],
    start: Instant,
) -> Vec<Record> {
    let balancer = Balancer::default();
    let agents = Agents::new(MAX_IDLE);
    balancer.refresh(&agents, site);
    let (jobs, queue) = mpsc::sync_channel::<(usize, Order)>(CALLERS);
    let queue = Arc::new(Mutex::new(queue));
    let records = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let caller = Caller {
                agents: agents.clone(),
                balancer: balancer.clone(),
                latency: site.settings.latency_to_callers,
                cancels: faults.contains(&Fault::CancelWave),
                repeats: faults.contains(&Fault::RetrySameKeyEverywhere),
            };
            let (queue, records) = (Arc::clone(&queue), Arc::clone(&records));
            thread::spawn(move || caller.run(&queue, &records))
        })
        .collect();
    let mut looked = Instant::now();
    for (number, order) in orders.into_iter().enumerate() {
        thread::sleep((start + order.at).saturating_duration_since(Instant::now()));
        if looked.elapsed() > READINESS_PERIOD {
            balancer.refresh(&agents, site);
            looked = Instant::now();
        }
        if jobs.send((number, order)).is_err() {
            break;
        }
    }
    drop(jobs);
    for caller in callers {
        // A caller that panicked has left no record, which the report shows.
        let _ = caller.join();
    }
    std::mem::take(&mut *records.lock().unwrap_or_else(PoisonError::into_inner))
}

struct Caller {
    agents: Agents,
    balancer: Balancer,
    latency: Duration,
    cancels: bool,
    repeats: bool,
}

type Queue = Mutex<mpsc::Receiver<(usize, Order)>>;

impl Caller {
    fn run(&self, queue: &Queue, records: &Mutex<Vec<Record>>) {
        loop {
            let job = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
            let Ok((number, order)) = job else { return };
            let sent = Instant::now();
            let told = self.call(number, &order);
            let record = Record { order, sent, told };
            records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        }
    }

    fn call(&self, number: usize, order: &Order) -> Told {
        let is_keyed = !order.document.work.is_repeatable;
        let header = is_keyed.then(|| ("Idempotency-Key", order.payload.clone()));
        if self.cancels && number.is_multiple_of(CANCEL_EVERY) {
            self.cancel_soon(order);
        }
        let told = self.send(order, header.clone());
        match (&told, self.repeats && is_keyed) {
            // Every entry host is shown the key; none may run it again.
            (Told::Done { .. }, true) => {
                let again: Vec<Told> = (0..2).map(|_| self.send(order, header.clone())).collect();
                match again.iter().all(|again| *again == told || is_unknown(again)) {
                    true => told,
                    false => Told::Done { is_own: false },
                }
            }
            (Told::NotRun(reason), _) if reason == "platform-out" => self.with_ticket(order),
            _ => told,
        }
    }

    /// Carries unrepeatable work on while the platform is out.
    fn with_ticket(&self, order: &Order) -> Told {
        let Some(address) = self.balancer.choose() else { return Told::NotRun("no-entry".into()) };
        let (_, agent) = self.agents.get(address);
        let issued = agent.post(format!("http://{address}/v1/tickets")).send_empty();
        let text = issued.ok().and_then(|mut answer| answer.body_mut().read_to_string().ok());
        let ticket = text.and_then(|text| {
            let answer: serde_json::Value = serde_json::from_str(&text).ok()?;
            answer.get("ticket")?.as_str().map(str::to_owned)
        });
        match ticket {
            Some(ticket) => self.send(order, Some(("Skylarkwick-Ticket", ticket))),
            None => Told::NotRun("no-ticket".to_owned()),
        }
    }

    fn send(&self, order: &Order, header: Option<(&'static str, String)>) -> Told {
        let Some(address) = self.balancer.choose() else { return Told::NotRun("no-entry".into()) };
        thread::sleep(self.latency);
        let body = worker::TaskBody {
            run_us: order.run_time.as_micros() as u64,
            payload: order.payload.clone(),
        };
        let (_, agent) = self.agents.get(address);
        let mut request = agent
            .post(format!("http://{address}/v1/services/{}/requests", order.document.service))
            .config()
            .timeout_global(Some(order.document.work.deadline + PATIENCE))
            .build()
            .header("Content-Type", "application/json")
            .header("Skylarkwick-Kind", order.kind);
        if let Some((name, value)) = header {
            request = request.header(name, value);
        }
        let answer = request.send(serde_json::to_string(&body).unwrap_or_default());
        thread::sleep(self.latency);
        match answer {
            Ok(response) => told(order, response),
            Err(error) => lost(&error),
        }
    }

    fn cancel_soon(&self, order: &Order) {
        let Some(address) = self.balancer.choose() else { return };
        let (_, agent) = self.agents.get(address);
        let service = &order.document.service;
        let url = format!("http://{address}/v1/services/{service}/requests/{}", order.payload);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(20));
            // A cancellation that comes too late changes nothing.
            let _ = agent.delete(url).call();
        });
    }
}

fn is_unknown(told: &Told) -> bool {
    matches!(told, Told::Unknown(_))
}

fn told(order: &Order, mut response: ureq::http::Response<ureq::Body>) -> Told {
    let outcome = response.headers().get("Skylarkwick-Outcome");
    let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
    let Ok(body) = response.body_mut().read_to_string() else {
        return Told::Unknown("broken-answer".to_owned());
    };
    let reason = || {
        let problem: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        problem.get("reason").and_then(|reason| reason.as_str()).unwrap_or("none").to_owned()
    };
    match outcome.as_str() {
        "done" => {
            let receipt: Option<Receipt> = serde_json::from_str(&body).ok();
            Told::Done { is_own: receipt.is_some_and(|receipt| receipt.payload == order.payload) }
        }
        "not-run" => Told::NotRun(reason()),
        _ => Told::Unknown(reason()),
    }
}

fn lost(error: &ureq::Error) -> Told {
    match error {
        ureq::Error::ConnectionFailed => Told::NotRun("no-connection".to_owned()),
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Told::NotRun("no-connection".to_owned())
        }
        error => Told::Unknown(format!("lost: {error}")),
    }
}
