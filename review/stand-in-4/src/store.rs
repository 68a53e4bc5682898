//! Stand-in of the platform's metadata store, by PROTOCOL.md: rows with versions, transactions
//! under conditions, a feed with a history of 20 s, and the limits of calls a second.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response},
    json::{Json, object},
};

const HISTORY: Duration = Duration::from_secs(20);
const TX_TIME: Duration = Duration::from_millis(4);
const WRITES_PER_S: u32 = 800;
const READS_PER_S: u32 = 2000;
const MAX_ROWS: usize = 500;
const MAX_ENTRIES: usize = 100;

type Key = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
    history: Vec<(Instant, u64, Key, Option<String>)>,
    dropped_until: u64,
    window: Option<(Instant, u32, u32)>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    start: Instant,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Store {
        Store { state: Arc::default(), start: Instant::now() }
    }

    /// Serves the store; returns its address.
    pub fn serve(&self) -> std::io::Result<SocketAddr> {
        let store = self.clone();
        http::serve(move |request| Some(store.handle(request)))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a row of the tables of the operator and of the workers.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.state().write(vec![(key, Some(base64(value.as_bytes())))]);
        self.state.1.notify_all();
    }

    /// Removes the entry of a worker that is gone.
    pub fn remove(&self, table: &str, key: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.state().write(vec![(key, None)]);
        self.state.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        let is_write = request.path == "/rows-tx";
        if !self.state().admit(is_write) {
            return Response::empty(429);
        }
        match request.path.as_str() {
            "/rows-tx" => self.transact(&Json::parse(&request.body).unwrap_or(Json::Null)),
            "/rows-get" => self.read(request),
            "/rows-parts" => self.parts(request),
            "/rows-feed" => self.feed(request),
            _ => Response::empty(404),
        }
    }

    fn respond(&self, status: u16, body: Json) -> Response {
        let Json::Object(mut fields) = body else {
            return Response::empty(status);
        };
        let now_ms = 1000 + self.start.elapsed().as_millis() as u64;
        fields.insert("now_ms".to_owned(), now_ms.into());
        Response { status, body: Json::Object(fields).to_string() }
    }

    fn transact(&self, body: &Json) -> Response {
        thread::sleep(TX_TIME);
        let entries = |name: &str| body.get(name).list().to_vec();
        let (conditions, writes, removals) =
            (entries("precondition"), entries("writes"), entries("remove"));
        let all: Vec<Key> =
            [&conditions, &writes, &removals].into_iter().flatten().map(key).collect();
        let is_one_part = all.iter().all(|key| key.1 == all[0].1);
        let may_cross = *body.get("across") == Json::Bool(true);
        if all.is_empty() || all.len() > MAX_ENTRIES || !(is_one_part || may_cross) {
            return Response::empty(400);
        }
        if writes
            .iter()
            .chain(&removals)
            .any(|entry| matches!(key(entry).0.as_str(), "op" | "servers"))
        {
            return Response::empty(403);
        }
        let mut state = self.state();
        let is_met = |entry: &Json| {
            let version = state.rows.get(&key(entry)).map_or(0, |(version, _)| *version);
            entry.get("ver").number() == Some(version)
        };
        if !conditions.iter().all(is_met) {
            let rows: Vec<Json> = conditions.iter().map(|entry| state.row(&key(entry))).collect();
            return self
                .respond(412, object([("rows", rows.into()), ("ver", state.version.into())]));
        }
        let mut changes: Vec<(Key, Option<String>)> = Vec::new();
        changes.extend(writes.iter().map(|e| (key(e), Some(e.get("value").text().to_owned()))));
        changes.extend(removals.iter().map(|entry| (key(entry), None)));
        state.write(changes);
        let version = state.version;
        drop(state);
        self.state.1.notify_all();
        self.respond(200, object([("ver", version.into())]))
    }

    fn read(&self, request: &Request) -> Response {
        let parameter = |name: &str| request.parameter(name).unwrap_or_default().to_owned();
        let (table, part) = (parameter("table"), parameter("part"));
        let limit = parameter("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let to = request.parameter("to");
        let state = self.state();
        let first = (table.clone(), part.clone(), parameter("from"));
        let range = state.rows.range(first..).map(|(key, _)| key);
        let mut matching = range
            .take_while(|key| key.0 == table && key.1 == part)
            .take_while(|key| to.is_none_or(|to| key.2.as_str() < to));
        let rows: Vec<Json> = matching.by_ref().take(limit).map(|key| state.row(key)).collect();
        let has_more = matching.next().is_some();
        let fields =
            [("rows", rows.into()), ("has_more", has_more.into()), ("ver", state.version.into())];
        self.respond(200, object(fields))
    }

    fn parts(&self, request: &Request) -> Response {
        let table = request.parameter("table").unwrap_or_default();
        let after = request.parameter("after");
        let state = self.state();
        let of_table = state.rows.keys().filter(|key| key.0 == table).map(|key| key.1.as_str());
        let mut parts: Vec<&str> =
            of_table.filter(|part| after.is_none_or(|after| *part > after)).collect();
        parts.dedup();
        let parts: Vec<Json> = parts.into_iter().map(Json::from).collect();
        self.respond(200, object([("parts", parts.into()), ("has_more", false.into())]))
    }

    fn feed(&self, request: &Request) -> Response {
        let number = |name: &str| request.parameter(name).and_then(|text| text.parse().ok());
        let table = request.parameter("table").unwrap_or_default().to_owned();
        let after: u64 = number("after").unwrap_or_default();
        let wait = Duration::from_millis(number("wait_ms").unwrap_or_default().min(30_000));
        let is_quiet = |state: &mut State| {
            let is_change = |(_, version, key, _): &(Instant, u64, Key, Option<String>)| {
                *version > after && key.0 == table
            };
            state.dropped_until <= after && !state.history.iter().any(is_change)
        };
        let waited = self.state.1.wait_timeout_while(self.state(), wait, is_quiet);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if state.dropped_until > after {
            return Response::empty(410);
        }
        let changes =
            state.history.iter().filter(|(_, version, key, _)| *version > after && key.0 == table);
        let rows: Vec<Json> =
            changes.map(|(_, version, key, value)| row(key, *version, value.as_deref())).collect();
        self.respond(200, object([("rows", rows.into()), ("ver", state.version.into())]))
    }
}

impl State {
    /// Counts a call; returns false beyond the limit of calls a second.
    fn admit(&mut self, is_write: bool) -> bool {
        let now = Instant::now();
        let (since, mut writes, mut reads) = match self.window {
            Some(window) if now - window.0 < Duration::from_secs(1) => window,
            _ => (now, 0, 0),
        };
        writes += u32::from(is_write);
        reads += u32::from(!is_write);
        self.window = Some((since, writes, reads));
        writes <= WRITES_PER_S && reads <= READS_PER_S
    }

    fn write(&mut self, changes: Vec<(Key, Option<String>)>) {
        self.version += 1;
        let (version, now) = (self.version, Instant::now());
        for (key, value) in changes {
            match &value {
                Some(value) => self.rows.insert(key.clone(), (version, value.clone())),
                None => self.rows.remove(&key),
            };
            self.history.push((now, version, key, value));
        }
        let old = self.history.iter().take_while(|(at, ..)| now - *at > HISTORY).count();
        if let Some((_, version, ..)) = self.history.drain(..old).next_back() {
            self.dropped_until = version;
        }
    }

    fn row(&self, key: &Key) -> Json {
        match self.rows.get(key) {
            Some((version, value)) => row(key, *version, Some(value)),
            None => row(key, 0, None),
        }
    }
}

fn key(entry: &Json) -> Key {
    let text = |name| entry.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row((table, part, key): &Key, version: u64, value: Option<&str>) -> Json {
    let last = match value {
        Some(value) => ("value", value.into()),
        None => ("tombstone", true.into()),
    };
    object([
        ("table", table.as_str().into()),
        ("part", part.as_str().into()),
        ("key", key.as_str().into()),
        ("ver", version.into()),
        last,
    ])
}

/// Encodes bytes in base64.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or_default());
        let group = at(0) << 16 | at(1) << 8 | at(2);
        for digit in 0..4 {
            let value = group >> (18 - 6 * digit) & 63;
            let is_padding = digit > chunk.len();
            text.push(if is_padding { '=' } else { char::from(DIGITS[value as usize]) });
        }
    }
    text
}
