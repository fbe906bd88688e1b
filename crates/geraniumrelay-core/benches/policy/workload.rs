//! Seeded generation of job arrivals with actual and declared run times.

use std::fmt::Write as _;
use std::time::Duration;

use geraniumrelay_core::JobSpec;
use geraniumrelay_core::command::TaskSpec;
use geraniumrelay_core::modules::sheet::{Sheet, Urgency, parse_sheet};
use geraniumrelay_core::names::{KindName, ServiceName, TeamName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// Service that all jobs use.
pub const SERVICE: &str = "kiallitas-pont";

/// Data centre of all entry VMs and targets.
pub const DATA_CENTRE: &str = "szeged";

/// Number of teams; all have the same share.
pub const TEAM_COUNT: usize = 10;

/// Fraction of the work that is urgent.
const URGENT_WORK_SHARE: f64 = 0.2;

/// Fraction of the tasks that run for several seconds.
const LONG_TASK_SHARE: f64 = 0.02;

/// Standard deviation of the logarithm of run times around the median of their request kind.
const RUN_TIME_SIGMA: f64 = 0.5;

/// Number of random jobs from which the mean work per job of a group of kinds is calculated.
const SAMPLE_JOB_COUNT: u32 = 20_000;

/// Request kind with the distribution of its jobs.
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

/// Number of urgent kinds; they precede the other kinds in [`KINDS`].
const URGENT_KINDS: usize = 3;

/// Job with its arrival time and actual run times.
#[derive(Debug, Clone)]
pub struct Job {
    /// Time of the simulation at which the caller sends the job.
    pub arrives_at: Duration,
    /// Index of the team that the job counts towards.
    pub team: usize,
    /// Urgency class of the request kind.
    pub urgency: Urgency,
    /// Job as submitted; the payload of a task is its actual run time in microseconds.
    pub spec: JobSpec,
    /// Longest actual run time of the tasks.
    pub longest_run_time: Duration,
}

/// Arrival rates of jobs.
#[derive(Debug, Clone, Copy)]
pub struct Rates {
    /// Offered work, as a fraction of all slots.
    pub load: f64,
    /// Total number of slots.
    pub slots: usize,
    /// Factor on the arrival rate of the first team.
    pub first_team_factor: f64,
    /// Start, end and factor of a period with a higher arrival rate; `None` without a burst.
    pub burst: Option<(Duration, Duration, f64)>,
}

/// Generates the jobs that arrive before `end`, in order of arrival.
///
/// Each team has its own seed, so that the rate of one team does not change the jobs of the others.
pub fn make_jobs(seed: u64, rates: Rates, end: Duration) -> Vec<Job> {
    let rng = &mut StdRng::seed_from_u64(seed);
    let urgent_work = mean_work(rng, 0..URGENT_KINDS);
    let other_work = mean_work(rng, URGENT_KINDS..KINDS.len());
    let work = rates.load * count_f64(rates.slots);
    let mut jobs = arrivals(
        seed,
        rates,
        end,
        0..URGENT_KINDS,
        work * URGENT_WORK_SHARE / urgent_work,
    );
    let other_jobs_per_s = work * (1.0 - URGENT_WORK_SHARE) / other_work;
    jobs.extend(arrivals(
        seed,
        rates,
        end,
        URGENT_KINDS..KINDS.len(),
        other_jobs_per_s,
    ));
    jobs.sort_by_key(|job| job.arrives_at);
    jobs
}

fn count_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Returns the mean work of a job of the given kinds, in slot seconds.
fn mean_work(rng: &mut StdRng, kinds: std::ops::Range<usize>) -> f64 {
    let mut work = Duration::ZERO;
    for _ in 0..SAMPLE_JOB_COUNT {
        let kind = KINDS[rng.random_range(kinds.clone())];
        for _ in 0..task_count(rng, kind) {
            work += run_time(rng, kind);
        }
    }
    work.as_secs_f64() / f64::from(SAMPLE_JOB_COUNT)
}

fn arrivals(
    seed: u64,
    rates: Rates,
    end: Duration,
    kinds: std::ops::Range<usize>,
    jobs_per_s: f64,
) -> Vec<Job> {
    let mut jobs = Vec::new();
    for team in 0..TEAM_COUNT {
        let stream = u64::try_from(team * KINDS.len() + kinds.start).unwrap_or(0);
        let rng = &mut StdRng::seed_from_u64(seed ^ (stream + 1) << 32);
        let factor = if team == 0 {
            rates.first_team_factor
        } else {
            1.0
        };
        let mut at = Duration::ZERO;
        loop {
            let per_s = jobs_per_s * factor * burst_factor(rates, at) / count_f64(TEAM_COUNT);
            let gap = Exp::new(per_s).expect("positive rate").sample(&mut *rng);
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

/// Rounds to whole microseconds, so that differences in the last bits of a platform's logarithm
/// do not change the result.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small and positive"
)]
fn micros(us: f64) -> Duration {
    Duration::from_micros(us.round() as u64)
}

/// Draws the number of tasks of a job.
///
/// Sizes of jobs that are not urgent are uniform on a logarithmic scale, so that small jobs are the
/// most frequent.
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
    if rng.random_bool(LONG_TASK_SHARE) {
        return Duration::from_micros(rng.random_range(2_000_000..6_000_000));
    }
    let spread = LogNormal::new(0.0, RUN_TIME_SIGMA).expect("finite standard deviation");
    let ms = kind.median_ms * spread.sample(rng);
    micros(ms.clamp(50.0, 1_000.0) * 1e3)
}

fn make_job(rng: &mut StdRng, kind: Kind, team: usize, at: Duration) -> Job {
    let count = task_count(rng, kind);
    let mut longest_run_time = Duration::ZERO;
    let mut tasks = Vec::new();
    for _ in 0..count {
        let run = run_time(rng, kind);
        longest_run_time = longest_run_time.max(run);
        let error = 10_f64.powf(rng.random_range(-1.0..=1.0));
        let declared = micros(run.as_secs_f64() * 1e6 * error).as_millis();
        tasks.push(TaskSpec {
            payload: run.as_micros().to_string().into(),
            expected_ms: u64::try_from(declared).ok(),
        });
    }
    let spec = JobSpec {
        service: service(),
        kind: kind.name.parse::<KindName>().expect("valid name"),
        team: Some(team_name(team)),
        deadline_ms: None,
        tasks,
    };
    Job {
        arrives_at: at,
        team,
        urgency: kind.urgency,
        spec,
        longest_run_time,
    }
}

/// Returns the name of the service that all jobs use.
pub fn service() -> ServiceName {
    SERVICE.parse().expect("valid name")
}

fn team_name(team: usize) -> TeamName {
    format!("team{team}").parse().expect("valid name")
}

/// Returns the sheet with one row per request kind and team.
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
        for team in 0..TEAM_COUNT {
            let row = format!(
                "{SERVICE},{DATA_CENTRE},{workers},{slots},64,{name},{urgency},no,{deadline_ms},\
                 active,{},1",
                team_name(team)
            );
            writeln!(text, "{row}").expect("writing to a string does not fail");
        }
    }
    parse_sheet(1, &text).expect("valid sheet")
}
