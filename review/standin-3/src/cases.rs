//! The cases: each plays a small deployment, and judges by what callers and workers saw.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Jobs, StepDef, Workers};
use crate::Verdict;

pub const SERVICE: &str = "rental-desk";

/// `finish_s` of the small deployments.
const FINISH: Duration = Duration::from_secs(14);

/// `visible_ms` and the 2 s that the rule adds.
const VISIBLE: Duration = Duration::from_millis(3_000 + 2_000);

/// Time for which a job must have nothing running, by the rule LOST.
const IDLE: Duration = Duration::from_secs(3);

/// Freeze of a machine; the pages allow 4.0 s.
const FREEZE: Duration = Duration::from_millis(3_900);

/// Time for which a crashed worker is away; the pages allow 4.5 s.
const DOWN: Duration = Duration::from_millis(4_400);

/// Callers, each with one job at a time, and the pause of a caller between two jobs.
const CALLERS: usize = 35;
const CALLER_PAUSE: Duration = Duration::from_millis(250);

pub fn run(case: &str, has_trouble: bool, record: &Arc<Record>, folder: &Path) -> Verdict {
    let played = match case {
        "bound" => bound(has_trouble, record, folder),
        "apart" => apart(has_trouble, record, folder),
        "starved" => starved(has_trouble, record, folder),
        "pending" => pending(has_trouble, record, folder),
        "refused" => refused(has_trouble, record, folder),
        _ => match case.strip_prefix("explore-").and_then(|s| s.parse().ok()) {
            Some(seed) => crate::explore::explore(seed, has_trouble, record, folder),
            None => Err(format!("there is no case {case}")),
        },
    };
    played.unwrap_or_else(Verdict::NotRun)
}

/// Jobs that were refused, with the status and the time of the answer.
type Refusals = Arc<Mutex<Vec<(String, u16, u64)>>>;

struct World {
    fleet: Fleet,
    workers: Arc<Workers>,
    jobs: Jobs,
}

/// Starts the store, workers with these labels, and the entry processes; waits until they are ready.
fn world(
    record: &Arc<Record>,
    folder: &Path,
    zones: &[&str],
    labels: &[&[&str]],
    cpu: u64,
    entries: usize,
) -> Result<World, String> {
    let (store, address) = Store::start();
    store.set("op", "config", &fleet::configuration(SERVICE, true));
    let jobs = Jobs::default();
    let workers = Workers::start(store, Arc::clone(&jobs), Arc::clone(record), SERVICE, true);
    for (i, labels) in labels.iter().enumerate() {
        workers.add(zones[i % zones.len()], cpu, labels);
    }
    let (of_fleet, of_record) = (Arc::clone(&jobs), Arc::clone(record));
    let fleet = Fleet::start(entries, zones, address, folder, of_fleet, of_record);
    let fleet = fleet.map_err(|e| format!("the entry processes do not start: {e}"))?;
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return Err("the entry processes are not ready within 15 s".to_owned());
    }
    // Traffic starts 10 s after the machines do; two heartbeats of the workers suffice here.
    std::thread::sleep(Duration::from_secs(4));
    record.line("ready");
    Ok(World { fleet, workers, jobs })
}

fn step(count: u32, cpu: u64, run_ms: u64) -> StepDef {
    StepDef {
        count,
        cpu,
        run_ms,
        estimated_ms: run_ms,
        after: Vec::new(),
        requirements: None,
        max_per_server: None,
    }
}

fn id(number: u64) -> String {
    format!("5c0e7a21{number:08x}")
}

impl World {
    /// Whether the job's task whose turn it is has capacity twice over on workers with the label, while under half of the
    /// service's capacity is in use.
    fn has_capacity(&self, cpu: u64, label: Option<&str>) -> bool {
        let (used, all) = self.workers.load();
        let free = self.workers.free();
        let suitable = free.iter().filter(|(labels, _)| {
            label.is_none_or(|label| labels.iter().any(|l| l == label))
        });
        let room: u64 = suitable.map(|(_, free)| free / cpu).sum();
        room >= 2 && used * 2 < all
    }

    /// Whether an accepted job has nothing running for 3 s, though a task's turn has come and there is room.
    fn is_left(&self, id: &str, cpu: u64, label: Option<&str>) -> bool {
        let until = Instant::now() + IDLE;
        while Instant::now() < until {
            if !self.workers.running(id).is_empty() || !self.has_capacity(cpu, label) {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Asks all entry processes for a job's state until one answers 200 or 410.
    fn state(&self, id: &str) -> Option<(u16, String)> {
        let answers = (0..self.fleet.entries.len()).filter_map(|i| self.fleet.state(i, id));
        answers.into_iter().find(|a| a.0 == 200 || a.0 == 410)
    }
}

/// LOST: a job is accepted during a takeover by a cell none of whose workers it can use.
fn bound(has_trouble: bool, record: &Arc<Record>, folder: &Path) -> Result<Verdict, String> {
    let zones = ["viti-a", "viti-b", "viti-c"];
    let racks: [&[&str]; 3] = [&["a", "r1"], &["a", "r2"], &["a", "r3"]];
    let labels: Vec<&[&str]> = (0..102).map(|i| racks[i % 3]).collect();
    let mut world = world(record, folder, &zones, &labels, 32_000, 6)?;
    let plain: Vec<String> = (1..=6).map(id).collect();
    for (i, id) in plain.iter().enumerate() {
        if world.fleet.submit(i, id, &[step(2, 1_000, 300)]) != Some(200) {
            return Err("a plain job was not accepted".to_owned());
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    if has_trouble {
        for i in 0..6 {
            world.fleet.kill(i);
        }
        std::thread::sleep(Duration::from_secs(1));
        for i in 0..6 {
            world.fleet.boot(i).map_err(|e| e.to_string())?;
        }
    }
    let fronts = world.fleet.fronts();
    let mut callers = Vec::new();
    for k in 0..150 {
        let (jobs, record, id) = (Arc::clone(&world.jobs), Arc::clone(record), id(100 + k));
        let entry = if k % 2 == 0 { 0 } else { 3 };
        let front = fronts[entry];
        callers.push(std::thread::spawn(move || {
            let on_rack = StepDef { requirements: Some("r3".to_owned()), ..step(1, 1_000, 500) };
            let body = fleet::submission(&jobs, &id, &[on_rack]);
            let status = fleet::call(front, "POST", &id, &body).map(|a| a.0);
            record.line(&format!("submit {id} at entry {entry}: {}", fleet::shown(status)));
            (id, status)
        }));
        std::thread::sleep(Duration::from_millis(20));
    }
    let answers: Vec<_> = callers.into_iter().filter_map(|c| c.join().ok()).collect();
    record.line("end of the traffic");
    let accepted = answers.into_iter().filter(|(_, s)| s.is_some_and(|s| s / 100 == 2));
    let accepted: Vec<String> = accepted.map(|(id, _)| id).chain(plain).collect();
    std::thread::sleep(FINISH);
    let is_completed = |id: &str| matches!(world.state(id), Some((200, s)) if s == "completed");
    let mut left: Vec<&String> = accepted.iter().filter(|id| !is_completed(id)).collect();
    let until = Instant::now() + IDLE;
    while Instant::now() < until && !left.is_empty() {
        left.retain(|id| world.workers.running(id).is_empty() && world.has_capacity(1_000, Some("r3")));
        std::thread::sleep(Duration::from_millis(20));
    }
    left.retain(|id| !is_completed(id));
    if left.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "LOST: {} of {} accepted jobs had nothing running for 3 s, {} s after the end of the traffic, beside idle workers that they can use",
        left.len(), accepted.len(), FINISH.as_secs()
    )))
}

/// LOST: a task that was lost twice with crashed workers is not started again while each worker runs anything.
fn apart(has_trouble: bool, record: &Arc<Record>, folder: &Path) -> Result<Verdict, String> {
    let labels: Vec<&[&str]> = vec![&["a"]; 8];
    let world = world(record, folder, &["viti-a", "viti-b", "viti-c"], &labels, 32_000, 3)?;
    let (wide, single) = (id(1), id(2));
    let on_each = StepDef { max_per_server: Some(1), ..step(8, 1_000, 25_000) };
    if world.fleet.submit(0, &wide, &[on_each]) != Some(200) {
        return Err("the wide job was not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_secs(1));
    if world.workers.running(&wide).len() != 8 {
        return Err("the wide job does not run on all workers".to_owned());
    }
    if world.fleet.submit(1, &single, &[step(1, 1_000, 5_000)]) != Some(200) {
        return Err("the single task was not accepted".to_owned());
    }
    let end = Instant::now();
    record.line("end of the traffic");
    let mut returns: Vec<(Instant, usize)> = Vec::new();
    let mut crashes = 0;
    let mut next_crash = end + Duration::from_millis(1_500);
    while end.elapsed() < FINISH {
        std::thread::sleep(Duration::from_millis(10));
        if has_trouble && crashes < 2 && Instant::now() >= next_crash {
            if let Some((index, ..)) = world.workers.running(&single).first() {
                crashes += 1;
                world.workers.crash(&world.workers.all()[*index]);
                returns.push((Instant::now() + DOWN, *index));
                next_crash = Instant::now() + Duration::from_secs(4);
            }
        }
        if let Some(due) = returns.iter().position(|(at, _)| Instant::now() >= *at) {
            let (_, index) = returns.remove(due);
            record.line(&format!("machine {index} is back"));
            world.workers.boot(&world.workers.all()[index]);
        }
    }
    let is_completed = |id: &str| matches!(world.state(id), Some((200, s)) if s == "completed");
    if is_completed(&single) {
        return Ok(Verdict::Held);
    }
    if !world.is_left(&single, 1_000, None) || is_completed(&single) {
        return Ok(Verdict::Held);
    }
    let state = world.state(&single).map(|s| s.1).unwrap_or_default();
    let events = world.workers.events_of(&single);
    Ok(Verdict::Broken(format!(
        "LOST: the job ({state}) had nothing running for 3 s, {} s after the end of the traffic; {} runs, none of them failed",
        FINISH.as_secs(), events.iter().filter(|e| e.what == "start").count()
    )))
}

/// LOST: a task whose run has failed once is not started again while its worker is never empty.
fn starved(has_trouble: bool, record: &Arc<Record>, folder: &Path) -> Result<Verdict, String> {
    let mut labels: Vec<&[&str]> = vec![&["a"]; 11];
    labels.push(&["b"]);
    let world = world(record, folder, &["viti-a", "viti-b", "viti-c"], &labels, 32_000, 3)?;
    let on_b = |s: StepDef| StepDef { requirements: Some("b".to_owned()), ..s };
    let (long, short) = (id(1), id(2));
    if world.fleet.submit(0, &long, &[on_b(step(1, 1_000, 25_000))]) != Some(200) {
        return Err("the long job was not accepted".to_owned());
    }
    std::thread::sleep(Duration::from_secs(1));
    if world.workers.running(&long).is_empty() {
        return Err("the long job has not begun".to_owned());
    }
    if has_trouble {
        record.line("the worker with label b fails the next run");
        world.workers.fail_next(&world.workers.all()[11], 1);
    }
    if world.fleet.submit(1, &short, &[on_b(step(1, 1_000, 600))]) != Some(200) {
        return Err("the short job was not accepted".to_owned());
    }
    record.line("end of the traffic");
    std::thread::sleep(FINISH);
    let is_completed = |id: &str| matches!(world.state(id), Some((200, s)) if s == "completed");
    if is_completed(&short) {
        return Ok(Verdict::Held);
    }
    if !world.is_left(&short, 1_000, Some("b")) || is_completed(&short) {
        return Ok(Verdict::Held);
    }
    let events = world.workers.events_of(&short);
    Ok(Verdict::Broken(format!(
        "LOST: the job had nothing running for 3 s, {} s after the end of the traffic, after one failed run of 3 that it may have; runs: {}",
        FINISH.as_secs(), events.iter().filter(|e| e.what == "start").count()
    )))
}

/// MIXED: the count of pending jobs leaves out jobs that have not begun.
fn pending(has_trouble: bool, record: &Arc<Record>, folder: &Path) -> Result<Verdict, String> {
    let mut labels: Vec<&[&str]> = vec![&["a"]; 7];
    labels.push(&["b"]);
    let world = world(record, folder, &["viti-a", "viti-b", "viti-c"], &labels, 32_000, 3)?;
    let on_b = |s: StepDef| StepDef { requirements: Some("b".to_owned()), ..s };
    let first = id(1);
    if world.fleet.submit(0, &first, &[on_b(step(1, 1_000, 300))]) != Some(200) {
        return Err("the first job was not accepted".to_owned());
    }
    let begun = Instant::now();
    while !matches!(world.fleet.state(0, &first), Some((200, s)) if s == "completed") {
        if begun.elapsed() > Duration::from_secs(5) {
            return Err("the first job has not ended".to_owned());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if has_trouble {
        world.workers.crash(&world.workers.all()[7]);
    }
    let second = id(2);
    if world.fleet.submit(0, &second, &[on_b(step(1, 1_000, 300))]) != Some(200) {
        return Err("the second job was not accepted".to_owned());
    }
    std::thread::sleep(VISIBLE + Duration::from_secs(2));
    let has_begun = !world.workers.events_of(&second).is_empty();
    let mut broken = Vec::new();
    for i in 0..3 {
        let answer = world.fleet.pending(i);
        let is_low = matches!(answer, Some((200, Some(0))));
        if is_low && !has_begun {
            broken.push(i);
        }
    }
    if broken.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "MIXED: entries {broken:?} give 0 pending jobs, 7 s after a job was accepted that has not begun"
    )))
}

/// REFUSED: a job runs whose only submission was refused.
fn refused(has_trouble: bool, record: &Arc<Record>, folder: &Path) -> Result<Verdict, String> {
    let labels: Vec<&[&str]> = vec![&["a"]; 8];
    let zones = ["viti-a", "viti-b", "viti-c"];
    let world = world(record, folder, &zones, &labels, 8_000, 7)?;
    let fronts = world.fleet.fronts();
    let begun = Instant::now();
    let rounds = 5u32;
    let length = Duration::from_millis(6_500) * rounds;
    let next = Arc::new(AtomicU64::new(1));
    let refusals: Refusals = Refusals::default();
    let mut callers = Vec::new();
    for k in 0..CALLERS {
        let (jobs, record, next) = (Arc::clone(&world.jobs), Arc::clone(record), Arc::clone(&next));
        let (refusals, front) = (Arc::clone(&refusals), fronts[k % fronts.len()]);
        callers.push(std::thread::spawn(move || {
            while begun.elapsed() < length {
                let id = id(next.fetch_add(1, Ordering::Relaxed));
                let body = fleet::submission(&jobs, &id, &[step(4, 2_000, 400)]);
                let status = fleet::call(front, "POST", &id, &body).map(|a| a.0);
                let at = record.line(&format!("{id}@{} {}", k % 7, fleet::shown(status)));
                if let Some(status @ (429 | 503)) = status {
                    refusals.lock().unwrap().push((id, status, at));
                }
                std::thread::sleep(CALLER_PAUSE);
            }
        }));
    }
    for round in 0..rounds as usize {
        std::thread::sleep(Duration::from_millis(1_000));
        let scheduler = world.workers.holder();
        let mut others = (0..fronts.len()).filter(|&i| {
            let [_, b, c, d] = world.fleet.entries[i].ip.octets();
            scheduler != u64::from(u32::from_be_bytes([0, b, c, d]))
        });
        let follower = others.nth(round % (fronts.len() - 1));
        if let Some(i) = follower.filter(|_| has_trouble) {
            world.fleet.signal(i, "STOP");
            std::thread::sleep(FREEZE);
            world.fleet.signal(i, "CONT");
        } else {
            std::thread::sleep(FREEZE);
        }
        std::thread::sleep(Duration::from_millis(1_500));
    }
    for caller in callers {
        let _ = caller.join();
    }
    std::thread::sleep(Duration::from_secs(8));
    let refusals = refusals.lock().unwrap();
    let mut run = Vec::new();
    for (id, status, at) in refusals.iter() {
        let starts: Vec<_> = world.workers.events_of(id);
        if let Some(start) = starts.iter().find(|e| e.what == "start") {
            record.line(&format!("{id} was answered {status} at {at} ms, and starts at {} ms", start.at_ms));
            run.push(id.clone());
        }
    }
    record.line(&format!("{} jobs refused, {} of them started", refusals.len(), run.len()));
    if refusals.is_empty() {
        return Err("no job was refused".to_owned());
    }
    if run.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "REFUSED: {} of {} jobs started whose only submission was refused",
        run.len(), refusals.len()
    )))
}
