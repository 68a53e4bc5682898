//! The platform's machines: their list, moves and upkeep.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    http::{self, Request, Response},
    json::{Json, number, object, text},
    record::Record,
    store::Store,
    workers::{Kind, Worker, capacity},
};

/// Time until a moved machine has joined its pool (`move_s`).
const MOVE_TIME: Duration = Duration::from_millis(1500);
/// Time of an upkeep (`upkeep_s`).
const UPKEEP_TIME: Duration = Duration::from_millis(2000);

#[derive(Debug)]
struct Machine {
    kind: Kind,
    state: &'static str,
    worker: Option<Arc<Worker>>,
}

#[derive(Debug, Default)]
struct State {
    machines: BTreeMap<String, Machine>,
    /// Machines of each wave, and how many may be down at once.
    waves: BTreeMap<u64, (BTreeSet<String>, usize)>,
    /// Upkeeps that have begun, by wave and machine.
    begun: BTreeSet<(u64, String)>,
    /// Machines that are down for a wave now.
    down: BTreeSet<(u64, String)>,
    /// Lives of workers so far.
    lives: u64,
    /// Orders for upkeep that have arrived: holder and machine.
    upkeep_orders: Vec<(String, String)>,
    violations: Vec<String>,
}

/// The platform.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    store: Arc<Store>,
    record: Record,
    /// Time after which a call is carried out and answered.
    delay: Duration,
}

impl Platform {
    /// Starts a platform, whose calls take `delay` each, and returns it with its address.
    pub fn start(
        store: &Arc<Store>,
        record: &Record,
        delay: Duration,
    ) -> (Arc<Platform>, SocketAddr) {
        let platform = Arc::new(Platform {
            state: Mutex::default(),
            store: Arc::clone(store),
            record: record.clone(),
            delay,
        });
        let served = Arc::clone(&platform);
        let address = http::serve(move |request| Some(Platform::answer(&served, &request)));
        (platform, address)
    }

    /// Adds a machine with a worker.
    pub fn add(&self, kind: Kind) {
        let mut state = self.state.lock().expect("not poisoned");
        let worker = self.start_worker(&mut state, &kind);
        let machine = Machine { kind: kind.clone(), state: "up", worker: Some(worker) };
        state.machines.insert(kind.machine, machine);
    }

    /// Has the operator ask for a wave.
    pub fn request_wave(&self, wave: u64, machines: &[String], duration_s: u64, maximum: usize) {
        let mut state = self.state.lock().expect("not poisoned");
        state.waves.insert(wave, (machines.iter().cloned().collect(), maximum));
        drop(state);
        let row = object([
            ("wave", number(wave)),
            ("machines", Json::List(machines.iter().map(|machine| text(machine)).collect())),
            ("duration_s", number(duration_s)),
            ("maximum", number(maximum as u64)),
        ]);
        self.record.line(&format!("operator: op/wave/{wave} {}", row.encode()));
        self.store.put("op", &format!("wave/{wave}"), Some(&row));
    }

    /// Returns the workers.
    pub fn workers(&self) -> Vec<Arc<Worker>> {
        let state = self.state.lock().expect("not poisoned");
        state.machines.values().filter_map(|machine| machine.worker.clone()).collect()
    }

    /// Returns the orders for upkeep that have arrived: holder and machine.
    pub fn upkeep_orders(&self) -> Vec<(String, String)> {
        self.state.lock().expect("not poisoned").upkeep_orders.clone()
    }

    /// Returns the number of upkeeps of a wave that have begun.
    pub fn begun(&self, wave: u64) -> usize {
        let state = self.state.lock().expect("not poisoned");
        state.begun.iter().filter(|(of, _)| *of == wave).count()
    }

    /// Returns the upkeeps that began while `maximum` machines of their wave were down.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().expect("not poisoned").violations.clone()
    }

    fn start_worker(&self, state: &mut State, kind: &Kind) -> Arc<Worker> {
        state.lives += 1;
        let id = format!("i-{:08x}", state.lives);
        Worker::start(&id, kind.clone(), &self.store, &self.record)
    }

    fn answer(platform: &Arc<Platform>, request: &Request) -> Response {
        if request.path == "/machines" {
            return platform.list();
        }
        let body = request.json();
        let holder = request.header("x-duty-holder").to_owned();
        let token = request.header("x-fencing-token").to_owned();
        let what = format!("{} {} from {holder}, token {token}", request.path, body.encode());
        platform.record.line(&format!("platform: {what} has arrived"));
        let machine = body.get("machine").as_str().to_owned();
        if request.path == "/machine-upkeep" {
            let mut state = platform.state.lock().expect("not poisoned");
            state.upkeep_orders.push((holder, machine.clone()));
        }
        thread::sleep(platform.delay);
        let answer = match request.path.as_str() {
            "/machine-move" => Platform::begin_move(platform, &machine, body.get("pool").as_str()),
            "/machine-upkeep" => {
                Platform::begin_upkeep(platform, &machine, body.get("wave").as_u64().unwrap_or(0))
            }
            _ => (404, "{}".to_owned()),
        };
        platform.record.line(&format!("platform: {what}: {} {}", answer.0, answer.1));
        answer
    }

    fn list(&self) -> Response {
        let state = self.state.lock().expect("not poisoned");
        let machines = state.machines.iter().map(|(name, machine)| {
            let Kind { service, zone, rack, millicores, memory_mb, .. } = &machine.kind;
            let id = machine.worker.as_ref().map_or(Json::Null, |worker| text(&worker.id));
            object([
                ("machine", text(name)),
                ("pool", text(service)),
                ("state", text(machine.state)),
                ("zone", text(zone)),
                ("labels", Json::List(vec![text("a"), text(rack)])),
                ("capacity", capacity(*millicores, *memory_mb)),
                ("id", id),
            ])
        });
        let machines = Json::List(machines.collect());
        (200, object([("machines", machines), ("next_page_token", Json::Null)]).encode())
    }

    fn begin_move(platform: &Arc<Platform>, name: &str, pool: &str) -> Response {
        let mut state = platform.state.lock().expect("not poisoned");
        let is_pool = state.machines.values().any(|machine| machine.kind.service == pool);
        match state.machines.get_mut(name) {
            Some(machine) if is_pool && machine.kind.service == pool => return accepted(),
            Some(machine) if is_pool && machine.state == "up" => {
                machine.kind.service = pool.to_owned();
                platform.take_down(machine, "moving");
            }
            Some(_) if is_pool => return refused("busy"),
            _ => return (400, "{}".to_owned()),
        }
        Platform::bring_back(platform, name.to_owned(), None, MOVE_TIME);
        accepted()
    }

    fn begin_upkeep(platform: &Arc<Platform>, name: &str, wave: u64) -> Response {
        let mut state = platform.state.lock().expect("not poisoned");
        let of_wave = (wave, name.to_owned());
        let Some((machines, maximum)) = state.waves.get(&wave).cloned() else {
            return refused("wave");
        };
        if !machines.contains(name) {
            return refused("wave");
        }
        if state.begun.contains(&of_wave) {
            return accepted();
        }
        let down: Vec<String> = state
            .down
            .iter()
            .filter(|(of, _)| *of == wave)
            .map(|(_, machine)| machine.clone())
            .collect();
        match state.machines.get_mut(name) {
            Some(machine) if machine.state == "up" => platform.take_down(machine, "upkeep"),
            Some(_) => return refused("busy"),
            None => return (400, "{}".to_owned()),
        }
        if down.len() >= maximum {
            let violation = format!(
                "the upkeep of {name} begins while {} of wave {wave} are down ({}); maximum {maximum}",
                down.len(),
                down.join(", ")
            );
            platform.record.line(&format!("LIMIT broken: {violation}"));
            state.violations.push(violation);
        }
        platform.record.line(&format!("platform: upkeep of {name} begins"));
        state.begun.insert(of_wave.clone());
        state.down.insert(of_wave);
        Platform::bring_back(platform, name.to_owned(), Some(wave), UPKEEP_TIME);
        accepted()
    }

    fn take_down(&self, machine: &mut Machine, state: &'static str) {
        machine.state = state;
        if let Some(worker) = machine.worker.take() {
            worker.end(&self.store);
        }
    }

    fn bring_back(platform: &Arc<Platform>, name: String, wave: Option<u64>, after: Duration) {
        let platform = Arc::clone(platform);
        thread::spawn(move || {
            thread::sleep(after);
            let mut state = platform.state.lock().expect("not poisoned");
            let Some(kind) = state.machines.get(&name).map(|machine| machine.kind.clone()) else {
                return;
            };
            let worker = platform.start_worker(&mut state, &kind);
            if let Some(machine) = state.machines.get_mut(&name) {
                machine.state = "up";
                machine.worker = Some(worker);
            }
            if let Some(wave) = wave {
                state.down.remove(&(wave, name.clone()));
            }
            platform.record.line(&format!("platform: {name} is up again in {}", kind.service));
        });
    }
}

fn accepted() -> Response {
    (200, "{}".to_owned())
}

fn refused(reason: &str) -> Response {
    (409, object([("reason", text(reason))]).encode())
}
