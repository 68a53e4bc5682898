//! Stand-in of the platform's metadata store, with one endpoint for each machine of the system.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Answer, Request},
    json::Json,
};

/// Time that a transaction takes.
const TRANSACTION_TIME: Duration = Duration::from_millis(4);

type Key = (String, String, String);

/// Value of a row: as a system's program wrote it, in base64, or as text by a stand-in.
#[derive(Clone)]
enum Value {
    Base64(String),
    Text(String),
}

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<Key, (u64, Value)>,
    history: Vec<(u64, Key, Option<Value>)>,
}

impl Tables {
    fn write(&mut self, changes: Vec<(Key, Option<Value>)>) {
        self.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => drop(self.rows.insert(key.clone(), (self.version, value.clone()))),
                None => drop(self.rows.remove(&key)),
            }
            self.history.push((self.version, key, value));
        }
    }
}

#[derive(Clone)]
pub struct Store {
    tables: Arc<(Mutex<Tables>, Condvar)>,
    start: Instant,
    /// Whether all calls get status 503, and nothing is done.
    is_down: Arc<AtomicBool>,
}

impl Store {
    pub fn new() -> Store {
        Store { tables: Arc::default(), start: Instant::now(), is_down: Arc::default() }
    }

    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    /// Starts an endpoint for a machine of the system. `addresses` replaces the placeholders of
    /// the workers' addresses by those that this machine reaches them at.
    pub fn listen(&self, addresses: Vec<(String, String)>) -> io::Result<SocketAddr> {
        let store = self.clone();
        http::serve(move |request| store.handle(request, &addresses))
    }

    /// Writes a row as an operator or a worker does.
    pub fn put(&self, table: &str, name: &str, value: &str) {
        let key = (table.to_owned(), String::new(), name.to_owned());
        let value = Some(Value::Text(value.to_owned()));
        self.tables.0.lock().expect("tables").write(vec![(key, value)]);
        self.tables.1.notify_all();
    }

    /// Removes a row as the platform does with the entry of a worker that is silent.
    pub fn remove(&self, table: &str, name: &str) {
        let key = (table.to_owned(), String::new(), name.to_owned());
        let mut tables = self.tables.0.lock().expect("tables");
        if tables.rows.contains_key(&key) {
            tables.write(vec![(key, None)]);
        }
        drop(tables);
        self.tables.1.notify_all();
    }

    /// Returns the text form of a row that a program wrote.
    pub fn get(&self, table: &str, part: &str, name: &str) -> Option<Vec<u8>> {
        let key = (table.to_owned(), part.to_owned(), name.to_owned());
        let tables = self.tables.0.lock().expect("tables");
        match &tables.rows.get(&key)?.1 {
            Value::Base64(text) => decode_base64(text),
            Value::Text(text) => Some(text.clone().into_bytes()),
        }
    }

    fn handle(&self, request: &Request, names: &[(String, String)]) -> Answer {
        let answer = match request.path.as_str() {
            _ if self.is_down() => return Answer::Reply(503, Json::Null),
            "/rows-tx" => return self.transact(&request.json()),
            "/rows-get" => self.read(request, names),
            "/rows-parts" => self.partitions(request),
            "/rows-feed" => self.feed(request, names),
            _ => Answer::Reply(404, Json::Null),
        };
        match self.is_down() {
            true => Answer::Reply(503, Json::Null),
            false => answer,
        }
    }

    fn transact(&self, body: &Json) -> Answer {
        thread::sleep(TRANSACTION_TIME);
        let conditions = body.get("precondition").as_list();
        let writes = body.get("writes").as_list();
        let removals = body.get("remove").as_list();
        if conditions.len() + writes.len() + removals.len() > 100 {
            return Answer::Reply(400, Json::Null);
        }
        let mut tables = self.tables.0.lock().expect("tables");
        let version = |tables: &Tables, entry: &Json| {
            tables.rows.get(&key_of(entry)).map_or(0, |(version, _)| *version)
        };
        let holds = |entry: &Json| entry.get("ver").as_u64() == Some(version(&tables, entry));
        if !conditions.iter().all(holds) {
            let rows = conditions.iter().map(|entry| {
                let key = key_of(entry);
                let found = tables.rows.get(&key);
                row(&key, found.map(|(_, v)| v), found.map_or(0, |(v, _)| *v), &[])
            });
            let rows = Json::List(rows.collect());
            return self.reply(412, tables.version, vec![("rows", rows)]);
        }
        let mut changes = Vec::new();
        for entry in writes {
            let value = entry.get("value").as_text().unwrap_or_default().to_owned();
            if value.len() / 4 * 3 > 65_536 + 3 {
                return Answer::Reply(400, Json::Null);
            }
            changes.push((key_of(entry), Some(Value::Base64(value))));
        }
        changes.extend(removals.iter().map(|entry| (key_of(entry), None)));
        tables.write(changes);
        let answer = self.reply(200, tables.version, Vec::new());
        drop(tables);
        self.tables.1.notify_all();
        answer
    }

    fn read(&self, request: &Request, names: &[(String, String)]) -> Answer {
        let parameter = |name| request.parameter(name).unwrap_or_default().to_owned();
        let (table, part) = (parameter("table"), parameter("part"));
        let limit = request.parameter("limit").and_then(|l| l.parse().ok()).unwrap_or(500_usize);
        let to = request.parameter("to");
        let tables = self.tables.0.lock().expect("tables");
        let first = (table.clone(), part.clone(), parameter("from"));
        let rows = tables.rows.range(first..);
        let rows = rows.take_while(|((t, p, _), _)| *t == table && *p == part);
        let rows = rows.take_while(|((.., name), _)| to.is_none_or(|to| name.as_str() < to));
        let mut rows: Vec<Json> =
            rows.map(|(key, (version, value))| row(key, Some(value), *version, names)).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        let fields = vec![("rows", Json::List(rows)), ("has_more", Json::Bool(has_more))];
        self.reply(200, tables.version, fields)
    }

    fn partitions(&self, request: &Request) -> Answer {
        let table = request.parameter("table").unwrap_or_default();
        let after = request.parameter("after");
        let tables = self.tables.0.lock().expect("tables");
        let parts = tables.rows.keys().filter(|(t, ..)| t == table).map(|(_, part, _)| part);
        let mut parts: Vec<&String> =
            parts.filter(|part| after.is_none_or(|after| part.as_str() > after)).collect();
        parts.dedup();
        let parts = Json::List(parts.into_iter().map(|part| Json::text(part)).collect());
        self.reply(200, tables.version, vec![("parts", parts), ("has_more", Json::Bool(false))])
    }

    fn feed(&self, request: &Request, names: &[(String, String)]) -> Answer {
        let table = request.parameter("table").unwrap_or_default();
        let number = |name| request.parameter(name).and_then(|n| n.parse().ok()).unwrap_or(0_u64);
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let is_new =
            |(version, key, _): &&(u64, Key, Option<Value>)| *version > after && key.0 == table;
        let tables = self.tables.0.lock().expect("tables");
        let has_nothing = |tables: &mut Tables| !tables.history.iter().rev().any(|h| is_new(&h));
        let (tables, _) =
            self.tables.1.wait_timeout_while(tables, wait, has_nothing).expect("tables");
        let changes = tables.history.iter().filter(is_new);
        let rows = changes.map(|(version, key, value)| row(key, value.as_ref(), *version, names));
        let rows = Json::List(rows.collect());
        self.reply(200, tables.version, vec![("rows", rows)])
    }

    fn reply(&self, status: u16, version: u64, mut fields: Vec<(&str, Json)>) -> Answer {
        let now_ms = 1000 + u64::try_from(self.start.elapsed().as_millis()).unwrap_or_default();
        fields.push(("ver", Json::number(version)));
        fields.push(("now_ms", Json::number(now_ms)));
        Answer::Reply(status, Json::object(&fields))
    }
}

fn key_of(entry: &Json) -> Key {
    let text = |name| entry.get(name).as_text().unwrap_or_default().to_owned();
    (text("table"), text("part"), text("key"))
}

fn row(key: &Key, value: Option<&Value>, version: u64, names: &[(String, String)]) -> Json {
    let (table, part, name) = key;
    let mut fields = vec![
        ("table", Json::text(table)),
        ("part", Json::text(part)),
        ("key", Json::text(name)),
        ("ver", Json::number(version)),
    ];
    match value {
        Some(Value::Base64(text)) => fields.push(("value", Json::text(text))),
        Some(Value::Text(text)) => {
            let text = names.iter().fold(text.clone(), |text, (from, to)| text.replace(from, to));
            fields.push(("value", Json::text(&encode_base64(text.as_bytes()))));
        }
        None if version > 0 => fields.push(("tombstone", Json::Bool(true))),
        None => {}
    }
    Json::object(&fields)
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = ALPHABET[(group >> (18 - 6 * index) & 63) as usize];
            text.push(if index > chunk.len() { '=' } else { digit as char });
        }
    }
    text
}

fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let digits = text.trim_end_matches('=').as_bytes();
    for chunk in digits.chunks(4) {
        let mut group = 0_u32;
        for digit in chunk {
            group = group << 6 | ALPHABET.iter().position(|d| d == digit)? as u32;
        }
        group <<= 6 * (4 - chunk.len());
        let whole = [(group >> 16) as u8, (group >> 8) as u8, group as u8];
        bytes.extend(&whole[..chunk.len() - 1]);
    }
    Some(bytes)
}
