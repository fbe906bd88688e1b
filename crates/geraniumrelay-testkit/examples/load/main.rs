//! Load tool: open-loop arrivals on entry processes with stand-ins, on loopback.

mod plot;

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::load::{LoadPlan, LoadReport, RATIO_SCALE, run};
use geraniumrelay_testkit::usage::ProcessUsage;
use geraniumrelay_testkit::{Balancer, Caller, Cluster, ClusterPlan};
use hdrhistogram::Histogram;

/// Makes open-loop load and reports response against the ideal and wasted messages.
#[derive(Debug, Parser)]
struct Args {
    /// Jobs a second.
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=2_000))]
    rate: u32,
    /// Tasks of each job.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=130))]
    jobs_of: u32,
    /// Seconds in which jobs arrive.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    /// Entry processes.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=12))]
    entries: u32,
    /// Targets, all in this process.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u32).range(1..=96))]
    targets: u32,
    /// Slots of each target.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u32).range(1..=64))]
    slots: u32,
    /// Mean run time of ordinary tasks, in milliseconds.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=1_000))]
    run_ms_mean: u64,
    /// Callers, each with one request at a time.
    #[arg(long, default_value_t = 128, value_parser = clap::value_parser!(u32).range(1..=1_024))]
    callers: u32,
    /// Arrivals and balancer choices follow from it.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// SVG file for response over ideal by percentile.
    #[arg(long)]
    plot: Option<PathBuf>,
}

fn main() -> anyhow::Result<()> {
    run_if_entry();
    let args = Args::parse();
    let mut plan = ClusterPlan::new(args.entries as usize, args.targets as usize);
    plan.slots = args.slots;
    let cluster = Cluster::start(plan);
    let balancer = Balancer::new(cluster.addresses(), args.seed);
    let before = usage(&cluster)?;
    let report = run(&load_plan(&args), &balancer);
    let after = usage(&cluster)?;
    print_report(&report);
    print_messages(&cluster);
    print_cpu(&cluster, &before, &after);
    if let Some(path) = &args.plot {
        plot::percentiles(path, &report)?;
        println!("plot: {}", path.display());
    }
    anyhow::ensure!(report.invalid == 0, "partial or foreign answers");
    Ok(())
}

fn load_plan(args: &Args) -> LoadPlan {
    LoadPlan {
        seed: args.seed,
        rate: f64::from(args.rate),
        tasks: args.jobs_of as usize,
        time: Duration::from_secs(args.seconds),
        mean_run: Duration::from_millis(args.run_ms_mean),
        callers: args.callers as usize,
    }
}

fn usage(cluster: &Cluster) -> anyhow::Result<Vec<ProcessUsage>> {
    let entries = cluster.entries.iter();
    entries
        .map(|entry| ProcessUsage::read(entry.pid()))
        .collect()
}

fn print_report(report: &LoadReport) {
    println!(
        "jobs {} complete {} failed {} refused {} may-have-run {} lost {} wrong {} drawn-tickets {}",
        report.jobs,
        report.complete,
        report.failed,
        report.refused,
        report.may_have_run,
        report.no_reply,
        report.invalid,
        report.drawn_tickets,
    );
    print_ratio("urgent", &report.urgent);
    print_ratio("all", &report.all);
    println!(
        "beyond the ideal, ms: p50 {:.1} p99 {:.1}",
        to_f64(report.excess_us.value_at_quantile(0.5)) / 1_000.0,
        to_f64(report.excess_us.value_at_quantile(0.99)) / 1_000.0,
    );
}

fn print_ratio(name: &str, ratios: &Histogram<u64>) {
    let at = |quantile| to_f64(ratios.value_at_quantile(quantile)) / RATIO_SCALE;
    println!(
        "response/ideal, {name}: mean {:.3} p50 {:.3} p99 {:.3} max {:.3}",
        ratios.mean() / RATIO_SCALE,
        at(0.5),
        at(0.99),
        at(1.0),
    );
}

fn print_messages(cluster: &Cluster) {
    let starts: u64 = cluster
        .starts_per_task()
        .values()
        .copied()
        .map(u64::from)
        .sum();
    let (mut refusals, mut stops, mut wasted_stops) = (0, 0, 0);
    for target in &cluster.targets {
        let (refused, stopped) = target.refusals_and_stops();
        refusals += refused;
        stops += stopped;
        wasted_stops += target.wasted_stops();
    }
    let caller = Caller::new();
    let addresses = cluster.addresses().into_iter();
    let forwards: usize = addresses
        .map(|entry| gauge(&caller, entry, "geraniumrelay_forwards_total"))
        .sum();
    println!(
        "starts {starts} refused-starts {refusals} stops {stops} wasted-stops {wasted_stops} \
         forwards {forwards} \
         wasted-per-start {:.4}",
        to_f64(refusals + wasted_stops) / to_f64(starts.max(1)),
    );
}

fn print_cpu(cluster: &Cluster, before: &[ProcessUsage], after: &[ProcessUsage]) {
    for ((entry, before), after) in cluster.entries.iter().zip(before).zip(after) {
        println!(
            "{}: cpu {:.2} s, decision thread {:.2} s, resident {:.1} MB",
            entry.vm,
            after.cpu_since(before).as_secs_f64(),
            after.thread_cpu_since(before, "decision").as_secs_f64(),
            to_f64(after.resident_bytes) / 1e6,
        );
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn to_f64(count: u64) -> f64 {
    count as f64
}
