//! Benchmark of CPU time and memory per task in the dispatcher, by number of targets.
//!
//! A single entry VM is assigned all targets. One iteration submits, starts and ends one task while
//! half of the slots are in use, and so covers the whole cost of a task on the decision thread.

use std::alloc::System;
use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group};
use geraniumrelay_core::command::TaskSpec;
use geraniumrelay_core::modules::sheet::parse_sheet;
use geraniumrelay_core::modules::targets::{TargetInfo, TaskKey};
use geraniumrelay_core::{
    Command, Config, Context, Dispatcher, Effect, Identity, Incarnation, JobSpec, Origin,
    TaskOutcome, TicketKey, TicketMint, Waiter,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

/// Numbers of targets for which CPU time is measured.
const TARGET_COUNTS: [usize; 4] = [48, 480, 4_800, 22_000];

/// Number of slots of each target.
const SLOTS_PER_TARGET: usize = 8;

/// Number of tasks of each job in the memory measurement.
const TASKS_PER_JOB: usize = 10;

/// Number of tasks in the memory measurement.
const MEASURED_TASKS: usize = 10_000;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Entry VM that is assigned all targets.
struct Vm {
    dispatcher: Dispatcher,
    mint: TicketMint,
    cfg: Config,
    now: Instant,
    effects: Vec<Effect>,
}

impl Vm {
    fn new(targets: usize) -> Self {
        let (now, cfg) = (Instant::now(), Config::default());
        let identity = Identity {
            vm: "e0".parse().expect("valid name"),
            data_centre: "szeged".parse().expect("valid name"),
            peer_address: SocketAddr::from(([10, 0, 0, 1], 1)),
            incarnation: Incarnation(1),
        };
        let mint = TicketMint::new(
            identity.data_centre,
            identity.incarnation,
            TicketKey([7; 16]),
        );
        let dispatcher = Dispatcher::new(&Context::new(now, &cfg), identity, mint.clone());
        let mut vm = Self {
            dispatcher,
            mint,
            cfg,
            now,
            effects: Vec::new(),
        };
        let sheet = format!(
            "service,data_centre,workers,slots,connections,request_kind,urgency,idempotent,\
             deadline_ms,state,team,team_share\n\
             till,szeged,{targets},{SLOTS_PER_TARGET},64,hold,urgent,yes,60000,active,,\n"
        );
        let sheet = parse_sheet(1, &sheet).expect("valid sheet");
        vm.send(Command::ApplySheet(Arc::new(sheet)));
        vm.send(Command::UpdateTargets((0..targets).map(target).collect()));
        vm
    }

    fn send(&mut self, cmd: Command) {
        self.effects.clear();
        let cx = Context::new(self.now, &self.cfg);
        self.dispatcher.handle(&cx, cmd, &mut self.effects);
    }

    fn submit(&mut self, tasks: usize) {
        let task = TaskSpec {
            payload: "0123456789abcdef".into(),
            expected_ms: Some(300),
        };
        let ticket = self.mint.mint().expect("mint is open");
        self.send(Command::Submit {
            ticket,
            digest: 1,
            job: JobSpec {
                service: "till".parse().expect("valid name"),
                kind: "hold".parse().expect("valid name"),
                team: None,
                deadline_ms: None,
                tasks: vec![task; tasks],
            },
            waiter: Waiter(0),
            origin: Origin::Caller,
        });
    }

    fn started_task(&self) -> Option<TaskKey> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Start { task, .. } => Some(*task),
            _ => None,
        })
    }

    /// Submits one task, which starts immediately, and ends it.
    fn run_task(&mut self) {
        self.submit(1);
        let task = self.started_task().expect("free slot");
        self.now += Duration::from_micros(10);
        self.send(Command::EndTask {
            task,
            outcome: TaskOutcome::Completed {
                output: "ok".to_owned(),
            },
        });
    }
}

fn target(n: usize) -> TargetInfo {
    let port = u16::try_from(n % 60_000).expect("valid port");
    TargetInfo {
        vm: format!("t{n}").parse().expect("valid name"),
        service: "till".parse().expect("valid name"),
        address: SocketAddr::from(([10, 0, 0, 2], port)),
        is_leaving: false,
    }
}

fn decision_cost(c: &mut Criterion) {
    let mut group = c.benchmark_group("task");
    group.warm_up_time(Duration::from_millis(500));
    group.measurement_time(Duration::from_secs(2));
    for targets in TARGET_COUNTS {
        let mut vm = Vm::new(targets);
        for _ in 0..targets * SLOTS_PER_TARGET / 2 {
            vm.submit(1);
        }
        let id = BenchmarkId::from_parameter(targets);
        group.bench_function(id, |b| b.iter(|| black_box(&mut vm).run_task()));
    }
    group.finish();
}

/// Submits `MEASURED_TASKS` tasks and returns the growth of allocated memory in bytes per task.
fn bytes_per_task(vm: &mut Vm) -> usize {
    let region = Region::new(ALLOCATOR);
    for _ in 0..MEASURED_TASKS / TASKS_PER_JOB {
        vm.submit(TASKS_PER_JOB);
    }
    let change = region.change();
    (change.bytes_allocated - change.bytes_deallocated) / MEASURED_TASKS
}

fn print_memory() {
    let running = bytes_per_task(&mut Vm::new(MEASURED_TASKS / SLOTS_PER_TARGET));
    let mut vm = Vm::new(1);
    vm.submit(SLOTS_PER_TARGET);
    let queued = bytes_per_task(&mut vm);
    println!("memory: {running} bytes a running task, {queued} bytes a queued task");
}

criterion_group!(benches, decision_cost);

fn main() {
    print_memory();
    benches();
    Criterion::default().configure_from_args().final_summary();
}
