//! Entry processes of a test: the running program starts its own executable in the entry role.

use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use clap::Parser;
use geraniumrelay::Settings;
use geraniumrelay_wire::Vm;
use rustix::process::{Pid, Signal, kill_process};

use crate::certs::TestCerts;
use crate::operators;
use crate::ports::{self, free_address};

/// Interval between two checks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Environment variable that is set in programs started as an entry process.
const ENTRY_ROLE: &str = "GERANIUMRELAY_TESTKIT_ENTRY_ROLE";

/// Arguments that make a test program run only its `entry_role` test; other programs ignore them.
const TEST_PROGRAM_ARGS: [&str; 4] = ["entry_role", "--exact", "--ignored", "--nocapture"];

/// Runs an entry process and exits if the program was started as one; else returns.
///
/// Programs call this function first in `main`; test programs call it in an ignored test named
/// `entry_role`.
pub fn run_if_entry() {
    if std::env::var_os(ENTRY_ROLE).is_none() {
        return;
    }
    let settings = Settings::parse_from(["geraniumrelay"]);
    let code = match geraniumrelay::run(&settings) {
        Ok(()) => 0,
        Err(e) => {
            eprintln!("{e:#}");
            1
        }
    };
    std::process::exit(code);
}

/// Parameters of an entry process to start.
#[derive(Debug, Clone)]
pub struct EntryPlan {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Base URL of the platform.
    pub platform: String,
    /// CA, certificate and key files for connections between entry processes.
    pub certs: TestCerts,
    /// Peer address to advertise; `None` advertises the address that the process listens on.
    pub peer_advertise: Option<SocketAddr>,
    /// Additional settings as environment variables; these override the ones set by this module.
    pub settings: Vec<(String, String)>,
}

impl EntryPlan {
    /// Plans an entry process that advertises its own peer address and has no additional settings.
    pub fn new(vm: &str, data_centre: &str, platform: String, certs: TestCerts) -> Self {
        Self {
            vm: vm.to_owned(),
            data_centre: data_centre.to_owned(),
            platform,
            certs,
            peer_advertise: None,
            settings: Vec::new(),
        }
    }
}

/// A running entry process; killed on drop.
#[derive(Debug)]
pub struct EntryProcess {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Listen address for callers.
    pub address: SocketAddr,
    /// Advertised peer address, to which other entry processes send their messages.
    pub peer_address: SocketAddr,
    /// Listen address for peers; differs from `peer_address` behind a relay.
    pub peer_listen: SocketAddr,
    /// Listen address for operators.
    pub operator_address: SocketAddr,
    child: Child,
}

impl EntryProcess {
    /// Starts a process on free loopback addresses.
    pub fn start(plan: &EntryPlan) -> Self {
        Self::start_at(plan, free_address(), free_address())
    }

    /// Starts a process with the given listen addresses for callers and peers.
    ///
    /// # Panics
    /// If the executable can't be found or started.
    pub fn start_at(plan: &EntryPlan, address: SocketAddr, peer_listen: SocketAddr) -> Self {
        let peer_address = plan.peer_advertise.unwrap_or(peer_listen);
        let program = std::env::current_exe().expect("path of this program");
        let mut command = Command::new(program);
        command.args(TEST_PROGRAM_ARGS);
        command.env(ENTRY_ROLE, "1");
        command.env("GERANIUMRELAY_VM", &plan.vm);
        command.env("GERANIUMRELAY_DATA_CENTRE", &plan.data_centre);
        command.env("GERANIUMRELAY_LISTEN", address.to_string());
        command.env("GERANIUMRELAY_PEER_LISTEN", peer_listen.to_string());
        command.env("GERANIUMRELAY_PEER_ADVERTISE", peer_address.to_string());
        let operator_address = free_address();
        command.env(
            "GERANIUMRELAY_OPERATOR_LISTEN",
            operator_address.to_string(),
        );
        command.env("GERANIUMRELAY_OPERATORS", operators::operators_setting());
        command.env("GERANIUMRELAY_PLATFORM", &plan.platform);
        command.env("GERANIUMRELAY_CA", plan.certs.ca());
        command.env("GERANIUMRELAY_CERT", plan.certs.cert());
        command.env("GERANIUMRELAY_KEY", plan.certs.key());
        command.envs(plan.settings.iter().map(|(name, value)| (name, value)));
        command.stdin(Stdio::null());
        let child = ports::spawn(&mut command).expect("entry process starts");
        let (vm, data_centre) = (plan.vm.clone(), plan.data_centre.clone());
        Self {
            vm,
            data_centre,
            address,
            peer_address,
            peer_listen,
            operator_address,
            child,
        }
    }

    /// Row of the process in the platform's VM list.
    pub fn vm_row(&self) -> Vm {
        Vm {
            name: self.vm.clone(),
            role: "entry".to_owned(),
            data_centre: self.data_centre.clone(),
            address: self.address.to_string(),
            peer_address: self.peer_address.to_string(),
            ..Vm::default()
        }
    }

    /// Id of the operating-system process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends `SIGKILL` and waits for the end of the process, as if the VM had crashed.
    pub fn kill(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends `SIGTERM`, which starts a graceful stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends `SIGSTOP`, as if the VM were paused.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends `SIGCONT`, which ends a [`Self::pause`].
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for the end of the process; `None` if it still runs after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= deadline {
                return None;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("signal to an entry process");
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
