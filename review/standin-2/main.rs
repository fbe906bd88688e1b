//! Runs one case of the review: real entry processes with stand-ins for platform, workers and clients.
//!
//! Usage: `standin CASE RECORD`, from the project's root. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
//! case could not run.

mod cases;
mod entries;
mod http;
mod json;
mod store;
mod workers;
mod world;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use entries::{free_network, machine_ip, Entry};
use json::{n, obj, s, Json};
use store::Store;
use workers::{Kind, Worker};
use world::{sleep, World};

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(112);

pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/keep/";
pub const SERVICE: &str = "desk";

/// What the case has shown.
pub enum Verdict {
    /// Sentences that say how the rule was broken; it held where there are none.
    Judged(Vec<String>),
    CouldNotRun(String),
}

static ENTRIES: Mutex<Vec<Arc<Entry>>> = Mutex::new(Vec::new());

/// Ends the processes that the case has started, and itself.
fn end(world: &World, verdict: &Verdict) -> ! {
    let (code, text) = match verdict {
        Verdict::Judged(broken) if broken.is_empty() => (0, "held".to_owned()),
        Verdict::Judged(broken) => (1, format!("BROKEN: {}", broken.join("; "))),
        Verdict::CouldNotRun(why) => (2, format!("could not run: {why}")),
    };
    world.note(&text);
    println!("{text}");
    for entry in ENTRIES.lock().unwrap_or_else(|e| e.into_inner()).iter() {
        entry.kill(None);
    }
    if std::env::var_os("KEEP").is_some() {
        println!("logs in {}", world.temp.display());
    } else {
        let _ = std::fs::remove_dir_all(&world.temp);
    }
    std::process::exit(code);
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        println!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let world = World::new(record);
    world.note(&format!("case {case}, trouble {has_trouble}"));
    let watched = Arc::clone(&world);
    http::spawn(move || {
        std::thread::sleep(LIMIT);
        end(&watched, &Verdict::CouldNotRun("it took too long".to_owned()));
    });
    let shared = Arc::clone(&world);
    let name = case.clone();
    let run = std::thread::spawn(move || cases::run(&name, &shared, has_trouble));
    let verdict = run.join().unwrap_or(Verdict::CouldNotRun("a stand-in failed".to_owned()));
    end(&world, &verdict);
}

/// A deployment: entry processes, workers and the platform's store.
pub struct Fleet {
    pub world: Arc<World>,
    pub store: Arc<Store>,
    pub entries: Vec<Arc<Entry>>,
    pub workers: Arc<Mutex<Vec<Arc<Worker>>>>,
    net: (u8, u8),
    /// Processor of each task of the case.
    task_cpu: u64,
}

impl Fleet {
    /// Starts the store, the workers and one entry process in each of `zones`, and waits until all are ready.
    pub fn start(
        world: &Arc<World>,
        zones: &[&str],
        kinds: &[Kind],
        (task_cpu, max_attempts): (u64, u64),
    ) -> Result<Self, Verdict> {
        let count = u8::try_from(zones.len()).expect("few machines");
        let Some(net) = free_network(count) else {
            return Err(Verdict::CouldNotRun("no free addresses".to_owned()));
        };
        let store = Store::new();
        let mut fleet = Self {
            world: Arc::clone(world),
            store: Arc::clone(&store),
            entries: Vec::new(),
            workers: Arc::default(),
            net,
            task_cpu,
        };
        fleet.configure(1, max_attempts);
        for kind in kinds {
            fleet.add_worker(kind.clone());
        }
        workers::keep_time(&fleet.workers);
        for (number, zone) in zones.iter().enumerate() {
            let machine = u8::try_from(number).expect("few machines");
            let ip = machine_ip(net, machine);
            let address = store.open(number, machine_ip(net, 100));
            let entry = Arc::new(Entry::new(zone, ip, address, number + 1));
            entry.start(world, true);
            ENTRIES.lock().unwrap().push(Arc::clone(&entry));
            fleet.entries.push(entry);
        }
        let entries = fleet.entries.clone();
        if !world.wait_for(15_000, || entries.iter().all(|e| e.is_ready())) {
            return Err(Verdict::CouldNotRun("the entry processes are not ready".to_owned()));
        }
        world.note("all entry processes are ready");
        Ok(fleet)
    }

    fn configure(&self, version: u64, max_attempts: u64) {
        let route = obj(vec![
            ("name", s("r-keep")),
            ("host", s(HOST)),
            ("path_prefix", s(PREFIX)),
            ("kind", s("unsafe")),
            ("timeout_ms", n(1_500)),
            ("target_latency_ms", n(60)),
            ("priority", n(1)),
            ("service", s(SERVICE)),
            ("max_attempts", n(max_attempts)),
            ("stretch", Json::Num(1.6)),
        ]);
        let service = obj(vec![
            ("name", s(SERVICE)),
            ("health_path", s("/health")),
            ("max_connections", n(64)),
            ("protocol", s("h1")),
            ("tls", Json::Bool(false)),
            ("enforces_capacity", Json::Bool(true)),
            ("standby", Json::Bool(false)),
        ]);
        let limits = obj(vec![
            ("max_header_bytes", n(16_384)),
            ("max_body_bytes", n(262_144)),
            ("header_timeout_ms", n(3_000)),
            ("idle_timeout_ms", n(15_000)),
        ]);
        let config = obj(vec![
            ("version", n(version)),
            ("routes", Json::Arr(vec![route])),
            ("services", Json::Arr(vec![service])),
            ("limits", limits),
        ]);
        self.store.set("op", "config", Some(&config));
    }

    pub fn add_worker(&self, kind: Kind) -> Arc<Worker> {
        let mut workers = self.workers.lock().unwrap();
        let id = format!("i-{:06x}", 0x3a91c2 + workers.len() * 0x1357);
        let parts = (&self.world, &self.store);
        let ip = machine_ip(self.net, 120);
        let worker = Worker::start(parts, (&id, SERVICE), ip, kind, self.task_cpu);
        workers.push(Arc::clone(&worker));
        worker
    }

    pub fn workers(&self) -> Vec<Arc<Worker>> {
        self.workers.lock().unwrap().clone()
    }

    /// A client's call; `None` without a response.
    pub fn call(&self, entry: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        self.call_for(entry, (method, id), body, 1_500)
    }

    /// A client's call that waits for at most `wait` ms.
    pub fn call_for(
        &self,
        entry: usize,
        (method, id): (&str, &str),
        body: &str,
        wait: u64,
    ) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let wait = Duration::from_millis(wait);
        let front = self.entries[entry].front();
        let answer = http::call(front, (method, &path, HOST), body, wait);
        let text = answer.as_ref().map_or("no response".to_owned(), |a| format!("{} {}", a.0, a.1));
        self.world.note(&format!("{method} {id} at {}: {text}", self.entries[entry].name));
        answer
    }

    /// Hands a job in, at each machine in turn, until it is accepted; whether it was.
    pub fn submit(&self, first: usize, id: &str, body: &str) -> bool {
        for i in 0..6 {
            let entry = (first + i) % self.entries.len();
            match self.call(entry, "POST", id, body) {
                Some((200..=299, _)) => return true,
                _ => sleep(400),
            }
        }
        false
    }

    /// State of a job as a client is shown it, by the first machine that answers.
    pub fn state(&self, id: &str) -> Option<String> {
        (0..self.entries.len()).find_map(|entry| match self.call(entry, "GET", id, "") {
            Some((200, body)) => Json::parse(&body)?.text("state").map(str::to_owned),
            Some((410, _)) => Some("gone".to_owned()),
            _ => None,
        })
    }

    /// The machine that last wrote to the store under a condition.
    pub fn leader(&self) -> Option<usize> {
        self.store.last_writer()
    }
}

/// A step of a job, as the client sends it.
pub fn step(count: u64, cpu: u64, estimated_ms: u64, after: &[u64]) -> Json {
    let mut fields = vec![
        ("count", n(count)),
        ("cpu", n(cpu)),
        ("mem_mb", n(64)),
        ("estimated_ms", n(estimated_ms)),
    ];
    if !after.is_empty() {
        fields.push(("after", Json::Arr(after.iter().map(|&a| n(a)).collect())));
    }
    obj(fields)
}

pub fn job(spec: &str, steps: Vec<Json>) -> String {
    obj(vec![("spec", s(spec)), ("steps", Json::Arr(steps))]).write()
}
