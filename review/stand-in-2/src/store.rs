//! Stand-in of the platform's metadata store: rows with versions, transactions and a feed.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply, Request},
    json::Json,
};

/// Time that a transaction takes (`platform.tx_ms`).
const TX_TIME: Duration = Duration::from_millis(4);
/// Largest value of a row before its encoding (`platform.row_bytes`).
const ROW_BYTES: usize = 65_536;
/// Most entries of a transaction, and its largest size in bytes.
const MAX_ENTRIES: usize = 100;
const MAX_TX_BYTES: usize = 1 << 20;
/// Most rows of a read.
const MAX_ROWS: usize = 500;
/// Time for which changes are kept (`platform.history_s`).
const HISTORY: Duration = Duration::from_secs(20);

type Key = (String, String, String);

#[derive(Default)]
struct Tables {
    version: u64,
    rows: BTreeMap<Key, (u64, String)>,
    /// Changes of the last `HISTORY`, with their versions and times.
    history: VecDeque<(u64, Key, Option<String>, Instant)>,
    /// Version up to which the history is forgotten.
    forgotten: u64,
}

/// What happens to a transaction.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Normal,
    /// It gets no answer and is done this much later, if its condition still holds.
    Late(Duration),
}

type Rule = Box<dyn Fn(&Json) -> Fate + Send + Sync>;

#[derive(Clone)]
pub struct Store {
    tables: Arc<(Mutex<Tables>, Condvar)>,
    rule: Arc<Mutex<Option<Rule>>>,
    start: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let any = "127.0.0.1:0".parse().expect("an address");
        let mut store = Store {
            tables: Arc::default(),
            rule: Arc::default(),
            start: Instant::now(),
            address: any,
        };
        let served = store.clone();
        store.address = http::serve(move |request| served.handle(request));
        store
    }

    /// Decides by `rule` on each transaction from now on.
    pub fn set_rule(&self, rule: Option<Rule>) {
        *self.rule.lock().unwrap() = rule;
    }

    /// Writes a row, as an operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.write(vec![(key, Some(encode(value.to_string().as_bytes())))]);
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(vec![((table.to_owned(), String::new(), key.to_owned()), None)]);
    }

    pub fn get(&self, table: &str, key: &str) -> Option<Json> {
        let tables = self.tables.0.lock().unwrap();
        let (_, value) = tables.rows.get(&(table.to_owned(), String::new(), key.to_owned()))?;
        Json::parse(&String::from_utf8(decode(value)?).ok()?)
    }

    fn write(&self, changes: Vec<(Key, Option<String>)>) {
        self.tables.0.lock().unwrap().write(changes);
        self.tables.1.notify_all();
    }

    fn handle(&self, request: &Request) -> Reply {
        match (&*request.method, &*request.path) {
            ("POST", "/rows-tx") => self.transact(request),
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-parts") => self.parts(request),
            ("GET", "/rows-feed") => self.feed(request),
            _ => Reply::Respond(404, String::new()),
        }
    }

    fn transact(&self, request: &Request) -> Reply {
        let Some(transaction) = Json::parse(&request.body) else {
            return Reply::Respond(400, String::new());
        };
        let entries: usize = ["precondition", "writes", "remove"]
            .map(|name| transaction.get(name).list().len())
            .iter()
            .sum();
        let is_large = |entry: &Json| entry.get("value").text().len() > ROW_BYTES.div_ceil(3) * 4;
        let is_foreign = |entry: &Json| matches!(entry.get("table").text(), "op" | "servers");
        let writes = transaction.get("writes").list();
        if entries > MAX_ENTRIES || request.body.len() > MAX_TX_BYTES || writes.iter().any(is_large)
        {
            return Reply::Respond(400, String::new());
        }
        if writes.iter().any(is_foreign) {
            return Reply::Respond(403, String::new());
        }
        let fate =
            self.rule.lock().unwrap().as_ref().map_or(Fate::Normal, |rule| rule(&transaction));
        match fate {
            Fate::Normal => {
                thread::sleep(TX_TIME);
                self.apply(&transaction)
            }
            Fate::Late(time) => {
                let store = self.clone();
                http::spawn(move || {
                    thread::sleep(time);
                    store.apply(&transaction);
                });
                Reply::Silence(Duration::from_secs(10))
            }
        }
    }

    /// Applies a transaction if its conditions hold.
    fn apply(&self, transaction: &Json) -> Reply {
        let mut tables = self.tables.0.lock().unwrap();
        let conditions = transaction.get("precondition").list();
        let holds = conditions.iter().all(|entry| {
            let version = tables.rows.get(&key(entry)).map_or(0, |(version, _)| *version);
            entry.get("ver").int() == Some(version as i64)
        });
        if !holds {
            let rows: Vec<Json> = conditions.iter().map(|entry| tables.row(&key(entry))).collect();
            return self.respond(412, &tables, rows, false);
        }
        let put = |entry: &Json| (key(entry), Some(entry.get("value").text().to_owned()));
        let mut changes: Vec<(Key, Option<String>)> =
            transaction.get("writes").list().iter().map(put).collect();
        changes.extend(transaction.get("remove").list().iter().map(|entry| (key(entry), None)));
        tables.write(changes);
        self.tables.1.notify_all();
        self.respond(200, &tables, Vec::new(), false)
    }

    fn read(&self, request: &Request) -> Reply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, part, to) = (field("table"), field("part"), request.query.get("to"));
        let limit = field("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let tables = self.tables.0.lock().unwrap();
        let first = (table.clone(), part.clone(), field("from"));
        let rows: Vec<&Key> = tables
            .rows
            .range(first..)
            .map(|(key, _)| key)
            .take_while(|key| key.0 == table && key.1 == part && to.is_none_or(|to| key.2 < *to))
            .take(limit + 1)
            .collect();
        let has_more = rows.len() > limit;
        let rows = rows.into_iter().take(limit).map(|key| tables.row(key)).collect();
        self.respond(200, &tables, rows, has_more)
    }

    fn parts(&self, request: &Request) -> Reply {
        let table = request.query.get("table").cloned().unwrap_or_default();
        let after = request.query.get("after");
        let tables = self.tables.0.lock().unwrap();
        let mut parts: Vec<&String> = tables
            .rows
            .keys()
            .filter(|key| key.0 == table && after.is_none_or(|after| key.1 > *after))
            .map(|key| &key.1)
            .collect();
        parts.dedup();
        let has_more = parts.len() > 1000;
        let parts: Vec<Json> =
            parts.into_iter().take(1000).map(|part| Json::from(&**part)).collect();
        let body = Json::map([
            ("parts", Json::List(parts)),
            ("has_more", Json::from(has_more)),
            ("ver", Json::from(tables.version)),
            ("now_ms", Json::from(self.now_ms())),
        ]);
        Reply::Respond(200, body.to_string())
    }

    fn feed(&self, request: &Request) -> Reply {
        let field = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (table, after) = (field("table"), field("after").parse::<u64>().unwrap_or(0));
        let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
        let changed = |tables: &Tables| -> Vec<Json> {
            let first = tables.history.partition_point(|(version, ..)| *version <= after);
            let rows = tables.history.range(first..).filter(|(_, key, ..)| key.0 == table);
            rows.map(|(version, key, value, _)| row(key, *version, value.as_deref())).collect()
        };
        let tables = self.tables.0.lock().unwrap();
        let (tables, _) = self
            .tables
            .1
            .wait_timeout_while(tables, wait, |tables| changed(tables).is_empty())
            .unwrap();
        if after < tables.forgotten {
            return Reply::Respond(410, String::new());
        }
        let rows = changed(&tables);
        self.respond(200, &tables, rows, false)
    }

    fn now_ms(&self) -> u64 {
        100_000 + self.start.elapsed().as_millis() as u64
    }

    fn respond(&self, status: u16, tables: &Tables, rows: Vec<Json>, has_more: bool) -> Reply {
        let body = Json::map([
            ("rows", Json::List(rows)),
            ("has_more", Json::from(has_more)),
            ("ver", Json::from(tables.version)),
            ("now_ms", Json::from(self.now_ms())),
        ]);
        Reply::Respond(status, body.to_string())
    }
}

impl Tables {
    fn write(&mut self, changes: Vec<(Key, Option<String>)>) {
        self.version += 1;
        for (key, value) in changes {
            match &value {
                Some(value) => self.rows.insert(key.clone(), (self.version, value.clone())),
                None => self.rows.remove(&key),
            };
            self.history.push_back((self.version, key, value, Instant::now()));
        }
        while self.history.front().is_some_and(|change| change.3.elapsed() > HISTORY) {
            self.forgotten = self.history.pop_front().map_or(0, |change| change.0);
        }
    }

    fn row(&self, key: &Key) -> Json {
        match self.rows.get(key) {
            Some((version, value)) => row(key, *version, Some(value)),
            None => row(key, 0, None),
        }
    }
}

fn row(key: &Key, version: u64, value: Option<&str>) -> Json {
    let mut row = BTreeMap::from([
        ("table".to_owned(), Json::from(&*key.0)),
        ("part".to_owned(), Json::from(&*key.1)),
        ("key".to_owned(), Json::from(&*key.2)),
        ("ver".to_owned(), Json::from(version)),
    ]);
    match value {
        Some(value) => row.insert("value".to_owned(), Json::from(value)),
        None if version > 0 => row.insert("tombstone".to_owned(), Json::from(true)),
        None => None,
    };
    Json::Map(row)
}

fn key(entry: &Json) -> Key {
    let text = |name: &str| entry.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0_u32, |number, byte| number << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = ALPHABET[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

fn decode(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0_u32, 0);
    for character in text.bytes().filter(|byte| *byte != b'=') {
        let digit = ALPHABET.iter().position(|known| *known == character)?;
        number = (number << 6 | digit as u32) & 0xff_ffff;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
        }
    }
    Some(bytes)
}
