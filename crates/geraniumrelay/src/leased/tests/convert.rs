//! Round trips through the messages of entry VMs and through stored records.

use std::time::Duration;

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    AttemptId, EntryVm, FencingToken, JobId, JobOutcome, JobRecord, LostRun, RecordState,
    RefusalReason, Submission, SubmissionId, TaskName, TaskProgress,
};

use super::{MS, spec};
use crate::leased::convert;

fn first_task(id: u64) -> TaskName {
    TaskName {
        job: JobId(id),
        occurrence: 0,
        step: 0,
        index: 1,
    }
}

fn lost_runs() -> Vec<LostRun> {
    let lost = |run, was_alone, is_crash| LostRun {
        run,
        was_alone,
        is_crash,
    };
    vec![lost(1, true, false), lost(10_001, false, true)]
}

#[test]
fn a_submission_survives_a_round_trip() {
    let origin = EntryVm([10, 0, 0, 1].into());
    let submission = Submission {
        spec: spec(7),
        origin,
        name: Some(SubmissionId {
            attempt: AttemptId(u64::MAX),
            copy: 2,
        }),
        waited: 3 * MS,
        remaining_wait: Duration::from_secs(2),
        as_of: None,
        may_have_started: true,
        former_tokens: vec![FencingToken(3), FencingToken(8)],
        has_alternative: true,
        losses: vec![(first_task(7), lost_runs())],
    };
    let message = convert::submission_to_wire(&submission, &CellName("z/1".into()));
    assert_eq!(message.cell, "z/1");
    let decoded = convert::submission_from_wire(message, origin);
    assert_eq!(decoded.spec, submission.spec);
    assert_eq!(
        (decoded.waited, decoded.remaining_wait),
        (3 * MS, Duration::from_secs(2))
    );
    assert!(decoded.may_have_started && decoded.has_alternative);
    assert_eq!(decoded.former_tokens, submission.former_tokens);
    assert_eq!(decoded.losses, submission.losses);
    assert_eq!(decoded.name, submission.name);
}

#[test]
fn lost_runs_survive_a_round_trip() {
    let losses = vec![(first_task(7), lost_runs())];
    let message = convert::losses_to_wire(JobId(7), &losses);
    assert_eq!(
        convert::losses_from(JobId(message.id), &message.tasks),
        losses
    );
}

#[test]
fn a_stored_record_survives_a_round_trip() {
    for state in [
        RecordState::Open,
        RecordState::Completed,
        RecordState::Failed,
        RecordState::Cancelled,
    ] {
        let record = JobRecord {
            spec: spec(7),
            cell: CellName("z/1".into()),
            done: vec![0, 1],
            progress: vec![TaskProgress {
                position: 1,
                failed_runs: vec![1, 3],
                first_valid_run: 10_001,
                lost_runs: lost_runs(),
            }],
            state,
        };
        let stored = convert::record_to_stored(&record);
        assert_eq!(convert::record_from_stored(stored), Some(record));
    }
}

#[test]
fn every_outcome_survives_a_round_trip() {
    let reasons = [
        RefusalReason::Overload,
        RefusalReason::NoWorkerFits,
        RefusalReason::TooLong,
        RefusalReason::WaitedTooLong,
        RefusalReason::NoScheduler,
        RefusalReason::Unsupported,
    ];
    let refused = reasons.map(|reason| JobOutcome::Refused {
        reason,
        retry_after: Duration::from_secs(3),
    });
    let others = [
        JobOutcome::Completed,
        JobOutcome::Failed,
        JobOutcome::TimedOut,
        JobOutcome::Cancelled,
        JobOutcome::Accepted,
    ];
    let name = SubmissionId {
        attempt: AttemptId(9),
        copy: 3,
    };
    let cell = CellName::single();
    for outcome in refused.into_iter().chain(others) {
        for name in [None, Some(name)] {
            let submission = (JobId(7), name);
            let answer = convert::answer_to_wire(submission, outcome, &cell, FencingToken(5));
            assert_eq!(answer.token, 5);
            let decoded = convert::answer_from_wire(&answer);
            assert_eq!(decoded, (JobId(7), name, outcome));
        }
    }
}
