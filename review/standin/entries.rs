//! The project's entry processes, started with the command and the settings template of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::quote;
use crate::record::Record;

const FRONT_PORT: u16 = 8_161;
const READY_PORT: u16 = 8_167;
const PEER_PORTS: [u16; 2] = [7_720, 7_735];
const GRACE: Duration = Duration::from_secs(6);

pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

pub struct Entries {
    pub list: Vec<Entry>,
    run: Vec<String>,
    dir: PathBuf,
    record: Arc<Record>,
}

/// The value of `key = "..."` in the deploy file.
fn deploy_value(key: &str) -> String {
    let text = std::fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let mut lines = text.lines().filter_map(|l| l.split_once('='));
    let found = lines.find(|(k, _)| k.trim() == key);
    found.expect("the key").1.trim().trim_matches('"').to_owned()
}

/// Fills in `{{NAME|json}}`; names without a value become `null`.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let (name, after) = after.split_once("}}").expect("a closed placeholder");
        let name = name.trim_end_matches("|json");
        let value = values.iter().find(|(n, _)| *n == name);
        out += before;
        out += value.map_or("null", |(_, v)| v);
        rest = after;
    }
    out + rest
}

/// Addresses 127.A.B.1 and on, on which the ports are free.
fn free_net() -> (u8, u8) {
    let pid = std::process::id();
    let mut nets = (0..200u32).map(|i| (60 + ((pid / 200 + i) % 60) as u8, (pid % 200) as u8 + 20));
    let is_free = |&(a, b): &(u8, u8)| {
        let ports = [FRONT_PORT, READY_PORT, PEER_PORTS[0], 9_464];
        ports.iter().all(|&p| TcpListener::bind((Ipv4Addr::new(127, a, b, 1), p)).is_ok())
    };
    nets.find(is_free).expect("free addresses")
}

impl Entries {
    /// Starts one process for each of `zones`.
    pub fn start(zones: &[&str], store: SocketAddr, record: &Arc<Record>) -> Self {
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let template = std::fs::read_to_string(deploy_value("template")).expect("the template");
        let run: Vec<String> = deploy_value("run").split(' ').map(str::to_owned).collect();
        let (a, b) = free_net();
        let mut entries = Self { list: Vec::new(), run, dir, record: Arc::clone(record) };
        for (number, zone) in (1..).zip(zones) {
            let ip = Ipv4Addr::new(127, a, b, number);
            let name = format!("front-{zone}-{number}");
            let (front, ready) = (SocketAddr::from((ip, FRONT_PORT)), SocketAddr::from((ip, READY_PORT)));
            let values = [
                ("node", quote(&name)),
                ("zone", quote(zone)),
                ("ip", quote(&ip.to_string())),
                ("listen_addresses.front", quote(&front.to_string())),
                ("listen_addresses.ready", quote(&ready.to_string())),
                ("internal_port_range", format!("{PEER_PORTS:?}")),
                ("limits.cpu_share", "0.25".to_owned()),
                ("bootstrap", "true".to_owned()),
                ("platform.address", quote(&store.to_string())),
                ("platform.row_bytes", "65536".to_owned()),
                ("bounds.grace_s", "6".to_owned()),
                ("bounds.max_hold_ms", "1000".to_owned()),
                ("bounds.retransmit_ms", "1300".to_owned()),
                ("bounds.remote_factor", "1.5".to_owned()),
            ];
            let settings = entries.dir.join(format!("{name}.settings"));
            std::fs::write(&settings, render(&template, &values)).expect("settings can be written");
            entries.list.push(Entry { name, front, ready, settings, child: None });
            entries.spawn(usize::from(number) - 1);
        }
        entries
    }

    fn spawn(&mut self, number: usize) {
        let entry = &mut self.list[number];
        let log = entry.settings.with_extension("log");
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let child = Command::new(&self.run[0])
            .args(&self.run[1..])
            .env("GERANIUMRELAY_BOOT", &entry.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a file"))
            .stderr(log)
            .spawn()
            .expect("the program of the deploy file starts");
        self.record.line(&format!("{} starts at {} (process {})", entry.name, entry.front, child.id()));
        entry.child = Some(child);
    }

    /// Waits until all are ready; `false` after `limit`.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        let is_ready = |e: &Entry| {
            let path = "/geraniumrelay/readiness";
            let reply = http::call(e.ready, "GET", path, &[("Host", "x")], "", Duration::from_secs(1));
            reply.is_some_and(|(status, _)| status == 200)
        };
        while !self.list.iter().all(is_ready) {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.line("all entry processes are ready");
        true
    }

    /// Starts a process again that was killed.
    pub fn restart(&mut self, number: usize) {
        self.spawn(number);
    }

    /// The process that schedules, by the logs.
    pub fn scheduler(&self) -> Option<usize> {
        let is_scheduler = |(_, log): &(String, String)| {
            let mut lines = log.lines().rev();
            let last = lines.find(|l| l.contains("event=scheduling_") || l.contains("event=scheduler_followed"));
            last.is_some_and(|l| l.contains("event=scheduling_begun"))
        };
        self.logs().iter().position(is_scheduler)
    }

    /// Kills a process.
    pub fn kill(&mut self, number: usize) {
        let entry = &mut self.list[number];
        if let Some(mut child) = entry.child.take() {
            self.record.line(&format!("{} is killed", entry.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Text of all logs.
    pub fn logs(&self) -> Vec<(String, String)> {
        let text = |e: &Entry| std::fs::read_to_string(e.settings.with_extension("log")).unwrap_or_default();
        self.list.iter().map(|e| (e.name.clone(), text(e))).collect()
    }
}

impl Drop for Entries {
    /// Ends the processes that were started here, and removes their files.
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_some() {
            for (name, text) in self.logs() {
                let _ = std::fs::write(std::env::temp_dir().join(format!("{name}.log")), text);
            }
        }
        for child in self.list.iter_mut().filter_map(|e| e.child.as_mut()) {
            let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        }
        let until = Instant::now() + GRACE;
        for child in self.list.iter_mut().filter_map(|e| e.child.as_mut()) {
            while matches!(child.try_wait(), Ok(None)) && Instant::now() < until {
                std::thread::sleep(Duration::from_millis(20));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
