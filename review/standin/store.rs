//! The platform's store: tables of rows with versions, transactions, and a feed of changes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{Json, quote};

/// Time for a call to the store, by the sheet.
const ANSWER_TIME: Duration = Duration::from_millis(4);
const MAX_ROWS: usize = 500;

#[derive(Clone)]
struct Row {
    /// Base64; `None` for a removed row.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    /// By table and key; the part is always empty here.
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

pub struct Store {
    pub address: SocketAddr,
    began: Instant,
    tables: Mutex<Tables>,
    changed: Condvar,
    is_closed: AtomicBool,
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, &b| n << 8 | u32::from(b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            if i <= chunk.len() {
                text.push(char::from(DIGITS[(n >> (18 - 6 * i)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Arc::new(Self {
            address: listener.local_addr().expect("bound"),
            began: Instant::now(),
            tables: Mutex::default(),
            changed: Condvar::new(),
            is_closed: AtomicBool::new(false),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || http::serve(stream, |req| store.handle(&req)));
            }
        });
        store
    }

    /// Ends all waits.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Sets or removes a row, as the operator and the workers do.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut tables = self.tables.lock().unwrap();
        tables.version += 1;
        let row = Row { value: value.map(|v| base64(v.as_bytes())), version: tables.version };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    fn handle(&self, req: &Request) -> Option<Reply> {
        thread::sleep(ANSWER_TIME);
        let arg = |name: &str| req.query.get(name).map_or("", |v| v);
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/geraniumrelay/rows-tx") => Some(self.transact(&Json::parse(&req.body)?)),
            ("GET", "/geraniumrelay/rows-get") => {
                let limit = arg("limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
                let tables = self.tables.lock().unwrap();
                let (from, to) = (arg("from"), arg("to"));
                let rows = tables.rows.iter().filter(|((table, key), row)| {
                    let is_in = key.as_str() >= from && (to.is_empty() || key.as_str() < to);
                    table == arg("table") && is_in && row.value.is_some()
                });
                let rows: Vec<String> = rows.take(limit + 1).map(|(k, r)| text_of(k, r)).collect();
                let has_more = rows.len() > limit;
                let rows = rows[..rows.len().min(limit)].join(",");
                let more = format!("\"rows\":[{rows}],\"has_more\":{has_more}");
                Some((200, self.reply(&more, tables.version)))
            }
            ("GET", "/geraniumrelay/rows-feed") => {
                let after: u64 = arg("after").parse().ok()?;
                let wait: u64 = arg("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut tables = self.tables.lock().unwrap();
                loop {
                    let is_new = |(k, r): &(&(String, String), &Row)| k.0 == arg("table") && r.version > after;
                    let mut rows: Vec<_> = tables.rows.iter().filter(is_new).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !rows.is_empty() || left.is_zero() || self.is_closed.load(Ordering::Relaxed) {
                        rows.sort_by_key(|(_, r)| r.version);
                        let rows: Vec<String> = rows.into_iter().map(|(k, r)| text_of(k, r)).collect();
                        let rows = format!("\"rows\":[{}]", rows.join(","));
                        return Some((200, self.reply(&rows, tables.version)));
                    }
                    tables = self.changed.wait_timeout(tables, left).unwrap().0;
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn reply(&self, fields: &str, version: u64) -> String {
        let now_ms = self.began.elapsed().as_millis();
        format!("{{{fields},\"row_version\":{version},\"now_ms\":{now_ms}}}")
    }

    fn transact(&self, body: &Json) -> Reply {
        let key_of = |entry: &Json| (entry.get("table").str().to_owned(), entry.get("key").str().to_owned());
        let mut tables = self.tables.lock().unwrap();
        let changes = body.get("upserts").list().iter().chain(body.get("remove").list());
        if changes.into_iter().any(|e| matches!(e.get("table").str(), "op" | "servers")) {
            return (403, "{}".to_owned());
        }
        let expected = body.get("expected").list();
        let is_met = |e: &Json| {
            let row = tables.rows.get(&key_of(e)).filter(|r| r.value.is_some());
            row.map_or(0, |r| r.version) == e.get("row_version").u64().unwrap_or(0)
        };
        if !expected.iter().all(is_met) {
            let rows = expected.iter().filter_map(|e| {
                let key = key_of(e);
                let row = tables.rows.get(&key).filter(|r| r.value.is_some())?;
                Some(text_of(&key, row))
            });
            let rows = format!("\"rows\":[{}]", rows.collect::<Vec<_>>().join(","));
            return (412, self.reply(&rows, tables.version));
        }
        tables.version += 1;
        let version = tables.version;
        for entry in body.get("upserts").list() {
            let value = Some(entry.get("value").str().to_owned());
            tables.rows.insert(key_of(entry), Row { value, version });
        }
        for entry in body.get("remove").list() {
            tables.rows.insert(key_of(entry), Row { value: None, version });
        }
        self.changed.notify_all();
        let now_ms = self.began.elapsed().as_millis();
        (200, format!("{{\"row_version\":{version},\"now_ms\":{now_ms}}}"))
    }
}

fn text_of((table, key): &(String, String), row: &Row) -> String {
    let (table, key) = (quote(table), quote(key));
    let version = row.version;
    let value = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},{value},\"row_version\":{version}}}")
}
