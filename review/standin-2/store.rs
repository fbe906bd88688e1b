//! Stand-in for the platform's store, in the form `table`: one address for each machine.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Server};
use crate::json::{base64, n, obj, s, Json};

/// Time that a transaction takes.
const TRANSACTION: Duration = Duration::from_millis(4);

#[derive(Debug, Clone)]
struct Row {
    value: String,
    version: u64,
}

type Key = (String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, Row>,
    version: u64,
    history: Vec<(u64, Key, Option<String>)>,
    /// Machine that last wrote under a condition.
    last_writer: Option<usize>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { state: Mutex::default(), changed: Condvar::new(), started: Instant::now() })
    }

    /// Opens the address at which one machine reaches the store.
    pub fn open(self: &Arc<Self>, machine: usize, ip: Ipv4Addr) -> SocketAddr {
        let store = Arc::clone(self);
        let server = Server::start((ip, 0).into(), move |req| Some(store.answer(machine, req)));
        let server = server.expect("an address for the store");
        let address = server.address;
        std::mem::forget(server);
        address
    }

    /// Sets a row from outside, as the operator or a worker does.
    pub fn set(&self, table: &str, key: &str, value: Option<&Json>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let value = value.map(|v| base64(v.write().as_bytes()));
        state.apply((table.to_owned(), key.to_owned()), value);
        self.changed.notify_all();
    }

    /// The machine that last wrote under a condition.
    pub fn last_writer(&self) -> Option<usize> {
        self.state.lock().unwrap().last_writer
    }

    /// Whether a row exists.
    pub fn has(&self, table: &str, key: &str) -> bool {
        let key = (table.to_owned(), key.to_owned());
        self.state.lock().unwrap().rows.contains_key(&key)
    }

    fn answer(&self, machine: usize, req: &Request) -> (u16, String) {
        let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(k, v)| (k, decode(v)))
            .collect();
        let (status, mut body) = match path {
            "/geraniumrelay/rows-tx" => self.transact(machine, &req.body),
            "/geraniumrelay/rows-get" => self.get(&query),
            "/geraniumrelay/rows-feed" => self.feed(&query),
            _ => (404, Vec::new()),
        };
        let now = self.started.elapsed().as_millis() as u64;
        body.push(("now_ms", n(now)));
        (status, obj(body).write())
    }

    fn transact(&self, machine: usize, body: &str) -> (u16, Vec<(&'static str, Json)>) {
        std::thread::sleep(TRANSACTION);
        let Some(body) = Json::parse(body) else { return (400, Vec::new()) };
        let mut state = self.state.lock().unwrap();
        let key = |r: &Json| {
            (r.text("table").unwrap_or("").to_owned(), r.text("key").unwrap_or("").to_owned())
        };
        let (expected, upserts, remove) =
            (body.array("expected"), body.array("upserts"), body.array("remove"));
        if expected.len() + upserts.len() + remove.len() > 100 {
            return (400, Vec::new());
        }
        let is_foreign = |r: &Json| ["op", "servers"].contains(&r.text("table").unwrap_or(""));
        if upserts.iter().chain(remove).any(is_foreign) {
            return (403, Vec::new());
        }
        let version_of = |state: &State, r: &Json| state.rows.get(&key(r)).map_or(0, |r| r.version);
        let is_met = |r: &Json| version_of(&state, r) == r.number("row_version").unwrap_or(0);
        if !expected.iter().all(is_met) {
            let rows = expected.iter().filter_map(|r| Some(row(&key(r), state.rows.get(&key(r))?)));
            let rows = Json::Arr(rows.collect());
            return (412, vec![("rows", rows), ("row_version", n(state.version))]);
        }
        if !expected.is_empty() {
            state.last_writer = Some(machine);
        }
        state.version += 1;
        for r in upserts {
            let value = r.text("value").unwrap_or("").to_owned();
            state.apply(key(r), Some(value));
        }
        for r in remove {
            state.apply(key(r), None);
        }
        self.changed.notify_all();
        (200, vec![("row_version", n(state.version))])
    }

    fn get(&self, query: &BTreeMap<&str, String>) -> (u16, Vec<(&'static str, Json)>) {
        std::thread::sleep(TRANSACTION);
        let state = self.state.lock().unwrap();
        let text = |k: &str| query.get(k).cloned().unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(500usize).min(500);
        let from = (text("table"), text("from"));
        let to = query.get("to").filter(|t| !t.is_empty());
        let rows = state.rows.range(from.clone()..).take_while(|((table, key), _)| {
            *table == from.0 && to.is_none_or(|to| key < to)
        });
        let mut rows: Vec<Json> = rows.take(limit + 1).map(|(k, r)| row(k, r)).collect();
        let has_more = rows.len() > limit;
        rows.truncate(limit);
        let rows = Json::Arr(rows);
        let version = n(state.version);
        (200, vec![("rows", rows), ("has_more", Json::Bool(has_more)), ("row_version", version)])
    }

    fn feed(&self, query: &BTreeMap<&str, String>) -> (u16, Vec<(&'static str, Json)>) {
        let number = |k: &str| query.get(k).and_then(|v| v.parse().ok()).unwrap_or(0u64);
        let (table, after) = (query.get("table").cloned().unwrap_or_default(), number("after"));
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let start = state.history.partition_point(|(version, ..)| *version <= after);
            let changes = state.history[start..].iter().filter(|(_, key, _)| key.0 == table);
            let rows: Vec<Json> = changes
                .map(|(version, key, value)| match value {
                    Some(value) => row(key, &Row { value: value.clone(), version: *version }),
                    None => obj(vec![
                        ("table", s(&key.0)),
                        ("part", s("")),
                        ("key", s(&key.1)),
                        ("row_version", n(*version)),
                        ("deleted", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, vec![("rows", Json::Arr(rows)), ("row_version", n(state.version))]);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn apply(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match &value {
            Some(value) => {
                self.rows.insert(key.clone(), Row { value: value.clone(), version });
            }
            None => {
                self.rows.remove(&key);
            }
        }
        self.history.push((version, key, value));
    }
}

fn row(key: &Key, row: &Row) -> Json {
    obj(vec![
        ("table", s(&key.0)),
        ("part", s("")),
        ("key", s(&key.1)),
        ("value", s(&row.value)),
        ("row_version", n(row.version)),
    ])
}

/// Decodes percent-encoded text.
fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
