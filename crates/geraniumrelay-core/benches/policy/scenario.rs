//! Scenarios, and the bounds that each must keep.

use std::time::Duration;

use crate::target::SLOTS;
use crate::workload::Rates;

/// Targets of the bench.
pub const TARGETS: usize = 48;

/// Time before anything is measured and before any fault.
pub const WARM_UP: Duration = Duration::from_secs(10);

/// Time at which arrivals end.
pub const END: Duration = Duration::from_secs(70);

/// Time by which every job must have been answered.
pub const PATIENCE: Duration = Duration::from_secs(140);

/// Time at which the fault begins.
pub const FAULT: Duration = WARM_UP;

/// Length of a burst.
const BURST: Duration = Duration::from_secs(10);

/// Arrivals of a burst, over the usual ones.
const BURST_FACTOR: f64 = 3.0;

/// Work that one team offers over its share.
const FLOOD_FACTOR: f64 = 10.0;

/// Load of most scenarios.
const USUAL_LOAD: f64 = 0.7;

/// Load close to what the slots can take.
const HIGH_LOAD: f64 = 0.95;

/// Where callers are.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Delay one way between caller and entry VM.
    pub to_caller: Duration,
}

/// The two deployments.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "pannonia",
        to_caller: Duration::from_millis(3),
    },
    Deployment {
        name: "viti",
        to_caller: Duration::from_millis(1),
    },
];

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// Some targets fail every task at once.
    FailAll,
    /// Some targets are slow.
    Slow,
    /// An entry VM dies, and some others do not hear one that lives.
    VmDies,
    /// A share of the queued jobs is cancelled at once.
    Cancel,
    /// Targets are listed as leaving.
    Leaving,
}

/// One bound of a scenario.
#[derive(Debug, Clone, Copy)]
pub enum Bound {
    /// Mean of urgent jobs.
    UrgentMean(f64),
    /// 99th percentile of urgent jobs.
    UrgentP99(f64),
    /// Mean of all jobs.
    AllMean(f64),
    /// Wasted messages for each start.
    Wasted(f64),
    /// Share of urgent jobs that fail after the first two seconds.
    UrgentFailed(f64),
    /// 99th percentile of the other teams, over that of the run before.
    OthersP99(f64),
}

/// One scenario.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// How fast jobs arrive.
    pub rates: Rates,
    /// What goes wrong.
    pub fault: Fault,
    /// What must hold, besides that nothing starts twice and no reply is untrue.
    pub bounds: &'static [Bound],
}

const fn scenario(
    name: &'static str,
    load: f64,
    fault: Fault,
    bounds: &'static [Bound],
) -> Scenario {
    let rates = Rates {
        load,
        slots: TARGETS * SLOTS,
        first_team: 1.0,
        burst: None,
    };
    Scenario {
        name,
        rates,
        fault,
        bounds,
    }
}

/// All scenarios, in the order in which they run.
pub fn scenarios() -> Vec<Scenario> {
    use Bound::{AllMean, OthersP99, UrgentFailed, UrgentMean, UrgentP99, Wasted};
    let mut burst = scenario("burst", USUAL_LOAD, Fault::None, &[UrgentP99(3.0)]);
    burst.rates.burst = Some((FAULT, FAULT + BURST, BURST_FACTOR));
    let mut cancel = scenario("cancel", USUAL_LOAD, Fault::Cancel, &[]);
    cancel.rates.burst = burst.rates.burst;
    let mut flood = scenario("flood", USUAL_LOAD, Fault::None, &[OthersP99(1.2)]);
    flood.rates.first_team = FLOOD_FACTOR;
    vec![
        scenario(
            "load70",
            USUAL_LOAD,
            Fault::None,
            &[UrgentMean(1.05), UrgentP99(1.5), AllMean(1.5), Wasted(0.02)],
        ),
        flood,
        scenario(
            "load95",
            HIGH_LOAD,
            Fault::None,
            &[UrgentP99(2.0), Wasted(0.05)],
        ),
        burst,
        scenario(
            "fail-all",
            USUAL_LOAD,
            Fault::FailAll,
            &[UrgentFailed(0.01), Wasted(0.10)],
        ),
        scenario("slow", USUAL_LOAD, Fault::Slow, &[UrgentP99(3.0)]),
        scenario("vm-dies", USUAL_LOAD, Fault::VmDies, &[Wasted(0.10)]),
        cancel,
        scenario("leaving", USUAL_LOAD, Fault::Leaving, &[]),
    ]
}
