//! Two processes of a worker that answer at one address: the former one still serves the connections
//! that it has accepted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::{
    Command, Effect, FencingToken, JobId, PollCall, PollReply, Resources, RunningTask, Scheduler,
    StartCall, StartReply, Submission, WorkerEntry, WorkerName, WorkerReport, WorkerState,
    WorkerTime,
};
use geraniumrelay_core::{Config, Context};

use crate::world::{TestJob, vm};

const MS: Duration = Duration::from_millis(1);

/// A scheduler with one worker; the test replies to its calls.
struct Cell {
    scheduler: Scheduler,
    cfg: Config,
    now: Instant,
    starts: Vec<StartCall>,
    polls: Vec<PollCall>,
    stops: usize,
}

impl Cell {
    fn new() -> Self {
        Self {
            scheduler: Scheduler::new(FencingToken::new(1, vm(1)), "a".into()),
            cfg: Config::default(),
            now: Instant::now(),
            starts: Vec::new(),
            polls: Vec::new(),
            stops: 0,
        }
    }

    fn handle(&mut self, cmd: Command) {
        self.now += MS;
        let mut out = Vec::new();
        let cx = Context::new(self.now, &self.cfg);
        self.scheduler.handle(&cx, cmd, &mut out);
        for effect in out {
            match effect {
                Effect::Start(call) => self.starts.push(call),
                Effect::Poll(call) => self.polls.push(call),
                Effect::Stop(_) => self.stops += 1,
                _ => {}
            }
        }
    }

    fn read_entry(&mut self, instance: u64) {
        self.handle(Command::WorkerSeen(WorkerEntry {
            name: WorkerName("w".into()),
            service: "service".into(),
            address: ([127, 0, 0, 1], 1_000).into(),
            data_centre: "a".into(),
            state: WorkerState::Ready,
            capacity: Resources {
                cpu_milli: 64_000,
                memory_mb: 65_536,
                gpus: 0,
            },
            labels: vec![Arc::from("a")],
            cold_remaining: Duration::ZERO,
            instance_started_unix_ms: Some(instance),
        }));
    }

    /// Answers the last poll as another worker.
    fn refuse_poll(&mut self) {
        let call = self.polls.last().expect("a poll").clone();
        self.handle(Command::PollReplied {
            worker: call.worker,
            number: call.number,
            sent: self.now,
            reply: PollReply::OtherInstance,
        });
    }

    /// Answers the last poll as an instance that has been up for `clock_ms`, and runs `running`.
    fn report(&mut self, instance: u64, clock_ms: u64, running: Vec<RunningTask>) {
        let call = self.polls.last().expect("a poll").clone();
        let sent = self.now;
        self.handle(Command::PollReplied {
            worker: call.worker,
            number: call.number,
            sent,
            reply: PollReply::Report(WorkerReport {
                instance_started_unix_ms: Some(instance),
                clock: WorkerTime(clock_ms),
                running,
                ..WorkerReport::default()
            }),
        });
    }
}

#[test]
fn a_worker_whose_address_another_one_had_for_a_moment_is_used_again() {
    let mut cell = Cell::new();
    cell.read_entry(1);
    cell.report(1, 5_000, Vec::new());
    cell.read_entry(2);
    cell.refuse_poll();
    assert_eq!(cell.scheduler.snapshot(cell.now).usable, 0);
    cell.now += Duration::from_secs(3);
    cell.handle(Command::Tick);
    cell.report(1, 8_000, Vec::new());
    assert_eq!(cell.scheduler.snapshot(cell.now).usable, 1);
}

/// The start is told by the time of day, which jumps forwards and back.
#[test]
fn a_worker_that_names_an_earlier_start_again_stays_in_use() {
    let mut cell = Cell::new();
    cell.read_entry(1);
    let mut clock_ms = 5_000;
    for instance in [1, 2_001, 1, 2_001, 1] {
        cell.report(instance, clock_ms, Vec::new());
        cell.read_entry(3);
        clock_ms += 2;
    }
    cell.report(1, clock_ms, Vec::new());
    assert_eq!(cell.scheduler.snapshot(cell.now).usable, 1);
}

#[test]
fn a_report_of_a_superseded_instance_changes_nothing() {
    let mut cell = Cell::new();
    cell.read_entry(1);
    cell.report(1, 5_000, Vec::new());
    cell.read_entry(2);
    cell.report(2, 100, Vec::new());
    let job = TestJob::new(1, 1, 500 * MS);
    cell.handle(Command::Submit(Submission {
        spec: job.spec,
        origin: vm(100),
        name: None,
        waited: Duration::ZERO,
        remaining_wait: Duration::from_secs(4),
        as_of: None,
        may_have_started: false,
        former_tokens: Vec::new(),
        has_alternative: false,
        losses: Vec::new(),
    }));
    let start = cell.starts.last().expect("a start").clone();
    assert_eq!(start.task.job, JobId(1));
    cell.handle(Command::StartReplied {
        worker: start.worker,
        task: start.task,
        run: start.run,
        reply: StartReply::Accepted,
        clock: Some(WorkerTime(110)),
    });
    cell.report(1, 5_200, Vec::new());
    let row = RunningTask {
        task: start.task,
        run: start.run,
        percent: 10,
    };
    cell.now += Duration::from_millis(200);
    cell.handle(Command::Tick);
    cell.report(2, 400, vec![row]);
    cell.report(1, 5_500, Vec::new());
    cell.now += Duration::from_millis(200);
    cell.handle(Command::Tick);
    assert_eq!((cell.starts.len(), cell.stops), (1, 0));
}
