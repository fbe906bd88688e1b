//! Workers: they run tasks under leases, by the pages, and guard their capacity.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Reply, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// `max_hold_ms`.
const MAX_HOLD_MS: u64 = 1_000;
/// Time that a stop takes; `stop_grace_ms` is 50.
const STOP_TIME: Duration = Duration::from_millis(20);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(2);

pub struct Run {
    pub task: String,
    pub run: u64,
    pub cpu: u64,
    mem: u64,
    pub started: Instant,
    work: Duration,
    /// When the run is gone, after a stop.
    stops_at: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

pub struct Worker {
    pub id: String,
    pub zone: String,
    label: String,
    rack: String,
    pub cpu: u64,
    mem: u64,
    pub address: SocketAddr,
    /// Whether the process is up.
    pub is_up: bool,
    /// Whether the process may start again.
    is_gone: bool,
    born: Instant,
    born_ms: u64,
    token: u64,
    lease_until: u64,
    pub runs: Vec<Run>,
    ended: Vec<End>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    finished: BTreeMap<String, u64>,
    connections: Vec<TcpStream>,
    sequence: u64,
    silent_since: Option<Instant>,
    is_listed: bool,
    next_beat: Instant,
}

/// What the workers have seen of a task.
#[derive(Default, Clone)]
pub struct Seen {
    pub starts: u32,
    pub done: u32,
    pub failed: u32,
    /// Ends `done` of which a `hold` has taken note.
    pub noted: u32,
}

#[derive(Default)]
pub struct State {
    pub workers: Vec<Worker>,
    pub tasks: BTreeMap<String, Seen>,
    /// Descriptions of broken rules.
    pub twice: Vec<String>,
}

pub struct Workers {
    state: Mutex<State>,
    changed: Condvar,
    store: Arc<Store>,
    record: Arc<Record>,
    service: String,
    is_closed: AtomicBool,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

impl Worker {
    fn clock(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    fn entry(&self, service: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},\"gpu\":0}},\
             \"labels\":[\"{}\",\"{}\"],\"clock_ms\":{},\"sequence\":{},\"born\":{}}}",
            self.address, self.zone, self.cpu, self.mem, self.label, self.rack, self.clock(), self.sequence, self.born_ms
        )
    }

    fn end(&mut self, position: usize, how: &'static str) -> Run {
        let run = self.runs.remove(position);
        self.last_end += 1;
        let highest = self.finished.entry(run.task.clone()).or_default();
        *highest = run.run.max(*highest);
        let (task, number) = (run.task.clone(), self.last_end);
        self.ended.push(End { number, task, run: run.run, how });
        run
    }
}

impl Workers {
    pub fn start(store: &Arc<Store>, record: &Arc<Record>, service: &str) -> Arc<Self> {
        let workers = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            service: service.to_owned(),
            is_closed: AtomicBool::new(false),
        });
        let ticking = Arc::clone(&workers);
        thread::spawn(move || {
            while !ticking.is_closed.load(Ordering::Relaxed) {
                thread::sleep(TICK);
                let mut state = ticking.state();
                ticking.tick(&mut state);
            }
        });
        workers
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.changed.notify_all();
    }

    /// Adds a worker with a new machine; returns its position.
    pub fn add(self: &Arc<Self>, zone: &str, label: &str, rack: &str, cpu: u64, mem: u64) -> usize {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("bound");
        let mut state = self.state();
        let position = state.workers.len();
        let now = Instant::now();
        state.workers.push(Worker {
            id: format!("i-{position:03}{:05x}", unix_ms() & 0xf_ffff),
            zone: zone.to_owned(),
            label: label.to_owned(),
            rack: rack.to_owned(),
            cpu,
            mem,
            address,
            is_up: true,
            is_gone: false,
            born: now,
            born_ms: unix_ms(),
            token: 0,
            lease_until: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            finished: BTreeMap::new(),
            connections: Vec::new(),
            sequence: 0,
            silent_since: None,
            is_listed: false,
            next_beat: now + Duration::from_millis(position as u64 % 15 * 20),
        });
        drop(state);
        self.listen(position, listener);
        position
    }

    fn listen(self: &Arc<Self>, position: usize, listener: TcpListener) {
        let shared = Arc::clone(self);
        let born = self.state().workers[position].born;
        listener.set_nonblocking(true).expect("a socket");
        thread::spawn(move || {
            loop {
                {
                    let state = shared.state();
                    let worker = &state.workers[position];
                    if !worker.is_up || worker.born != born || shared.is_closed.load(Ordering::Relaxed) {
                        return;
                    }
                }
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(3));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    shared.state().workers[position].connections.push(copy);
                }
                let workers = Arc::clone(&shared);
                thread::spawn(move || http::serve(stream, |req| workers.handle((position, born), &req)));
            }
        });
    }

    /// Ends the process of a worker, with its connections. It starts again after `down`, under its id and at its
    /// address; `None` if it is gone for good.
    pub fn crash(self: &Arc<Self>, position: usize, down: Option<Duration>) {
        let mut state = self.state();
        let worker = &mut state.workers[position];
        worker.is_up = false;
        worker.is_gone = down.is_none();
        worker.silent_since = Some(Instant::now());
        for connection in worker.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let runs: Vec<String> = worker.runs.drain(..).map(|r| format!("{} run {}", r.task, r.run)).collect();
        let (id, address) = (worker.id.clone(), worker.address);
        self.record.line(&format!("worker {id} crashes, with {}", runs.join(", ")));
        drop(state);
        let Some(down) = down else { return };
        let workers = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(down);
            let listener = loop {
                if let Ok(listener) = TcpListener::bind(address) {
                    break listener;
                }
                thread::sleep(Duration::from_millis(20));
            };
            let mut state = workers.state();
            let worker = &mut state.workers[position];
            worker.is_up = true;
            worker.born = Instant::now();
            worker.born_ms = unix_ms();
            (worker.token, worker.lease_until, worker.last_end, worker.sequence) = (0, 0, 0, 0);
            worker.ended.clear();
            worker.finished.clear();
            worker.silent_since = None;
            worker.next_beat = Instant::now();
            workers.record.line(&format!("worker {id} has started again"));
            drop(state);
            workers.listen(position, listener);
        });
    }

    fn tick(&self, state: &mut State) {
        let now = Instant::now();
        let mut has_ended = false;
        let State { workers, tasks, .. } = state;
        for worker in workers {
            if worker.is_up && now >= worker.next_beat {
                worker.sequence += 1;
                worker.is_listed = true;
                worker.next_beat += HEARTBEAT;
                self.store.put("servers", &worker.id, Some(&worker.entry(&self.service)));
            }
            let is_silent = |since| now.duration_since(since) >= 3 * HEARTBEAT;
            if worker.is_listed && worker.silent_since.is_some_and(is_silent) {
                worker.is_listed = false;
                self.store.put("servers", &worker.id, None);
                self.record.line(&format!("the entry of worker {} is removed", worker.id));
            }
            if !worker.is_up {
                continue;
            }
            let is_lapsed = worker.clock() >= worker.lease_until;
            let mut position = 0;
            while position < worker.runs.len() {
                let run = &worker.runs[position];
                let how = if run.stops_at.is_some_and(|at| now >= at) {
                    "stopped"
                } else if run.stops_at.is_none() && now.duration_since(run.started) >= run.work {
                    "done"
                } else if is_lapsed {
                    "lapsed"
                } else {
                    position += 1;
                    continue;
                };
                let run = worker.end(position, how);
                let seen = tasks.entry(run.task.clone()).or_default();
                seen.done += u32::from(how == "done");
                has_ended = true;
                self.record.line(&format!("{} run {} on {} has ended: {how}", run.task, run.run, worker.id));
            }
        }
        if has_ended {
            self.changed.notify_all();
        }
    }

    fn handle(&self, (position, born): (usize, Instant), req: &Request) -> Option<Reply> {
        if req.path == "/health" {
            return Some((200, String::new()));
        }
        let body = Json::parse(&req.body)?;
        let mut state = self.state();
        self.tick(&mut state);
        let worker = &mut state.workers[position];
        if !worker.is_up || worker.born != born {
            return None;
        }
        let is_meant = |id: &String| *id == worker.id;
        if !req.headers.get("geraniumrelay-expected-instance").is_none_or(is_meant) {
            return Some((421, "{}".to_owned()));
        }
        let token = body.get("fencing_token").u64().unwrap_or(0);
        if token < worker.token {
            return Some(refusal(worker, "fence"));
        }
        worker.token = token;
        let deadline = body.get("deadline_ms").u64();
        match req.path.as_str() {
            "/geraniumrelay/run-start" => Some(self.start_run(&mut state, position, &body)),
            "/geraniumrelay/run-stop" => {
                let (task, run) = (body.get("task").str(), body.get("run").u64()?);
                let found = worker.runs.iter_mut().find(|r| r.task == task && r.run == run);
                if let Some(found) = found {
                    found.stops_at.get_or_insert(Instant::now() + STOP_TIME);
                }
                let highest = worker.finished.entry(task.to_owned()).or_default();
                *highest = run.max(*highest);
                self.record.line(&format!("{} is told to stop {task} run {run} (token {token})", worker.id));
                Some((200, format!("{{\"clock_ms\":{}}}", worker.clock())))
            }
            "/geraniumrelay/hold" => {
                extend(worker, deadline);
                let last_seen = body.get("last_seen").u64().unwrap_or(0);
                let noted: Vec<End> = worker.ended.extract_if(.., |e| e.number <= last_seen).collect();
                for end in noted.iter().filter(|e| e.how == "done") {
                    state.tasks.entry(end.task.clone()).or_default().noted += 1;
                }
                let wait = body.get("wait_ms").u64().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let worker = &state.workers[position];
                    if !worker.is_up || worker.born != born {
                        return None;
                    }
                    let left = until.saturating_duration_since(Instant::now());
                    let is_over = left.is_zero() || self.is_closed.load(Ordering::Relaxed);
                    if !worker.ended.is_empty() || is_over {
                        return Some((200, lists(worker)));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn start_run(&self, state: &mut State, position: usize, body: &Json) -> Reply {
        let (task, run) = (body.get("task").str(), body.get("run").u64().unwrap_or(0));
        let spec = body.get("spec").str();
        let deadline = body.get("deadline_ms").u64();
        let worker = &mut state.workers[position];
        let ok = |worker: &Worker| (200, format!("{{\"clock_ms\":{}}}", worker.clock()));
        if worker.runs.iter().any(|r| r.task == task && r.run == run) {
            extend(worker, deadline);
            return ok(worker);
        }
        if deadline.is_some_and(|d| d <= worker.clock()) {
            return refusal(worker, "late");
        }
        extend(worker, deadline);
        if worker.finished.get(task).is_some_and(|&highest| run <= highest) {
            return refusal(worker, "old");
        }
        // The spec tells the work of each step's tasks in ms, and the size: "WORK[,WORK]|CPU|MEM".
        let mut parts = spec.split('|');
        let step: usize = task.split('.').nth(2).and_then(|s| s.parse().ok()).unwrap_or(0);
        let works = parts.next().unwrap_or("");
        let work: u64 = works.split(',').nth(step).and_then(|w| w.parse().ok()).unwrap_or(100);
        let mut size = || parts.next().and_then(|w| w.parse().ok()).unwrap_or(0);
        let (cpu, mem): (u64, u64) = (size(), size());
        let used = |f: fn(&Run) -> u64| worker.runs.iter().map(f).sum::<u64>();
        if used(|r| r.cpu) + cpu > worker.cpu || used(|r| r.mem) + mem > worker.mem {
            return refusal(worker, "room");
        }
        let (started, work) = (Instant::now(), Duration::from_millis(work));
        worker.runs.push(Run { task: task.to_owned(), run, cpu, mem, started, work, stops_at: None });
        let (id, token) = (worker.id.clone(), worker.token);
        self.record.line(&format!("{task} run {run} starts on {id} in {} (token {token})", worker.zone));
        let reply = ok(worker);
        let seen = state.tasks.entry(task.to_owned()).or_default();
        seen.starts += 1;
        if seen.noted > 0 {
            let text = format!("{task} run {run} starts on {id} after a run has ended done and was taken note of");
            self.record.line(&text);
            state.twice.push(text);
        }
        let up = state.workers.iter().filter(|w| w.is_up);
        let runs = up.flat_map(|w| w.runs.iter().map(move |r| (w, r)));
        let of_task: Vec<String> = runs
            .filter(|(_, r)| r.task == task)
            .map(|(w, r)| format!("run {} on {} in {}", r.run, w.id, w.zone))
            .collect();
        if of_task.len() > 1 {
            let text = format!("{task} runs twice at the same time: {}", of_task.join(" and "));
            self.record.line(&text);
            state.twice.push(text);
        }
        reply
    }
}

fn extend(worker: &mut Worker, deadline: Option<u64>) {
    if let Some(deadline) = deadline {
        worker.lease_until = worker.lease_until.max(deadline.min(worker.clock() + MAX_HOLD_MS));
    }
}

fn refusal(worker: &Worker, reason: &str) -> Reply {
    (409, format!("{{\"clock_ms\":{},\"reason\":\"{reason}\"}}", worker.clock()))
}

fn lists(worker: &Worker) -> String {
    let percent = |r: &Run| {
        let work = r.work.as_millis().max(1);
        (r.started.elapsed().as_millis() * 100 / work).min(99)
    };
    let running = worker.runs.iter();
    let running = running.map(|r| format!("[\"{}\",{},\"\",{},{}]", r.task, r.run, percent(r), r.cpu));
    let running: Vec<String> = running.collect();
    let ended = worker.ended.iter().take(500);
    let ended = ended.map(|e| format!("[{},\"{}\",{},\"{}\",\"\"]", e.number, e.task, e.run, e.how));
    let ended: Vec<String> = ended.collect();
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        worker.clock(),
        worker.born_ms,
        running.join(","),
        ended.join(",")
    )
}
