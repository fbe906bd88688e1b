//! Cost of idempotency keys and the journal in the platform's table, and memory of claims.
//!
//! One entry process and its stand-ins on loopback; a synced write of the table takes 5 ms.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use geraniumrelay_core::modules::claim_table::ClaimTable;
use geraniumrelay_core::modules::jobs::JobKey;
use geraniumrelay_core::{
    Answer, Config, Context, Incarnation, TaskResult, TicketKey, TicketMint, Verdict,
};
use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan, PlatformFaults};
use geraniumrelay_wire::JobRequest;
use hdrhistogram::Histogram;

/// Targets of the entry process.
const TARGETS: usize = 16;

/// Run time of the one task of each job, in milliseconds.
const RUN_MS: u64 = 5;

/// Claims of the memory part: 2,000 jobs a second over the claims' retention.
const CLAIMS: u64 = 1_440_000;

/// Size of each retained output of the memory part, in bytes.
const OUTPUT_BYTES: usize = 64;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// Time between two reads of a gauge.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Measures the cost of idempotency keys, the journal and claims.
#[derive(Debug, Parser)]
struct Args {
    /// Seconds of each part.
    #[arg(long, default_value_t = 8)]
    seconds: u64,

    /// Seconds for which the store is unavailable.
    #[arg(long, default_value_t = 60)]
    away: u64,

    /// Callers, each with one job in flight.
    #[arg(long, default_value_t = 32)]
    callers: usize,
}

/// Identifier under which a caller submits its jobs.
#[derive(Debug, Clone, Copy)]
enum Naming {
    Ticket,
    Key,
}

fn main() {
    run_if_entry();
    let args = Args::parse();
    measure_claims();
    let cluster = Cluster::start(ClusterPlan::new(1, TARGETS));
    measure_keys(&cluster, &args);
    measure_journal(&cluster, &args);
    measure_memory(&cluster, &args, false);
    measure_memory(&cluster, &args, true);
    measure_catch_up(&cluster);
}

fn measure_keys(cluster: &Cluster, args: &Args) {
    let check = job_of("kiallitas-pont", "eligibility", &[RUN_MS]);
    let time = Duration::from_secs(args.seconds);
    for naming in [Naming::Ticket, Naming::Key] {
        let before = metric(cluster, "geraniumrelay_idempotency_commits_total");
        let times = load(cluster, &check, naming, time, args.callers);
        let after = metric(cluster, "geraniumrelay_idempotency_commits_total");
        println!(
            "by {naming:?}: {:.0} jobs/s, p50 {:.1} ms, p99 {:.1} ms, {:.1} key commits/s",
            per_second(times.len(), time),
            millis(times.value_at_quantile(0.5)),
            millis(times.value_at_quantile(0.99)),
            per_second(after - before, time),
        );
    }
}

fn measure_journal(cluster: &Cluster, args: &Args) {
    let score = job_of("kiallitas-pont", "score", &[RUN_MS]);
    let time = Duration::from_secs(args.seconds);
    let rows = metric(cluster, "geraniumrelay_journal_rows_total");
    let (writes, _) = cluster.platform.call_counts();
    let times = load(cluster, &score, Naming::Ticket, time, args.callers);
    let rows = metric(cluster, "geraniumrelay_journal_rows_total") - rows;
    let writes = cluster.platform.call_counts().0 - writes;
    println!(
        "journal: {:.0} jobs/s, p50 {:.1} ms, p99 {:.1} ms, {:.1} table writes/s, {:.0} rows/s",
        per_second(times.len(), time),
        millis(times.value_at_quantile(0.5)),
        millis(times.value_at_quantile(0.99)),
        per_second(writes, time),
        per_second(rows, time),
    );
}

fn measure_memory(cluster: &Cluster, args: &Args, is_unavailable: bool) {
    let (score, time) = (
        job_of("kiallitas-pont", "score", &[RUN_MS]),
        Duration::from_secs(args.away),
    );
    let before = resident_bytes(cluster.entries[0].pid());
    cluster.platform.set_faults(PlatformFaults {
        is_unavailable,
        ..PlatformFaults::default()
    });
    let times = load(cluster, &score, Naming::Ticket, time, args.callers);
    let read = |name| metric(cluster, name);
    println!(
        "store unavailable: {is_unavailable}, {} s: {:.0} jobs/s, p99 {:.1} ms; {} entries of {:.1} MB queued, {} dropped; \
         resident memory {:.1} MB before, {:.1} MB after",
        args.away,
        per_second(times.len(), time),
        millis(times.value_at_quantile(0.99)),
        read("geraniumrelay_journal_waiting_entries"),
        megabytes(read("geraniumrelay_journal_waiting_bytes")),
        read("geraniumrelay_journal_dropped"),
        megabytes(before),
        megabytes(resident_bytes(cluster.entries[0].pid())),
    );
}

fn measure_catch_up(cluster: &Cluster) {
    let back = Instant::now();
    cluster.platform.set_faults(PlatformFaults::default());
    while metric(cluster, "geraniumrelay_journal_waiting_entries") > 0 {
        thread::sleep(POLL_INTERVAL);
    }
    println!(
        "journal caught up {:.1} s after the store was available again",
        back.elapsed().as_secs_f64()
    );
}

/// Response times, in microseconds, of callers that each submit one job after the other.
fn load(
    cluster: &Cluster,
    job: &JobRequest,
    naming: Naming,
    time: Duration,
    callers: usize,
) -> Histogram<u64> {
    let entry = cluster.entries[0].address;
    let until = Instant::now() + time;
    let mut all = Histogram::new(3).expect("three digits");
    thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|n| scope.spawn(move || submit_until(entry, job, naming, n, until)))
            .collect();
        for thread in threads {
            all.add(thread.join().expect("a caller"))
                .expect("same range");
        }
    });
    all
}

fn submit_until(
    entry: SocketAddr,
    job: &JobRequest,
    naming: Naming,
    caller_no: usize,
    until: Instant,
) -> Histogram<u64> {
    let caller = Caller::new();
    let mut times = Histogram::new(3).expect("three digits");
    let mut ticket = caller.tickets(entry, 1).pop().expect("a ticket");
    for n in 0_u64.. {
        let started = Instant::now();
        if started >= until {
            break;
        }
        let reply = match naming {
            Naming::Ticket => caller.submit(entry, &ticket, job),
            Naming::Key => caller.submit_by_key(entry, &format!("{caller_no}-{n}"), job),
        };
        match reply {
            RequestOutcome::Answer(answer) => ticket = answer.next_ticket,
            other => panic!("no answer: {other:?}"),
        }
        let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        times.record(micros).expect("the histogram grows");
    }
    times
}

fn measure_claims() {
    let (cfg, key) = (Config::default(), TicketKey([1; 16]));
    let incarnation = Incarnation(1);
    let mint = TicketMint::new("szeged".parse().expect("a name"), incarnation, key);
    let mut table = ClaimTable::new(incarnation, key);
    let cx = Context::new(Instant::now(), &cfg);
    let before = resident_bytes(std::process::id());
    for n in 0..CLAIMS {
        let ticket = mint.mint().expect("a ticket");
        table.claim(ticket, n.into(), JobKey::default());
        let task = TaskResult {
            verdict: Verdict::Completed,
            output: "x".repeat(OUTPUT_BYTES),
        };
        let answer = Answer {
            verdict: Verdict::Completed,
            reason: None,
            tasks: vec![task],
        };
        table.answer(&cx, ticket, &Arc::new(answer));
    }
    let bytes = resident_bytes(std::process::id()) - before;
    println!(
        "{} claims: {:.1} MB with at most {:.1} MB of retained outputs; {} bytes a claim",
        table.len(),
        megabytes(bytes),
        megabytes(cfg.claim_table.max_answer_bytes),
        bytes / usize::try_from(CLAIMS).unwrap_or(usize::MAX),
    );
}

fn metric(cluster: &Cluster, name: &str) -> usize {
    gauge(&Caller::new(), cluster.entries[0].address, name)
}

fn resident_bytes(pid: u32) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
    usize::try_from(pages.unwrap_or(0) * PAGE_BYTES).unwrap_or(usize::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "printed figures")]
fn per_second(count: impl TryInto<u64>, time: Duration) -> f64 {
    count.try_into().unwrap_or(u64::MAX) as f64 / time.as_secs_f64()
}

#[expect(clippy::cast_precision_loss, reason = "printed figures")]
fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "printed figures")]
fn megabytes(bytes: usize) -> f64 {
    bytes as f64 / f64::from(1 << 20)
}
