//! The platform's store: rows in tables, transactions, reads and the feed of changes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response},
    json::{Json, number, object, text},
};

/// Time of a transaction (`tx_ms`).
const TRANSACTION: Duration = Duration::from_millis(4);
/// Largest number of rows in a response.
const MAX_ROWS: usize = 500;
/// Largest value of a row (`row_bytes`), before its encoding in base64.
const MAX_ROW_BYTES: usize = 65_536;

/// Table, part and key.
type Key = (String, String, String);

#[derive(Debug, Default)]
struct State {
    version: u64,
    /// Version and value of each row; a removed one has no value.
    rows: BTreeMap<Key, (u64, Option<String>)>,
}

/// A store that loses nothing and answers every call.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    /// Starts a store and returns it with its address.
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let served = Arc::clone(&store);
        let address = http::serve(move |request| Some(served.answer(&request)));
        (store, address)
    }

    /// Writes or removes a row as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: Option<&Json>) {
        let value = value.map(|value| encode_base64(value.encode().as_bytes()));
        let mut state = self.state.lock().expect("not poisoned");
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), String::new(), key.to_owned()), (version, value));
        drop(state);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> Response {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(&request.json()),
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-parts") => self.parts(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => (400, "{}".to_owned()),
        }
    }

    /// Returns the fields of every response about rows.
    fn page(&self, version: u64, rows: Vec<Json>, has_more: bool) -> Response {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(0) + 1_000_000;
        let page = object([
            ("rows", Json::List(rows)),
            ("has_more", Json::Bool(has_more)),
            ("ver", number(version)),
            ("now_ms", number(now_ms)),
        ]);
        (200, page.encode())
    }

    fn transact(&self, body: &Json) -> Response {
        thread::sleep(TRANSACTION);
        let key = |entry: &Json| -> Key {
            let field = |name: &str| entry.get(name).as_str().to_owned();
            (field("table"), field("part"), field("key"))
        };
        let entries = |name: &str| body.get(name).as_list().to_vec();
        let (conditions, writes, removals) =
            (entries("precondition"), entries("writes"), entries("remove"));
        if conditions.len() + writes.len() + removals.len() > 100 {
            return (400, "{}".to_owned());
        }
        let changed = || writes.iter().chain(&removals);
        if changed().any(|entry| ["op", "servers"].contains(&entry.get("table").as_str())) {
            return (403, "{}".to_owned());
        }
        let size = |entry: &Json| entry.get("value").as_str().len() / 4 * 3;
        if writes.iter().any(|entry| size(entry) > MAX_ROW_BYTES + 2) {
            return (413, "{}".to_owned());
        }
        let mut state = self.state.lock().expect("not poisoned");
        let current = |state: &State, key: &Key| match state.rows.get(key) {
            Some((version, Some(_))) => *version,
            _ => 0,
        };
        let holds = conditions.iter().all(|condition| {
            current(&state, &key(condition)) == condition.get("ver").as_u64().unwrap_or(0)
        });
        if !holds {
            let rows = conditions.iter().map(|condition| {
                let key = key(condition);
                let version = current(&state, &key);
                let value = state.rows.get(&key).and_then(|(_, value)| value.clone());
                row(&key, version, value.as_deref())
            });
            let rows = rows.collect();
            let (_, body) = self.page(state.version, rows, false);
            return (412, body);
        }
        state.version += 1;
        let version = state.version;
        for write in &writes {
            let value = write.get("value").as_str().to_owned();
            state.rows.insert(key(write), (version, Some(value)));
        }
        for removal in &removals {
            state.rows.insert(key(removal), (version, None));
        }
        drop(state);
        self.changed.notify_all();
        self.page(version, Vec::new(), false)
    }

    fn read(&self, request: &Request) -> Response {
        let state = self.state.lock().expect("not poisoned");
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.query.get("to"));
        let found = state.rows.iter().filter(|((in_table, in_part, key), (_, value))| {
            in_table == table
                && in_part == part
                && key.as_str() >= from
                && to.is_none_or(|to| key < to)
                && value.is_some()
        });
        let mut rows: Vec<Json> = found
            .take(MAX_ROWS + 1)
            .map(|(key, (version, value))| row(key, *version, value.as_deref()))
            .collect();
        let has_more = rows.len() > MAX_ROWS;
        rows.truncate(MAX_ROWS);
        self.page(state.version, rows, has_more)
    }

    fn parts(&self, request: &Request) -> Response {
        let state = self.state.lock().expect("not poisoned");
        let table = request.parameter("table");
        let after = request.query.get("after");
        let rows = state.rows.iter().filter(|(key, (_, value))| key.0 == table && value.is_some());
        let mut parts: Vec<String> = rows.map(|(key, _)| key.1.clone()).collect();
        parts.dedup();
        parts.retain(|part| after.is_none_or(|after| part > after));
        let parts = parts.iter().map(|part| text(part)).collect();
        (200, object([("parts", Json::List(parts)), ("has_more", Json::Bool(false))]).encode())
    }

    fn feed(&self, request: &Request) -> Response {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.parameter("wait_ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().expect("not poisoned");
        loop {
            let rows = state.rows.iter();
            let mut found: Vec<(u64, Json)> = rows
                .filter(|(key, (version, _))| key.0 == table && *version > after)
                .map(|(key, (version, value))| (*version, row(key, *version, value.as_deref())))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort_by_key(|(version, _)| *version);
                let rows = found.into_iter().map(|(_, row)| row).collect();
                return self.page(state.version, rows, false);
            }
            state = self.changed.wait_timeout(state, left).expect("not poisoned").0;
        }
    }
}

fn row((table, part, key): &Key, version: u64, value: Option<&str>) -> Json {
    let mut fields = BTreeMap::from([
        ("table".to_owned(), text(table)),
        ("part".to_owned(), text(part)),
        ("key".to_owned(), text(key)),
        ("ver".to_owned(), number(version)),
    ]);
    match value {
        Some(value) => fields.insert("value".to_owned(), text(value)),
        None => fields.insert("tombstone".to_owned(), Json::Bool(true)),
    };
    Json::Object(fields)
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) & 63;
            let is_padding = digit > chunk.len();
            out.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    out
}
