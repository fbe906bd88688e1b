//! Every entry VM is replaced under load: no job fails or is cut off, and no task starts twice.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::cluster::gauge;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Balancer, Cluster, ClusterPlan};

/// Maximum wait for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// Entry processes.
const ENTRIES: usize = 3;

/// Callers that submit one job after the other.
const CALLERS: u64 = 4;

/// Tickets that each caller gets from each entry VM before the first replacement.
const PREFETCHED_TICKETS: usize = 40;

/// Run times of a job's tasks, in milliseconds.
const RUN_MS: [u64; 2] = [40, 120];

/// Seed of the balancer's choices.
const SEED: u64 = 7;

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

/// Replies that one caller got.
#[derive(Debug, Default)]
struct ReplyCounts {
    complete: usize,
    others: Vec<RequestOutcome>,
}

/// Submits jobs to one entry VM while its replies carry a next ticket, over the same connection.
/// Between these, submits a prefetched ticket through any ready entry VM.
fn submit_until(
    is_finished: &AtomicBool,
    balancer: &Balancer,
    mut prefetched: Vec<String>,
) -> ReplyCounts {
    let (caller, prober) = (Caller::new(), Caller::new());
    let job = job_of("kiallitas-pont", "score", &RUN_MS);
    let mut counts = ReplyCounts::default();
    let mut next = String::new();
    let mut entry = balancer.pick_ready(&prober).expect("a ready entry VM");
    while !is_finished.load(Ordering::SeqCst) {
        if next.is_empty() {
            entry = balancer.pick_ready(&prober).expect("a ready entry VM");
            next = caller.tickets(entry, 1).pop().unwrap_or_default();
            continue;
        }
        let reply = caller.submit(entry, &next, &job);
        next = next_ticket(&reply);
        counts.add(reply);
        if let Some(ticket) = prefetched.pop() {
            let other = balancer.pick_ready(&prober).expect("a ready entry VM");
            counts.add(caller.submit(other, &ticket, &job));
        }
    }
    counts
}

fn next_ticket(reply: &RequestOutcome) -> String {
    match reply {
        RequestOutcome::Answer(answer) => answer.next_ticket.clone(),
        RequestOutcome::Problem(problem) => problem.next_ticket.clone(),
        RequestOutcome::InFlight | RequestOutcome::NoReply(_) => String::new(),
    }
}

impl ReplyCounts {
    fn add(&mut self, reply: RequestOutcome) {
        if reply.is_complete() {
            self.complete += 1;
        } else {
            self.others.push(reply);
        }
    }
}

/// Tickets of every entry VM, interleaved.
fn prefetch_tickets(cluster: &Cluster) -> Vec<String> {
    let caller = Caller::new();
    let addresses = cluster.addresses();
    let batches: Vec<_> = addresses
        .iter()
        .map(|entry| caller.tickets(*entry, PREFETCHED_TICKETS))
        .collect();
    (0..PREFETCHED_TICKETS)
        .flat_map(|n| batches.iter().map(move |batch| batch[n].clone()))
        .collect()
}

#[test]
fn replacing_every_entry_vm_under_load_fails_no_job() {
    let plan = ClusterPlan::new(ENTRIES, 4).with_setting("GERANIUMRELAY_STOP_LINGER", "2s");
    let mut cluster = Cluster::start(plan);
    let balancer = Balancer::new(cluster.addresses(), SEED);
    let is_finished = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let (is_finished, balancer) = (Arc::clone(&is_finished), balancer.clone());
        let prefetched = prefetch_tickets(&cluster);
        callers.push(thread::spawn(move || {
            submit_until(&is_finished, &balancer, prefetched)
        }));
    }
    for entry in 0..ENTRIES {
        cluster.entries[entry].terminate();
        let status = cluster.entries[entry]
            .wait(MAX_WAIT)
            .expect("the process ends");
        assert!(status.success(), "{status}");
        cluster.restart_entry(entry);
        cluster.wait_ready();
    }
    is_finished.store(true, Ordering::SeqCst);
    let all_counts: Vec<ReplyCounts> = callers.into_iter().map(|c| c.join().unwrap()).collect();
    let complete: usize = all_counts.iter().map(|counts| counts.complete).sum();
    for counts in &all_counts {
        assert!(counts.others.is_empty(), "{:?}", counts.others);
    }
    let starts = cluster.starts_per_task();
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
    assert_eq!(starts.len(), complete * RUN_MS.len());
    println!("{complete} jobs complete while {ENTRIES} entry VMs were replaced");
}

#[test]
fn an_entry_killed_while_draining_leaves_its_running_job_unknown_and_the_rest_to_its_successor() {
    let mut cluster = Cluster::start(ClusterPlan::new(2, 2));
    let caller = Caller::new();
    let [owner, successor] = [cluster.entries[0].address, cluster.entries[1].address];
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
    wait_until("the successor takes over", || {
        gauge(
            &caller,
            successor,
            "geraniumrelay_hand_overs_total{stage=\"taken\"}",
        ) == 1
    });
    cluster.entries[0].kill();
    assert!(matches!(first.join().unwrap(), RequestOutcome::NoReply(_)));
    let reply = caller.submit(successor, &running, &long);
    assert!(
        matches!(&reply, RequestOutcome::Problem(p) if p.verdict == "MayHaveRun" && p.retry_after_s > 0),
        "{reply:?}"
    );
    let job = job_of("kiallitas-pont", "eligibility", &[30]);
    assert!(caller.submit(successor, &fresh, &job).is_complete());
    let starts = cluster.starts_per_task();
    assert_eq!(starts.len(), 2);
    assert!(starts.values().all(|n| *n == 1), "{starts:?}");
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + MAX_WAIT;
    while !condition() {
        assert!(Instant::now() < until, "not in time: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
