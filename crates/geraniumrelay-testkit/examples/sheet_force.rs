//! Measures the time from acceptance to force everywhere, and the bytes of a change.
//!
//! Seven entry processes in seven data centres take a number of changes; the time of each runs
//! from the reply that it is accepted until the last process shows its revision.

use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use geraniumrelay_core::modules::sheet::{SheetDelta, canonical_text, parse_sheet};
use geraniumrelay_testkit::caller::Caller;
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::operators::client;
use geraniumrelay_testkit::{Cluster, ClusterPlan};
use geraniumrelay_wire::{ApplyOutcome, ApplySheet};
use hdrhistogram::Histogram;

/// Path where sheets are accepted.
const SHEET_PATH: &str = "/v1/operator/sheet";

/// Metric that shows the revision in force.
const REVISION: &str = "geraniumrelay_sheet_revision";

/// Longest time of one change.
const PATIENCE: Duration = Duration::from_secs(20);

/// Longest time that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Length of a cut; beyond the silence after which a process counts as gone.
const CUT: Duration = Duration::from_millis(3_500);

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Services of the large sheet.
const LARGE_SERVICES: usize = 40;

/// Data centres of the large sheet.
const LARGE_DATA_CENTRES: usize = 13;

/// Request kinds of each service of the large sheet.
const LARGE_KINDS: usize = 4;

/// Teams of the large sheet, each with a share of every service.
const LARGE_TEAMS: usize = 140;

/// Changes a day of the large system.
const CHANGES_A_DAY: f64 = 44_000.0;

/// Seconds of a day.
const DAY_S: f64 = 86_400.0;

/// Measures the time from acceptance to force everywhere.
#[derive(Debug, Parser)]
struct Args {
    /// Changes to make.
    #[arg(long, default_value_t = 200)]
    changes: u64,

    /// Data centres, each with one entry process.
    #[arg(long, default_value_t = 7)]
    data_centres: usize,

    /// Cut one process off before each change, and measure from the end of the cut.
    #[arg(long)]
    cut: bool,

    /// Use the large sheet.
    #[arg(long)]
    large: bool,
}

fn main() -> ExitCode {
    run_if_entry();
    let args = Args::parse();
    print_sizes();
    let sheet = if args.large {
        large_sheet(1)
    } else {
        small_sheet(16)
    };
    let names: Vec<_> = (0..args.data_centres).map(|n| format!("dc{n}")).collect();
    let places: Vec<_> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let mut plan = ClusterPlan::new(0, 0).with_data_centres(&places);
    plan.sheet = sheet;
    let cluster = Cluster::start(plan);
    let (_, reads_before) = cluster.platform.calls();
    let started = Instant::now();
    let mut times = Histogram::<u64>::new_with_max(MAX_MICROS, 3).expect("bounds are allowed");
    for base in 1..=args.changes {
        let Some(took) = change(&cluster, base, &args) else {
            println!("change {base} did not come into force everywhere within {PATIENCE:?}");
            return ExitCode::FAILURE;
        };
        times.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
    }
    let (_, reads) = cluster.platform.calls();
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "{} changes, {} processes: {} to in force everywhere p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        args.changes,
        args.data_centres,
        if args.cut {
            "end of the cut"
        } else {
            "accepted"
        },
        millis(times.value_at_quantile(0.5)),
        millis(times.value_at_quantile(0.99)),
        millis(times.max()),
    );
    let reads = f64::from(u32::try_from(reads - reads_before).unwrap_or(u32::MAX));
    println!("reads of table and list: {:.1} a second", reads / seconds);
    ExitCode::SUCCESS
}

/// Makes one change; returns the time until it is in force everywhere.
fn change(cluster: &Cluster, base: u64, args: &Args) -> Option<Duration> {
    let entries = cluster.operator_addresses();
    let entry = entries[usize::try_from(base).ok()? % entries.len()];
    let workers = 100 + usize::try_from(base).ok()?;
    let req = ApplySheet {
        base,
        apply_id: format!("change-{base}"),
        sheet: if args.large {
            large_sheet(workers)
        } else {
            small_sheet(workers)
        },
    };
    let cut_off = &cluster.entries[usize::try_from(base + 1).ok()? % entries.len()];
    if args.cut {
        cut_off.pause();
    }
    let outcome: ApplyOutcome = client(&[entry], "anna")
        .post(entry, SHEET_PATH, &req)
        .ok()?;
    if !outcome.accepted {
        return None;
    }
    if args.cut {
        thread::sleep(CUT);
        cut_off.resume();
    }
    let since = Instant::now();
    let revision = usize::try_from(outcome.revision).ok()?;
    let caller = Caller::new();
    for address in cluster.addresses() {
        while gauge(&caller, address, REVISION) < revision {
            if since.elapsed() > PATIENCE {
                return None;
            }
            thread::sleep(LOOK_INTERVAL);
        }
    }
    Some(since.elapsed())
}

/// Prints the size of the large sheet and of one change of it.
fn print_sizes() {
    let canonical = |text: &str| {
        let sheet = parse_sheet(1, text).expect("a sheet of this program");
        canonical_text(&sheet.rows)
    };
    let (old, new) = (canonical(&large_sheet(1)), canonical(&large_sheet(2)));
    let delta = SheetDelta::between(2, &old, &new).expect("the same header");
    let a_second = CHANGES_A_DAY / DAY_S;
    println!(
        "large sheet: {} rows, {} bytes; {} bytes of lines a change of capacity in one data centre",
        old.lines().count() - 1,
        old.len(),
        delta.len(),
    );
    println!(
        "at {CHANGES_A_DAY} changes a day: {:.2} KB/s a node as whole sheets, {:.2} KB/s as differences",
        a_second * kilobytes(old.len()),
        a_second * kilobytes(delta.len()),
    );
}

fn small_sheet(workers: usize) -> String {
    let sample = include_str!("../../../samples/kiallitas-pont.csv");
    sample.replace("gyor,16", &format!("gyor,{workers}"))
}

/// A sheet at the size of two years ahead; `workers` is the capacity of the first service in the
/// first data centre.
fn large_sheet(workers: usize) -> String {
    let mut text = String::from(
        "service,data_centre,workers,slots,connections,request_kind,urgency,idempotent,deadline_ms,state,team,team_share\n",
    );
    for service in 0..LARGE_SERVICES {
        for dc in 0..LARGE_DATA_CENTRES {
            let workers = if (service, dc) == (0, 0) { workers } else { 42 };
            for row in place_rows(service, dc, workers) {
                text.push_str(&row);
            }
        }
    }
    text
}

/// Rows of one service in one data centre. A team needs one row for its share of a service.
fn place_rows(service: usize, dc: usize, workers: usize) -> impl Iterator<Item = String> {
    let kinds = (0..LARGE_KINDS).map(|kind| (kind, ",".to_owned()));
    let teams = (dc..LARGE_TEAMS).step_by(LARGE_DATA_CENTRES);
    let teams = teams.map(|team| (0, format!("team-{team},10")));
    kinds.chain(teams).map(move |(kind, team)| {
        format!(
            "service-{service},dc{dc},{workers},8,64,kind-{kind},urgent,no,10000,active,{team}\n"
        )
    })
}

fn millis(micros: u64) -> f64 {
    f64::from(u32::try_from(micros).unwrap_or(u32::MAX)) / 1_000.0
}

fn kilobytes(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 1_000.0
}
