//! Stand-in for the platform: transactional table, object store and VM list with a lag.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, BufReader, Read};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_wire::{TableRow, TableRows, Transaction, TransactionResult, Vm, VmList};
use rouille::{Request, Response, ResponseBody, Server};

use crate::ports::free_address;

/// Latency of a synchronous write.
const WRITE_TIME: Duration = Duration::from_millis(5);

/// Prefix of the paths of one VM, followed by its name.
const VM_PREFIX: &str = "/vm/";

/// Size of the HTTP server's thread pool.
const HTTP_THREADS: usize = 16;

/// Fault switches of the platform; the default has no faults.
#[derive(Debug, Clone, Default)]
pub struct PlatformFaults {
    /// Answers every call with 503.
    pub is_unavailable: bool,
    /// Delay of every call.
    pub delay: Duration,
    /// Additional delay before a write takes effect. A write takes effect even if its client has
    /// timed out by then.
    pub write_delay: Duration,
    /// Number of successful writes, from the next one on, whose replies are lost.
    pub lost_replies: u32,
    /// Time until readers see a published VM list.
    pub list_lag: Duration,
    /// Names of VMs whose calls are answered with 503.
    pub unreachable_vms: Vec<String>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, TableRow>,
    objects: BTreeMap<String, Vec<u8>>,
    published_lists: Vec<(Instant, Vec<Vm>)>,
    faults: PlatformFaults,
    writes: u64,
    reads: u64,
}

/// Platform on loopback; its server thread runs until the program ends.
#[derive(Debug, Clone)]
pub struct PlatformStandIn {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl PlatformStandIn {
    /// Starts a platform on a free address, with an empty table, object store and VM list.
    pub fn start() -> Self {
        Self::start_at(free_address())
    }

    /// Starts an empty platform that listens on `address`.
    ///
    /// # Panics
    /// If the address is in use.
    pub fn start_at(address: SocketAddr) -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let server = Server::new(address, move |req| serve(&shared, req))
            .expect("platform stand-in listens")
            .pool_size(HTTP_THREADS);
        thread::spawn(move || server.run());
        Self { address, state }
    }

    /// Base URL, for clients that are not a VM.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Base URL for a VM, so that [`PlatformFaults::unreachable_vms`] can name the VM.
    pub fn vm_url(&self, vm: &str) -> String {
        format!("{}{VM_PREFIX}{vm}", self.url())
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.lock().faults = faults;
    }

    /// Publishes a VM list; readers see it after [`PlatformFaults::list_lag`].
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.lock().published_lists.push((Instant::now(), vms));
    }

    /// All rows of the table in key order.
    pub fn rows(&self) -> Vec<TableRow> {
        self.lock().rows.values().cloned().collect()
    }

    /// Numbers of writes and reads served so far.
    pub fn call_counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.writes, state.reads)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn serve(state: &Mutex<State>, req: &Request) -> Response {
    let faults = lock(state).faults.clone();
    thread::sleep(faults.delay);
    if faults.is_unavailable {
        return Response::text("away").with_status_code(503);
    }
    let path = req.url();
    let (vm, path) = split_vm(&path);
    if vm.is_some_and(|vm| faults.unreachable_vms.iter().any(|name| name == vm)) {
        return Response::text("cut off").with_status_code(503);
    }
    match (req.method(), path) {
        ("GET", "/v1/table/row") => read_row(state, req),
        ("GET", "/v1/table/rows") => read_rows(state, req),
        ("POST", "/v1/table/transactions") => commit(state, req),
        ("GET", "/v1/vms") => read_vms(state, req),
        ("PUT", "/v1/object") => write_object(state, req),
        ("GET", "/v1/object") => read_object(state, req),
        _ => Response::empty_404(),
    }
}

/// Splits the VM prefix off a path; the VM is `None` if the path has no prefix.
fn split_vm(path: &str) -> (Option<&str>, &str) {
    let Some(rest) = path.strip_prefix(VM_PREFIX) else {
        return (None, path);
    };
    let end = rest.find('/').unwrap_or(rest.len());
    (Some(&rest[..end]), &rest[end..])
}

fn read_row(state: &Mutex<State>, req: &Request) -> Response {
    let key = req.get_param("key").unwrap_or_default();
    let mut state = lock(state);
    state.reads += 1;
    let absent = TableRow {
        key: key.clone(),
        ..TableRow::default()
    };
    Response::json(state.rows.get(&key).unwrap_or(&absent))
}

fn read_rows(state: &Mutex<State>, req: &Request) -> Response {
    let prefix = req.get_param("prefix").unwrap_or_default();
    let after = req.get_param("after").unwrap_or_default();
    let limit = req
        .get_param("limit")
        .and_then(|n| n.parse().ok())
        .unwrap_or(100);
    let mut state = lock(state);
    state.reads += 1;
    let rows = state.rows.range(prefix.clone()..).map(|(_, row)| row);
    let rows = rows.take_while(|row| row.key.starts_with(&prefix));
    let rows = rows
        .filter(|row| row.key > after)
        .take(limit)
        .cloned()
        .collect();
    Response::json(&TableRows { rows })
}

fn commit(state: &Mutex<State>, req: &Request) -> Response {
    let Some(transaction) = read_json::<Transaction>(req) else {
        return Response::empty_400();
    };
    let write_delay = lock(state).faults.write_delay;
    thread::sleep(WRITE_TIME + write_delay);
    let mut state = lock(state);
    state.writes += 1;
    let result = apply_transaction(&mut state.rows, &transaction);
    if state.faults.lost_replies > 0 && result.committed {
        state.faults.lost_replies -= 1;
        return truncated_response();
    }
    Response::json(&result)
}

/// Response whose connection breaks after the header, so that the client sees a lost reply.
fn truncated_response() -> Response {
    /// Length that the header announces, in bytes.
    const ANNOUNCED_BYTES: usize = 64;
    Response {
        data: ResponseBody::from_reader_and_size(FailingReader, ANNOUNCED_BYTES),
        ..Response::json(&TransactionResult::default())
    }
}

#[derive(Debug)]
struct FailingReader;

impl Read for FailingReader {
    fn read(&mut self, _: &mut [u8]) -> io::Result<usize> {
        Err(io::ErrorKind::ConnectionAborted.into())
    }
}

fn apply_transaction(
    rows: &mut BTreeMap<String, TableRow>,
    transaction: &Transaction,
) -> TransactionResult {
    let mut conflicts = Vec::new();
    for condition in &transaction.conditions {
        let absent = TableRow {
            key: condition.key.clone(),
            ..TableRow::default()
        };
        let row = rows.get(&condition.key).unwrap_or(&absent);
        if row.version != condition.version {
            conflicts.push(row.clone());
        }
    }
    if !conflicts.is_empty() {
        return TransactionResult {
            committed: false,
            conflicts,
        };
    }
    for write in &transaction.writes {
        let Some(value) = write.value.clone() else {
            rows.remove(&write.key);
            continue;
        };
        let version = rows.get(&write.key).map_or(0, |row| row.version) + 1;
        rows.insert(
            write.key.clone(),
            TableRow {
                key: write.key.clone(),
                version,
                value,
            },
        );
    }
    TransactionResult {
        committed: true,
        conflicts,
    }
}

fn read_vms(state: &Mutex<State>, req: &Request) -> Response {
    let data_centre = req.get_param("data_centre");
    let is_listed = |vm: &&Vm| {
        let is_in_data_centre = data_centre.as_ref().is_none_or(|dc| *dc == vm.data_centre);
        is_in_data_centre || vm.role == "entry"
    };
    let mut state = lock(state);
    state.reads += 1;
    let lag = state.faults.list_lag;
    let visible = state
        .published_lists
        .iter()
        .rev()
        .find(|(at, _)| at.elapsed() >= lag);
    let vms = visible.map(|(_, vms)| vms.iter().filter(is_listed).cloned().collect());
    let res = Response::json(&VmList {
        vms: vms.unwrap_or_default(),
    });
    let tag = entity_tag(visible.map_or(&[], |(_, vms)| vms));
    res.with_etag(req, tag)
}

fn entity_tag(vms: &[Vm]) -> String {
    let mut hasher = DefaultHasher::new();
    vms.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}

fn write_object(state: &Mutex<State>, req: &Request) -> Response {
    let name = req.get_param("name").unwrap_or_default();
    let mut content = Vec::new();
    let read = req.data().map(|mut data| data.read_to_end(&mut content));
    if !matches!(read, Some(Ok(_))) {
        return Response::empty_400();
    }
    thread::sleep(WRITE_TIME);
    let mut state = lock(state);
    state.writes += 1;
    state.objects.insert(name, content);
    Response::empty_204()
}

fn read_object(state: &Mutex<State>, req: &Request) -> Response {
    let name = req.get_param("name").unwrap_or_default();
    let mut state = lock(state);
    state.reads += 1;
    match state.objects.get(&name) {
        Some(content) => Response::from_data("application/octet-stream", content.clone()),
        None => Response::empty_404(),
    }
}

/// Parses a JSON body regardless of its content type; `None` if the body is missing or invalid.
pub(crate) fn read_json<T: serde::de::DeserializeOwned>(req: &Request) -> Option<T> {
    serde_json::from_reader(BufReader::new(req.data()?)).ok()
}
