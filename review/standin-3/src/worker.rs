//! Stand-ins of workers: they run tasks under leases, as the platform's page says.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{quote, Json};
use crate::record::Record;
use crate::store::Store;

/// Interval of the entries that a worker writes.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Longest lease that a worker grants.
const MAX_HOLD_MS: u64 = 1_000;

/// Time that a stop takes; the pages allow 50 ms.
const STOP_MS: u64 = 20;

/// What a step's tasks need, as the caller has said; the true run time may differ.
#[derive(Clone)]
pub struct StepDef {
    pub count: u32,
    pub cpu: u64,
    pub run_ms: u64,
    pub estimated_ms: u64,
    pub after: Vec<u32>,
    pub requirements: Option<String>,
    pub max_per_server: Option<u32>,
}

/// All jobs that callers have submitted, by id.
pub type Jobs = Arc<Mutex<BTreeMap<String, Vec<StepDef>>>>;

/// A start or an end of a run, as its worker saw it.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_ms: u64,
    pub worker: String,
    pub task: String,
    pub run: u64,
    /// `start`, or how the run ended; `crashed` where the worker went down.
    pub what: &'static str,
}

struct Run {
    task: String,
    run: u64,
    begun: Instant,
    run_ms: u64,
    cpu: u64,
    fails: bool,
    stopping: Option<Instant>,
}

struct Life {
    id: String,
    born: Instant,
    born_unix_ms: u64,
    token: u64,
    lease_ms: u64,
    runs: Vec<Run>,
    ended: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    highest: BTreeMap<String, u64>,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        1_000 + self.born.elapsed().as_millis() as u64
    }

    fn used(&self) -> u64 {
        self.runs.iter().map(|r| r.cpu).sum()
    }
}

struct State {
    life: Option<Life>,
    lives: u32,
    sequence: u64,
    is_draining: bool,
    /// Number of the next runs that end `failed` by the worker's fault.
    failures: u32,
    /// Share of the runs that fail, of the orders that get no answer and are carried out late, and of the answers that
    /// are lost, all in thousandths.
    odds: Odds,
}

/// Shares in thousandths.
#[derive(Clone, Copy, Default)]
pub struct Odds {
    pub fails: u64,
    pub late: u64,
    pub lost: u64,
}

/// A machine with its present worker.
pub struct Machine {
    pub index: usize,
    pub address: SocketAddr,
    zone: String,
    labels: Vec<String>,
    capacity: u64,
    state: Mutex<State>,
    changed: Condvar,
}

/// All machines, and what they share.
pub struct Workers {
    pub machines: Mutex<Vec<Arc<Machine>>>,
    store: Arc<Store>,
    jobs: Jobs,
    pub record: Arc<Record>,
    pub events: Mutex<Vec<Event>>,
    service: String,
    /// Whether the workers reject what does not fit.
    guards: bool,
}

impl Workers {
    pub fn start(
        store: Arc<Store>,
        jobs: Jobs,
        record: Arc<Record>,
        service: &str,
        guards: bool,
    ) -> Arc<Self> {
        let workers = Arc::new(Self {
            machines: Mutex::default(),
            store,
            jobs,
            record,
            events: Mutex::default(),
            service: service.to_owned(),
            guards,
        });
        let ticker = Arc::clone(&workers);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(2));
            ticker.tick();
        });
        let beats = Arc::clone(&workers);
        std::thread::spawn(move || loop {
            std::thread::sleep(HEARTBEAT);
            for machine in beats.all() {
                beats.write_entry(&machine);
            }
        });
        workers
    }

    pub fn all(&self) -> Vec<Arc<Machine>> {
        self.machines.lock().unwrap().clone()
    }

    /// Adds a machine, whose worker registers at once.
    pub fn add(self: &Arc<Self>, zone: &str, capacity: u64, labels: &[&str]) -> Arc<Machine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let mut machines = self.machines.lock().unwrap();
        let machine = Arc::new(Machine {
            index: machines.len(),
            address,
            zone: zone.to_owned(),
            labels: labels.iter().map(|l| (*l).to_owned()).collect(),
            capacity,
            state: Mutex::new(State {
                life: None,
                lives: 0,
                sequence: 0,
                is_draining: false,
                failures: 0,
                odds: Odds::default(),
            }),
            changed: Condvar::new(),
        });
        machines.push(Arc::clone(&machine));
        drop(machines);
        let (workers, of) = (Arc::clone(self), Arc::clone(&machine));
        http::serve(listener, Arc::new(move |req| workers.receive(&of, req)));
        self.boot(&machine);
        machine
    }

    /// Sets what goes wrong on a machine.
    pub fn set_odds(&self, machine: &Machine, odds: Odds) {
        machine.state.lock().unwrap().odds = odds;
    }

    /// Starts a new worker on a machine that has none, under the id that it had before.
    pub fn reboot(&self, machine: &Machine) {
        machine.state.lock().unwrap().lives -= 1;
        self.boot(machine);
    }

    /// Starts a new worker, with an id of its own, on a machine that has none.
    pub fn boot(&self, machine: &Machine) {
        let mut state = machine.state.lock().unwrap();
        state.lives += 1;
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        state.life = Some(Life {
            id: format!("i-{:04}-{}", machine.index, state.lives),
            born: Instant::now(),
            born_unix_ms: unix.map_or(0, |d| d.as_millis() as u64),
            token: 0,
            lease_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            highest: BTreeMap::new(),
        });
        state.sequence = 0;
        drop(state);
        self.write_entry(machine);
    }

    fn write_entry(&self, machine: &Machine) {
        let mut state = machine.state.lock().unwrap();
        state.sequence += 1;
        let draining = if state.is_draining { "draining" } else { "ready" };
        let sequence = state.sequence;
        let Some(life) = &state.life else { return };
        let labels: Vec<String> = machine.labels.iter().map(|l| quote(l)).collect();
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,\"state\":\"{draining}\",\"cold_remaining_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":65536,\"gpu\":0}},\"labels\":[{}],\"clock_ms\":{},\"born\":{},\"sequence\":{sequence}}}",
            quote(&self.service), machine.address, quote(&machine.zone), machine.capacity,
            labels.join(","), life.clock_ms(), life.born_unix_ms
        );
        let id = life.id.clone();
        drop(state);
        self.store.set("servers", &id, &entry);
    }

    /// Crashes a machine's worker: what runs there ends, and calls to it are broken off. Its entry is removed after three
    /// heartbeat intervals of silence.
    pub fn crash(self: &Arc<Self>, machine: &Machine) {
        let mut state = machine.state.lock().unwrap();
        let Some(life) = state.life.take() else { return };
        machine.changed.notify_all();
        drop(state);
        self.record.line(&format!("worker {} crashes", life.id));
        for run in &life.runs {
            self.event(&life.id, &run.task, run.run, "crashed");
        }
        let workers = Arc::clone(self);
        std::thread::spawn(move || {
            std::thread::sleep(HEARTBEAT * 3);
            let is_back = workers.all().iter().any(|m| {
                let state = m.state.lock().unwrap();
                state.life.as_ref().is_some_and(|l| l.id == life.id)
            });
            if !is_back {
                workers.store.remove("servers", &life.id);
            }
        });
    }

    /// Makes the next run on the machine fail.
    pub fn fail_next(&self, machine: &Machine, count: u32) {
        machine.state.lock().unwrap().failures = count;
    }

    /// Part of the highest fencing token that names the entry VM in charge of the workers.
    pub fn holder(&self) -> u64 {
        let token = |m: &Arc<Machine>| m.state.lock().unwrap().life.as_ref().map_or(0, |l| l.token);
        self.all().iter().map(token).max().unwrap_or(0) & 0xff_ffff
    }

    /// Cores in use and in all, of workers that are up.
    pub fn load(&self) -> (u64, u64) {
        let mut load = (0, 0);
        for machine in self.all() {
            let state = machine.state.lock().unwrap();
            if let Some(life) = &state.life {
                load.0 += life.used();
                load.1 += machine.capacity;
            }
        }
        load
    }

    /// Processor that is free on each worker that is up, by labels.
    pub fn free(&self) -> Vec<(Vec<String>, u64)> {
        let machines = self.all();
        let free = machines.iter().filter_map(|m| {
            let state = m.state.lock().unwrap();
            let life = state.life.as_ref()?;
            Some((m.labels.clone(), m.capacity - life.used()))
        });
        free.collect()
    }

    /// Runs at work now whose task belongs to a job: machine, task and run.
    pub fn running(&self, id: &str) -> Vec<(usize, String, u64)> {
        let mut found = Vec::new();
        for machine in self.all() {
            let state = machine.state.lock().unwrap();
            let runs = state.life.iter().flat_map(|l| &l.runs);
            let of_job = runs.filter(|r| r.task.starts_with(id));
            found.extend(of_job.map(|r| (machine.index, r.task.clone(), r.run)));
        }
        found
    }

    pub fn events_of(&self, id: &str) -> Vec<Event> {
        let events = self.events.lock().unwrap();
        events.iter().filter(|e| e.task.starts_with(id)).cloned().collect()
    }

    fn event(&self, worker: &str, task: &str, run: u64, what: &'static str) {
        let at_ms = if what.starts_with("noted") {
            self.record.now_ms()
        } else {
            self.record.line(&format!("{what} {task} run {run} on {worker}"))
        };
        self.events.lock().unwrap().push(Event {
            at_ms,
            worker: worker.to_owned(),
            task: task.to_owned(),
            run,
            what,
        });
    }

    fn tick(&self) {
        for machine in self.all() {
            let mut state = machine.state.lock().unwrap();
            let Some(life) = &mut state.life else { continue };
            let has_lapsed = life.clock_ms() >= life.lease_ms;
            let mut ends = Vec::new();
            life.runs.retain(|r| {
                let how = if r.stopping.is_some_and(|s| s.elapsed().as_millis() as u64 >= STOP_MS) {
                    "stopped"
                } else if has_lapsed {
                    "lapsed"
                } else if r.stopping.is_none() && r.begun.elapsed().as_millis() as u64 >= r.run_ms {
                    if r.fails { "failed" } else { "done" }
                } else {
                    return true;
                };
                ends.push((r.task.clone(), r.run, how));
                false
            });
            for (task, run, how) in &ends {
                let number = life.next_end;
                life.next_end += 1;
                life.ended.push((number, task.clone(), *run, how));
                let highest = life.highest.entry(task.clone()).or_insert(0);
                *highest = (*highest).max(*run);
            }
            let id = life.id.clone();
            drop(state);
            if !ends.is_empty() {
                machine.changed.notify_all();
            }
            for (task, run, how) in ends {
                self.event(&id, &task, run, how);
            }
        }
    }

    /// Handles an order, or lets it go wrong by the machine's odds.
    fn receive(self: &Arc<Self>, machine: &Arc<Machine>, req: &Request) -> Reply {
        let odds = machine.state.lock().unwrap().odds;
        if odds.late > 0 && random() % 1_000 < odds.late {
            let delay = Duration::from_millis(2_000 + random() % 10_000);
            let (workers, of, req) = (Arc::clone(self), Arc::clone(machine), req.clone());
            std::thread::spawn(move || {
                std::thread::sleep(delay);
                workers.handle(&of, &req);
            });
            std::thread::sleep(Duration::from_secs(2));
            return Reply::Break;
        }
        let reply = self.handle(machine, req);
        if odds.lost > 0 && random() % 1_000 < odds.lost {
            std::thread::sleep(Duration::from_secs(2));
            return Reply::Break;
        }
        reply
    }

    fn handle(&self, machine: &Machine, req: &Request) -> Reply {
        let Some(body) = Json::parse(&req.body) else {
            return Reply::Answer(400, "{}".to_owned());
        };
        let mut state = machine.state.lock().unwrap();
        let failures = state.failures;
        let odds = state.odds;
        let Some(life) = &mut state.life else { return Reply::Break };
        if req.header("Geraniumrelay-Expected-Instance").is_some_and(|i| i != life.id) {
            return Reply::Answer(421, "{}".to_owned());
        }
        let refusal = |life: &Life, reason: &str| {
            let clock = life.clock_ms();
            Reply::Answer(409, format!("{{\"clock_ms\":{clock},\"reason\":\"{reason}\"}}"))
        };
        let token = body.num("fencing_token").unwrap_or(0);
        if token < life.token {
            return refusal(life, "fence");
        }
        life.token = token;
        let clock = life.clock_ms();
        if let Some(deadline) = body.num("deadline_ms") {
            life.lease_ms = life.lease_ms.max(deadline.min(clock + MAX_HOLD_MS));
        }
        let task = body.str("task").unwrap_or("").to_owned();
        let run = body.num("run").unwrap_or(0);
        let position = life.runs.iter().position(|r| r.task == task && r.run == run);
        match req.path.as_str() {
            "/geraniumrelay/run-start" => {
                if position.is_some() {
                    return Reply::Answer(200, format!("{{\"clock_ms\":{clock}}}"));
                }
                if life.highest.get(&task).is_some_and(|&h| run <= h) {
                    return refusal(life, "old");
                }
                if body.num("deadline_ms").unwrap_or(0) <= clock {
                    return refusal(life, "late");
                }
                let Some((cpu, run_ms)) = self.size_of(&task) else {
                    return Reply::Answer(400, "{}".to_owned());
                };
                if life.used() + cpu > machine.capacity {
                    if self.guards {
                        return refusal(life, "room");
                    }
                    self.record.line(&format!("LIMIT: {task} on {}", life.id));
                }
                let fails = failures > 0 || (odds.fails > 0 && random() % 1_000 < odds.fails);
                life.runs.push(Run {
                    task: task.clone(),
                    run,
                    begun: Instant::now(),
                    run_ms: if fails { run_ms / 4 } else { run_ms },
                    cpu,
                    fails,
                    stopping: None,
                });
                let id = life.id.clone();
                state.failures = failures.saturating_sub(1);
                drop(state);
                self.event(&id, &task, run, "start");
                Reply::Answer(200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/geraniumrelay/run-stop" => {
                match position {
                    Some(p) => {
                        life.runs[p].stopping.get_or_insert(Instant::now());
                    }
                    None => {
                        let highest = life.highest.entry(task).or_insert(0);
                        *highest = (*highest).max(run);
                    }
                }
                Reply::Answer(200, format!("{{\"clock_ms\":{clock}}}"))
            }
            "/geraniumrelay/hold" => {
                let seen = body.num("last_seen").unwrap_or(0);
                let noted = life.ended.iter().filter(|e| e.0 <= seen && e.3 != "stopped");
                let noted: Vec<_> = noted.map(|e| (e.1.clone(), e.2, e.3)).collect();
                life.ended.retain(|e| e.0 > seen);
                for (task, run, how) in noted {
                    let what = if how == "done" { "noted-done" } else { "noted-other" };
                    let id = life.id.clone();
                    self.event(&id, &task, run, what);
                }
                let wait = body.num("wait_ms").unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                let id = life.id.clone();
                loop {
                    let is_same = state.life.as_ref().is_some_and(|l| l.id == id);
                    if !is_same {
                        return Reply::Break;
                    }
                    let has_ends = state.life.as_ref().is_some_and(|l| !l.ended.is_empty());
                    let left = until.saturating_duration_since(Instant::now());
                    if has_ends || left.is_zero() {
                        break;
                    }
                    state = machine.changed.wait_timeout(state, left).unwrap().0;
                }
                state.life.as_ref().map_or(Reply::Break, |l| Reply::Answer(200, report(l)))
            }
            _ => Reply::Answer(404, "{}".to_owned()),
        }
    }

    /// Processor and true run time of a task.
    fn size_of(&self, task: &str) -> Option<(u64, u64)> {
        let mut parts = task.split('.');
        let id = parts.next()?;
        let step: usize = parts.nth(1)?.parse().ok()?;
        let jobs = self.jobs.lock().unwrap();
        let step = jobs.get(id)?.get(step)?;
        Some((step.cpu, step.run_ms))
    }
}

fn report(life: &Life) -> String {
    let running = life.runs.iter().filter(|r| r.stopping.is_none()).map(|r| {
        let percent = (r.begun.elapsed().as_millis() as u64 * 100 / r.run_ms.max(1)).min(99);
        format!("[{},{},\"\",{percent},{}]", quote(&r.task), r.run, r.cpu)
    });
    let running: Vec<String> = running.collect();
    let ended = life.ended.iter().take(500).map(|(n, task, run, how)| {
        format!("[{n},{},{run},\"{how}\",\"\"]", quote(task))
    });
    let ended: Vec<String> = ended.collect();
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        life.clock_ms(),
        life.born_unix_ms,
        running.join(","),
        ended.join(",")
    )
}

static SEED: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1);

/// Sets the seed of [`random`].
pub fn seed(seed: u64) {
    SEED.store(seed, std::sync::atomic::Ordering::Relaxed);
}

/// The next pseudo-random number (SplitMix64).
pub fn random() -> u64 {
    let step = 0x9e37_79b9_7f4a_7c15;
    let mut z = SEED.fetch_add(step, std::sync::atomic::Ordering::Relaxed).wrapping_add(step);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
