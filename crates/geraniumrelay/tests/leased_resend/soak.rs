//! Random faults that overlap, while callers of long jobs leave and send them again to any VM.

use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep};

use crate::callers::{Callers, Workload};
use crate::fleet::{Fleet, FleetOptions};
use crate::platform::Platform;
use crate::proxy::Mode;
use crate::seeds::seeds;
use crate::{MAX_RECOVERY, run, start_platform};

const FLEET: FleetOptions = FleetOptions {
    name: "resend",
    first: 11,
    vms: 5,
    data_centres: &["z", "y"],
    max_row_bytes: 64 * 1024,
    has_peer_proxies: true,
};

const WORKERS: usize = 6;

/// Number of the first worker of data centre `y`.
const FIRST_IN_Y: usize = 3;

/// Callers, whose tasks fill about half of the workers.
const CALLERS: u64 = 20;

const JOBS: Workload = Workload {
    run_ms: (20, 3_000),
    cpu_milli: 8_000,
    answer_timeout: Duration::from_secs(6),
    leaving: 0.3,
    is_kept: false,
};

/// Time in which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(12);

/// Maximum time between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 300;

/// Minimum and maximum time for which a worker executes stop orders late, in milliseconds.
const STOP_DELAY_MS: std::ops::Range<u64> = 2_000..12_000;

/// A fault that lasts.
#[derive(Debug, Clone, Copy)]
enum Fault {
    /// All calls to a worker suffer.
    Worker(usize, Mode),
    /// A worker is out of reach of one VM.
    Path(usize, usize),
    /// A worker executes stop orders late and without an answer.
    LateStops(usize, Duration),
    /// The link from a VM to another one is stalled.
    Link(usize, usize),
    /// All links into a VM suffer.
    Links(usize, Mode),
    /// The link from a VM to the store suffers.
    Store(usize, Mode),
}

impl Fault {
    fn random(rng: &mut StdRng) -> Self {
        let vms = usize::from(FLEET.vms);
        let (vm, worker) = (rng.random_range(0..vms), rng.random_range(0..WORKERS));
        let other = (vm + rng.random_range(1..vms)) % vms;
        let mode = [
            Mode::Reset,
            Mode::DropAll,
            Mode::DropReplies,
            Mode::Stall,
            Mode::Delay(Duration::from_millis(150)),
        ][rng.random_range(0..5)];
        match rng.random_range(0..12) {
            0..=1 => Self::Worker(worker, mode),
            2..=3 => Self::Path(worker, vm),
            4..=7 => {
                let delay = rng.random_range(STOP_DELAY_MS);
                Self::LateStops(worker, Duration::from_millis(delay))
            }
            8..=9 => Self::Link(vm, other),
            10 => Self::Links(vm, mode),
            _ => Self::Store(vm, mode),
        }
    }

    fn set(self, fleet: &Fleet, platform: &Platform, begins: bool) {
        let or_pass = |mode| if begins { mode } else { Mode::Pass };
        let address = |vm| -> Ipv4Addr { fleet.address(vm) };
        match self {
            Self::Worker(worker, mode) => platform.worker_proxy(worker).set(or_pass(mode)),
            Self::Path(worker, vm) => platform.cut_off_worker(worker, address(vm), begins),
            Self::LateStops(worker, delay) => {
                platform.delay_stops(worker, begins.then_some(delay));
            }
            Self::Link(from, to) => {
                let link = fleet.peer_proxy(to);
                link.stall_from(address(from).into(), begins);
            }
            Self::Links(vm, mode) => fleet.peer_proxy(vm).set(or_pass(mode)),
            Self::Store(vm, mode) => fleet.store_proxy(vm).set(or_pass(mode)),
        }
    }
}

/// Injects faults, of which several last at a time.
async fn inject(rng: &mut StdRng, fleet: &mut Fleet, platform: &Platform) {
    let until = Instant::now() + FAULT_TIME;
    let mut lasting: Vec<(Instant, Fault)> = Vec::new();
    while Instant::now() < until {
        let now = Instant::now();
        for &(_, fault) in lasting.iter().filter(|(end, _)| *end <= now) {
            fault.set(fleet, platform, false);
        }
        lasting.retain(|(end, _)| *end > now);
        let vm = rng.random_range(0..usize::from(FLEET.vms));
        match rng.random_range(0..8) {
            0 => fleet.kill(vm).await,
            1 => fleet.pause(vm, Duration::from_millis(rng.random_range(200..2_500))),
            _ => {
                let fault = Fault::random(rng);
                let lasts = Duration::from_millis(rng.random_range(300..3_000));
                platform.journal.fault(&format!("{fault:?} for {lasts:?}"));
                fault.set(fleet, platform, true);
                lasting.push((now + lasts, fault));
            }
        }
        sleep(Duration::from_millis(rng.random_range(20..MAX_PAUSE_MS))).await;
    }
    for (_, fault) in lasting {
        fault.set(fleet, platform, false);
    }
}

async fn soak(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let platform: Rc<Platform> = start_platform(WORKERS, FIRST_IN_Y).await;
    let mut fleet = Fleet::start(FLEET, &platform, seed).await;
    fleet.wait_until_ready(MAX_RECOVERY).await;
    let targets = fleet.targets();
    let callers = Callers::start_with(&targets, seed, (CALLERS, 0), JOBS);
    platform.start_call_faults(seed);
    inject(&mut rng, &mut fleet, &platform).await;
    fleet.clear_faults(&platform).await;
    fleet.wait_until_ready(MAX_RECOVERY).await;
    let outcomes = callers.stop().await;
    println!(
        "seed {seed}: {} served, {} refused",
        outcomes.served,
        outcomes.refused.len()
    );
    platform.assert_no_concurrent_runs(seed);
    for id in &outcomes.refused {
        assert!(
            !platform.has_started(*id),
            "seed {seed}: job {id:016x} was refused but has run"
        );
    }
    assert!(
        outcomes.unanswered.is_empty(),
        "seed {seed}: {:?}",
        outcomes.unanswered
    );
    assert!(outcomes.served > 0, "seed {seed}: no job was served");
    let served = Callers::probe(&targets, seed).await;
    assert!(served, "seed {seed}: no job is served after the faults");
    let fleet = fleet.stop().await;
    platform.assert_no_concurrent_runs(seed);
    fleet.remove_files();
}

/// TWICE: faults of several kinds added up to more than callers wait before they send a job again.
#[test]
fn no_task_runs_twice_while_callers_send_jobs_again_under_overlapping_faults() {
    for seed in seeds() {
        run(soak(seed));
    }
}
