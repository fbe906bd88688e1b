//! Measures the control overhead of idle entry processes: traffic between them, processor time and
//! memory, for a number of data centres and entry processes in each.
//!
//! `cargo run --release -p geraniumrelay-testkit --example control -- --data-centres 13 --entries 2`

use std::fs;
use std::thread;
use std::time::Duration;

use clap::Parser;
use geraniumrelay_testkit::caller::Caller;
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan, EntryProcess};

/// Clock ticks per second, the unit of processor times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes of IP and UDP headers of a datagram.
const HEADER_BYTES: f64 = 28.0;

/// Idle time before the measurement, in which connections are set up.
const WARM_UP: Duration = Duration::from_secs(6);

/// Measures the control overhead of idle entry processes.
#[derive(Debug, Parser)]
struct Args {
    /// Data centres.
    #[arg(long, default_value_t = 3)]
    data_centres: usize,

    /// Entry processes of each data centre.
    #[arg(long, default_value_t = 2)]
    entries: usize,

    /// Seconds to measure for.
    #[arg(long, default_value_t = 10)]
    seconds: u32,
}

/// Counters of one process since its start, and its resident memory in kB.
#[derive(Debug, Clone, Copy, Default)]
struct Sample {
    datagrams: f64,
    bytes: f64,
    messages: f64,
    ticks: f64,
    resident_kb: f64,
}

fn main() {
    run_if_entry();
    let args = Args::parse();
    let names: Vec<String> = (0..args.data_centres).map(|n| format!("dc{n}")).collect();
    let plan: Vec<(&str, usize)> = names.iter().map(|n| (n.as_str(), args.entries)).collect();
    let cluster = Cluster::start(ClusterPlan::new(0, 0).with_relay().with_data_centres(&plan));
    thread::sleep(WARM_UP);
    let before = sample_all(&cluster);
    thread::sleep(Duration::from_secs(args.seconds.into()));
    let after = sample_all(&cluster);
    let seconds = f64::from(args.seconds);
    let rate = |of: fn(&Sample) -> f64| (mean(&after, of) - mean(&before, of)) / seconds;
    let (datagrams, bytes) = (rate(|s| s.datagrams), rate(|s| s.bytes));
    println!(
        "{} data centres x {} entry processes, mean of each: sent {:.1} datagrams/s, {:.2} KB/s \
         with headers; {:.1} messages/s both ways; {:.2}% of a core; {:.1} MB resident",
        args.data_centres,
        args.entries,
        datagrams,
        (bytes + datagrams * HEADER_BYTES) / 1_000.0,
        rate(|s| s.messages),
        rate(|s| s.ticks) / TICKS_PER_SECOND * 100.0,
        mean(&after, |s| s.resident_kb) / 1_024.0,
    );
}

fn mean(samples: &[Sample], of: fn(&Sample) -> f64) -> f64 {
    let count = u32::try_from(samples.len()).unwrap_or(u32::MAX);
    samples.iter().map(of).sum::<f64>() / f64::from(count.max(1))
}

fn sample_all(cluster: &Cluster) -> Vec<Sample> {
    let caller = Caller::new();
    let sample = |entry| sample(cluster, &caller, entry);
    cluster.entries.iter().map(sample).collect()
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn sample(cluster: &Cluster, caller: &Caller, entry: &EntryProcess) -> Sample {
    let traffic = cluster.relay.sent_by(entry.peer_address);
    let messages = |direction: &str| {
        let name = format!("geraniumrelay_peer_messages_total{{direction=\"{direction}\"}}");
        gauge(caller, entry.address, &name) as f64
    };
    Sample {
        datagrams: traffic.datagrams as f64,
        bytes: traffic.bytes as f64,
        messages: messages("sent") + messages("received"),
        ticks: processor_ticks(entry.pid()),
        resident_kb: resident_kb(entry.pid()),
    }
}

/// Clock ticks in user and system mode.
fn processor_ticks(pid: u32) -> f64 {
    /// Index of the user time among the fields after the program's name; the system time follows.
    const USER_TIME_INDEX: usize = 11;
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(") ").map_or("", |(_, rest)| rest);
    let ticks = fields.split(' ').skip(USER_TIME_INDEX).take(2);
    ticks.filter_map(|n| n.parse::<f64>().ok()).sum()
}

fn resident_kb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|rest| rest.split_whitespace().next()?.parse().ok());
    kb.unwrap_or_default()
}
