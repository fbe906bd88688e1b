//! One round: starts a new cluster, runs callers through the faults of a schedule, and audits the
//! results.

use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, ClusterPlan};
use crate::faults::audit::{Audit, Violation};
use crate::faults::callers::CallerPool;
use crate::faults::fault::{ENTRIES, Fault, Schedule, TARGETS};
use crate::platform::PlatformFaults;
use crate::target::TargetFaults;

/// Time for which callers run without faults, before and after the schedule.
const FAULT_FREE_TIME: Duration = Duration::from_millis(700);

/// Wait after the last request, so that the audit also sees unexpected late starts.
const LATE_START_WAIT: Duration = Duration::from_millis(1_500);

/// Number of duplicates of finished submissions that are sent after the faults.
const LATE_DUPLICATES: usize = 40;

/// Maximum wait for a graceful stop.
const STOP_MAX_WAIT: Duration = Duration::from_secs(20);

/// Time until the balancer detects that an entry process is not ready.
const BALANCER_LAG: Duration = Duration::from_millis(100);

/// Number of successful writes whose replies are lost, including writes of entry processes.
const LOST_REPLIES: u32 = 3;

/// Time for which a stopping entry process keeps idle connections; longer than [`BALANCER_LAG`].
const STOP_LINGER: &str = "1s";

/// Maximum time of a stop, which may have to wait for the journal while the platform is
/// unavailable; longer than any job deadline.
const STOP_TIMEOUT: &str = "8s";

/// Number of cancellation waves of a round.
const CANCEL_WAVES: u64 = 4;

/// Time after the leaving mark from which a target must get no starts.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Schedule and audit of a round.
#[derive(Debug, Clone)]
pub struct RoundReport {
    /// Faults of the round.
    pub schedule: Schedule,
    /// Counts and violations of the round.
    pub audit: Audit,
}

/// Runs one round on a new cluster.
///
/// # Panics
/// If the cluster does not start, or a restarted entry process does not become ready.
pub fn run_round(schedule: Schedule) -> RoundReport {
    let plan = ClusterPlan::new(ENTRIES, TARGETS)
        .with_setting("GERANIUMRELAY_STOP_LINGER", STOP_LINGER)
        .with_setting("GERANIUMRELAY_STOP_TIMEOUT", STOP_TIMEOUT);
    let cluster = Cluster::start(plan);
    let pool = CallerPool::default();
    pool.set_entries(cluster.addresses());
    let callers = pool.start(schedule.seed);
    thread::sleep(FAULT_FREE_TIME);
    let mut round = Round {
        cluster,
        pool,
        callers,
        seed: schedule.seed,
        platform: PlatformFaults::default(),
        revision: 1,
        violations: Vec::new(),
        leaving_targets: Vec::new(),
    };
    round.run_faults(&schedule);
    thread::sleep(FAULT_FREE_TIME);
    round.pool.stop();
    for caller in round.callers.drain(..) {
        caller.join().expect("caller thread does not panic");
    }
    round
        .pool
        .send_late_duplicates(schedule.seed, LATE_DUPLICATES);
    thread::sleep(LATE_START_WAIT);
    let audit = round.audit(&schedule);
    RoundReport { schedule, audit }
}

struct Round {
    cluster: Cluster,
    pool: CallerPool,
    callers: Vec<JoinHandle<()>>,
    seed: u64,
    platform: PlatformFaults,
    revision: u64,
    violations: Vec<Violation>,
    /// Index of each target marked as leaving, and when its [`LEAVING_LIMIT`] begins.
    leaving_targets: Vec<(usize, Instant)>,
}

impl Round {
    fn run_faults(&mut self, schedule: &Schedule) {
        let deadline = Instant::now() + schedule.duration();
        for fault in &schedule.faults {
            self.inject(*fault);
        }
        thread::sleep(deadline.saturating_duration_since(Instant::now()));
        for fault in &schedule.faults {
            self.clear(*fault);
        }
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n) => self.cluster.entries[n].kill(),
            Fault::Pause(n) => self.cluster.entries[n].pause(),
            Fault::PlatformUnavailable => {
                self.change_platform(|faults| faults.is_unavailable = true);
            }
            Fault::SlowPlatform => {
                self.change_platform(|faults| faults.delay = Duration::from_secs(1));
            }
            Fault::LostReplies => self.lose_replies(),
            Fault::FailingTarget(n) => {
                self.change_target(n, |faults| faults.fails_all_tasks = true);
            }
            Fault::Straggler(n) => self.change_target(n, |faults| faults.slowdown_factor = 20),
            Fault::DelayedStarts(n) => {
                self.change_target(n, |faults| faults.start_delay = Duration::from_millis(800));
            }
            Fault::LeavingTarget(n) => {
                self.cluster.mark_leaving(n);
                self.leaving_targets.push((n, Instant::now()));
            }
            Fault::Cancellations => self.cancel_in_waves(),
            Fault::RollingRestart => self.restart_all(),
        }
    }

    fn clear(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(n) => self.cluster.restart_entry(n),
            Fault::Pause(n) => self.cluster.entries[n].resume(),
            Fault::PlatformUnavailable => {
                self.change_platform(|faults| faults.is_unavailable = false);
                self.restart_leaving_limit();
            }
            Fault::SlowPlatform => {
                self.change_platform(|faults| faults.delay = Duration::ZERO);
                self.restart_leaving_limit();
            }
            Fault::FailingTarget(n) | Fault::Straggler(n) | Fault::DelayedStarts(n) => {
                self.cluster.targets[n].set_faults(TargetFaults::default());
            }
            Fault::LostReplies => self.change_platform(|faults| faults.lost_replies = 0),
            Fault::LeavingTarget(_) | Fault::Cancellations | Fault::RollingRestart => {}
        }
    }

    /// Restarts the limit of all leaving targets, as entry processes may not have read the list
    /// while the platform was unavailable or slow. Waits beyond the limit while callers run, so
    /// that the audit sees late starts.
    fn restart_leaving_limit(&mut self) {
        let now = Instant::now();
        for (_, marked_at) in &mut self.leaving_targets {
            *marked_at = now;
        }
        if !self.leaving_targets.is_empty() {
            thread::sleep(LEAVING_LIMIT + FAULT_FREE_TIME);
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

    /// Stores a sheet revision while the replies to successful writes are lost. Does nothing if the
    /// platform is unavailable.
    fn lose_replies(&mut self) {
        if self.platform.is_unavailable {
            return;
        }
        self.revision += 1;
        self.change_platform(|faults| faults.lost_replies = LOST_REPLIES);
        self.cluster.apply_sheet_with_lost_reply(self.revision);
    }

    fn cancel_in_waves(&mut self) {
        for wave in 0..CANCEL_WAVES {
            self.callers.extend(self.pool.cancel_half(self.seed + wave));
            thread::sleep(FAULT_FREE_TIME / 2);
        }
    }

    /// Stops each running entry process gracefully and restarts it, one after another. Callers stop
    /// choosing the process [`BALANCER_LAG`] after the stop signal.
    fn restart_all(&mut self) {
        for n in 0..ENTRIES {
            let entry = &mut self.cluster.entries[n];
            if entry.wait(Duration::ZERO).is_some() {
                continue;
            }
            entry.resume();
            entry.terminate();
            thread::sleep(BALANCER_LAG);
            self.pool.set_entries(self.addresses_without(n));
            let entry = &mut self.cluster.entries[n];
            let has_stopped_cleanly = entry
                .wait(STOP_MAX_WAIT)
                .is_some_and(|status| status.success());
            if !has_stopped_cleanly {
                let vm = entry.vm.clone();
                entry.kill();
                self.violations.push(Violation::UncleanStop { vm });
            }
            self.cluster.restart_entry(n);
            self.cluster.wait_entry_ready(n);
            self.pool.set_entries(self.cluster.addresses());
        }
    }

    fn addresses_without(&self, n: usize) -> Vec<SocketAddr> {
        let mut addresses = self.cluster.addresses();
        addresses.remove(n);
        addresses
    }

    fn audit(self, schedule: &Schedule) -> Audit {
        let starts = self.cluster.starts_per_task();
        let mut audit = Audit::new(schedule, &self.pool.attempts(), &starts);
        audit.violations.extend(self.violations);
        for (target, marked_at) in self.leaving_targets {
            let limit = marked_at + LEAVING_LIMIT;
            let starts = self.cluster.targets[target].starts();
            if starts.iter().any(|start| start.at > limit) {
                audit
                    .violations
                    .push(Violation::StartOnLeavingTarget { target });
            }
        }
        audit
    }
}
