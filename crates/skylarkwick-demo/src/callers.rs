//! Callers that send requests through a load balancer and record the outcomes.

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

use crate::{demand::Request, fault::Fault, site::RunningSite};

/// Number of threads that send requests; each waits for its response.
const CALLER_THREADS: usize = 700;
/// Maximum number of idle connections kept for each entry host.
const MAX_IDLE_CONNECTIONS: usize = 160;
/// Time beyond the request's deadline for which a caller waits for a response.
const RESPONSE_MARGIN: Duration = Duration::from_secs(6);
/// Shortest interval between readiness checks of the load balancer.
const READINESS_PERIOD: Duration = Duration::from_millis(100);
/// Every n-th request is cancelled under the fault `cancel-wave`.
const CANCEL_EVERY: usize = 3;

/// Outcome of a request as the caller saw it: done, not run, or unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The task ran; `is_own` is false if the response belonged to another request.
    Done { is_own: bool },
    /// The task did not run, for this reason.
    NotRun(String),
    /// It is unknown whether the task ran, for this reason.
    Unknown(String),
}

/// A request, when its caller sent it, and its outcome.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) request: Request,
    pub(crate) sent_at: Instant,
    pub(crate) outcome: Outcome,
}

/// A load balancer that distributes requests round-robin over the ready entry hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    next: Arc<AtomicUsize>,
}

impl Balancer {
    /// Checks the readiness of each entry host of the site and replaces the list of
    /// ready ones.
    pub(crate) fn refresh(&self, agents: &Agents, site: &RunningSite) {
        let ready = site.entries().into_iter().map(|(_, address, _)| address).filter(|address| {
            let (_, agent) = agents.get(*address);
            let request = agent.get(format!("http://{address}/ready"));
            let request = request.config().timeout_global(Some(READINESS_PERIOD * 10)).build();
            request.call().is_ok_and(|response| response.status().as_u16() == 200)
        });
        let ready = ready.collect();
        *self.ready.lock().unwrap_or_else(PoisonError::into_inner) = ready;
    }

    /// Returns the caller address of the next ready entry host, or `None` if none is
    /// ready.
    fn next_address(&self) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        let next = self.next.fetch_add(1, Ordering::Relaxed);
        (!ready.is_empty()).then(|| ready[next % ready.len()])
    }
}

/// Sends each request at its scheduled time after `start`, which is late while all
/// caller threads are busy; waits for all responses and returns the requests with their
/// outcomes. `faults` sets whether callers cancel requests or repeat keys.
pub(crate) fn send_all(
    requests: Vec<Request>,
    site: &Arc<RunningSite>,
    faults: &[Fault],
    start: Instant,
) -> Vec<Record> {
    let balancer = Balancer::default();
    let agents = Agents::new(MAX_IDLE_CONNECTIONS);
    balancer.refresh(&agents, site);
    let (sender, queue) = mpsc::sync_channel::<(usize, Request)>(CALLER_THREADS);
    let queue = Arc::new(Mutex::new(queue));
    let records = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..CALLER_THREADS)
        .map(|_| {
            let caller = Caller {
                agents: agents.clone(),
                balancer: balancer.clone(),
                latency: site.settings.latency_to_callers,
                cancels_requests: faults.contains(&Fault::CancelWave),
                repeats_keys: faults.contains(&Fault::RetrySameKeyEverywhere),
            };
            let (queue, records) = (Arc::clone(&queue), Arc::clone(&records));
            thread::spawn(move || caller.run(&queue, &records))
        })
        .collect();
    let mut refreshed_at = Instant::now();
    for (number, request) in requests.into_iter().enumerate() {
        thread::sleep((start + request.at).saturating_duration_since(Instant::now()));
        if refreshed_at.elapsed() > READINESS_PERIOD {
            balancer.refresh(&agents, site);
            refreshed_at = Instant::now();
        }
        if sender.send((number, request)).is_err() {
            break;
        }
    }
    drop(sender);
    for caller in callers {
        // A caller that panicked leaves no record, which shows in the report.
        let _ = caller.join();
    }
    std::mem::take(&mut *records.lock().unwrap_or_else(PoisonError::into_inner))
}

/// One caller thread's connections and load balancer, its one-way latency to the entry
/// hosts, and the faults that it carries out.
struct Caller {
    agents: Agents,
    balancer: Balancer,
    latency: Duration,
    cancels_requests: bool,
    repeats_keys: bool,
}

/// The requests to send, with their numbers in the order of sending; shared by all
/// callers.
type Queue = Mutex<mpsc::Receiver<(usize, Request)>>;

impl Caller {
    /// Sends requests from the queue and records their outcomes until the queue is
    /// closed.
    fn run(&self, queue: &Queue, records: &Mutex<Vec<Record>>) {
        loop {
            let received = queue.lock().unwrap_or_else(PoisonError::into_inner).recv();
            let Ok((number, request)) = received else { return };
            let sent_at = Instant::now();
            let outcome = self.call(number, &request);
            let record = Record { request, sent_at, outcome };
            records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
        }
    }

    /// Sends a request, with its payload as idempotency key if its service is not
    /// repeatable, and returns its outcome.
    ///
    /// Under faults, cancels it as well, or repeats it with the same key; a repetition
    /// that gets another known outcome counts as a response to another request. A
    /// request refused for lack of the platform is sent again with a ticket.
    fn call(&self, number: usize, request: &Request) -> Outcome {
        let is_keyed = !request.document.work.is_repeatable;
        let header = is_keyed.then(|| ("Idempotency-Key", request.payload.clone()));
        if self.cancels_requests && number.is_multiple_of(CANCEL_EVERY) {
            self.schedule_cancellation(request);
        }
        let outcome = self.send(request, header.clone());
        match (&outcome, self.repeats_keys && is_keyed) {
            // Repeats the key, possibly at other entry hosts; none may run the task again.
            (Outcome::Done { .. }, true) => {
                let again: Vec<Outcome> =
                    (0..2).map(|_| self.send(request, header.clone())).collect();
                match again.iter().all(|again| *again == outcome || is_unknown(again)) {
                    true => outcome,
                    false => Outcome::Done { is_own: false },
                }
            }
            (Outcome::NotRun(reason), _) if reason == "platform-out" => {
                self.send_with_ticket(request)
            }
            _ => outcome,
        }
    }

    /// Gets a ticket from an entry host, which works without the platform, and sends
    /// the request with it to the next one.
    fn send_with_ticket(&self, request: &Request) -> Outcome {
        let Some(address) = self.balancer.next_address() else {
            return Outcome::NotRun("no-entry".into());
        };
        let (_, agent) = self.agents.get(address);
        let issued = agent.post(format!("http://{address}/v1/tickets")).send_empty();
        let text = issued.ok().and_then(|mut answer| answer.body_mut().read_to_string().ok());
        let ticket = text.and_then(|text| {
            let answer: serde_json::Value = serde_json::from_str(&text).ok()?;
            answer.get("ticket")?.as_str().map(str::to_owned)
        });
        match ticket {
            Some(ticket) => self.send(request, Some(("Skylarkwick-Ticket", ticket))),
            None => Outcome::NotRun("no-ticket".to_owned()),
        }
    }

    /// Sends the request to the next ready entry host, with an additional header if one
    /// is given, and returns its outcome.
    fn send(&self, request: &Request, header: Option<(&'static str, String)>) -> Outcome {
        let Some(address) = self.balancer.next_address() else {
            return Outcome::NotRun("no-entry".into());
        };
        thread::sleep(self.latency);
        let body = worker::TaskBody {
            run_us: request.run_time.as_micros() as u64,
            payload: request.payload.clone(),
        };
        let (_, agent) = self.agents.get(address);
        let mut http_request = agent
            .post(format!("http://{address}/v1/services/{}/requests", request.document.service))
            .config()
            .timeout_global(Some(request.document.work.deadline + RESPONSE_MARGIN))
            .build()
            .header("Content-Type", "application/json")
            .header("Skylarkwick-Kind", request.kind);
        if let Some((name, value)) = header {
            http_request = http_request.header(name, value);
        }
        let answer = http_request.send(serde_json::to_string(&body).unwrap_or_default());
        thread::sleep(self.latency);
        match answer {
            Ok(response) => parse_response(request, response),
            Err(error) => classify_error(&error),
        }
    }

    /// Starts a thread that cancels the request, by its payload as key, after 20 ms.
    fn schedule_cancellation(&self, request: &Request) {
        let Some(address) = self.balancer.next_address() else { return };
        let (_, agent) = self.agents.get(address);
        let service = &request.document.service;
        let url = format!("http://{address}/v1/services/{service}/requests/{}", request.payload);
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(20));
            // A cancellation that arrives after the end of the request has no effect.
            let _ = agent.delete(url).call();
        });
    }
}

/// Returns whether it is unknown whether the task ran.
fn is_unknown(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Unknown(_))
}

/// Converts a response to an outcome; one that can't be read or has no known outcome is
/// [`Outcome::Unknown`].
fn parse_response(request: &Request, mut response: ureq::http::Response<ureq::Body>) -> Outcome {
    let outcome = response.headers().get("Skylarkwick-Outcome");
    let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
    let Ok(body) = response.body_mut().read_to_string() else {
        return Outcome::Unknown("broken-answer".to_owned());
    };
    let reason = || {
        let problem: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
        problem.get("reason").and_then(|reason| reason.as_str()).unwrap_or("none").to_owned()
    };
    match outcome.as_str() {
        "done" => {
            let receipt: Option<Receipt> = serde_json::from_str(&body).ok();
            Outcome::Done {
                is_own: receipt.is_some_and(|receipt| receipt.payload == request.payload),
            }
        }
        "not-run" => Outcome::NotRun(reason()),
        _ => Outcome::Unknown(reason()),
    }
}

/// Returns the outcome of a request without a response: not run if no connection was
/// made, else unknown.
fn classify_error(error: &ureq::Error) -> Outcome {
    match error {
        ureq::Error::ConnectionFailed => Outcome::NotRun("no-connection".to_owned()),
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Outcome::NotRun("no-connection".to_owned())
        }
        error => Outcome::Unknown(format!("lost: {error}")),
    }
}
