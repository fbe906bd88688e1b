//! Measures the cost of each job, task start, heartbeat and claim for one entry process.
//!
//! docs/CAPACITY.md is calculated from these slopes.

use std::hint::black_box;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_core::modules::claim_table::ClaimTable;
use geraniumrelay_core::modules::jobs::JobKey;
use geraniumrelay_core::modules::sheet::parse_sheet;
use geraniumrelay_core::modules::targets::TargetInfo;
use geraniumrelay_core::{
    Command, Config, Context, Dispatcher, Identity, Incarnation, Reason, TicketKey, TicketMint,
};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::load::{LoadPlan, run};
use geraniumrelay_testkit::usage::ProcessUsage;
use geraniumrelay_testkit::{Balancer, Cluster, ClusterPlan};
use geraniumrelay_wire::{Heartbeat, PeerReply, PeerRequest, Vm, VmList, peer_reply, peer_request};
use prost::Message;

/// Duration of each measurement under load or idle.
const PART_TIME: Duration = Duration::from_secs(10);

/// Mean run time of tasks.
const MEAN_RUN: Duration = Duration::from_millis(50);

/// Targets, all in this process.
const TARGETS: usize = 96;

/// Claims whose memory is measured.
const CLAIMS: u32 = 1_000_000;

/// Jobs per second and tasks of each job, one pair for each load.
const LOADS: [(f64, usize); 5] = [(200.0, 1), (800.0, 1), (60.0, 10), (300.0, 10), (40.0, 100)];

fn main() -> anyhow::Result<()> {
    run_if_entry();
    measure_claims()?;
    print_heartbeat_bytes();
    for rows in [1_700, 22_000] {
        measure_target_list(rows)?;
    }
    for entries in [1, 2, 6] {
        idle(entries)?;
    }
    for (rate, tasks) in LOADS {
        under_load(rate, tasks)?;
    }
    Ok(())
}

/// Mean memory of a claim. The two kinds that are retained for long, open and not run, alternate.
fn measure_claims() -> anyhow::Result<()> {
    let key = TicketKey([1; 16]);
    let mint = TicketMint::new("szeged".parse()?, Incarnation(1), key);
    let before = ProcessUsage::read(std::process::id())?;
    let started = Instant::now();
    let mut table = ClaimTable::new(Incarnation(1), key);
    for n in 0..CLAIMS {
        let Some(ticket) = mint.mint() else { break };
        if n % 2 == 0 {
            table.claim(ticket, u128::from(n), JobKey::default());
        } else {
            table.mark_not_run(ticket, Reason::QueueFull);
        }
    }
    let time = started.elapsed();
    let after = ProcessUsage::read(std::process::id())?;
    println!(
        "claims {}: {:.0} bytes each, {:.0} ns each to mint and claim",
        black_box(&table).len(),
        to_f64(after.resident_bytes.saturating_sub(before.resident_bytes)) / f64::from(CLAIMS),
        time.as_secs_f64() * 1e9 / f64::from(CLAIMS),
    );
    Ok(())
}

/// Encoded size of a heartbeat and of its reply, which carries the peer's own heartbeat.
fn print_heartbeat_bytes() {
    let heartbeat = Heartbeat {
        incarnation: u64::MAX,
        vm: "a-name-of-sixteen".to_owned(),
        data_centre: "viti-central-2".to_owned(),
        revision: 1_000_000,
        address: "10.100.100.100:10000".to_owned(),
        ..Heartbeat::default()
    };
    let req = PeerRequest {
        body: Some(peer_request::Body::Heartbeat(heartbeat.clone())),
    };
    let reply = PeerReply {
        body: Some(peer_reply::Body::Heartbeat(heartbeat)),
    };
    println!(
        "heartbeat: {} bytes and {} bytes in reply, encoded",
        req.encoded_len(),
        reply.encoded_len(),
    );
}

/// Size of the platform's list, and the time to parse and to apply the list.
fn measure_target_list(rows: u32) -> anyhow::Result<()> {
    let vms = (0..rows).map(|n| Vm {
        name: format!("szeged-t{n}"),
        role: "target".to_owned(),
        data_centre: "szeged".to_owned(),
        service: "kiallitas-pont".to_owned(),
        address: format!("10.1.{}.{}:8000", n / 250, n % 250),
        ..Vm::default()
    });
    let text = serde_json::to_string(&VmList { vms: vms.collect() })?;
    let started = Instant::now();
    let list: VmList = serde_json::from_str(&text)?;
    let read = started.elapsed();
    let infos = list.vms.iter().map(target_info);
    let infos = infos.collect::<anyhow::Result<Vec<_>>>()?;
    let applied = apply_known_list(infos)?;
    println!(
        "list of {rows} targets: {} bytes, {:.2} ms to read, {:.2} ms of the decision thread to \
         apply unchanged",
        text.len(),
        read.as_secs_f64() * 1e3,
        applied.as_secs_f64() * 1e3,
    );
    Ok(())
}

fn target_info(vm: &Vm) -> anyhow::Result<TargetInfo> {
    Ok(TargetInfo {
        vm: vm.name.parse()?,
        service: vm.service.parse()?,
        address: vm.address.parse()?,
        is_leaving: vm.leaving,
    })
}

/// Time to apply a list that the dispatcher already knows.
fn apply_known_list(infos: Vec<TargetInfo>) -> anyhow::Result<Duration> {
    let cfg = Config::default();
    let cx = Context::new(Instant::now(), &cfg);
    let identity = Identity {
        vm: "szeged-e0".parse()?,
        data_centre: "szeged".parse()?,
        peer_address: "127.0.0.1:1".parse()?,
        incarnation: Incarnation(1),
    };
    let key = TicketKey([1; 16]);
    let mint = TicketMint::new(identity.data_centre, identity.incarnation, key);
    let mut dispatcher = Dispatcher::new(&cx, identity, mint);
    let mut out = Vec::new();
    let sheet = parse_sheet(1, include_str!("../../../samples/kiallitas-pont.csv"))?;
    dispatcher.handle(&cx, Command::ApplySheet(Arc::new(sheet)), &mut out);
    dispatcher.handle(&cx, Command::UpdateTargets(infos.clone()), &mut out);
    let started = Instant::now();
    dispatcher.handle(&cx, Command::UpdateTargets(infos), &mut out);
    Ok(started.elapsed())
}

fn idle(entries: usize) -> anyhow::Result<()> {
    let cluster = Cluster::start(ClusterPlan::new(entries, 1));
    let pid = cluster.entries[0].pid();
    let before = ProcessUsage::read(pid)?;
    thread::sleep(PART_TIME);
    let after = ProcessUsage::read(pid)?;
    println!(
        "at rest, {entries} entry processes: cpu {:.2} ms/s, peers thread {:.2} ms/s, decision \
         thread {:.2} ms/s, resident {:.1} MB",
        millis_per_s(after.cpu_since(&before)),
        millis_per_s(after.thread_cpu_since(&before, "peers")),
        millis_per_s(after.thread_cpu_since(&before, "decision")),
        to_f64(after.resident_bytes) / 1e6,
    );
    Ok(())
}

fn under_load(rate: f64, tasks: usize) -> anyhow::Result<()> {
    let cluster = Cluster::start(ClusterPlan::new(1, TARGETS));
    let balancer = Balancer::new(cluster.addresses(), 1);
    let pid = cluster.entries[0].pid();
    let plan = LoadPlan {
        seed: 1,
        rate,
        tasks,
        time: PART_TIME,
        mean_run: MEAN_RUN,
        callers: 512,
    };
    let before = ProcessUsage::read(pid)?;
    let report = run(&plan, &balancer);
    let after = ProcessUsage::read(pid)?;
    let starts: u32 = cluster.starts_per_task().values().sum();
    println!(
        "jobs {} of {tasks}, starts {starts}, complete {}: cpu {:.0} us a start, decision thread \
         {:.1} us a start, resident {:.1} MB",
        report.jobs,
        report.complete,
        after.cpu_since(&before).as_secs_f64() * 1e6 / f64::from(starts.max(1)),
        after.thread_cpu_since(&before, "decision").as_secs_f64() * 1e6 / f64::from(starts.max(1)),
        to_f64(after.resident_bytes) / 1e6,
    );
    Ok(())
}

fn millis_per_s(cpu: Duration) -> f64 {
    cpu.as_secs_f64() * 1_000.0 / PART_TIME.as_secs_f64()
}

#[expect(clippy::cast_precision_loss, reason = "bytes far below 2^52")]
fn to_f64(bytes: u64) -> f64 {
    bytes as f64
}
