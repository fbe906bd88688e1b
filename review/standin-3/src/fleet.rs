//! The project's entry processes, started as the deploy file says, and calls of callers to them.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{quote, Json};
use crate::record::Record;
use crate::worker::{Jobs, StepDef};

/// Program and arguments of the role in `deploy/system.toml`.
const PROGRAM: &str = "target/release/geraniumrelay";
const ROLE: &str = "leased";

/// Port that no entry process uses.
const GUARD_PORT: u16 = 7_799;

/// A process that this one has started ends with it, also if this one is killed.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

pub const HOST: &str = "desk.example";
pub const PREFIX: &str = "/rent930/";

pub struct Entry {
    pub ip: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub entries: Vec<Entry>,
    jobs: Jobs,
    record: Arc<Record>,
    /// Keeps other scripts off the network.
    _guard: TcpListener,
}

impl Fleet {
    /// Starts `count` entry processes on loopback addresses of their own.
    pub fn start(
        count: usize,
        zones: &[&str],
        store: SocketAddr,
        folder: &Path,
        jobs: Jobs,
        record: Arc<Record>,
    ) -> std::io::Result<Self> {
        let (net, guard) = free_net(count);
        let mut fleet = Self { entries: Vec::new(), jobs, record, _guard: guard };
        for i in 0..count {
            let ip = Ipv4Addr::new(127, net.0, net.1, 10 + i as u8);
            let settings = folder.join(format!("entry-{i}.json"));
            let zone = zones[i % zones.len()];
            std::fs::write(&settings, settings_text(i, ip, zone, store, true))?;
            let log = folder.join(format!("entry-{i}.log"));
            fleet.entries.push(Entry { ip, settings, log, child: None });
        }
        for i in 0..count {
            fleet.boot(i)?;
        }
        for (i, entry) in fleet.entries.iter().enumerate() {
            let text = settings_text(i, entry.ip, zones[i % zones.len()], store, false);
            std::thread::sleep(Duration::from_millis(300));
            std::fs::write(&entry.settings, text)?;
        }
        Ok(fleet)
    }

    /// Starts the process of an entry VM.
    pub fn boot(&mut self, i: usize) -> std::io::Result<()> {
        let entry = &mut self.entries[i];
        let log = File::options().create(true).append(true).open(&entry.log)?;
        let mut command = Command::new(PROGRAM);
        command
            .arg(ROLE)
            .env_clear()
            .env("GERANIUMRELAY_BOOT", &entry.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: prctl is async-signal-safe, and gets constants only.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn()?;
        self.record.line(&format!("entry {i} starts"));
        entry.child = Some(child);
        Ok(())
    }

    /// Sends a signal to an entry process.
    pub fn signal(&self, i: usize, name: &str) {
        if let Some(child) = &self.entries[i].child {
            self.record.line(&format!("entry {i} gets {name}"));
            let id = child.id().to_string();
            let _ = Command::new("kill").args(["-s", name, &id]).status();
        }
    }

    /// Kills an entry process.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.entries[i].child.take() {
            self.record.line(&format!("entry {i} is killed"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_up(&mut self, i: usize) -> bool {
        let child = self.entries[i].child.as_mut();
        child.is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    fn front(&self, i: usize) -> SocketAddr {
        SocketAddr::new(self.entries[i].ip.into(), 8161)
    }

    /// Waits until all entry processes report that they are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let is_ready = |e: &Entry| {
                let to = SocketAddr::new(e.ip.into(), 8167);
                let path = "/geraniumrelay/readiness";
                let host = [("Host", "balancer")];
                let res = http::call(to, "GET", path, &host, "", Duration::from_millis(500));
                res.is_some_and(|(status, _)| status == 200)
            };
            if self.entries.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Submits a job that is kept, and returns the status; `None` without an answer.
    pub fn submit(&self, i: usize, id: &str, steps: &[StepDef]) -> Option<u16> {
        let submitted = submission(&self.jobs, id, steps);
        let status = self.call(i, "POST", id, &submitted).map(|r| r.0);
        self.record.line(&format!("submit {id} at entry {i}: {}", shown(status)));
        status
    }

    /// State of a job: status and `state` of the body.
    pub fn state(&self, i: usize, id: &str) -> Option<(u16, String)> {
        let (status, body) = self.call(i, "GET", id, "")?;
        let state = Json::parse(&body).and_then(|b| b.str("state").map(str::to_owned));
        let state = state.unwrap_or_default();
        self.record.line(&format!("state of {id} at entry {i}: {status} {state}"));
        Some((status, state))
    }

    /// Number of pending jobs of the queue.
    pub fn pending(&self, i: usize) -> Option<(u16, Option<u64>)> {
        let (status, body) = self.call(i, "GET", "", "")?;
        let pending = Json::parse(&body).and_then(|b| b.num("pending"));
        self.record.line(&format!("pending at entry {i}: {status} {pending:?}"));
        Some((status, pending))
    }

    fn call(&self, i: usize, method: &str, rest: &str, body: &str) -> Option<(u16, String)> {
        call(self.front(i), method, rest, body)
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        (0..self.entries.len()).map(|i| self.front(i)).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for i in 0..self.entries.len() {
            self.kill(i);
        }
    }
}

pub fn shown(status: Option<u16>) -> String {
    status.map_or("no answer".to_owned(), |s| s.to_string())
}

/// A caller's call; callers wait 5 s.
pub fn call(front: SocketAddr, method: &str, rest: &str, body: &str) -> Option<(u16, String)> {
    let headers = [
        ("Host", HOST),
        ("Content-Type", "application/json"),
        ("Geraniumrelay-Deadline-Ms", "5000"),
    ];
    let path = format!("{PREFIX}{rest}");
    http::call(front, method, &path, &headers, body, Duration::from_secs(5))
}

/// Body of a submission, which is noted among the jobs.
pub fn submission(jobs: &Jobs, id: &str, steps: &[StepDef]) -> String {
    jobs.lock().unwrap().insert(id.to_owned(), steps.to_vec());
    let texts = steps.iter().map(|s| {
        let mut text = format!(
            "{{\"count\":{},\"cpu\":{},\"mem_mb\":64,\"estimated_ms\":{}",
            s.count, s.cpu, s.estimated_ms
        );
        if !s.after.is_empty() {
            let after: Vec<String> = s.after.iter().map(u32::to_string).collect();
            text.push_str(&format!(",\"after\":[{}]", after.join(",")));
        }
        if let Some(label) = &s.requirements {
            text.push_str(&format!(",\"requirements\":{}", quote(label)));
        }
        if let Some(max) = s.max_per_server {
            text.push_str(&format!(",\"max_per_server\":{max}"));
        }
        text.push('}');
        text
    });
    let texts: Vec<String> = texts.collect();
    format!("{{\"spec\":\"run {id}\",\"steps\":[{}]}}", texts.join(","))
}

/// The operator's configuration: one route to one service, whose workers reject what does not fit.
pub fn configuration(service: &str, guards: bool) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\"path_prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":60,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":3,\"stretch\":1.6}}],\"services\":[{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":{guards},\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

/// Settings of a process, as the template renders them for a small deployment.
fn settings_text(i: usize, ip: Ipv4Addr, zone: &str, store: SocketAddr, is_first: bool) -> String {
    format!(
        "{{\"vm\":\"front-{zone}-{i}\",\"data_centre\":\"{zone}\",\"address\":\"{ip}\",\"listen\":\"{ip}:8161\",\"readiness_listen\":\"{ip}:8167\",\"peer_ports\":[7720,7735],\"cores\":0.25,\"is_first_start\":{is_first},\"store\":\"{store}\",\"max_row_bytes\":65536,\"stop_grace_s\":6,\"max_lease_ms\":1000,\"resend_ms\":1300,\"remote_factor\":[1.5]}}"
    )
}

/// The second and third number of a loopback network of which the first addresses are free, and a listener that keeps
/// other scripts off it. The same network is tried first each time, as the order in which the program handles its links
/// depends on the addresses.
fn free_net(count: usize) -> ((u8, u8), TcpListener) {
    let mut seed = 4u32;
    loop {
        seed = seed.wrapping_mul(1_103_515_245).wrapping_add(12_345);
        let net = (20 + (seed >> 8) as u8 % 200, (seed >> 16) as u8);
        let ip = |i: usize| Ipv4Addr::new(127, net.0, net.1, 10 + i as u8);
        let Ok(guard) = TcpListener::bind((ip(0), GUARD_PORT)) else { continue };
        let is_free =
            |i: usize| [8161, 8167, 7720, 9464].iter().all(|&p| TcpListener::bind((ip(i), p)).is_ok());
        if (0..count).all(is_free) {
            return (net, guard);
        }
    }
}
