//! Stand-in of the platform's store: rows in tables, transactions, reads and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{base64, quote, Json};
use crate::worker::random;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value as base64, `None` for a removed row; and the version of the last change.
    rows: BTreeMap<Key, (Option<String>, u64)>,
}

/// The store, and how it behaves at present.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    /// Time that a transaction takes.
    transaction: Duration,
    /// What goes wrong.
    trouble: Mutex<Trouble>,
}

/// What goes wrong with calls to the store.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub enum Trouble {
    #[default]
    None,
    /// No call gets an answer.
    Silent,
    /// All calls are refused with 503.
    Busy,
    /// Transactions take this many milliseconds.
    Slow(u64),
    /// A share of the transactions, in thousandths, is done and not answered.
    Lost(u64),
    /// The same, but they are done 1 to 6 s later, if their condition still holds.
    Late(u64),
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            transaction: Duration::from_millis(3),
            trouble: Mutex::default(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let handler = Arc::clone(&store);
        http::serve(listener, Arc::new(move |req| handler.handle(req)));
        (store, address)
    }

    /// Sets a row, as the operator or a worker does.
    pub fn set(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.change(key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.change((table.to_owned(), String::new(), key.to_owned()), None);
    }

    fn change(&self, key: Key, value: Option<String>) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(key, (value, version));
        self.changed.notify_all();
    }

    pub fn set_trouble(&self, trouble: Trouble) {
        *self.trouble.lock().unwrap() = trouble;
    }

    fn handle(self: &Arc<Self>, req: &Request) -> Reply {
        let trouble = *self.trouble.lock().unwrap();
        let is_write = req.path == "/geraniumrelay/rows-tx";
        match trouble {
            Trouble::Silent => {
                std::thread::sleep(Duration::from_secs(5));
                return Reply::Break;
            }
            Trouble::Busy => return Reply::Answer(503, String::new()),
            Trouble::Slow(ms) if is_write => std::thread::sleep(Duration::from_millis(ms)),
            Trouble::Lost(share) if is_write && random() % 1_000 < share => {
                self.transact(req);
                std::thread::sleep(Duration::from_secs(2));
                return Reply::Break;
            }
            Trouble::Late(share) if is_write && random() % 1_000 < share => {
                let (store, req) = (Arc::clone(self), req.clone());
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(1_000 + random() % 5_000));
                    store.transact(&req);
                });
                std::thread::sleep(Duration::from_secs(2));
                return Reply::Break;
            }
            _ => {}
        }
        match (req.method.as_str(), req.path.as_str()) {
            ("POST", "/geraniumrelay/rows-tx") => self.transact(req),
            ("GET", "/geraniumrelay/rows-get") => self.get(req),
            ("GET", "/geraniumrelay/rows-feed") => self.feed(req),
            _ => Reply::Answer(404, String::new()),
        }
    }

    fn tail(&self, version: u64) -> String {
        let now = self.started.elapsed().as_millis();
        format!("\"row_version\":{version},\"now_ms\":{now}")
    }

    fn transact(&self, req: &Request) -> Reply {
        let Some(body) = Json::parse(&req.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        std::thread::sleep(self.transaction);
        let key = |row: &Json| {
            let text = |name| row.str(name).unwrap_or("").to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, key: &Key| match rows.rows.get(key) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        let expected = body.arr("expected");
        let holds = |row: &Json| version_of(&rows, &key(row)) == row.num("row_version").unwrap_or(0);
        if !expected.iter().all(holds) {
            let now = expected.iter().filter_map(|row| {
                let key = key(row);
                let (value, version) = rows.rows.get(&key)?;
                Some(render(&key, value.as_ref()?, *version))
            });
            let now: Vec<String> = now.collect();
            let tail = self.tail(rows.version);
            return Reply::Answer(412, format!("{{\"rows\":[{}],{tail}}}", now.join(",")));
        }
        rows.version += 1;
        let version = rows.version;
        for row in body.arr("upserts") {
            let key = key(row);
            if key.0 == "op" || key.0 == "servers" {
                return Reply::Answer(403, "{}".to_owned());
            }
            rows.rows.insert(key, (Some(row.str("value").unwrap_or("").to_owned()), version));
        }
        for row in body.arr("remove") {
            rows.rows.insert(key(row), (None, version));
        }
        self.changed.notify_all();
        Reply::Answer(200, format!("{{{}}}", self.tail(version)))
    }

    fn get(&self, req: &Request) -> Reply {
        let table = req.param("table").unwrap_or("");
        let part = req.param("part").unwrap_or("");
        let from = req.param("from").unwrap_or("");
        let to = req.param("to").filter(|t| !t.is_empty());
        let limit = req.param("limit").and_then(|l| l.parse().ok()).unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let mut found = rows.rows.iter().filter_map(|(k, (value, version))| {
            let is_asked = k.0 == table && k.1 == part && k.2.as_str() >= from;
            let is_asked = is_asked && to.is_none_or(|to| k.2.as_str() < to);
            Some(render(k, value.as_ref().filter(|_| is_asked)?, *version))
        });
        let page: Vec<String> = found.by_ref().take(limit).collect();
        let has_more = found.next().is_some();
        let tail = self.tail(rows.version);
        Reply::Answer(
            200,
            format!("{{\"rows\":[{}],\"has_more\":{has_more},{tail}}}", page.join(",")),
        )
    }

    fn feed(&self, req: &Request) -> Reply {
        let table = req.param("table").unwrap_or("").to_owned();
        let after: u64 = req.param("after").and_then(|a| a.parse().ok()).unwrap_or(0);
        let wait: u64 = req.param("wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let changed = rows.rows.iter().filter(|(k, v)| k.0 == table && v.1 > after);
            let mut changed: Vec<_> = changed.collect();
            changed.sort_by_key(|(_, v)| v.1);
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                let texts = changed.into_iter().map(|(k, (value, version))| match value {
                    Some(value) => render(k, value, *version),
                    None => format!(
                        "{{\"table\":{},\"part\":{},\"key\":{},\"deleted\":true,\"row_version\":{version}}}",
                        quote(&k.0), quote(&k.1), quote(&k.2)
                    ),
                });
                let texts: Vec<String> = texts.collect();
                let tail = self.tail(rows.version);
                return Reply::Answer(200, format!("{{\"rows\":[{}],{tail}}}", texts.join(",")));
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }
}

fn render(key: &Key, value: &str, version: u64) -> String {
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},\"value\":{},\"row_version\":{version}}}",
        quote(&key.0),
        quote(&key.1),
        quote(&key.2),
        quote(value)
    )
}
