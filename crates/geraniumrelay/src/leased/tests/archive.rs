//! Ended kept jobs.

use std::time::{Duration, SystemTime};

use geraniumrelay_adapter::{Change, RowChange};
use geraniumrelay_wire::leased::JobRecord as StoredRecord;
use prost::Message as _;

use crate::leased::archive;

fn ended_before(age: Duration, now: SystemTime) -> Change {
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
fn jobs_that_ended_long_ago_are_removed_as_they_were_read() {
    let now = SystemTime::now();
    let old = archive::removal(&ended_before(Duration::from_secs(151), now), now).unwrap();
    assert_eq!(old.change, RowChange::Remove);
    assert_eq!((old.key.as_str(), old.expected), ("00000000000000aa", 7));
}

/// States are asked for two minutes after the end; clocks of two VMs may differ by seconds.
#[test]
fn jobs_that_ended_lately_stay() {
    let now = SystemTime::now();
    for seconds in [0, 60, 120, 145] {
        let row = ended_before(Duration::from_secs(seconds), now);
        assert_eq!(archive::removal(&row, now), None, "{seconds} s");
    }
    let future = now - Duration::from_secs(20);
    assert_eq!(
        archive::removal(&ended_before(Duration::ZERO, now), future),
        None
    );
}
