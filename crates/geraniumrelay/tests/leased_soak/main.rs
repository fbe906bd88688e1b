//! Real processes under random external faults, on loopback.
//!
//! Stand-ins replace the platform's store and the workers, behind proxies that drop, delay and reset
//! connections. Signals kill, pause and stop processes, which are restarted. In one of the tests the
//! configuration grows and changes meanwhile, and links between VMs are throttled and stalled too. In
//! another one workers restart under their names, and rows, replies and orders are late.
//! The runs on workers, the outcomes of callers and the processes are checked during the test and at
//! its end. By hand, with other seeds:
//!
//!     GERANIUMRELAY_SOAK_SEEDS=1000..1050 cargo test -p geraniumrelay --test leased_soak

mod callers;
mod configuration;
mod deadly_tasks;
mod evacuations;
mod fleet;
mod kept_jobs;
mod life;
#[path = "../../../../platform/tests/stand_in/platform.rs"]
mod platform;
mod proxy;
mod restarter;
mod seeds;
mod stops;
#[path = "../../../geraniumrelay-core/tests/leased/worker.rs"]
#[allow(dead_code, reason = "shared with the tests in virtual time")]
mod worker;

use std::collections::BTreeSet;
use std::ops::Range;
use std::rc::Rc;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::LocalSet;
use tokio::time::sleep;

use callers::Callers;
use configuration::Configurations;
use fleet::{Fleet, FleetOptions};
use platform::Platform;
use proxy::Mode;
use restarter::Restarter;
use seeds::seeds;

/// Maximum time until the fleet serves again after the last fault.
const MAX_RECOVERY: Duration = Duration::from_secs(12);

/// Maximum time until the newest configuration is in force everywhere after the last fault.
const MAX_CONFIGURATION_DELAY: Duration = Duration::from_secs(15);

/// Maximum resident memory of a process, in kB of 1,024 bytes: 160 MB, the smallest VM's memory.
const MAX_MEMORY_KB: u64 = 156_250;

/// Share of a small VM's link that other traffic leaves, in bytes per second: 8 Mbit/s.
const SLOW_LINK: Mode = Mode::Throttle(1_000_000);

/// Link of the smallest VM, in bytes per second: 25 Mbit/s.
const SMALL_LINK: Mode = Mode::Throttle(3_125_000);

/// VMs whose links are slow from the start.
const SLOW_VMS: usize = 4;

/// Concurrent callers, which keep most workers busy.
const CALLERS: u64 = 12;

/// Concurrent callers that leave most workers idle.
const FEW_CALLERS: u64 = 4;

/// Callers that wait for an answer as long as a process may need.
const PATIENT_CALLERS: u64 = 4;

/// Workers.
const WORKERS: usize = 8;

/// The tests run one after the other, because they use the same addresses.
static IS_RUNNING: Mutex<()> = Mutex::new(());

/// One kind of soak.
#[derive(Debug, Clone, Copy)]
struct Soak {
    fleet: FleetOptions,
    /// Time in which faults are injected.
    fault_time: Duration,
    /// Whether the configuration grows and changes.
    has_configurations: bool,
    /// Whether workers restart under their names, and rows, replies and orders are late.
    has_restarts: bool,
}

/// Faults of processes, workers and the links to them and to the store.
const EXTERNAL_FAULTS: Soak = Soak {
    fleet: FleetOptions {
        name: "faults",
        first: 1,
        vms: 3,
        data_centres: &["z"],
        max_row_bytes: 64 * 1024,
        has_peer_proxies: false,
    },
    fault_time: Duration::from_secs(8),
    has_configurations: false,
    has_restarts: false,
};

/// Same, with a growing configuration and faults of the links between VMs.
const GROWING_CONFIGURATION: Soak = Soak {
    fleet: FleetOptions {
        name: "configuration",
        first: 1,
        vms: 6,
        data_centres: &["z"],
        max_row_bytes: configuration::MAX_ROW_BYTES,
        has_peer_proxies: true,
    },
    fault_time: Duration::from_secs(25),
    has_configurations: true,
    has_restarts: false,
};

/// Same as the first, with workers that restart under their names.
const RESTARTING_WORKERS: Soak = Soak {
    fleet: FleetOptions {
        name: "restarts",
        ..EXTERNAL_FAULTS.fleet
    },
    fault_time: Duration::from_secs(7),
    has_configurations: false,
    has_restarts: true,
};

#[test]
fn invariants_hold_under_external_faults() {
    run(EXTERNAL_FAULTS, seeds());
}

#[test]
fn invariants_hold_while_the_configuration_grows() {
    run(GROWING_CONFIGURATION, seeds());
}

/// A task that works on a worker which has just restarted, or on one whose former instance has sent a
/// late message, was started again on another worker.
#[test]
fn invariants_hold_while_workers_restart_under_their_names() {
    run(RESTARTING_WORKERS, seeds());
}

/// Two copies of a job, of which the caller had resent one, ran at the same time.
#[test]
fn a_resent_job_does_not_run_beside_its_first_copy() {
    run(GROWING_CONFIGURATION, 4_013..4_014);
}

fn run(kind: Soak, seeds: Range<u64>) {
    // A failure of one test says nothing about the other.
    let _running = IS_RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    for seed in seeds {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, soak(kind, seed));
    }
}

async fn soak(kind: Soak, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let platform = Platform::start(WORKERS).await;
    let mut fleet = Fleet::start(kind.fleet, &platform, seed).await;
    fleet.wait_until_ready(MAX_RECOVERY).await;
    let targets = fleet.targets();
    let patient = if kind.has_configurations {
        PATIENT_CALLERS
    } else {
        0
    };
    // An idle worker that restarts is not polled before the next start.
    let impatient = if kind.has_restarts && seed % 2 == 1 {
        FEW_CALLERS
    } else {
        CALLERS
    };
    let callers = Callers::start(&targets, seed, (impatient, patient));
    let mut configurations = None;
    if kind.has_configurations {
        for vm in 0..SLOW_VMS {
            fleet.set_links(vm, SLOW_LINK);
        }
        configurations = Some(Configurations::start(&platform, &targets, seed));
    }
    let restarter = kind.has_restarts.then(|| {
        platform.start_call_faults(seed);
        Restarter::start(&platform, WORKERS, seed)
    });
    let mut ended = BTreeSet::new();
    let started = tokio::time::Instant::now();
    while started.elapsed() < kind.fault_time {
        sleep(Duration::from_millis(rng.random_range(100..900))).await;
        if kind.has_configurations {
            inject_on_links(&mut rng, &mut fleet, &platform).await;
        } else {
            inject(&mut rng, &mut fleet, &platform, kind).await;
        }
        platform.assert_no_concurrent_runs(seed);
        ended.extend(fleet.check_processes());
    }
    if let Some(configurations) = &mut configurations {
        let (versions, routes) = configurations.end_changes().await;
        println!("seed {seed}: {versions} configurations, up to {routes} routes");
    }
    ended.extend(fleet.check_processes());
    if let Some(restarter) = restarter {
        let restarts = restarter.stop().await;
        println!("seed {seed}: {restarts} workers restarted");
    }
    fleet.clear_faults(&platform).await;
    fleet.wait_until_ready(MAX_RECOVERY).await;
    let mut violations = Vec::new();
    if let Some(configurations) = configurations {
        let in_force = configurations.wait_until_in_force(&targets, MAX_CONFIGURATION_DELAY);
        if !in_force.await {
            violations.push("the newest configuration is not in force everywhere".to_owned());
        }
        let (found, confirmed) = configurations.stop().await;
        violations.extend(found);
        println!("seed {seed}: versions in force seen {confirmed} times again");
        assert!(confirmed > 0, "seed {seed}: no version was seen in force");
    }
    let outcomes = callers.stop().await;
    ended.extend(fleet.check_processes());
    println!(
        "seed {seed}: {} served, {} refused, peak memory {:?} kB",
        outcomes.served,
        outcomes.refused.len(),
        fleet.peak_memory_kb()
    );
    platform.assert_no_concurrent_runs(seed);
    for id in &outcomes.refused {
        let has_started = platform.has_started(*id);
        assert!(
            !has_started,
            "seed {seed}: job {id:016x} was refused but has run"
        );
    }
    assert!(outcomes.served > 0, "seed {seed}: no job was served");
    let unanswered = outcomes.unanswered.iter();
    violations.extend(unanswered.map(|u| format!("no answer: {u}")));
    violations.extend(ended.iter().map(|vm| format!("{vm} ended by itself")));
    let peak = fleet.peak_memory_kb().into_iter().max().unwrap();
    if kind.has_configurations && peak > MAX_MEMORY_KB {
        violations.push(format!("a process used {peak} kB of memory"));
    }
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    let served = Callers::probe(&targets, seed).await;
    assert!(served, "seed {seed}: no job is served after the faults");
    let fleet = fleet.stop().await;
    platform.assert_no_concurrent_runs(seed);
    fleet.remove_files();
}

/// Injects one fault, or ends the faults of one proxy.
async fn inject(rng: &mut StdRng, fleet: &mut Fleet, platform: &Rc<Platform>, kind: Soak) {
    let vm = rng.random_range(0..usize::from(EXTERNAL_FAULTS.fleet.vms));
    let worker = rng.random_range(0..WORKERS);
    let mode = [
        Mode::Pass,
        Mode::Pass,
        Mode::Reset,
        Mode::DropAll,
        Mode::DropReplies,
        Mode::Delay(Duration::from_millis(150)),
    ][rng.random_range(0..6)];
    match rng.random_range(0..9) {
        0 => fleet.kill(vm).await,
        1 => fleet.pause(vm, Duration::from_millis(rng.random_range(200..2_500))),
        2 => fleet.terminate(vm).await,
        3 | 4 => fleet.store_proxy(vm).set(mode),
        5 if kind.has_restarts => {}
        5 => platform.replace_worker(worker),
        6 => platform.set_worker_fault(worker, rng.random_range(0..4)),
        _ => platform.worker_proxy(worker).set(mode),
    }
}

/// Same, mostly on the links to the store and between VMs.
async fn inject_on_links(rng: &mut StdRng, fleet: &mut Fleet, platform: &Rc<Platform>) {
    let vm = rng.random_range(0..usize::from(GROWING_CONFIGURATION.fleet.vms));
    let worker = rng.random_range(0..WORKERS);
    let mode = [
        Mode::Pass,
        SMALL_LINK,
        SLOW_LINK,
        SLOW_LINK,
        Mode::Stall,
        Mode::Reset,
        Mode::Delay(Duration::from_millis(150)),
    ][rng.random_range(0..7)];
    match rng.random_range(0..10) {
        0 => fleet.kill(vm).await,
        1 => fleet.pause(vm, Duration::from_millis(rng.random_range(200..2_500))),
        2 => fleet.terminate(vm).await,
        3 => fleet.store_proxy(vm).set(mode),
        4 => fleet.peer_proxy(vm).set(mode),
        5..=7 => fleet.set_links(vm, mode),
        8 => platform.replace_worker(worker),
        _ => platform.set_worker_fault(worker, rng.random_range(0..4)),
    }
}
