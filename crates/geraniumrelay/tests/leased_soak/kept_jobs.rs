//! Kept jobs under overload, most of which are refused, while VMs freeze and the links between them break.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

use crate::callers::{Callers, Workload};
use crate::fleet::{Fleet, FleetOptions};
use crate::platform::Platform;
use crate::proxy::Mode;
use crate::seeds::seeds_or;
use crate::{GROWING_CONFIGURATION, IS_RUNNING, MAX_RECOVERY, WORKERS};

const VMS: u8 = 6;

const FLEET: FleetOptions = FleetOptions {
    name: "kept",
    vms: VMS,
    ..GROWING_CONFIGURATION.fleet
};

/// Jobs that can't wait for the end of others.
const JOBS: Workload = Workload {
    run_ms: (200, 500),
    cpu_milli: 27_000,
    answer_timeout: Duration::from_secs(2),
    leaving: 0.0,
    is_kept: true,
};

/// Concurrent callers: several times of what the workers can run.
const CALLERS: u64 = 30;

const FAULT_TIME: Duration = Duration::from_secs(20);

/// Time in which refused jobs that are stored all the same start, once there is room.
const START_TIME: Duration = Duration::from_secs(4);

/// REFUSED: a VM that woke from a freeze passed its jobs on twice; the first copies were refused, the second ones stored.
#[test]
fn refused_jobs_do_not_run_while_vms_freeze_and_links_break() {
    let _running = IS_RUNNING
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    for seed in seeds_or(0..2) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, soak(seed));
    }
}

async fn soak(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let platform = Platform::start(WORKERS).await;
    let mut fleet = Fleet::start(FLEET, &platform, seed).await;
    fleet.wait_until_ready(MAX_RECOVERY).await;
    let callers = Callers::start_with(&fleet.targets(), seed, (CALLERS, 0), JOBS);
    let started = Instant::now();
    while started.elapsed() < FAULT_TIME {
        let vm = rng.random_range(0..usize::from(VMS));
        match rng.random_range(0..4) {
            0 => fleet.peer_proxy(vm).set(Mode::Reset),
            1 => fleet
                .peer_proxy(vm)
                .set(Mode::Delay(Duration::from_millis(50))),
            _ => {
                let pause = Duration::from_millis(rng.random_range(1_500..3_900));
                fleet.pause(vm, pause);
                sleep(pause).await;
            }
        }
        sleep(Duration::from_millis(rng.random_range(200..900))).await;
        fleet.peer_proxy(vm).set(Mode::Pass);
        platform.assert_no_concurrent_runs(seed);
        let ended = fleet.check_processes();
        assert!(ended.is_empty(), "seed {seed}: {ended:?} ended");
    }
    fleet.clear_faults(&platform).await;
    fleet.wait_until_ready(MAX_RECOVERY).await;
    let outcomes = callers.stop().await;
    sleep(START_TIME).await;
    let (accepted, refused) = (&outcomes.accepted, &outcomes.refused);
    println!(
        "seed {seed}: {} accepted, {} refused",
        accepted.len(),
        refused.len()
    );
    let false_refusals = jobs_by_start(&platform, refused, true);
    assert!(
        false_refusals.is_empty(),
        "seed {seed}: refused but run: {false_refusals:?}"
    );
    let until = Instant::now() + MAX_RECOVERY;
    loop {
        let left = jobs_by_start(&platform, accepted, false);
        if left.is_empty() {
            break;
        }
        assert!(
            Instant::now() < until,
            "seed {seed}: accepted, but not started: {left:?}"
        );
        sleep(Duration::from_millis(50)).await;
    }
    assert!(
        !accepted.is_empty() && !refused.is_empty(),
        "seed {seed}: no overload"
    );
    platform.assert_no_concurrent_runs(seed);
    fleet.stop().await.remove_files();
}

/// Those of the jobs of which a task has started, or of which none has.
fn jobs_by_start(platform: &Platform, jobs: &BTreeSet<u64>, has_started: bool) -> Vec<String> {
    let jobs = jobs
        .iter()
        .filter(|id| platform.has_started(**id) == has_started);
    jobs.map(|id| format!("{id:016x}")).collect()
}
