//! Random search: jobs that are kept, with random faults of processes, workers and store, and checks of the rules.
//! It only finds what to look at; a finding becomes a case of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::cases::SERVICE;
use crate::fleet::{self, Fleet};
use crate::record::Record;
use crate::store::{Store, Trouble};
use crate::worker::{self, random, Jobs, Odds, StepDef, Workers};
use crate::Verdict;

#[derive(Default, Clone)]
struct Fate {
    accepted: Option<u64>,
    refused: bool,
    unanswered: bool,
    cancel_sent: Option<u64>,
    cancelled: Option<u64>,
}

type Fates = Arc<Mutex<BTreeMap<String, Fate>>>;

pub fn explore(
    seed: u64,
    has_trouble: bool,
    record: &Arc<Record>,
    folder: &Path,
) -> Result<Verdict, String> {
    worker::seed(seed.wrapping_mul(7_919));
    let guards = seed % 2 == 0;
    let kinds: u64 = std::env::var("KINDS").ok().and_then(|k| k.parse().ok()).unwrap_or(0xfff);
    let (store, address) = Store::start();
    store.set("op", "config", &fleet::configuration(SERVICE, guards));
    let jobs = Jobs::default();
    let workers =
        Workers::start(Arc::clone(&store), Arc::clone(&jobs), Arc::clone(record), SERVICE, guards);
    let zones = ["viti-a", "viti-b", "viti-c"];
    let count: usize = std::env::var("WORKERS").ok().and_then(|k| k.parse().ok()).unwrap_or(8);
    for i in 0..count {
        workers.add(zones[i % 3], 8_000, if i % 3 == 2 { &["b"] } else { &["a"] });
    }
    let fleet = Fleet::start(3, &zones, address, folder, Arc::clone(&jobs), Arc::clone(record));
    let mut fleet = fleet.map_err(|e| e.to_string())?;
    if !fleet.wait_ready(Duration::from_secs(15)) {
        return Err("not ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(3));
    record.line(&format!("ready, guards {guards}"));
    let fates: Fates = Fates::default();
    let fronts = fleet.fronts();
    let begun = Instant::now();
    let mut number = 0u64;
    let mut next_fault = Instant::now() + Duration::from_secs(2);
    let mut undo: Vec<(Instant, Undo)> = Vec::new();
    let mut threads = Vec::new();
    while begun.elapsed() < Duration::from_secs(28) || !undo.is_empty() {
        std::thread::sleep(Duration::from_millis(70));
        while let Some(i) = undo.iter().position(|(at, _)| Instant::now() >= *at) {
            match undo.remove(i).1 {
                Undo::Boot(i) => {
                    fleet.kill(i);
                    fleet.boot(i).map_err(|e| e.to_string())?
                }
                Undo::Continue(i) => fleet.signal(i, "CONT"),
                Undo::Worker(i, same) => {
                    record.line(&format!("machine {i} is back, same id {same}"));
                    let machine = &workers.all()[i];
                    if same { workers.reboot(machine) } else { workers.boot(machine) }
                }
                Undo::Odds(i) => workers.set_odds(&workers.all()[i], Odds::default()),
                Undo::Store => {
                    record.line("store is well");
                    store.set_trouble(Trouble::None);
                }
            }
        }
        if begun.elapsed() >= Duration::from_secs(28) {
            continue;
        }
        if has_trouble && Instant::now() >= next_fault {
            next_fault = Instant::now() + Duration::from_millis(800 + random() % 2_500);
            fault(kinds, &mut fleet, &workers, &store, &mut undo, record);
        }
        number += 1;
        let id = format!("5c0e7a21{number:08x}");
        let steps = random_steps();
        let (jobs, fates, record, fronts) =
            (Arc::clone(&jobs), Arc::clone(&fates), Arc::clone(record), fronts.clone());
        let first = random() as usize;
        threads.push(std::thread::spawn(move || {
            caller(&id, &steps, &jobs, &fates, &record, &fronts, first);
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    record.line("end of the traffic");
    std::thread::sleep(Duration::from_secs(14));
    let mut findings = check(&workers, &jobs, &fates.lock().unwrap().clone());
    for i in 0..3 {
        if !fleet.is_up(i) {
            findings.push(format!("entry {i} has ended by itself"));
        }
    }
    let now: Vec<(String, Fate)> =
        fates.lock().unwrap().iter().map(|(i, f)| (i.clone(), f.clone())).collect();
    let mut open = Vec::new();
    for (id, fate) in now.iter().filter(|(_, f)| f.accepted.is_some()) {
        let answers: Vec<_> = (0..3).filter_map(|i| fleet.state(i, id)).collect();
        for (status, state) in &answers {
            let failed = workers.events_of(id).iter().filter(|e| e.what == "failed").count();
            let is_fine = match (*status, state.as_str()) {
                (200, "completed") => true,
                (200, "failed") => failed >= 3,
                (200, "cancelled") => fate.cancel_sent.is_some(),
                (200, _) => {
                    open.push(id.clone());
                    true
                }
                _ => false,
            };
            if !is_fine {
                findings.push(format!("LOST? {id}: {status} {state}, failed runs {failed}"));
            }
            if state == "completed" {
                let done: BTreeSet<String> = workers
                    .events_of(id)
                    .into_iter()
                    .filter(|e| e.what == "done")
                    .map(|e| e.task)
                    .collect();
                let all: u32 = jobs.lock().unwrap()[id].iter().map(|s| s.count).sum();
                if done.len() < all as usize {
                    findings.push(format!("MIXED: {id} completed, done {}/{all}", done.len()));
                }
            }
        }
        if answers.len() < 3 {
            findings.push(format!("LOST? {id}: no answer"));
        }
    }
    if !open.is_empty() {
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until {
            open.retain(|id| workers.running(id).is_empty());
            std::thread::sleep(Duration::from_millis(20));
        }
        open.dedup();
        for id in open {
            if fleet.state(0, &id).is_none_or(|s| s.1 == "running" || s.1 == "queued") {
                findings.push(format!("LOST: {id} open and nothing running"));
            }
        }
    }
    findings.sort();
    findings.dedup();
    for finding in &findings {
        record.line(finding);
    }
    if findings.is_empty() {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(findings[..findings.len().min(12)].join("\n")))
}

enum Undo {
    Boot(usize),
    Continue(usize),
    Worker(usize, bool),
    Odds(usize),
    Store,
}

fn fault(
    kinds: u64,
    fleet: &mut Fleet,
    workers: &Arc<Workers>,
    store: &Arc<Store>,
    undo: &mut Vec<(Instant, Undo)>,
    record: &Record,
) {
    let after = |ms: u64| Instant::now() + Duration::from_millis(ms);
    let kind = random() % 12;
    if kinds & (1 << kind) == 0 {
        return;
    }
    let has_store_trouble = undo.iter().any(|(_, u)| matches!(u, Undo::Store));
    let i = (random() % 3) as usize;
    let is_busy = undo
        .iter()
        .any(|(_, u)| matches!(u, Undo::Boot(k) | Undo::Continue(k) if *k == i));
    let machine = (random() % 8) as usize;
    let is_machine_busy = undo
        .iter()
        .any(|(_, u)| matches!(u, Undo::Worker(k, _) | Undo::Odds(k) if *k == machine));
    match kind {
        0 | 1 if !is_busy => {
            fleet.kill(i);
            undo.push((after(500 + random() % 3_000), Undo::Boot(i)));
        }
        2 if !is_busy => {
            fleet.signal(i, "STOP");
            undo.push((after(100 + random() % 4_000), Undo::Continue(i)));
        }
        3 | 4 if !is_machine_busy => {
            workers.crash(&workers.all()[machine]);
            let same = random() % 2 == 0;
            undo.push((after(100 + random() % 4_500), Undo::Worker(machine, same)));
        }
        5 if !is_machine_busy => {
            record.line(&format!("machine {machine} applies late"));
            workers.set_odds(&workers.all()[machine], Odds { late: 300, ..Odds::default() });
            undo.push((after(5_500), Undo::Odds(machine)));
        }
        6 if !is_machine_busy => {
            record.line(&format!("machine {machine} fails or loses answers"));
            let odds = Odds { fails: 300, lost: 100, late: 0 };
            workers.set_odds(&workers.all()[machine], odds);
            undo.push((after(5_500), Undo::Odds(machine)));
        }
        10 if undo.iter().all(|(_, u)| !matches!(u, Undo::Boot(_) | Undo::Continue(_))) => {
            record.line("all entries are killed");
            for k in 0..3 {
                fleet.kill(k);
                undo.push((after(500 + random() % 1_000), Undo::Boot(k)));
            }
        }
        11 if !is_busy => {
            fleet.signal(i, "TERM");
            undo.push((after(6_500), Undo::Boot(i)));
        }
        7..=9 if !has_store_trouble => {
            let trouble = match random() % 5 {
                0 => Trouble::Silent,
                1 => Trouble::Busy,
                2 => Trouble::Slow(180),
                3 => Trouble::Lost(350),
                _ => Trouble::Late(350),
            };
            record.line(&format!("store {trouble:?}"));
            store.set_trouble(trouble);
            undo.push((after(1_000 + random() % 3_500), Undo::Store));
        }
        _ => {}
    }
}

fn random_steps() -> Vec<StepDef> {
    let count = 1 + random() % 3;
    let steps = (0..count).map(|k| StepDef {
        count: 1 + (random() % 4) as u32,
        cpu: 500 + random() % 2_000,
        run_ms: 60 + random() % 900,
        estimated_ms: 60 + random() % 900,
        after: if k > 0 { vec![k as u32 - 1] } else { Vec::new() },
        requirements: (random() % 6 == 0).then(|| "b".to_owned()),
        max_per_server: None,
    });
    steps.collect()
}

fn caller(
    id: &str,
    steps: &[StepDef],
    jobs: &Jobs,
    fates: &Fates,
    record: &Record,
    fronts: &[std::net::SocketAddr],
    first: usize,
) {
    let body = fleet::submission(jobs, id, steps);
    fates.lock().unwrap().insert(id.to_owned(), Fate::default());
    for attempt in 0..6 {
        let sent = Instant::now();
        let answer = fleet::call(fronts[(first + attempt) % fronts.len()], "POST", id, &body);
        if answer.is_none() && sent.elapsed() >= Duration::from_millis(200) {
            record.line(&format!("BROKEN OFF: {id} after {} ms", sent.elapsed().as_millis()));
        }
        let status = answer.map(|a| a.0);
        let at = record.line(&format!("submit {id}: {}", fleet::shown(status)));
        let mut fates = fates.lock().unwrap();
        let fate = fates.get_mut(id).expect("inserted above");
        match status {
            Some(s) if s / 100 == 2 => {
                fate.accepted = Some(at);
                break;
            }
            None | Some(502 | 504) => fate.unanswered = true,
            _ => {
                fate.refused = true;
                return;
            }
        }
        drop(fates);
        std::thread::sleep(Duration::from_millis(1_300));
    }
    if first % 8 != 0 {
        return;
    }
    std::thread::sleep(Duration::from_millis(random() % 1_500));
    for attempt in 0..4 {
        let sent = record.now_ms();
        fates.lock().unwrap().get_mut(id).expect("inserted above").cancel_sent.get_or_insert(sent);
        let answer = fleet::call(fronts[(first + attempt) % fronts.len()], "DELETE", id, "");
        let status = answer.map(|a| a.0);
        let at = record.line(&format!("cancel {id}: {}", fleet::shown(status)));
        if matches!(status, Some(200 | 410)) {
            fates.lock().unwrap().get_mut(id).expect("inserted above").cancelled = Some(at);
            return;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
}

fn check(workers: &Workers, jobs: &Jobs, fates: &BTreeMap<String, Fate>) -> Vec<String> {
    let events = workers.events.lock().unwrap().clone();
    let jobs = jobs.lock().unwrap();
    let mut findings = Vec::new();
    let mut running: BTreeMap<String, BTreeSet<(u64, String)>> = BTreeMap::new();
    let mut done: BTreeMap<String, Vec<(u64, String, u64)>> = BTreeMap::new();
    let noted: BTreeSet<(String, u64, String)> = events
        .iter()
        .filter(|e| e.what.starts_with("noted"))
        .map(|e| (e.task.clone(), e.run, e.worker.clone()))
        .collect();
    let mut failed: BTreeMap<String, u32> = BTreeMap::new();
    for e in &events {
        let id = e.task.split('.').next().unwrap_or("");
        match e.what {
            "start" => {
                let others = running.entry(e.task.clone()).or_default();
                if !others.is_empty() {
                    findings.push(format!("TWICE: {} run {} at {} beside {others:?}", e.task, e.run, e.at_ms));
                }
                others.insert((e.run, e.worker.clone()));
                for (run, worker, at) in done.get(&e.task).into_iter().flatten() {
                    if noted.contains(&(e.task.clone(), *run, worker.clone())) {
                        findings.push(format!(
                            "TWICE: {} run {} starts at {} after run {run} was done at {at} on {worker}",
                            e.task, e.run, e.at_ms
                        ));
                    }
                }
                if failed.get(&e.task).is_some_and(|&n| n >= 3) {
                    findings.push(format!("BUDGET: {} run {} at {}", e.task, e.run, e.at_ms));
                }
                let step: usize = e.task.split('.').nth(2).and_then(|s| s.parse().ok()).unwrap_or(0);
                for &before in &jobs[id][step].after {
                    let count = jobs[id][before as usize].count;
                    for index in 0..count {
                        if !done.contains_key(&format!("{id}.0.{before}.{index}")) {
                            findings.push(format!("ORDER: {} at {}", e.task, e.at_ms));
                        }
                    }
                }
                if let Some(label) = &jobs[id][step].requirements {
                    let machine: usize = e.worker.split('-').nth(1).and_then(|m| m.parse().ok()).unwrap_or(0);
                    if label == "b" && machine % 3 != 2 {
                        findings.push(format!("ROUTE: {} on {}", e.task, e.worker));
                    }
                }
                let fate = &fates[id];
                if fate.cancelled.is_some_and(|at| e.at_ms > at + 3_000) {
                    findings.push(format!("UNASKED: {} at {}, cancelled", e.task, e.at_ms));
                }
                if fate.refused && fate.accepted.is_none() && !fate.unanswered {
                    findings.push(format!("REFUSED: {} at {}", e.task, e.at_ms));
                }
            }
            "noted-done" | "noted-other" => {}
            how => {
                running.entry(e.task.clone()).or_default().remove(&(e.run, e.worker.clone()));
                if how == "done" {
                    let ends = done.entry(e.task.clone()).or_default();
                    ends.push((e.run, e.worker.clone(), e.at_ms));
                }
                if how == "failed" && noted.contains(&(e.task.clone(), e.run, e.worker.clone())) {
                    *failed.entry(e.task.clone()).or_default() += 1;
                }
            }
        }
    }
    findings
}
