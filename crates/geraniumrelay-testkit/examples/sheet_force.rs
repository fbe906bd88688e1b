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
use geraniumrelay_testkit::peer_relay::LinkFaults;
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

/// Time for which the traffic at rest is measured.
const REST: Duration = Duration::from_secs(5);

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

    /// Cut one data centre off from the platform and all others for so many seconds during each
    /// change, and measure from the end of the cut.
    #[arg(long)]
    cut: Option<u64>,

    /// Use the large sheet.
    #[arg(long)]
    large: bool,
}

fn main() -> ExitCode {
    run_if_entry();
    let args = Args::parse();
    print_sizes();
    let cluster = start_cluster(&args);
    let at_rest = bytes_at_rest(&cluster);
    let (_, reads_before) = cluster.platform.call_counts();
    let (started, sent_before) = (Instant::now(), bytes_sent(&cluster));
    let mut times = Histogram::<u64>::new_with_max(MAX_MICROS, 3).expect("bounds are allowed");
    for base in 1..=args.changes {
        let Some(took) = change(&cluster, base, &args) else {
            println!("change {base} did not come into force everywhere within {PATIENCE:?}");
            return ExitCode::FAILURE;
        };
        times.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
    }
    let (_, reads) = cluster.platform.call_counts();
    let seconds = started.elapsed().as_secs_f64();
    print_times(&args, &times);
    let reads = f64_of(reads - reads_before);
    let sent = f64_of(bytes_sent(&cluster) - sent_before);
    let processes = f64_of(args.data_centres as u64);
    println!(
        "between entry processes, sent by each: {:.2} KB/s at rest, {:.2} KB more a change",
        at_rest / processes / 1_000.0,
        (sent - at_rest * seconds) / processes / f64_of(args.changes) / 1_000.0,
    );
    println!("reads of table and list: {:.1} a second", reads / seconds);
    ExitCode::SUCCESS
}

fn start_cluster(args: &Args) -> Cluster {
    let names: Vec<_> = (0..args.data_centres).map(|n| format!("dc{n}")).collect();
    let places: Vec<_> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let mut plan = ClusterPlan::new(0, 0)
        .with_data_centres(&places)
        .with_relay();
    plan.sheet = sheet(args, 16);
    Cluster::start(plan)
}

fn print_times(args: &Args, times: &Histogram<u64>) {
    let since = if args.cut.is_some() {
        "end of the cut"
    } else {
        "accepted"
    };
    println!(
        "{} changes, {} processes: {since} to in force everywhere p50 {:.1} ms, p99 {:.1} ms, max {:.1} ms",
        args.changes,
        args.data_centres,
        millis(times.value_at_quantile(0.5)),
        millis(times.value_at_quantile(0.99)),
        millis(times.max()),
    );
}

/// Bytes that all processes have sent to each other.
fn bytes_sent(cluster: &Cluster) -> u64 {
    let entries = cluster.entries.iter();
    let sent = entries.map(|entry| cluster.relay.sent_by(entry.peer_address).bytes);
    sent.sum()
}

/// Bytes a second that all processes send to each other while nothing happens.
fn bytes_at_rest(cluster: &Cluster) -> f64 {
    let before = bytes_sent(cluster);
    thread::sleep(REST);
    f64_of(bytes_sent(cluster) - before) / REST.as_secs_f64()
}

/// Cuts a data centre off from everything, or ends the cut.
fn set_cut(cluster: &Cluster, entry: usize, is_down: bool) {
    let name = cluster.entries[entry].data_centre.as_str();
    let isolate_from_platform: Vec<&str> = is_down.then_some(name).into_iter().collect();
    cluster.isolate_from_platform(&isolate_from_platform);
    for other in &cluster.entries {
        if other.data_centre != name {
            let faults = LinkFaults {
                is_down,
                ..LinkFaults::default()
            };
            cluster.set_link_faults(name, &other.data_centre, faults);
        }
    }
}

fn f64_of(number: u64) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

/// Makes one change; returns the time until it is in force everywhere.
fn change(cluster: &Cluster, base: u64, args: &Args) -> Option<Duration> {
    let entries = cluster.operator_addresses();
    let entry = entries[usize::try_from(base).ok()? % entries.len()];
    let workers = 100 + usize::try_from(base).ok()?;
    let req = ApplySheet {
        base,
        apply_id: format!("change-{base}"),
        sheet: sheet(args, workers),
    };
    let cut_off = usize::try_from(base + 1).ok()? % entries.len();
    if args.cut.is_some() {
        set_cut(cluster, cut_off, true);
    }
    let outcome: ApplyOutcome = client(&[entry], "anna")
        .post(entry, SHEET_PATH, &req)
        .ok()?;
    if !outcome.accepted {
        return None;
    }
    if let Some(seconds) = args.cut {
        thread::sleep(Duration::from_secs(seconds));
        set_cut(cluster, cut_off, false);
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

fn sheet(args: &Args, workers: usize) -> String {
    if args.large {
        large_sheet(workers)
    } else {
        small_sheet(workers)
    }
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
