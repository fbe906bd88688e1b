//! A system to try commands on: a platform, entry processes in three data centres and targets,
//! all on loopback. Prints what to set, takes `platform away` and the like from standard input,
//! and ends after a bounded time or at Ctrl-C.

use std::io::BufRead;
use std::process::ExitCode;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::operators::token_of;
use geraniumrelay_testkit::{Cluster, ClusterPlan, PlatformFaults};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Targets of each data centre.
const TARGETS: usize = 2;

/// A system to try commands on.
#[derive(Debug, Parser)]
struct Args {
    /// Minutes after which it ends.
    #[arg(long, default_value_t = 30)]
    minutes: u64,

    /// Seconds after which the platform goes away, where it is to.
    #[arg(long)]
    platform_away_after: Option<u64>,

    /// Seconds for which the platform stays away.
    #[arg(long, default_value_t = 60)]
    platform_away_for: u64,
}

fn main() -> ExitCode {
    run_if_entry();
    let args = Args::parse();
    let plan = ClusterPlan::new(0, TARGETS);
    let mut cluster =
        Cluster::start(plan.with_data_centres(&[("szeged", 1), ("gyor", 1), ("pecs", 1)]));
    print_settings(&cluster);
    if let Some(after) = args.platform_away_after {
        plan_outage(&cluster, after, args.platform_away_for);
    }
    let until = Instant::now() + Duration::from_mins(args.minutes);
    let words = match read_words() {
        Ok(words) => words,
        Err(e) => {
            eprintln!("signals: {e}");
            return ExitCode::FAILURE;
        }
    };
    while let Ok(Word::Line(line)) =
        words.recv_timeout(until.saturating_duration_since(Instant::now()))
    {
        obey(&mut cluster, line.trim());
    }
    ExitCode::SUCCESS
}

fn print_settings(cluster: &Cluster) {
    let entries: Vec<_> = cluster
        .operator_addresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    println!("# set this in another terminal:");
    println!("export GERANIUMRELAY_ENTRIES={}", entries.join(","));
    println!("export GERANIUMRELAY_PLATFORM={}", cluster.platform.url());
    println!(
        "export GERANIUMRELAY_TOKEN={}  # you are anna; also bela, csaba",
        token_of("anna")
    );
    println!("# callers' addresses:");
    for entry in &cluster.entries {
        println!("#   {} http://{}", entry.vm, entry.address);
    }
    println!("# certificates: {}", cluster.certs.ca().display());
    println!("# words that it takes: platform away, platform back, pause N, resume N, kill N");
}

fn plan_outage(cluster: &Cluster, after: u64, length: u64) {
    let platform = cluster.platform.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(after));
        platform.set_faults(away());
        println!("# the platform is away");
        thread::sleep(Duration::from_secs(length));
        platform.set_faults(PlatformFaults::default());
        println!("# the platform is back");
    });
}

fn away() -> PlatformFaults {
    PlatformFaults {
        is_unavailable: true,
        ..PlatformFaults::default()
    }
}

/// What the person at the terminal wants.
enum Word {
    /// A line of input.
    Line(String),
    /// The end, by a signal.
    Quit,
}

/// Lines of standard input until a signal; after the last line the time runs out.
fn read_words() -> std::io::Result<mpsc::Receiver<Word>> {
    let (tx, rx) = mpsc::channel();
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let quit = tx.clone();
    thread::spawn(move || {
        signals.forever().next();
        // The main thread may have ended by itself.
        let _ = quit.send(Word::Quit);
    });
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if tx.send(Word::Line(line)).is_err() {
                return;
            }
        }
    });
    Ok(rx)
}

fn obey(cluster: &mut Cluster, line: &str) {
    let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
    let entry = rest.parse::<usize>().ok();
    let entry = entry.and_then(|n| cluster.entries.get_mut(n));
    match (word, rest, entry) {
        ("platform", "away", _) => cluster.platform.set_faults(away()),
        ("platform", "back", _) => cluster.platform.set_faults(PlatformFaults::default()),
        ("pause", _, Some(entry)) => entry.pause(),
        ("resume", _, Some(entry)) => entry.resume(),
        ("kill", _, Some(entry)) => entry.kill(),
        _ => println!("# unknown: {line}"),
    }
}
