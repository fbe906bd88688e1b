//! The project's entry processes, started as the deploy file says.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};

use crate::http;
use crate::json::{s, Json};
use crate::world::{sleep, World};

/// Ports of all machines.
const FRONT: u16 = 8161;
const READY: u16 = 8167;
const PEERS: (u16, u16) = (7720, 7735);

/// Port of the metrics, from the deploy file.
const METRICS: u16 = 9464;

pub struct Entry {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    store: SocketAddr,
    child: Mutex<Option<Child>>,
}

/// Two bytes of loopback addresses at which the ports of `count` machines are free.
pub fn free_network(count: u8) -> Option<(u8, u8)> {
    let start = std::process::id();
    (0..200).find_map(|i| {
        let number = start.wrapping_mul(31).wrapping_add(i * 7);
        let net = (64 + (number % 128) as u8, 1 + (number / 128 % 250) as u8);
        let ports = [FRONT, READY, PEERS.0, METRICS];
        let is_free = |machine| {
            ports.iter().all(|&p| TcpListener::bind((machine_ip(net, machine), p)).is_ok())
        };
        (0..count).all(is_free).then_some(net)
    })
}

pub fn machine_ip((a, b): (u8, u8), machine: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, a, b, 11 + machine)
}

impl Entry {
    pub fn new(zone: &str, ip: Ipv4Addr, store: SocketAddr, number: usize) -> Self {
        Self {
            name: format!("front-{zone}-{number}"),
            zone: zone.to_owned(),
            ip,
            store,
            child: Mutex::new(None),
        }
    }

    pub fn front(&self) -> SocketAddr {
        (self.ip, FRONT).into()
    }

    /// Starts the process with settings rendered from the template of the deploy file.
    pub fn start(&self, world: &World, is_first: bool) {
        let template = std::fs::read_to_string("platform/settings.template").expect("template");
        let values = [
            ("node|json", s(&self.name)),
            ("zone|json", s(&self.zone)),
            ("ip|json", s(&self.ip.to_string())),
            ("listen_addresses.front|json", s(&self.front().to_string())),
            ("listen_addresses.ready|json", s(&format!("{}:{READY}", self.ip))),
            (
                "internal_port_range|json",
                Json::Arr(vec![Json::Num(PEERS.0.into()), Json::Num(PEERS.1.into())]),
            ),
            ("limits.cpu_share|json", Json::Num(0.25)),
            ("bootstrap|json", Json::Bool(is_first)),
            ("platform.address|json", s(&self.store.to_string())),
            ("platform.row_bytes|json", Json::Num(65_536.0)),
            ("bounds.grace_s|json", Json::Num(6.0)),
            ("bounds.max_hold_ms|json", Json::Num(1_000.0)),
            ("bounds.retransmit_ms|json", Json::Num(1_300.0)),
            ("bounds.remote_factor|json", Json::Num(1.5)),
        ];
        let mut text = template;
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value.write());
        }
        assert!(!text.contains("{{"), "a placeholder is left in {text}");
        let path = world.temp.join(format!("{}.json", self.name));
        std::fs::write(&path, text).expect("settings");
        let log = world.temp.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).expect("a log");
        let deploy = std::fs::read_to_string("deploy/system.toml").expect("deploy file");
        let run = deploy.lines().find_map(|l| l.strip_prefix("run = ")).expect("a command");
        let mut words = run.trim().trim_matches('"').split(' ');
        let child = Command::new(words.next().expect("a program"))
            .args(words)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("GERANIUMRELAY_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the entry process starts");
        world.note(&format!("process {} started", self.name));
        *self.child.lock().unwrap() = Some(child);
    }

    /// SIGKILL.
    pub fn kill(&self, world: Option<&World>) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            if let Some(world) = world {
                world.note(&format!("process {} killed", self.name));
            }
        }
    }

    fn signal(&self, world: &World, signal: i32, what: &str) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            let pid = i32::try_from(child.id()).expect("a process id");
            // SAFETY: the process is a child that has not been waited for, so that its id is not in use again.
            unsafe { kill(pid, signal) };
            world.note(&format!("process {} {what}", self.name));
        }
    }

    /// SIGSTOP, and SIGCONT after `time` ms.
    pub fn freeze(self: &Arc<Self>, world: &Arc<World>, time: u64) {
        self.signal(world, SIGSTOP, "stopped");
        let (this, world) = (Arc::clone(self), Arc::clone(world));
        http::spawn(move || {
            sleep(time);
            this.signal(&world, SIGCONT, "continued");
        });
    }

    /// The machine loses power for `time` ms: its peers see it fall silent, and its process starts anew.
    pub fn lose_power(self: &Arc<Self>, world: &Arc<World>, time: u64) {
        self.signal(world, SIGSTOP, "dark");
        let (this, world) = (Arc::clone(self), Arc::clone(world));
        http::spawn(move || {
            sleep(time);
            this.kill(Some(&world));
            this.start(&world, false);
        });
    }

    pub fn is_ready(&self) -> bool {
        let wait = std::time::Duration::from_millis(500);
        let req = ("GET", "/geraniumrelay/readiness", "ready");
        http::call((self.ip, READY).into(), req, "", wait).is_some_and(|r| r.0 == 200)
    }
}

unsafe extern "C" {
    /// Sends a signal to a process.
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill(None);
    }
}
