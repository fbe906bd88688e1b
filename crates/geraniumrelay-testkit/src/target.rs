//! Stand-in for a target: slots, run times, refusals, and a record of every start.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_wire::{TaskEnd, TaskStart, Usage};
use rouille::{Request, Response, Server};

use crate::platform::read_json;
use crate::ports::free_address;

/// Run time of a task whose payload names none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(50);

/// Fault switches of a target.
#[derive(Debug, Clone, Default)]
pub struct TargetFaults {
    /// Every task fails at once.
    pub fails_all: bool,
    /// Run times are multiplied by this; 0 counts as 1.
    pub slowness: u32,
    /// Every start is refused and the target says that it is leaving.
    pub is_leaving: bool,
    /// Starts hang for this long before anything happens.
    pub pause: Duration,
}

/// One start, as the target saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRecord {
    /// Name of the task.
    pub task: String,
    /// When it started.
    pub at: Instant,
}

#[derive(Debug, Default)]
struct State {
    running: u32,
    starts: Vec<StartRecord>,
    refusals: u64,
    stops: u64,
    faults: TargetFaults,
}

/// A target on loopback. A payload `run:MS:ECHO` runs MS milliseconds and outputs ECHO.
#[derive(Debug, Clone)]
pub struct TargetStandIn {
    address: SocketAddr,
    slots: u32,
    state: Arc<Mutex<State>>,
}

impl TargetStandIn {
    /// Starts a target with a number of slots.
    pub fn start(slots: u32) -> Self {
        let address = free_address();
        let state = Arc::new(Mutex::new(State::default()));
        let target = Self {
            address,
            slots,
            state,
        };
        let shared = target.clone();
        let server = Server::new(address, move |req| shared.serve(req)).expect("target listens");
        thread::spawn(move || server.run());
        target
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Every start so far.
    pub fn starts(&self) -> Vec<StartRecord> {
        self.lock().starts.clone()
    }

    /// Refusals and stops so far.
    pub fn refusals_and_stops(&self) -> (u64, u64) {
        let state = self.lock();
        (state.refusals, state.stops)
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.lock().faults = faults;
    }

    fn serve(&self, req: &Request) -> Response {
        let path = req.url();
        match (req.method(), path.strip_prefix("/v1/tasks/")) {
            ("PUT", Some(task)) => self.run(task, req),
            ("DELETE", Some(_)) => self.stop(),
            ("GET", None) if path == "/v1/usage" => Response::json(&self.usage()),
            _ => Response::empty_404(),
        }
    }

    fn run(&self, task: &str, req: &Request) -> Response {
        let Some(start) = read_json::<TaskStart>(req) else {
            return Response::empty_400();
        };
        let faults = self.lock().faults.clone();
        thread::sleep(faults.pause);
        if !self.try_start(task) {
            return refusal(faults.is_leaving);
        }
        if !faults.fails_all {
            thread::sleep(run_time(&start.payload) * faults.slowness.max(1));
        }
        self.lock().running -= 1;
        if faults.fails_all {
            return Response::text("task failed").with_status_code(500);
        }
        Response::json(&TaskEnd {
            output: echo(&start.payload).to_owned(),
        })
    }

    fn try_start(&self, task: &str) -> bool {
        let mut state = self.lock();
        if state.running >= self.slots || state.faults.is_leaving {
            state.refusals += 1;
            return false;
        }
        state.running += 1;
        state.starts.push(StartRecord {
            task: task.to_owned(),
            at: Instant::now(),
        });
        true
    }

    fn stop(&self) -> Response {
        self.lock().stops += 1;
        Response::empty_204()
    }

    fn usage(&self) -> Usage {
        let state = self.lock();
        Usage {
            running: state.running,
            slots: self.slots,
            leaving: state.faults.is_leaving,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refusal(is_leaving: bool) -> Response {
    let reason = if is_leaving { "leaving" } else { "full" };
    let res = Response::text("not started").with_status_code(503);
    res.with_additional_header("Not-Started", "true")
        .with_additional_header("Reason", reason)
}

/// Run time that a payload asks for.
pub fn run_time(payload: &str) -> Duration {
    let ms = payload
        .strip_prefix("run:")
        .and_then(|rest| rest.split(':').next()?.parse().ok());
    ms.map_or(DEFAULT_RUN_TIME, Duration::from_millis)
}

fn echo(payload: &str) -> &str {
    let rest = payload
        .strip_prefix("run:")
        .and_then(|rest| rest.split_once(':'));
    rest.map_or(payload, |(_, echo)| echo)
}
