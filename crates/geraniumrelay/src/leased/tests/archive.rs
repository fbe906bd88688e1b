//! Move and removal of the records of ended durable jobs.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use geraniumrelay_adapter::{Change, HttpClient, RowChange, StoreClient};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{JobRecord, JobSpec, RecordState};
use geraniumrelay_wire::leased::JobRecord as StoredRecord;
use prost::Message as _;
use tokio::task::LocalSet;

use super::spec;
use crate::leased::archive::{self, Archive};

/// Row of a job that ended `age` before `now`, at version 7.
fn ended_row(age: Duration, now: SystemTime) -> Change {
    let at = (now - age).duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let record = StoredRecord {
        ended_unix_ms: u64::try_from(at.as_millis()).unwrap(),
        ..StoredRecord::default()
    };
    Change {
        key: "00000000000000aa".to_owned(),
        value: Some(record.encode_to_vec()),
        version: 7,
    }
}

#[test]
fn an_old_ended_job_is_removed_at_the_version_read() {
    let now = SystemTime::now();
    let removal = archive::removal(&ended_row(Duration::from_secs(151), now), now).unwrap();
    assert_eq!(removal.change, RowChange::Remove);
    assert_eq!(
        (removal.key.as_str(), removal.expected),
        ("00000000000000aa", 7)
    );
}

/// Callers query a job's state for up to two minutes after its end, and the clocks of two VMs may
/// differ by seconds.
#[test]
fn recently_ended_jobs_are_not_removed() {
    let now = SystemTime::now();
    for seconds in [0, 60, 120, 145] {
        let row = ended_row(Duration::from_secs(seconds), now);
        assert_eq!(archive::removal(&row, now), None, "{seconds} s");
    }
    let slow_clock = now - Duration::from_secs(20);
    assert_eq!(
        archive::removal(&ended_row(Duration::ZERO, now), slow_clock),
        None
    );
}

/// Client of a store that can't be reached.
fn unreachable_store() -> StoreClient {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    StoreClient::new(Rc::new(HttpClient::new()), address)
}

// While the store was away, queued jobs kept their payloads in memory, up to 64 MB.
#[test]
fn a_queued_ended_job_does_not_keep_its_payload() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let archive = Archive::start(unreachable_store(), || true);
        let payload: Arc<str> = "x".repeat(4_000).into();
        let record = JobRecord {
            spec: JobSpec {
                payload: Arc::clone(&payload),
                ..spec(1)
            },
            cell: CellName::single(),
            done: vec![0, 1],
            progress: Vec::new(),
            state: RecordState::Completed,
        };
        archive.add(&record, 7);
        drop(record);
        assert_eq!(Arc::strong_count(&payload), 1);
    });
}
