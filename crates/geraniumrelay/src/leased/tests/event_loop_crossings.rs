//! Jobs of an event loop in data centre z whose peer schedules a cell in z and one in y.

use std::rc::Rc;
use std::time::Duration;

use flume::Receiver;
use geraniumrelay_adapter::{Change, Table};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    AttemptId, FencingToken, JobId, JobOutcome, RefusalReason, SubmissionId,
};
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Beat, CellBeat, PeerMessage, Submit};
use prost::Message as _;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::event_loop::{
    FORMER, OWN, PEER, entry_vm, from_peer, send_rows, start_event_loop, start_store,
};
use super::{block_on, spec};
use crate::leased::convert;
use crate::leased::input::{Input, InputTx};

const TOKEN: u64 = 1 << 52;

/// Starts an event loop, with heartbeats of the peer that report these loads of the cells y/0 and z/0.
async fn start(y: u32, z: u32) -> InputTx {
    start_with_submissions(y, z).await.0
}

/// The same, with the copies that the peer gets.
async fn start_with_submissions(y: u32, z: u32) -> (InputTx, Receiver<Submit>) {
    let tx = start_event_loop(start_store(Rc::default()).await);
    let listener = TcpListener::bind((PEER.0, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (submit_tx, submissions) = flume::unbounded();
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        while let Ok(size) = stream.read_u32().await {
            let mut buf = vec![0; size as usize];
            stream.read_exact(&mut buf).await.unwrap();
            if let Some(Body::Submit(submit)) = PeerMessage::decode(&buf[..]).unwrap().body {
                let _ = submit_tx.send(submit);
            }
        }
    });
    let peer = Change {
        value: Some(address.to_string().into_bytes()),
        ..entry_vm(PEER)
    };
    let plan = Change {
        key: "cells".to_owned(),
        value: Some(b"y 1\nz 1\n".to_vec()),
        version: 1,
    };
    let rows = vec![entry_vm(OWN), peer, plan];
    send_rows(&tx, Table::EntryVms, rows).await;
    let heartbeats = tx.clone();
    spawn_local(async move {
        loop {
            heartbeats.send(from_peer(FORMER, beat(y, z))).await;
            sleep(Duration::from_millis(50)).await;
        }
    });
    sleep(Duration::from_millis(100)).await;
    (tx, submissions)
}

fn beat(y: u32, z: u32) -> Body {
    let cell = |(name, load_percent): (&str, u32)| CellBeat {
        cell: name.to_owned(),
        token: TOKEN,
        follows: TOKEN,
        load_percent,
        ..CellBeat::default()
    };
    Body::Beat(Beat {
        has_store: true,
        knows_departed: true,
        data_centre: "y".to_owned(),
        cpu_tenths: 10,
        cells: [("y/0", y), ("z/0", z)].map(cell).into(),
        ..Beat::default()
    })
}

async fn submit(tx: &InputTx) -> oneshot::Receiver<JobOutcome> {
    let (reply, answer) = oneshot::channel();
    let job = Input::Job {
        spec: spec(1),
        max_wait: Duration::from_secs(2),
        reply,
    };
    tx.send(job).await;
    sleep(Duration::from_millis(20)).await;
    answer
}

/// Refuses the job in a cell because of overload, as the cell's scheduler does.
async fn refuse(tx: &InputTx, cell: &str) {
    refuse_copy(tx, cell, None).await;
}

/// The same for a copy.
async fn refuse_copy(tx: &InputTx, cell: &str, submission: Option<SubmissionId>) {
    let outcome = JobOutcome::Refused {
        reason: RefusalReason::Overload,
        retry_after: Duration::from_secs(1),
    };
    let (cell, token) = (CellName(cell.into()), FencingToken(TOKEN));
    let answer = convert::answer_to_wire((JobId(1), submission), outcome, &cell, token);
    tx.send(from_peer(FORMER, Body::Answer(answer))).await;
    sleep(Duration::from_millis(20)).await;
}

/// Jobs that have left the data centre for this reason.
fn crossings(tx: &InputTx, decision: &str) -> u64 {
    let text = String::from_utf8(tx.metrics().encode()).unwrap();
    let name = format!("decisions_total{{decision=\"{decision}\"}} ");
    let count = text.lines().find_map(|l| l.strip_prefix(&name));
    count.map_or(0, |c| c.parse().unwrap())
}

/// A job that would have to wait in the only cell of its data centre was refused beside a free one.
#[test]
fn a_job_that_would_have_to_wait_is_left_to_another_data_centre_and_may_return() {
    block_on(async {
        let tx = start(10, 90).await;
        let mut answer = submit(&tx).await;
        refuse(&tx, "z/0").await;
        assert_eq!(crossings(&tx, "job-leaves-instead-of-waiting"), 1);
        refuse(&tx, "y/0").await;
        assert!(answer.try_recv().is_err(), "it waits at home");
        refuse(&tx, "z/0").await;
        let outcome = timeout(Duration::from_secs(1), answer).await;
        assert!(matches!(outcome, Ok(Ok(JobOutcome::Refused { .. }))));
        assert_eq!(crossings(&tx, "job-leaves-instead-of-waiting"), 1);
    });
}

#[test]
fn a_job_is_not_left_to_a_full_cell_of_another_data_centre() {
    block_on(async {
        let tx = start(140, 120).await;
        let answer = submit(&tx).await;
        refuse(&tx, "z/0").await;
        let outcome = timeout(Duration::from_secs(1), answer).await;
        assert!(matches!(outcome, Ok(Ok(JobOutcome::Refused { .. }))));
        assert!(
            !String::from_utf8(tx.metrics().encode())
                .unwrap()
                .contains("job-leaves")
        );
    });
}

/// A cell without a usable worker got the jobs of its data centre, and refused them.
#[test]
fn jobs_leave_a_data_centre_without_a_usable_worker() {
    block_on(async {
        let tx = start(10, u32::MAX).await;
        let _answer = submit(&tx).await;
        assert_eq!(crossings(&tx, "job-leaves-without-near-cell"), 1);
    });
}

/// The refusal of a first copy sent the job to a second cell as one that had not started, while its second copy was under
/// way in the first cell.
#[test]
fn a_refusal_of_the_former_cell_is_not_that_of_the_next_one() {
    block_on(async {
        let (tx, submissions) = start_with_submissions(10, 90).await;
        let mut answer = submit(&tx).await;
        assert!(tx.try_send(Input::LinkUp { to: PEER }));
        sleep(Duration::from_millis(50)).await;
        let copies: Vec<Submit> = submissions.drain().collect();
        let [first, second] = &copies[..] else {
            panic!("{copies:?}");
        };
        let name = |copy: &Submit| {
            Some(SubmissionId {
                attempt: AttemptId(copy.attempt),
                copy: copy.copy,
            })
        };
        refuse_copy(&tx, "z/0", name(first)).await;
        assert!(submissions.is_empty(), "the second copy has no answer");
        refuse_copy(&tx, "z/0", name(second)).await;
        let next = submissions.try_recv().unwrap();
        assert_eq!((next.cell.as_str(), next.copy), ("y/0", 1));
        assert!(!next.may_have_started && next.attempt != first.attempt);
        for late in [first, second] {
            refuse_copy(&tx, "z/0", name(late)).await;
            assert!(answer.try_recv().is_err(), "y/0 has not answered");
        }
        refuse_copy(&tx, "y/0", name(&next)).await;
        let outcome = timeout(Duration::from_secs(1), answer).await;
        assert!(matches!(outcome, Ok(Ok(JobOutcome::Refused { .. }))));
    });
}
