//! Every entry VM is replaced under load: nothing fails, is cut off, or starts twice.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Balancer, Cluster, ClusterPlan};

/// Longest wait for something that is bound to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// Entry processes.
const ENTRIES: usize = 3;

/// Callers that submit one job after the other.
const CALLERS: u64 = 4;

/// Tickets that each caller draws ahead from each entry VM before anything is replaced.
const DRAWN_AHEAD: usize = 40;

/// Run times of a job's tasks, in milliseconds.
const RUN_MS: [u64; 2] = [40, 120];

/// Balancer choices follow from it.
const SEED: u64 = 7;

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

/// What one caller was told.
#[derive(Debug, Default)]
struct Tally {
    complete: usize,
    others: Vec<RequestOutcome>,
}

/// A caller that keeps its connection while it gets next tickets there, and uses a ticket drawn
/// ahead through any entry VM in between.
fn call_until(is_over: &AtomicBool, balancer: &Balancer, mut drawn: Vec<String>) -> Tally {
    let (caller, prober) = (Caller::new(), Caller::new());
    let job = job_of("kiallitas-pont", "score", &RUN_MS);
    let mut tally = Tally::default();
    let mut next = String::new();
    let mut entry = balancer.pick_ready(&prober).expect("a ready entry VM");
    while !is_over.load(Ordering::SeqCst) {
        if next.is_empty() {
            entry = balancer.pick_ready(&prober).expect("a ready entry VM");
            next = caller.tickets(entry, 1).pop().unwrap_or_default();
            continue;
        }
        let told = caller.submit(entry, &next, &job);
        next = next_ticket(&told);
        tally.note(told);
        if let Some(ticket) = drawn.pop() {
            let other = balancer.pick_ready(&prober).expect("a ready entry VM");
            tally.note(caller.submit(other, &ticket, &job));
        }
    }
    tally
}

fn next_ticket(told: &RequestOutcome) -> String {
    match told {
        RequestOutcome::Answer(answer) => answer.next_ticket.clone(),
        RequestOutcome::Problem(problem) => problem.next_ticket.clone(),
        RequestOutcome::InFlight | RequestOutcome::NoReply(_) => String::new(),
    }
}

impl Tally {
    fn note(&mut self, told: RequestOutcome) {
        if told.is_complete() {
            self.complete += 1;
        } else {
            self.others.push(told);
        }
    }
}

/// Tickets of every entry VM, mixed.
fn draw_ahead(cluster: &Cluster) -> Vec<String> {
    let caller = Caller::new();
    let addresses = cluster.addresses();
    let batches: Vec<_> = addresses
        .iter()
        .map(|entry| caller.tickets(*entry, DRAWN_AHEAD))
        .collect();
    (0..DRAWN_AHEAD)
        .flat_map(|n| batches.iter().map(move |batch| batch[n].clone()))
        .collect()
}

#[test]
fn replacing_every_entry_vm_under_load_disturbs_no_caller() {
    let plan = ClusterPlan::new(ENTRIES, 4).with_setting("GERANIUMRELAY_STOP_LINGER", "2s");
    let mut cluster = Cluster::start(plan);
    let balancer = Balancer::new(cluster.addresses(), SEED);
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let (is_over, balancer) = (Arc::clone(&is_over), balancer.clone());
        let drawn = draw_ahead(&cluster);
        callers.push(thread::spawn(move || {
            call_until(&is_over, &balancer, drawn)
        }));
    }
    for entry in 0..ENTRIES {
        cluster.entries[entry].terminate();
        let status = cluster.entries[entry].wait(PATIENCE).expect("it ends");
        assert!(status.success(), "{status}");
        cluster.restart_entry(entry);
        cluster.wait_ready();
    }
    is_over.store(true, Ordering::SeqCst);
    let tallies: Vec<Tally> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    let complete: usize = tallies.iter().map(|tally| tally.complete).sum();
    for tally in &tallies {
        assert!(tally.others.is_empty(), "{:?}", tally.others);
    }
    let starts = cluster.starts_per_task();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
    assert_eq!(starts.len(), complete * RUN_MS.len());
    println!("{complete} jobs complete while {ENTRIES} entry VMs were replaced");
}

#[test]
fn a_killed_drain_leaves_what_ran_there_unknown_and_the_rest_to_the_heir() {
    let mut cluster = Cluster::start(ClusterPlan::new(2, 2));
    let caller = Caller::new();
    let [owner, heir] = [cluster.entries[0].address, cluster.entries[1].address];
    let tickets = caller.tickets(owner, 2);
    let (running, fresh) = (tickets[0].clone(), tickets[1].clone());
    // An idempotent kind has no journal, so only the killed process would know the answer.
    let long = job_of("kiallitas-pont", "eligibility", &[5_000]);
    let first = thread::spawn({
        let (caller, ticket, job) = (caller.clone(), running.clone(), long.clone());
        move || caller.submit(owner, &ticket, &job)
    });
    wait_until("the task starts", || cluster.starts_per_task().len() == 1);
    cluster.entries[0].terminate();
    wait_until("the heir takes over", || {
        gauge(
            &caller,
            heir,
            "geraniumrelay_hand_overs_total{stage=\"taken\"}",
        ) == 1
    });
    cluster.entries[0].kill();
    assert!(matches!(first.join().unwrap(), RequestOutcome::NoReply(_)));
    let told = caller.submit(heir, &running, &long);
    assert!(
        matches!(&told, RequestOutcome::Problem(p) if p.verdict == "MayHaveRun" && p.retry_after_s > 0),
        "{told:?}"
    );
    let job = job_of("kiallitas-pont", "eligibility", &[30]);
    assert!(caller.submit(heir, &fresh, &job).is_complete());
    let starts = cluster.starts_per_task();
    assert_eq!(starts.len(), 2);
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
