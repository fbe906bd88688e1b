//! Real processes under random external faults, on loopback.
//!
//! Stand-ins replace the platform's store and the workers, behind proxies that drop, delay and reset
//! connections. Signals kill, pause and stop processes, which are restarted. The runs on workers and
//! the outcomes of callers are checked during the test and at its end. By hand, with other seeds:
//!
//!     GERANIUMRELAY_SOAK_SEEDS=1000..1050 cargo test -p geraniumrelay --test leased_soak

mod callers;
mod fleet;
#[path = "../../../../platform/tests/stand_in/platform.rs"]
mod platform;
mod proxy;
#[path = "../../../geraniumrelay-core/tests/leased/worker.rs"]
#[allow(dead_code, reason = "shared with the tests in virtual time")]
mod worker;

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::LocalSet;
use tokio::time::sleep;

use callers::Callers;
use fleet::Fleet;
use platform::Platform;
use proxy::Mode;

/// Seeds of a run in CI: few, and the same in every run. Seeds that have failed once stay here.
const SEEDS: Range<u64> = 0..2;

/// Environment variable that replaces the seeds, in the form `FROM..TO`.
const SEEDS_VARIABLE: &str = "GERANIUMRELAY_SOAK_SEEDS";

/// Time in which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(8);

/// Maximum time until the fleet serves again after the last fault.
const MAX_RECOVERY: Duration = Duration::from_secs(12);

/// Entry processes.
const VMS: u8 = 3;

/// Workers.
const WORKERS: usize = 8;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return SEEDS;
    };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

#[test]
fn invariants_hold_under_external_faults() {
    for seed in seeds() {
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
    let mut fleet = Fleet::start(1..=VMS, &platform, seed).await;
    fleet.wait_until_ready(MAX_RECOVERY).await;
    let callers = Callers::start(&fleet.addresses(), seed);
    let started = tokio::time::Instant::now();
    while started.elapsed() < FAULT_TIME {
        sleep(Duration::from_millis(rng.random_range(100..900))).await;
        inject(&mut rng, &mut fleet, &platform).await;
        platform.assert_no_concurrent_runs(seed);
    }
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
        let has_started = platform.has_started(*id);
        assert!(
            !has_started,
            "seed {seed}: job {id:016x} was refused but has run"
        );
    }
    assert!(outcomes.served > 0, "seed {seed}: no job was served");
    let served = Callers::probe(&fleet.addresses(), seed).await;
    assert!(served, "seed {seed}: no job is served after the faults");
    fleet.stop().await;
    platform.assert_no_concurrent_runs(seed);
}

/// Injects one fault, or ends the faults of one proxy.
async fn inject(rng: &mut StdRng, fleet: &mut Fleet, platform: &Rc<Platform>) {
    let vm = rng.random_range(0..usize::from(VMS));
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
        5 => platform.replace_worker(worker),
        6 => platform.set_worker_fault(worker, rng.random_range(0..4)),
        _ => platform.worker_proxy(worker).set(mode),
    }
}
