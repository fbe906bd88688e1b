//! Seeded arrivals: jobs, their true run times and their declared ones.

use std::fmt::Write as _;
use std::time::Duration;

use geraniumrelay_core::JobSpec;
use geraniumrelay_core::command::TaskSpec;
use geraniumrelay_core::modules::sheet::{Sheet, Urgency, parse_sheet};
use geraniumrelay_core::names::{KindName, ServiceName, TeamName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// Service of the bench.
pub const SERVICE: &str = "kiallitas-pont";

/// Data centre of the bench.
pub const DATA_CENTRE: &str = "szeged";

/// Teams, each with the same share.
pub const TEAMS: usize = 10;

/// Share of the work that is urgent.
const URGENT_WORK: f64 = 0.2;

/// Share of the tasks that run for several seconds.
const LONG_TASKS: f64 = 0.02;

/// Spread of run times around the median of their kind, as the deviation of the logarithm.
const RUN_SIGMA: f64 = 0.5;

/// Jobs of each class from which the mean work of a job is taken.
const SAMPLE_JOBS: u32 = 20_000;

/// One request kind of the bench.
#[derive(Debug, Clone, Copy)]
struct Kind {
    name: &'static str,
    urgency: Urgency,
    median_ms: f64,
    max_tasks: u32,
    deadline_ms: u64,
}

const fn kind(
    name: &'static str,
    urgency: Urgency,
    median_ms: f64,
    max_tasks: u32,
    deadline_ms: u64,
) -> Kind {
    Kind {
        name,
        urgency,
        median_ms,
        max_tasks,
        deadline_ms,
    }
}

const KINDS: [Kind; 6] = [
    kind("score", Urgency::Urgent, 150.0, 4, 10_000),
    kind("eligibility", Urgency::Urgent, 80.0, 4, 10_000),
    kind("rankings", Urgency::Urgent, 400.0, 4, 20_000),
    kind("results", Urgency::Normal, 200.0, 130, 30_000),
    kind("catalogue", Urgency::Bulk, 300.0, 130, 60_000),
    kind("archive", Urgency::Bulk, 600.0, 130, 60_000),
];

/// Number of urgent kinds, which come first.
const URGENT_KINDS: usize = 3;

/// One job of the workload.
#[derive(Debug, Clone)]
pub struct Job {
    /// When its caller sends it.
    pub at: Duration,
    /// Its team.
    pub team: usize,
    /// Its urgency class.
    pub urgency: Urgency,
    /// What the caller submits.
    pub spec: JobSpec,
    /// Longest true run time of its tasks.
    pub longest: Duration,
}

/// How fast jobs arrive.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// Work offered, as a share of all slots.
    pub load: f64,
    /// Slots in all.
    pub slots: usize,
    /// Factor on the arrivals of the first team.
    pub first_team: f64,
    /// Factor on all arrivals between two times.
    pub burst: Option<(Duration, Duration, f64)>,
}

/// Makes the jobs that arrive before `end`, in the order of their arrival.
///
/// Each team has its own seed, so that one team's rate changes nothing for the others.
pub fn make_jobs(seed: u64, rates: Rates, end: Duration) -> Vec<Job> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let urgent_work = mean_work(rng, 0..URGENT_KINDS);
    let other_work = mean_work(rng, URGENT_KINDS..KINDS.len());
    let work = rates.load * slots_f64(rates.slots);
    let mut jobs = arrivals(
        seed,
        rates,
        end,
        0..URGENT_KINDS,
        work * URGENT_WORK / urgent_work,
    );
    let rest = work * (1.0 - URGENT_WORK) / other_work;
    jobs.extend(arrivals(seed, rates, end, URGENT_KINDS..KINDS.len(), rest));
    jobs.sort_by_key(|job| job.at);
    jobs
}

fn slots_f64(slots: usize) -> f64 {
    f64::from(u32::try_from(slots).unwrap_or(u32::MAX))
}

/// Mean work of a job of some kinds, in seconds of slots.
fn mean_work(rng: &mut StdRng, kinds: std::ops::Range<usize>) -> f64 {
    let mut work = Duration::ZERO;
    for _ in 0..SAMPLE_JOBS {
        let kind = KINDS[rng.random_range(kinds.clone())];
        for _ in 0..task_count(rng, kind) {
            work += run_time(rng, kind);
        }
    }
    work.as_secs_f64() / f64::from(SAMPLE_JOBS)
}

fn arrivals(
    seed: u64,
    rates: Rates,
    end: Duration,
    kinds: std::ops::Range<usize>,
    jobs_per_s: f64,
) -> Vec<Job> {
    let mut jobs = Vec::new();
    for team in 0..TEAMS {
        let stream = u64::try_from(team * KINDS.len() + kinds.start).unwrap_or(0);
        let rng = &mut StdRng::seed_from_u64(seed ^ (stream + 1) << 32);
        let factor = if team == 0 { rates.first_team } else { 1.0 };
        let mut at = Duration::ZERO;
        loop {
            let per_s = jobs_per_s * factor * burst_factor(rates, at) / slots_f64(TEAMS);
            let gap = Exp::new(per_s).expect("a positive rate").sample(&mut *rng);
            at += micros(gap * 1e6);
            if at >= end {
                break;
            }
            let kind = KINDS[rng.random_range(kinds.clone())];
            jobs.push(make_job(rng, kind, team, at));
        }
    }
    jobs
}

fn burst_factor(rates: Rates, at: Duration) -> f64 {
    match rates.burst {
        Some((from, to, factor)) if (from..to).contains(&at) => factor,
        _ => 1.0,
    }
}

/// Whole microseconds, so that the last bits of a platform's logarithm don't matter.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small and positive"
)]
fn micros(us: f64) -> Duration {
    Duration::from_micros(us.round() as u64)
}

/// Small jobs are the most frequent: sizes are uniform on a logarithmic scale.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small and positive"
)]
fn task_count(rng: &mut StdRng, kind: Kind) -> u32 {
    if kind.urgency == Urgency::Urgent {
        return rng.random_range(1..=kind.max_tasks);
    }
    let log = rng.random_range(0.0..f64::from(kind.max_tasks + 1).ln());
    (log.exp() as u32).clamp(1, kind.max_tasks)
}

fn run_time(rng: &mut StdRng, kind: Kind) -> Duration {
    if rng.random_bool(LONG_TASKS) {
        return Duration::from_micros(rng.random_range(2_000_000..6_000_000));
    }
    let spread = LogNormal::new(0.0, RUN_SIGMA).expect("a finite deviation");
    let ms = kind.median_ms * spread.sample(rng);
    micros(ms.clamp(50.0, 1_000.0) * 1e3)
}

fn make_job(rng: &mut StdRng, kind: Kind, team: usize, at: Duration) -> Job {
    let count = task_count(rng, kind);
    let mut longest = Duration::ZERO;
    let mut tasks = Vec::new();
    for _ in 0..count {
        let run = run_time(rng, kind);
        longest = longest.max(run);
        let error = 10_f64.powf(rng.random_range(-1.0..=1.0));
        let declared = micros(run.as_secs_f64() * 1e6 * error).as_millis();
        tasks.push(TaskSpec {
            payload: run.as_micros().to_string().into(),
            expected_ms: u64::try_from(declared).ok(),
        });
    }
    let spec = JobSpec {
        service: service(),
        kind: kind.name.parse::<KindName>().expect("a name"),
        team: Some(team_name(team)),
        deadline_ms: None,
        tasks,
    };
    Job {
        at,
        team,
        urgency: kind.urgency,
        spec,
        longest,
    }
}

/// Service of all jobs.
pub fn service() -> ServiceName {
    SERVICE.parse().expect("a name")
}

fn team_name(team: usize) -> TeamName {
    format!("team{team}").parse().expect("a name")
}

/// Sheet of the bench.
pub fn sheet(workers: usize, slots: usize) -> Sheet {
    let mut text = "service,data_centre,workers,slots,connections,request_kind,urgency,\
                    idempotent,deadline_ms,state,team,team_share\n"
        .to_owned();
    for kind in KINDS {
        let Kind {
            name,
            urgency,
            deadline_ms,
            ..
        } = kind;
        for team in 0..TEAMS {
            let row = format!(
                "{SERVICE},{DATA_CENTRE},{workers},{slots},64,{name},{urgency},no,{deadline_ms},\
                 active,{},1",
                team_name(team)
            );
            writeln!(text, "{row}").expect("a string takes it");
        }
    }
    parse_sheet(1, &text).expect("a valid sheet")
}
