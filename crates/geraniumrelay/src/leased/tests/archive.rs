//! Removal of the records of ended durable jobs.

use std::time::{Duration, SystemTime};

use geraniumrelay_adapter::{Change, RowChange};
use geraniumrelay_wire::leased::JobRecord as StoredRecord;
use prost::Message as _;

use crate::leased::archive;

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
