//! Entry processes that are killed, stopped, paused and resumed by signals.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::OnceLock;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::life::{Life, Target};
use crate::platform::{Journal, Platform};
use crate::proxy::{Mode, Proxy};

/// Time after which a stopping process is killed.
const STOP_GRACE: Duration = Duration::from_secs(4);

/// Ports of every process; each process has its own IP address.
const FRONT_PORT: u16 = 28_161;
const READINESS_PORT: u16 = 28_167;
const PEER_PROXY_PORT: u16 = 28_730;
const RESERVATION_PORT: u16 = 28_799;
pub(crate) const FIRST_PEER_PORT: u16 = 28_720;

/// Third octet of this test process's addresses. A bound port keeps the octet from other test
/// processes, because several may run at the same time.
pub(crate) fn third_octet() -> u8 {
    static RESERVED: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let reserve = || {
        let first = u8::try_from(std::process::id() % 200).unwrap();
        let octets = (first..200).chain(0..first).map(|n| n + 20);
        let mut reserved = octets.filter_map(|octet| {
            let address = Ipv4Addr::new(127, 44, octet, 254);
            let listener = TcpListener::bind((address, RESERVATION_PORT)).ok()?;
            Some((octet, listener))
        });
        reserved.next().expect("an octet is free")
    };
    RESERVED.get_or_init(reserve).0
}

/// Number and surroundings of the entry processes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FleetOptions {
    /// Name of the test, for the directory of settings and logs.
    pub(crate) name: &'static str,
    /// Number of the first process; fleets that run at the same time need different numbers.
    pub(crate) first: u8,
    pub(crate) vms: u8,
    /// Data centres of the processes, in turn.
    pub(crate) data_centres: &'static [&'static str],
    pub(crate) max_row_bytes: usize,
    /// Whether links between VMs go through proxies.
    pub(crate) has_peer_proxies: bool,
}

struct Vm {
    address: Ipv4Addr,
    settings: PathBuf,
    log: PathBuf,
    store: Proxy,
    /// Proxy of the links from other VMs.
    peers: Option<Proxy>,
    child: Child,
    life: Rc<Life>,
    /// Largest resident memory of its processes so far, in kB.
    peak_kb: u64,
}

/// The entry processes and the directory of their settings and logs.
pub(crate) struct Fleet {
    vms: Vec<Vm>,
    dir: PathBuf,
    journal: Rc<Journal>,
}

impl Fleet {
    pub(crate) async fn start(options: FleetOptions, platform: &Platform, seed: u64) -> Self {
        Self::start_with(options, platform, seed, &json!({})).await
    }

    /// Starts processes with these settings beside the usual ones.
    pub(crate) async fn start_with(
        options: FleetOptions,
        platform: &Platform,
        seed: u64,
        further_settings: &Value,
    ) -> Self {
        let pid = std::process::id();
        let name = options.name;
        let dir = std::env::temp_dir().join(format!("geraniumrelay-soak-{name}-{pid}-{seed}"));
        std::fs::create_dir_all(&dir).unwrap();
        let mut vms = Vec::new();
        let data_centres = options.data_centres.iter().cycle();
        let numbers = (options.first..).take(options.vms.into());
        for (number, data_centre) in numbers.zip(data_centres) {
            let address = Ipv4Addr::new(127, 44, third_octet(), number);
            let store = Proxy::start(platform.store).await;
            let peers = options.has_peer_proxies.then(|| {
                let [at, to] = [PEER_PROXY_PORT, FIRST_PEER_PORT]
                    .map(|port| SocketAddr::from((address, port)));
                platform.advertise(to, at);
                Proxy::start_between_vms(at, to)
            });
            let settings = dir.join(format!("vm-{number}.json"));
            let mut text = json!({"vm": format!("vm-{number}"), "data_centre": data_centre,
                "address": address, "listen": format!("{address}:{FRONT_PORT}"),
                "readiness_listen": format!("{address}:{READINESS_PORT}"),
                "peer_ports": [FIRST_PEER_PORT, FIRST_PEER_PORT + 5], "cores": 0.25,
                "is_first_start": false, "store": store.address, "max_row_bytes": options.max_row_bytes,
                "stop_grace_s": STOP_GRACE.as_secs_f64(),
                "max_lease_ms": 1000, "resend_ms": 1300});
            let further = further_settings.as_object().cloned();
            text.as_object_mut()
                .unwrap()
                .extend(further.unwrap_or_default());
            std::fs::write(&settings, text.to_string()).unwrap();
            let log = dir.join(format!("vm-{number}.log"));
            platform
                .journal
                .add_log(format!("vm-{number}"), log.clone());
            let child = spawn(&settings, &log);
            let life = Rc::new(Life::default());
            life.started();
            vms.push(Vm {
                address,
                settings,
                log,
                store,
                peers,
                child,
                life,
                peak_kb: 0,
            });
        }
        let journal = Rc::clone(&platform.journal);
        Self { vms, dir, journal }
    }

    pub(crate) fn targets(&self) -> Vec<Target> {
        let targets = self.vms.iter().map(|vm| Target {
            address: SocketAddr::from((vm.address, FRONT_PORT)),
            life: Rc::clone(&vm.life),
            journal: Rc::clone(&self.journal),
        });
        targets.collect()
    }

    #[allow(dead_code, reason = "not used by every test program")]
    pub(crate) fn address(&self, vm: usize) -> Ipv4Addr {
        self.vms[vm].address
    }

    pub(crate) fn store_proxy(&self, vm: usize) -> &Proxy {
        &self.vms[vm].store
    }

    pub(crate) fn peer_proxy(&self, vm: usize) -> &Proxy {
        let proxy = self.vms[vm].peers.as_ref();
        proxy.expect("a fleet with peer proxies")
    }

    /// Id of a VM's present process.
    #[allow(dead_code, reason = "not used by every test program")]
    pub(crate) fn process_id(&self, vm: usize) -> u32 {
        self.vms[vm].child.id()
    }

    /// Sets the mode of all links into a VM, from the store and from the other VMs.
    pub(crate) fn set_links(&self, vm: usize, mode: Mode) {
        self.store_proxy(vm).set(mode);
        self.peer_proxy(vm).set(mode);
    }

    /// Reads the peak memory of all processes, and returns those that have ended by themselves.
    pub(crate) fn check_processes(&mut self) -> Vec<Ipv4Addr> {
        let mut ended = Vec::new();
        for vm in &mut self.vms {
            vm.read_memory();
            if vm.child.try_wait().unwrap().is_some() {
                vm.life.ended();
                ended.push(vm.address);
            }
        }
        ended
    }

    /// Largest resident memory of the processes of each VM so far, in kB.
    pub(crate) fn peak_memory_kb(&self) -> Vec<u64> {
        self.vms.iter().map(|vm| vm.peak_kb).collect()
    }

    /// Kills a process and restarts it after 300 ms.
    pub(crate) async fn kill(&mut self, vm: usize) {
        self.vms[vm].read_memory();
        self.note(vm, "killed");
        self.vms[vm].life.ended();
        self.signal(vm, Signal::KILL);
        self.restart(vm, Duration::from_millis(300)).await;
    }

    /// Stops a process, kills it after the grace period, and restarts it.
    pub(crate) async fn terminate(&mut self, vm: usize) {
        self.note(vm, "told to stop");
        self.vms[vm].life.stopping();
        self.signal(vm, Signal::TERM);
        let until = Instant::now() + STOP_GRACE;
        while Instant::now() < until {
            self.vms[vm].read_memory();
            if self.vms[vm].child.try_wait().unwrap().is_some() {
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.vms[vm].life.ended();
        self.signal(vm, Signal::KILL);
        self.restart(vm, Duration::from_millis(50)).await;
    }

    /// Pauses a process for the given time.
    pub(crate) fn pause(&self, vm: usize, d: Duration) {
        let life = Rc::clone(&self.vms[vm].life);
        let number = life.number();
        self.note(vm, &format!("paused for {d:?}"));
        life.paused(true);
        self.signal(vm, Signal::STOP);
        let pid = self.pid(vm);
        spawn_local(async move {
            sleep(d).await;
            if life.number() == number {
                life.paused(false);
            }
            // The process may have been killed meanwhile.
            let _ = kill_process(pid, Signal::CONT);
        });
    }

    /// Ends all faults.
    pub(crate) async fn clear_faults(&mut self, platform: &Platform) {
        platform.clear_faults();
        for vm in 0..self.vms.len() {
            self.vms[vm].store.set(Mode::Pass);
            if let Some(peers) = &self.vms[vm].peers {
                peers.set(Mode::Pass);
            }
            self.vms[vm].life.paused(false);
            self.signal(vm, Signal::CONT);
            if self.vms[vm].child.try_wait().unwrap().is_some() {
                self.restart(vm, Duration::ZERO).await;
            }
        }
    }

    pub(crate) async fn wait_until_ready(&self, limit: Duration) {
        let until = Instant::now() + limit;
        for vm in &self.vms {
            while !is_ready(SocketAddr::from((vm.address, READINESS_PORT))).await {
                let log = std::fs::read_to_string(&vm.log).unwrap_or_default();
                assert!(
                    Instant::now() < until,
                    "{} is not ready:\n{log}",
                    vm.address
                );
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Stops all processes. Settings and logs stay until `remove_files`.
    pub(crate) async fn stop(mut self) -> Self {
        for vm in 0..self.vms.len() {
            self.signal(vm, Signal::TERM);
        }
        for vm in &mut self.vms {
            let until = Instant::now() + STOP_GRACE;
            while vm.child.try_wait().unwrap().is_none() {
                assert!(Instant::now() < until, "{} does not stop", vm.address);
                sleep(Duration::from_millis(20)).await;
            }
        }
        self
    }

    /// Removes the directory of settings and logs.
    pub(crate) fn remove_files(self) {
        std::fs::remove_dir_all(&self.dir).unwrap();
    }

    async fn restart(&mut self, vm: usize, pause: Duration) {
        // The pause is part of the fault: the process is down.
        sleep(pause).await;
        let vm = &mut self.vms[vm];
        vm.child.wait().unwrap();
        vm.child = spawn(&vm.settings, &vm.log);
        vm.life.started();
    }

    /// Records a fault of a VM's process.
    fn note(&self, vm: usize, fault: &str) {
        let [.., number] = self.vms[vm].address.octets();
        let text = format!("VM {vm} (vm-{number}) {fault}");
        self.journal.fault(&text);
    }

    fn signal(&self, vm: usize, signal: Signal) {
        // The process may have exited by itself; the next check of its status shows that.
        let _ = kill_process(self.pid(vm), signal);
    }

    fn pid(&self, vm: usize) -> Pid {
        let id = i32::try_from(self.vms[vm].child.id()).unwrap();
        Pid::from_raw(id).unwrap()
    }
}

impl Vm {
    /// Records the peak memory of the present process, if it has not ended.
    fn read_memory(&mut self) {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|text| text.trim().strip_suffix(" kB")?.parse().ok());
        self.peak_kb = self.peak_kb.max(peak.unwrap_or(0));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for vm in &mut self.vms {
            // Ends only processes of this run, also after a failed check.
            let _ = vm.child.kill();
            let _ = vm.child.wait();
        }
    }
}

fn spawn(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)
        .unwrap();
    Command::new(env!("CARGO_BIN_EXE_geraniumrelay"))
        .arg("leased")
        .env("GERANIUMRELAY_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

async fn is_ready(address: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(address).await?;
        let request = "GET /geraniumrelay/readiness HTTP/1.1\r\nHost: x\r\n\r\n";
        stream.write_all(request.as_bytes()).await?;
        let mut buf = [0; 15];
        stream.read_exact(&mut buf).await?;
        Ok::<bool, std::io::Error>(buf.ends_with(b"200 OK"))
    };
    let checked = timeout(Duration::from_millis(500), check).await;
    checked.is_ok_and(|ready| ready.unwrap_or(false))
}
