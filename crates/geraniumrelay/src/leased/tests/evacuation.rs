//! Evacuations at an entry VM: where jobs go, what is refused, and how the set is learnt.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_adapter::{Change, Table};
use geraniumrelay_core::leased::cell_choice::{Candidate, Request, choose};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{JobId, JobOutcome, JobSpec, RefusalReason};
use geraniumrelay_wire::leased::answer::Outcome;
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Answer, Beat, CellBeat, Evacuation, PeerMessage};
use prost::Message as _;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use tokio::sync::oneshot::{self, Receiver};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::directory::worker;
use super::event_loop::{
    FORMER, OWN, PEER, READS_TIMEOUT, entry_vm, from_peer, send_rows, start_event_loop,
    start_event_loop_of, start_store, takeovers,
};
use super::{MS, block_on, spec};
use crate::leased::input::{Input, InputTx};
use crate::leased::pause;
use crate::leased::readiness::Readiness;

/// Fencing token of the peer, which schedules the cells of these tests; above that of any other VM.
const TOKEN: u64 = 1 << 52;

/// Time within which a refusal counts as immediate; jobs without a scheduler are refused after 0.7 s.
const AT_ONCE: Duration = Duration::from_millis(500);

async fn start() -> InputTx {
    start_event_loop(start_store(Rc::default()).await)
}

fn plan(text: &str) -> Change {
    Change {
        key: "cells".to_owned(),
        value: Some(text.into()),
        version: 1,
    }
}

async fn send_evacuation_rows(tx: &InputTx, revision: u64, zones: &[(&str, bool)]) {
    let row = |&(zone, is_requested): &(&str, bool)| Change {
        key: format!("evacuate/{zone}"),
        value: is_requested.then(Vec::new),
        version: revision,
    };
    tx.send(Input::Rows {
        as_of: Instant::now(),
        table: Table::Configuration,
        is_snapshot: false,
        rows: zones.iter().map(row).collect(),
        revision,
    })
    .await;
}

/// A job that fits the worker of the tests.
fn small_job(id: u64) -> JobSpec {
    let mut spec = JobSpec {
        service: "s".into(),
        is_durable: false,
        ..spec(id)
    };
    spec.steps[0].required_label = None;
    spec.steps[0].size.memory_mb = 0;
    spec
}

pub(super) async fn submit(tx: &InputTx, id: u64) -> Receiver<JobOutcome> {
    let (reply, answer) = oneshot::channel();
    let job = Input::Job {
        spec: small_job(id),
        max_wait: Duration::from_millis(1_500),
        reply,
    };
    tx.send(job).await;
    answer
}

/// The outcome of a job that must be answered at once.
async fn answered_at_once(answer: Receiver<JobOutcome>) -> JobOutcome {
    timeout(AT_ONCE, answer).await.expect("no answer").unwrap()
}

fn evacuated_data_centres(tx: &InputTx) -> u64 {
    let text = String::from_utf8(tx.metrics().encode()).unwrap();
    let mut lines = text.lines();
    let count = lines.find_map(|l| l.strip_prefix("evacuated_data_centres "));
    count.unwrap().parse().unwrap()
}

/// A peer that schedules all cells of a plan, and reports these loads.
pub(super) struct Peer {
    pub(super) heartbeat: Rc<RefCell<Beat>>,
    /// Cells of the jobs that it has received.
    pub(super) submissions: flume::Receiver<(u64, String)>,
}

impl Peer {
    fn start(
        tx: &InputTx,
        cells: &[(&str, u32)],
        submissions: flume::Receiver<(u64, String)>,
    ) -> Self {
        let cell = |&(cell, load_percent): &(&str, u32)| CellBeat {
            cell: cell.to_owned(),
            token: TOKEN,
            follows: TOKEN,
            load_percent,
            ..CellBeat::default()
        };
        let heartbeat = Rc::new(RefCell::new(Beat {
            has_store: true,
            knows_departed: true,
            data_centre: "z".to_owned(),
            cpu_tenths: 10,
            cells: cells.iter().map(cell).collect(),
            ..Beat::default()
        }));
        let (sent, tx) = (Rc::clone(&heartbeat), tx.clone());
        spawn_local(async move {
            loop {
                let body = Body::Beat(sent.borrow().clone());
                tx.send(from_peer(FORMER, body)).await;
                sleep(25 * MS).await;
            }
        });
        Self {
            heartbeat,
            submissions,
        }
    }

    /// Waits for a job, which must be the next one, and returns the cell that it was sent to.
    pub(super) async fn cell_of_next(&self, id: u64) -> String {
        let next = timeout(READS_TIMEOUT, self.submissions.recv_async()).await;
        let (next, cell) = next.expect("the job is not sent").unwrap();
        assert_eq!(next, id);
        cell
    }

    /// Lets the heartbeats tell of these evacuations, as of a revision.
    fn tell(&self, revision: u64, zones: &[&str]) {
        let evacuation = |zone: &&str| Evacuation {
            data_centre: (*zone).to_owned(),
            age_ms: 2_000,
        };
        let mut heartbeat = self.heartbeat.borrow_mut();
        heartbeat.evacuation_revision = revision;
        heartbeat.evacuated = zones.iter().map(evacuation).collect();
    }
}

/// Accepts the links to the peer, and returns its address, the jobs that are sent to it, and the heartbeats that follow
/// its scheduler in all cells.
async fn accept_links() -> (
    SocketAddr,
    flume::Receiver<(u64, String)>,
    flume::Receiver<()>,
) {
    let listener = TcpListener::bind((PEER.0, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (submit_tx, submit_rx) = flume::unbounded();
    let (follow_tx, follow_rx) = flume::unbounded();
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (submit_tx, follow_tx) = (submit_tx.clone(), follow_tx.clone());
            spawn_local(async move {
                while let Ok(size) = stream.read_u32().await {
                    let mut buf = vec![0; size as usize];
                    stream.read_exact(&mut buf).await.unwrap();
                    match PeerMessage::decode(&buf[..]).unwrap().body {
                        Some(Body::Submit(job)) => {
                            let _ = submit_tx.send((job.id, job.cell));
                        }
                        Some(Body::Beat(beat)) if beat.cells.iter().all(|c| c.follows == TOKEN) => {
                            let _ = follow_tx.send(());
                        }
                        _ => {}
                    }
                }
            });
        }
    });
    (address, submit_rx, follow_rx)
}

/// Answer of the scheduler of a cell that refuses a job.
async fn refuse(tx: &InputTx, id: u64, cell: &str, reason: RefusalReason) {
    let answer = Answer {
        id,
        outcome: Outcome::Refused.into(),
        reason: reason.to_string(),
        retry_after_ms: 1_000,
        token: TOKEN,
        cell: cell.to_owned(),
        ..Answer::default()
    };
    tx.send(from_peer(FORMER, Body::Answer(answer))).await;
}

/// Starts an event loop in the data centre `z` that follows the peer in all cells of a plan.
async fn start_follower(plan_text: &str, cells: &[(&str, u32)]) -> (InputTx, Peer) {
    follow(start().await, plan_text, cells).await
}

/// Lets an event loop follow the peer in all cells of a plan.
pub(super) async fn follow(tx: InputTx, plan_text: &str, cells: &[(&str, u32)]) -> (InputTx, Peer) {
    let (address, submissions, follows) = accept_links().await;
    let peer_entry = Change {
        value: Some(address.to_string().into_bytes()),
        ..entry_vm(PEER)
    };
    let rows = vec![entry_vm(OWN), peer_entry, plan(plan_text)];
    send_rows(&tx, Table::EntryVms, rows).await;
    send_rows(&tx, Table::Configuration, Vec::new()).await;
    let peer = Peer::start(&tx, cells, submissions);
    let followed = timeout(READS_TIMEOUT, follows.recv_async()).await;
    followed.expect("the peer is not followed").unwrap();
    (tx, peer)
}

/// Waits until this number of data centres is known to be evacuated.
async fn wait_for_evacuated(tx: &InputTx, data_centres: u64) {
    let is_known = async {
        while evacuated_data_centres(tx) != data_centres {
            sleep(5 * MS).await;
        }
    };
    timeout(READS_TIMEOUT, is_known).await.unwrap();
}

/// Callers that all return after the same delay would come as a burst.
#[test]
fn with_all_cells_evacuated_jobs_are_refused_at_once_with_spread_retry_delays() {
    block_on(async {
        let (tx, _peer) = start_follower("y 1\nz 1\n", &[("y/0", 0), ("z/0", 0)]).await;
        send_evacuation_rows(&tx, 2, &[("y", true), ("z", true)]).await;
        let mut delays = BTreeSet::new();
        for id in 1..=40 {
            let outcome = answered_at_once(submit(&tx, id).await).await;
            let JobOutcome::Refused {
                reason: RefusalReason::Evacuated,
                retry_after,
            } = outcome
            else {
                panic!("{outcome:?}");
            };
            assert!((5..=10).contains(&retry_after.as_secs()), "{retry_after:?}");
            delays.insert(retry_after);
        }
        assert!(delays.len() >= 4, "{delays:?}");
        send_evacuation_rows(&tx, 3, &[("y", false)]).await;
        let waiting = timeout(AT_ONCE, submit(&tx, 41).await).await;
        assert!(waiting.is_err(), "a cell is open again: {waiting:?}");
    });
}

/// In a deployment with one cell, only its scheduler can tell whether a job fits elsewhere.
#[test]
fn the_scheduler_of_a_single_cell_refuses_jobs_for_evacuated_workers() {
    block_on(async {
        let tx = start().await;
        send_rows(&tx, Table::EntryVms, vec![entry_vm(OWN)]).await;
        send_rows(&tx, Table::Workers, vec![worker("w", "ready")]).await;
        send_rows(&tx, Table::Configuration, Vec::new()).await;
        let has_begun = async {
            while takeovers(&tx) == 0 {
                sleep(10 * MS).await;
            }
        };
        timeout(READS_TIMEOUT, has_begun).await.unwrap();
        send_evacuation_rows(&tx, 2, &[("z", true)]).await;
        let outcome = answered_at_once(submit(&tx, 7).await).await;
        assert_matches!(
            outcome,
            JobOutcome::Refused { reason: RefusalReason::Evacuated, retry_after }
                if (5..=10).contains(&retry_after.as_secs())
        );
        assert_eq!(evacuated_data_centres(&tx), 1);
        send_evacuation_rows(&tx, 3, &[("z", false)]).await;
        let again = timeout(AT_ONCE, submit(&tx, 7).await).await;
        assert!(
            !matches!(
                again,
                Ok(Ok(JobOutcome::Refused {
                    reason: RefusalReason::Evacuated,
                    ..
                }))
            ),
            "withdrawn: {again:?}"
        );
        assert_eq!(evacuated_data_centres(&tx), 0);
    });
}

/// Such a VM would start tasks in a data centre that its peers leave alone.
#[test]
fn a_vm_that_knows_no_set_does_not_become_a_scheduler() {
    block_on(async {
        let tx = start().await;
        send_rows(&tx, Table::EntryVms, vec![entry_vm(OWN), entry_vm(PEER)]).await;
        send_rows(&tx, Table::Workers, vec![worker("w", "ready")]).await;
        sleep(2_500 * MS).await;
        assert_eq!(takeovers(&tx), 0);
        let heartbeat = Beat {
            is_barred: true,
            evacuation_revision: 9,
            evacuated: vec![Evacuation {
                data_centre: "z".to_owned(),
                age_ms: 5_000,
            }],
            ..Beat::default()
        };
        tx.send(from_peer(FORMER, Body::Beat(heartbeat))).await;
        let has_begun = async {
            while takeovers(&tx) == 0 {
                sleep(10 * MS).await;
            }
        };
        timeout(READS_TIMEOUT, has_begun).await.unwrap();
        let outcome = answered_at_once(submit(&tx, 1).await).await;
        assert_matches!(
            outcome,
            JobOutcome::Refused {
                reason: RefusalReason::Evacuated,
                ..
            },
            "the new scheduler has the set of the peer"
        );
    });
}

/// The VM reads nothing from the store meanwhile, and older news must not undo newer ones.
#[test]
fn a_vm_without_the_store_learns_begin_and_end_from_heartbeats() {
    block_on(async {
        let (tx, peer) = start_follower("y 1\nz 1\n", &[("y/0", 0), ("z/0", 0)]).await;
        peer.tell(5, &["y", "z"]);
        wait_for_evacuated(&tx, 2).await;
        assert_matches!(
            answered_at_once(submit(&tx, 1).await).await,
            JobOutcome::Refused {
                reason: RefusalReason::Evacuated,
                ..
            }
        );
        peer.tell(6, &[]);
        wait_for_evacuated(&tx, 0).await;
        peer.tell(5, &["y", "z"]);
        send_evacuation_rows(&tx, 4, &[("y", true)]).await;
        sleep(100 * MS).await;
        assert_eq!(evacuated_data_centres(&tx), 0, "older news");
        let waiting = timeout(AT_ONCE, submit(&tx, 2).await).await;
        assert!(waiting.is_err(), "{waiting:?}");
    });
}

/// A job in the evacuated data centre of its entry VM goes to another one, and is not refused.
#[test]
fn a_job_that_an_evacuated_cell_refuses_is_sent_to_another_data_centre() {
    block_on(async {
        let (tx, peer) = start_follower("y 1\nz 1\n", &[("y/0", 50), ("z/0", 0)]).await;
        // The scheduler of the cell knows of the evacuation before this VM does.
        let answer = submit(&tx, 1).await;
        assert_eq!(peer.cell_of_next(1).await, "z/0");
        refuse(&tx, 1, "z/0", RefusalReason::Evacuated).await;
        assert_eq!(peer.cell_of_next(1).await, "y/0");
        refuse(&tx, 1, "y/0", RefusalReason::TooLong).await;
        assert_matches!(
            answered_at_once(answer).await,
            JobOutcome::Refused {
                reason: RefusalReason::TooLong,
                ..
            },
            "the answer of the other data centre"
        );
        send_evacuation_rows(&tx, 2, &[("z", true)]).await;
        let _answer = submit(&tx, 2).await;
        assert_eq!(peer.cell_of_next(2).await, "y/0", "known here");
    });
}

/// Refusals by evacuated cells do not use up the offers of a job, and each cell gets it once.
#[test]
fn a_job_visits_each_evacuated_cell_once_and_is_then_refused() {
    block_on(async {
        let cells = [("x/0", 0), ("y/0", 0), ("z/0", 0)];
        let (tx, peer) = start_follower("x 1\ny 1\nz 1\n", &cells).await;
        let answer = submit(&tx, 1).await;
        let mut visited = BTreeSet::new();
        for _ in cells {
            let cell = peer.cell_of_next(1).await;
            refuse(&tx, 1, &cell, RefusalReason::Evacuated).await;
            visited.insert(cell);
        }
        assert_eq!(visited.len(), 3, "{visited:?}");
        assert_matches!(
            answered_at_once(answer).await,
            JobOutcome::Refused { reason: RefusalReason::Evacuated, retry_after }
                if (5..=10).contains(&retry_after.as_secs())
        );
        assert!(peer.submissions.is_empty());
    });
}

/// An id of which the job goes to `z/0` first while both cells of `z` are idle.
fn id_for_first_cell() -> u64 {
    let candidate = |name: &str| Candidate {
        name: CellName(name.into()),
        load: 0,
    };
    let idle = [candidate("z/0"), candidate("z/1")];
    let goes_first =
        |&id: &u64| choose(&request(JobId(id), "z"), &idle) == Some(CellName("z/0".into()));
    (1..100).find(goes_first).unwrap()
}

/// A job that one cell had left to its neighbour was refused when both were evacuated, as it was tied to its data
/// centre, while all cells of another one were free.
#[test]
fn a_job_left_to_a_neighbour_cell_leaves_the_data_centre_that_is_evacuated_then() {
    for is_known_here in [false, true] {
        block_on(async {
            let cells = [("y/0", 0), ("z/0", 0), ("z/1", 0)];
            let (tx, peer) = start_follower("y 1\nz 2\n", &cells).await;
            let id = id_for_first_cell();
            let mut answer = submit(&tx, id).await;
            assert_eq!(peer.cell_of_next(id).await, "z/0");
            refuse(&tx, id, "z/0", RefusalReason::Overload).await;
            assert_eq!(peer.cell_of_next(id).await, "z/1");
            if is_known_here {
                send_evacuation_rows(&tx, 2, &[("z", true)]).await;
                wait_for_evacuated(&tx, 1).await;
            }
            refuse(&tx, id, "z/1", RefusalReason::Evacuated).await;
            let mut cell = peer.cell_of_next(id).await;
            if cell == "z/0" {
                refuse(&tx, id, "z/0", RefusalReason::Evacuated).await;
                cell = peer.cell_of_next(id).await;
            }
            assert_eq!(cell, "y/0", "another data centre is open");
            assert!(answer.try_recv().is_err());
        });
    }
}

/// A job that a cell would leave to its neighbour must not be refused as overloaded when their data centre is
/// evacuated meanwhile.
#[test]
fn a_job_left_to_a_neighbour_cell_goes_elsewhere_when_its_data_centre_is_evacuated() {
    block_on(async {
        let cells = [("y/0", 0), ("z/0", 0), ("z/1", 0)];
        let (tx, peer) = start_follower("y 1\nz 2\n", &cells).await;
        let id = id_for_first_cell();
        let mut answer = submit(&tx, id).await;
        assert_eq!(peer.cell_of_next(id).await, "z/0");
        send_evacuation_rows(&tx, 2, &[("z", true)]).await;
        wait_for_evacuated(&tx, 1).await;
        refuse(&tx, id, "z/0", RefusalReason::Overload).await;
        assert_eq!(peer.cell_of_next(id).await, "y/0");
        assert!(answer.try_recv().is_err());
    });
}

/// Request for a job without preferred racks that no cell has had.
fn request(id: JobId, data_centre: &str) -> Request<'_> {
    Request {
        id,
        data_centre,
        data: None,
        declined_by: &[],
        refused_by: &[],
    }
}

/// A data centre was cut off while it was evacuated: its entry VMs refused all callers until the cut healed, although
/// entry VMs of other data centres could have served them.
#[test]
fn a_vm_that_an_evacuation_leaves_without_workers_reports_not_ready() {
    block_on(async {
        let readiness = Rc::new(Readiness::default());
        let store = start_store(Rc::default()).await;
        let tx = start_event_loop_of(store, pause::boot_clock, Rc::clone(&readiness));
        let cells = [("y/0", u32::MAX), ("z/0", 0)];
        let (tx, peer) = follow(tx, "y 1\nz 1\n", &cells).await;
        let limits = r#"{"max_body_bytes":1000,"header_timeout_ms":1000}"#;
        let configuration = Change {
            key: "config".to_owned(),
            value: Some(format!(r#"{{"version":1,"limits":{limits}}}"#).into()),
            version: 2,
        };
        tx.send(Input::Rows {
            as_of: Instant::now(),
            table: Table::Configuration,
            is_snapshot: false,
            rows: vec![configuration],
            revision: 2,
        })
        .await;
        sleep(500 * MS).await;
        assert!(readiness.is_ready(), "its own data centre is open");
        send_evacuation_rows(&tx, 3, &[("z", true)]).await;
        sleep(700 * MS).await;
        assert!(!readiness.is_ready() && readiness.closes_connections());
        peer.heartbeat.borrow_mut().cells[0].load_percent = 10;
        sleep(200 * MS).await;
        assert!(readiness.is_ready() && !readiness.closes_connections());
    });
}
