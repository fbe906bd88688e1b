//! Scenarios and the bounds that each must stay within.

use std::time::Duration;

use crate::target::SLOTS_PER_TARGET;
use crate::workload::Rates;

/// Number of targets.
pub const TARGET_COUNT: usize = 48;

/// Length of the warm-up, in which jobs are not measured and no fault occurs.
pub const WARM_UP: Duration = Duration::from_secs(10);

/// Time of the simulation at which arrivals end.
pub const ARRIVALS_END: Duration = Duration::from_secs(70);

/// Time of the simulation by which every job must be answered; the run ends then.
pub const ANSWER_DEADLINE: Duration = Duration::from_secs(140);

/// Time of the simulation at which the fault or the burst begins.
pub const FAULT_START: Duration = WARM_UP;

/// Length of a burst.
const BURST_LENGTH: Duration = Duration::from_secs(10);

/// Factor on the arrival rate during a burst.
const BURST_FACTOR: f64 = 3.0;

/// Factor on the arrival rate of the team that exceeds its share.
const FLOOD_FACTOR: f64 = 10.0;

/// Load of most scenarios, as a fraction of all slots.
const BASE_LOAD: f64 = 0.7;

/// Load close to the capacity of the slots, as a fraction of all slots.
const HIGH_LOAD: f64 = 0.95;

/// Network distance of the callers of one deployment.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Name in the printed table and in KNOWN-RED.txt.
    pub name: &'static str,
    /// One-way delay between caller and entry VM.
    pub caller_delay: Duration,
}

/// Deployments that every scenario runs in.
pub const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "pannonia",
        caller_delay: Duration::from_millis(3),
    },
    Deployment {
        name: "viti",
        caller_delay: Duration::from_millis(1),
    },
];

/// Fault that a scenario injects at [`FAULT_START`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// 5 % of the targets fail every task after 1 ms.
    FailAll,
    /// 10 % of the targets take five times as long for a task.
    Slow,
    /// One entry VM crashes, and heartbeats of another VM do not reach a third of the VMs.
    VmCrash,
    /// A fraction of the queued jobs is cancelled at the same time, during a burst.
    Cancel,
    /// The platform lists some targets as leaving.
    Leaving,
}

/// Upper bound of one measured value.
///
/// Response times are ratios to the ideal response time of the job.
#[derive(Debug, Clone, Copy)]
pub enum Bound {
    /// Mean response time of urgent jobs.
    UrgentMean(f64),
    /// 99th percentile of the response time of urgent jobs.
    UrgentP99(f64),
    /// Mean response time of completed jobs of all classes.
    AllMean(f64),
    /// Messages without effect per accepted start.
    WastedPerStart(f64),
    /// Fraction of the urgent jobs arriving more than 2 s after the fault that are not completed.
    UrgentFailedShare(f64),
    /// 99th percentile of the response time of all teams but the first, as a ratio to the same
    /// value of the reference scenario.
    OtherTeamsP99(f64),
}

/// Load, fault and bounds of one simulation run.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Name in the printed table and in KNOWN-RED.txt.
    pub name: &'static str,
    /// Arrival rates of jobs.
    pub rates: Rates,
    /// Fault injected at [`FAULT_START`].
    pub fault: Fault,
    /// Upper bounds, checked in addition to the invariants that no task starts twice and that
    /// every reply is correct.
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
        slots: TARGET_COUNT * SLOTS_PER_TARGET,
        first_team_factor: 1.0,
        burst: None,
    };
    Scenario {
        name,
        rates,
        fault,
        bounds,
    }
}

/// Returns all scenarios in the order of their runs; the reference scenario is first.
pub fn scenarios() -> Vec<Scenario> {
    use Bound::{AllMean, OtherTeamsP99, UrgentFailedShare, UrgentMean, UrgentP99, WastedPerStart};
    let mut burst = scenario("burst", BASE_LOAD, Fault::None, &[UrgentP99(3.0)]);
    burst.rates.burst = Some((FAULT_START, FAULT_START + BURST_LENGTH, BURST_FACTOR));
    let mut cancel = scenario("cancel", BASE_LOAD, Fault::Cancel, &[]);
    cancel.rates.burst = burst.rates.burst;
    let mut flood = scenario("flood", BASE_LOAD, Fault::None, &[OtherTeamsP99(1.2)]);
    flood.rates.first_team_factor = FLOOD_FACTOR;
    vec![
        scenario(
            "load70",
            BASE_LOAD,
            Fault::None,
            &[
                UrgentMean(1.05),
                UrgentP99(1.5),
                AllMean(1.5),
                WastedPerStart(0.02),
            ],
        ),
        flood,
        scenario(
            "load95",
            HIGH_LOAD,
            Fault::None,
            &[UrgentP99(2.0), WastedPerStart(0.05)],
        ),
        burst,
        scenario(
            "fail-all",
            BASE_LOAD,
            Fault::FailAll,
            &[UrgentFailedShare(0.01), WastedPerStart(0.10)],
        ),
        scenario("slow", BASE_LOAD, Fault::Slow, &[UrgentP99(3.0)]),
        scenario(
            "vm-dies",
            BASE_LOAD,
            Fault::VmCrash,
            &[WastedPerStart(0.10)],
        ),
        cancel,
        scenario("leaving", BASE_LOAD, Fault::Leaving, &[]),
    ]
}
