//! A local system for trying out commands: a platform, entry processes in three data centres and
//! targets, all on loopback. Prints the environment variables to set, reads commands such as
//! `platform away` from standard input, and ends after a bounded time or at Ctrl-C.

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

/// Runs a local system for trying out commands.
#[derive(Debug, Parser)]
struct Args {
    /// Minutes after which the system ends.
    #[arg(long, default_value_t = 30)]
    minutes: u64,

    /// Seconds after which the platform becomes unavailable; stays available without this flag.
    #[arg(long)]
    platform_away_after: Option<u64>,

    /// Seconds for which the platform is unavailable.
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
        schedule_outage(&cluster, after, args.platform_away_for);
    }
    let until = Instant::now() + Duration::from_mins(args.minutes);
    let inputs = match read_input() {
        Ok(inputs) => inputs,
        Err(e) => {
            eprintln!("signals: {e}");
            return ExitCode::FAILURE;
        }
    };
    while let Ok(Input::Line(line)) =
        inputs.recv_timeout(until.saturating_duration_since(Instant::now()))
    {
        execute(&mut cluster, line.trim());
    }
    ExitCode::SUCCESS
}

fn print_settings(cluster: &Cluster) {
    let entries: Vec<_> = cluster
        .operator_addresses()
        .iter()
        .map(ToString::to_string)
        .collect();
    println!("# set these variables in another terminal:");
    println!("export GERANIUMRELAY_ENTRIES={}", entries.join(","));
    println!("export GERANIUMRELAY_PLATFORM={}", cluster.platform.url());
    println!(
        "export GERANIUMRELAY_TOKEN={}  # token of operator anna; bela and csaba exist too",
        token_of("anna")
    );
    println!("# callers' addresses:");
    for entry in &cluster.entries {
        println!("#   {} http://{}", entry.vm, entry.address);
    }
    println!("# certificates: {}", cluster.certs.ca().display());
    println!("# commands: platform away, platform back, pause N, resume N, kill N");
}

fn schedule_outage(cluster: &Cluster, after: u64, length: u64) {
    let platform = cluster.platform.clone();
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(after));
        platform.set_faults(unavailable());
        println!("# the platform is unavailable");
        thread::sleep(Duration::from_secs(length));
        platform.set_faults(PlatformFaults::default());
        println!("# the platform is available");
    });
}

fn unavailable() -> PlatformFaults {
    PlatformFaults {
        is_unavailable: true,
        ..PlatformFaults::default()
    }
}

/// Input from the terminal.
enum Input {
    /// A line of input.
    Line(String),
    /// An interrupt or termination signal.
    Quit,
}

/// Lines of standard input until a signal. The end of the input does not end the system.
fn read_input() -> std::io::Result<mpsc::Receiver<Input>> {
    let (tx, rx) = mpsc::channel();
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let quit = tx.clone();
    thread::spawn(move || {
        signals.forever().next();
        // The receiver is gone if the main thread has ended by itself.
        let _ = quit.send(Input::Quit);
    });
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if tx.send(Input::Line(line)).is_err() {
                return;
            }
        }
    });
    Ok(rx)
}

fn execute(cluster: &mut Cluster, line: &str) {
    let (command, rest) = line.split_once(' ').unwrap_or((line, ""));
    let entry = rest.parse::<usize>().ok();
    let entry = entry.and_then(|n| cluster.entries.get_mut(n));
    match (command, rest, entry) {
        ("platform", "away", _) => cluster.platform.set_faults(unavailable()),
        ("platform", "back", _) => cluster.platform.set_faults(PlatformFaults::default()),
        ("pause", _, Some(entry)) => entry.pause(),
        ("resume", _, Some(entry)) => entry.resume(),
        ("kill", _, Some(entry)) => entry.kill(),
        _ => println!("# unknown command: {line}"),
    }
}
