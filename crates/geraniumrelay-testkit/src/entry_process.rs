//! Entry processes of a test: the running program starts itself again in that role.

use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use clap::Parser;
use geraniumrelay::Settings;
use geraniumrelay_wire::Vm;
use rustix::process::{Pid, Signal, kill_process};

use crate::certs::TestCerts;
use crate::operators;
use crate::ports::free_address;

/// Set in programs that are to run as an entry process.
const ENTRY_ROLE: &str = "GERANIUMRELAY_TESTKIT_ENTRY_ROLE";

/// Arguments that make a test program run nothing but its `entry_role` test; other programs
/// ignore them.
const TEST_PROGRAM_ARGS: [&str; 4] = ["entry_role", "--exact", "--ignored", "--nocapture"];

/// Becomes an entry process where the program was started as one; call it first in `main`.
///
/// A test program calls it in an ignored test named `entry_role`. Returns only in a program that
/// was not started as an entry process.
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

/// How to start one entry process.
#[derive(Debug, Clone)]
pub struct EntryPlan {
    /// Its VM.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Base URL of the platform.
    pub platform: String,
    /// Certificates.
    pub certs: TestCerts,
    /// Peer address that the others are told, where it is not the one that it listens on.
    pub peer_advertise: Option<SocketAddr>,
    /// Further settings, as environment variables.
    pub settings: Vec<(String, String)>,
}

impl EntryPlan {
    /// Plans an entry process that is this program in another role.
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

/// One running entry process; killed when dropped.
#[derive(Debug)]
pub struct EntryProcess {
    /// Its VM.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// Where it takes callers' requests.
    pub address: SocketAddr,
    /// Where other entry processes send their requests.
    pub peer_address: SocketAddr,
    /// Where it listens for them.
    pub peer_listen: SocketAddr,
    /// Where it takes operators' requests.
    pub operator_address: SocketAddr,
    child: Child,
}

impl EntryProcess {
    /// Starts a process on free addresses.
    pub fn start(plan: &EntryPlan) -> Self {
        Self::start_at(plan, free_address(), free_address())
    }

    /// Starts a process on given addresses.
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
        command.env("GERANIUMRELAY_OPERATORS", operators::setting());
        command.env("GERANIUMRELAY_PLATFORM", &plan.platform);
        command.env("GERANIUMRELAY_CA", plan.certs.ca());
        command.env("GERANIUMRELAY_CERT", plan.certs.cert());
        command.env("GERANIUMRELAY_KEY", plan.certs.key());
        command.envs(plan.settings.iter().map(|(name, value)| (name, value)));
        command.stdin(Stdio::null());
        let child = command.spawn().expect("entry process starts");
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

    /// Its row in the platform's list.
    pub fn listing(&self) -> Vm {
        Vm {
            name: self.vm.clone(),
            role: "entry".to_owned(),
            data_centre: self.data_centre.clone(),
            address: self.address.to_string(),
            peer_address: self.peer_address.to_string(),
            ..Vm::default()
        }
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills it, as a VM that dies.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Tells it to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Freezes it, as a paused VM.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on after [`Self::pause`].
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Waits for its end, at most for `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + timeout;
        loop {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status);
            }
            if Instant::now() >= until {
                return None;
            }
            std::thread::sleep(Duration::from_millis(10));
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
