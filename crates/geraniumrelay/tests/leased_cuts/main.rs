//! Real processes in three data centres of one cell, of which one is cut off for longer than workers that have left the
//! list are remembered.
//!
//! The data centre that is cut off goes on with a scheduler of its own. When the cut ends, in each direction and for
//! each kind of link at another moment, no task may run twice at a time. By hand, with other seeds:
//!
//!     GERANIUMRELAY_SOAK_SEEDS=1000..1010 cargo test -p geraniumrelay --test leased_cuts

#[path = "../leased_soak/callers.rs"]
#[allow(dead_code, reason = "shared with another test program")]
mod callers;
#[path = "../leased_soak/fleet.rs"]
#[allow(dead_code, reason = "shared with another test program")]
mod fleet;
#[path = "../leased_soak/life.rs"]
#[allow(dead_code, reason = "shared with another test program")]
mod life;
mod plan;
#[path = "../../../../platform/tests/stand_in/platform.rs"]
#[allow(dead_code, reason = "shared with another test program")]
mod platform;
#[path = "../leased_soak/proxy.rs"]
#[allow(dead_code, reason = "shared with another test program")]
mod proxy;
#[path = "../leased_soak/seeds.rs"]
#[allow(dead_code, reason = "shared with another test program")]
mod seeds;
#[path = "../../../geraniumrelay-core/tests/leased/worker.rs"]
#[allow(dead_code, reason = "shared with the tests in virtual time")]
mod worker;

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

use callers::{Callers, Workload};
use fleet::{Fleet, FleetOptions};
use plan::{Event, Link, Plan};
use platform::Platform;
use proxy::Mode;
use seeds::seeds_or;

/// Seeds of a run in CI: one that has failed. A run takes a minute by its nature.
const SEEDS: Range<u64> = 3..4;

const DATA_CENTRES: [&str; 3] = ["z", "y", "x"];

const FLEET: FleetOptions = FleetOptions {
    name: "cuts",
    first: 1,
    vms: 6,
    data_centres: &DATA_CENTRES,
    max_row_bytes: 64 * 1024,
    has_peer_proxies: true,
};

/// Workers of each data centre.
const WORKERS_EACH: usize = 3;
const WORKERS: usize = WORKERS_EACH * DATA_CENTRES.len();

/// Callers in each data centre, and callers that call VMs in all of them.
const CALLERS_EACH: u64 = 6;
const ROAMING_CALLERS: u64 = 4;

const JOBS: Workload = Workload {
    run_ms: (20, 3_000),
    cpu_milli: 8_000,
    answer_timeout: Duration::from_secs(6),
    leaving: 0.1,
    is_kept: false,
};

/// Maximum time until the fleet is ready.
const MAX_RECOVERY: Duration = Duration::from_secs(12);

/// Time before the first fault, and after the last one.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// Which data centre is cut off.
#[derive(Debug, Clone, Copy)]
enum Kind {
    AnyDataCentre,
    /// That of the scheduler: the other side elects one with a higher token at once, which drops the workers beyond the
    /// cut while it is in office.
    DataCentreOfScheduler,
}

impl Kind {
    fn fleet(self) -> FleetOptions {
        match self {
            Self::AnyDataCentre => FLEET,
            Self::DataCentreOfScheduler => FleetOptions {
                name: "scheduler-cuts",
                first: FLEET.first + FLEET.vms,
                ..FLEET
            },
        }
    }
}

/// The data centre of a VM.
fn data_centre_of_vm(vm: usize) -> usize {
    vm % DATA_CENTRES.len()
}

/// The data centre of a worker; workers that are added later are in the last one.
fn data_centre_of_worker(worker: usize) -> usize {
    (worker / WORKERS_EACH).min(DATA_CENTRES.len() - 1)
}

async fn start_platform() -> Rc<Platform> {
    let platform = Platform::start(WORKERS).await;
    for (number, name) in DATA_CENTRES.iter().enumerate().skip(1) {
        platform.split_data_centres(name, number * WORKERS_EACH);
    }
    platform
}

fn addresses(fleet: &Fleet) -> Vec<Ipv4Addr> {
    let vms = (0..FLEET.vms.into()).map(|vm| fleet.address(vm));
    vms.collect()
}

/// Callers in each data centre, and in all.
fn start_callers(fleet: &Fleet, seed: u64) -> Vec<Callers> {
    let targets = fleet.targets();
    let of = |data_centre| {
        let targets = targets.iter().enumerate();
        let near = targets.filter(move |(vm, _)| data_centre_of_vm(*vm) == data_centre);
        near.map(|(_, target)| target.clone()).collect()
    };
    let mut groups: Vec<(Vec<_>, _)> = (0..DATA_CENTRES.len())
        .map(|data_centre| (of(data_centre), CALLERS_EACH))
        .collect();
    groups.push((targets.clone(), ROAMING_CALLERS));
    let seeds = (seed * 10)..;
    let started = groups.iter().zip(seeds);
    let started = started
        .map(|((targets, callers), seed)| Callers::start_with(targets, seed, (*callers, 0), JOBS));
    started.collect()
}

/// The faults as they are injected.
struct Faults<'a> {
    plan: &'a Plan,
    platform: &'a Rc<Platform>,
    fleet: &'a mut Fleet,
}

impl Faults<'_> {
    async fn inject(&mut self) {
        let began = Instant::now();
        for (at, event) in self.plan.events() {
            sleep_until(began + at).await;
            self.inject_one(event).await;
        }
    }

    async fn inject_one(&mut self, event: Event) {
        if !matches!(event, Event::Link(..)) {
            self.platform.journal.fault(&format!("{event:?}"));
        }
        match event {
            Event::CutBegins | Event::CutEnds => {}
            Event::Link(link, is_cut) => self.set(link, is_cut),
            Event::Row(worker, is_listed) => self.platform.list_worker(worker, is_listed),
            Event::KillScheduler => self.kill_scheduler().await,
            Event::Pause(vm, time) => self.fleet.pause(vm, time),
            Event::RestartWorker(worker) => self.platform.restart_unlisted(worker),
            Event::AddWorker => {
                self.platform.add_unlisted_worker().await;
            }
        }
    }

    fn set(&self, link: Link, is_cut: bool) {
        let address = |vm| self.fleet.address(vm);
        match link {
            Link::Store(vm) => {
                let mode = if is_cut {
                    self.plan.store_mode
                } else {
                    Mode::Pass
                };
                self.fleet.store_proxy(vm).set(mode);
            }
            Link::Peers(from, to) => {
                let proxy = self.fleet.peer_proxy(to);
                proxy.stall_from(address(from).into(), is_cut);
            }
            Link::Calls(vm, worker) => {
                self.platform.cut_off_worker(worker, address(vm), is_cut);
            }
            Link::Replies(vm, worker) => {
                self.platform.cut_off_replies(worker, address(vm), is_cut);
            }
        }
    }

    /// Kills the scheduler on the side with the store.
    async fn kill_scheduler(&mut self) {
        let vms = addresses(self.fleet);
        let mut workers = (0..WORKERS).filter(|&w| !self.plan.is_cut_off(w));
        let worker = workers.next().unwrap();
        if let Some(scheduler) = self.platform.scheduler_of(worker, &vms) {
            self.fleet.kill(scheduler).await;
        }
    }
}

async fn soak(kind: Kind, seed: u64) {
    let platform = start_platform().await;
    let mut fleet = Fleet::start(kind.fleet(), &platform, seed).await;
    fleet.wait_until_ready(MAX_RECOVERY).await;
    let callers = start_callers(&fleet, seed);
    sleep(QUIET_TIME).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let plan = match kind {
        Kind::AnyDataCentre => Plan::random(&mut rng, None),
        Kind::DataCentreOfScheduler => {
            let scheduler = platform.scheduler_of(0, &addresses(&fleet)).unwrap();
            Plan::random(&mut rng, Some(data_centre_of_vm(scheduler))).with_early_links()
        }
    };
    println!("seed {seed}, {kind:?}: {plan}");
    let mut faults = Faults {
        plan: &plan,
        platform: &platform,
        fleet: &mut fleet,
    };
    faults.inject().await;
    sleep(QUIET_TIME).await;
    let ended = fleet.check_processes();
    fleet.clear_faults(&platform).await;
    fleet.wait_until_ready(MAX_RECOVERY).await;
    let (mut served, mut unanswered, mut refused) = (0, 0, BTreeSet::new());
    for callers in callers {
        let outcomes = callers.stop().await;
        served += outcomes.served;
        unanswered += outcomes.unanswered.len();
        refused.extend(outcomes.refused);
    }
    println!(
        "seed {seed}: {served} served, {} refused, {unanswered} connections closed",
        refused.len()
    );
    platform.assert_no_concurrent_runs(seed);
    for id in &refused {
        assert!(
            !platform.has_started(*id),
            "seed {seed}: job {id:016x} was refused but has run"
        );
    }
    assert!(
        ended.is_empty(),
        "seed {seed}: {ended:?} ended by themselves"
    );
    assert!(served > 0, "seed {seed}: no job was served");
    let served = Callers::probe(&fleet.targets(), seed).await;
    assert!(served, "seed {seed}: no job is served after the faults");
    let fleet = fleet.stop().await;
    platform.assert_no_concurrent_runs(seed);
    fleet.remove_files();
}

fn run(kind: Kind) {
    for seed in seeds_or(SEEDS) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        LocalSet::new().block_on(&runtime, soak(kind, seed));
    }
}

/// TWICE: a VM took over whose directory had forgotten the workers beyond a cut, and took a job that ran there for one
/// that runs nowhere.
#[test]
fn no_task_runs_twice_at_the_end_of_a_long_cut() {
    run(Kind::AnyDataCentre);
}

/// TWICE: a scheduler had dropped the workers beyond a cut, or had taken over from one that had, and took a job that ran
/// there for one that runs nowhere.
#[test]
fn no_task_runs_twice_after_the_schedulers_data_centre_was_cut_off_for_long() {
    run(Kind::DataCentreOfScheduler);
}
