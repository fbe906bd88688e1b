//! One round: a fresh cluster, callers at work, the faults of a schedule, and the audit.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, ClusterPlan};
use crate::faults::audit::{Audit, Violation};
use crate::faults::callers::Desk;
use crate::faults::fault::{ENTRIES, Fault, Schedule, TARGETS};
use crate::platform::PlatformFaults;
use crate::target::TargetFaults;

/// Time in which callers work before and after the faults.
const CALM: Duration = Duration::from_millis(700);

/// Time after the last request in which a stray start would still show.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Late copies that are sent after the faults.
const LATE_COPIES: usize = 40;

/// Longest wait for a graceful stop.
const STOP_PATIENCE: Duration = Duration::from_secs(20);

/// Time until the balancer sees that an entry process is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(100);

/// Writes whose replies are lost, those of entry processes among them.
const LOST_REPLIES: u32 = 3;

/// Time for which a stopping entry process keeps idle connections; longer than the balancer's lag.
const STOP_LINGER: &str = "1s";

/// Longest wait of a stopping entry process, as for its journal while the store is away; longer
/// than any deadline.
const STOP_TIMEOUT: &str = "8s";

/// Waves of cancellations in a round.
const CANCEL_WAVES: u64 = 4;

/// Time after which a target that is marked as leaving gets nothing new.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// What came of one round.
#[derive(Debug, Clone)]
pub struct RoundReport {
    /// Its faults.
    pub schedule: Schedule,
    /// Its audit.
    pub audit: Audit,
}

/// Runs one round.
pub fn run_round(schedule: Schedule) -> RoundReport {
    let plan = ClusterPlan::new(ENTRIES, TARGETS)
        .with_setting("GERANIUMRELAY_STOP_LINGER", STOP_LINGER)
        .with_setting("GERANIUMRELAY_STOP_TIMEOUT", STOP_TIMEOUT);
    let cluster = Cluster::start(plan);
    let desk = Desk::default();
    desk.offer(cluster.addresses());
    let callers = desk.open(schedule.seed);
    thread::sleep(CALM);
    let mut round = Round {
        cluster,
        desk,
        callers,
        seed: schedule.seed,
        platform: PlatformFaults::default(),
        revision: 1,
        violations: Vec::new(),
        left: Vec::new(),
    };
    round.strike(&schedule);
    thread::sleep(CALM);
    round.desk.close();
    for caller in round.callers.drain(..) {
        caller.join().expect("a caller ends");
    }
    round.desk.send_late_copies(schedule.seed, LATE_COPIES);
    thread::sleep(SETTLE);
    let audit = round.audit(&schedule);
    RoundReport { schedule, audit }
}

struct Round {
    cluster: Cluster,
    desk: Desk,
    callers: Vec<JoinHandle<()>>,
    seed: u64,
    platform: PlatformFaults,
    revision: u64,
    violations: Vec<Violation>,
    left: Vec<(usize, Instant)>,
}

impl Round {
    fn strike(&mut self, schedule: &Schedule) {
        let until = Instant::now() + schedule.time();
        for fault in &schedule.faults {
            self.begin(*fault);
        }
        thread::sleep(until.saturating_duration_since(Instant::now()));
        for fault in &schedule.faults {
            self.end(*fault);
        }
    }

    fn begin(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n) => self.cluster.entries[n].kill(),
            Fault::Pause(n) => self.cluster.entries[n].pause(),
            Fault::StoreAway => self.change_platform(|faults| faults.is_unavailable = true),
            Fault::StoreSlow => {
                self.change_platform(|faults| faults.delay = Duration::from_secs(1));
            }
            Fault::LostReply => self.lose_replies(),
            Fault::FailsAll(n) => self.change_target(n, |faults| faults.fails_all_tasks = true),
            Fault::Straggler(n) => self.change_target(n, |faults| faults.slowness = 20),
            Fault::Hanging(n) => {
                self.change_target(n, |faults| faults.pause = Duration::from_millis(800));
            }
            Fault::Leaving(n) => {
                self.cluster.list_leaving(n);
                self.left.push((n, Instant::now()));
            }
            Fault::Cancellations => self.cancel_in_waves(),
            Fault::Rolling => self.replace_all(),
        }
    }

    fn end(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n) => self.cluster.restart_entry(n),
            Fault::Pause(n) => self.cluster.entries[n].resume(),
            Fault::StoreAway => {
                self.change_platform(|faults| faults.is_unavailable = false);
                self.await_leaving_mark();
            }
            Fault::StoreSlow => {
                self.change_platform(|faults| faults.delay = Duration::ZERO);
                self.await_leaving_mark();
            }
            Fault::FailsAll(n) | Fault::Straggler(n) | Fault::Hanging(n) => {
                self.cluster.targets[n].set_faults(TargetFaults::default());
            }
            Fault::LostReply => self.change_platform(|faults| faults.lost_replies = 0),
            Fault::Leaving(_) | Fault::Cancellations | Fault::Rolling => {}
        }
    }

    /// A mark in a list that can't be read counts from when it can; callers go on beyond the limit.
    fn await_leaving_mark(&mut self) {
        let now = Instant::now();
        for (_, at) in &mut self.left {
            *at = now;
        }
        if !self.left.is_empty() {
            thread::sleep(LEAVING_LIMIT + CALM);
        }
    }

    fn change_platform(&mut self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.platform);
        self.cluster.platform.set_faults(self.platform.clone());
    }

    fn change_target(&self, n: usize, change: impl FnOnce(&mut TargetFaults)) {
        let mut faults = TargetFaults::default();
        change(&mut faults);
        self.cluster.targets[n].set_faults(faults);
    }

    /// Accepts a revision while the replies to writes that take effect are lost.
    fn lose_replies(&mut self) {
        if self.platform.is_unavailable {
            return;
        }
        self.revision += 1;
        self.change_platform(|faults| faults.lost_replies = LOST_REPLIES);
        self.cluster.apply_with_lost_reply(self.revision);
    }

    fn cancel_in_waves(&mut self) {
        for wave in 0..CANCEL_WAVES {
            self.callers.extend(self.desk.cancel_half(self.seed + wave));
            thread::sleep(CALM / 2);
        }
    }

    /// Stops each running entry process gracefully and starts it again.
    fn replace_all(&mut self) {
        for n in 0..ENTRIES {
            let entry = &mut self.cluster.entries[n];
            if entry.wait(Duration::ZERO).is_some() {
                continue;
            }
            entry.resume();
            entry.terminate();
            thread::sleep(BALANCER_LAG);
            self.desk.offer(self.addresses_without(n));
            let entry = &mut self.cluster.entries[n];
            let has_ended = entry
                .wait(STOP_PATIENCE)
                .is_some_and(|status| status.success());
            if !has_ended {
                let vm = entry.vm.clone();
                entry.kill();
                self.violations.push(Violation::UncleanStop { vm });
            }
            self.cluster.restart_entry(n);
            self.cluster.wait_serving(n);
            self.desk.offer(self.cluster.addresses());
        }
    }

    fn addresses_without(&self, n: usize) -> Vec<SocketAddr> {
        let mut addresses = self.cluster.addresses();
        addresses.remove(n);
        addresses
    }

    fn audit(self, schedule: &Schedule) -> Audit {
        let starts = self.cluster.starts_per_task();
        let mut audit = Audit::new(schedule, &self.desk.attempts(), &starts);
        audit.violations.extend(self.violations);
        for (target, at) in self.left {
            let limit = at + LEAVING_LIMIT;
            let starts = self.cluster.targets[target].starts();
            if starts.iter().any(|start| start.at > limit) {
                audit.violations.push(Violation::StartOnLeaving { target });
            }
        }
        audit
    }
}
