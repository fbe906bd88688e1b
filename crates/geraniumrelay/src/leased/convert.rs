//! Conversion between the messages of entry VMs, stored records and the types of the core.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use geraniumrelay_adapter::Change;
use geraniumrelay_adapter::store::CONFIGURATION_KEY;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::config_transfer::{Part, PartRequest};
use geraniumrelay_core::leased::election::{Fitness, Heartbeat};
use geraniumrelay_core::leased::{
    AttemptId, EntryVm, FencingToken, JobId, JobOutcome, JobRecord, JobSpec, LostRun, RecordState,
    RefusalReason, Resources, StepSpec, Submission, SubmissionId, TaskName, TaskProgress,
};
use geraniumrelay_wire::leased::answer::Outcome;
use geraniumrelay_wire::leased::job_record::State as StoredState;
use geraniumrelay_wire::leased::{
    Answer, Beat, CancelReply, CellBeat, ConfigurationPart, FetchConfiguration,
    JobRecord as StoredRecord, LabelSpeed, Losses, LostRun as WireLostRun, QueueCount, Step,
    Submit, TaskLosses, TaskProgress as StoredProgress, cancel_reply,
};

use super::cancellations::Confirmation;

/// All refusal reasons, to look one up by its text.
const REASONS: [RefusalReason; 7] = [
    RefusalReason::Overload,
    RefusalReason::NoWorkerFits,
    RefusalReason::TooLong,
    RefusalReason::WaitedTooLong,
    RefusalReason::Evacuated,
    RefusalReason::NoScheduler,
    RefusalReason::Unsupported,
];

pub(super) fn vm_from_address(address: u32) -> EntryVm {
    EntryVm(Ipv4Addr::from(address))
}

pub(super) fn vm_to_address(vm: EntryVm) -> u32 {
    u32::from(vm.0)
}

/// One cell's part of a heartbeat; absent tokens and an absent successor are sent as 0.
pub(super) fn cell_heartbeat_to_wire(
    cell: &CellName,
    heartbeat: &Heartbeat,
    load_percent: u32,
    (knows_jobs, pending): (bool, Vec<QueueCount>),
) -> CellBeat {
    CellBeat {
        cell: cell.to_string(),
        token: heartbeat.token.unwrap_or_default().0,
        follows: heartbeat.follows.unwrap_or_default().0,
        successor: heartbeat.successor.map_or(0, vm_to_address),
        load_percent,
        pending,
        knows_jobs,
        usable_workers: heartbeat.usable_workers,
        speeds: Vec::new(),
    }
}

/// Speed factors of labels, in whole thousandths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a conversion from floats saturates"
)]
pub(super) fn label_speeds_to_wire(speeds: &[(Arc<str>, f64)]) -> Vec<LabelSpeed> {
    let speed = |(label, factor): &(Arc<str>, f64)| LabelSpeed {
        label: label.to_string(),
        thousandths: (factor * 1e3).round() as u32,
    };
    speeds.iter().map(speed).collect()
}

/// Speed factors of labels, without those that are no positive number.
pub(super) fn label_speeds_from_wire(speeds: &[LabelSpeed]) -> Vec<(Arc<str>, f64)> {
    let speeds = speeds.iter().filter(|s| s.thousandths > 0);
    speeds
        .map(|s| (s.label.as_str().into(), f64::from(s.thousandths) / 1e3))
        .collect()
}

/// The sender's election state for `cell`; a token or successor of 0 means none.
pub(super) fn heartbeat_from_wire(beat: &Beat, cell: &CellName) -> Heartbeat {
    let cell_beat = beat.cells.iter().find(|c| c.cell == *cell.0);
    let token = |token: u64| (token > 0).then_some(FencingToken(token));
    let is_other_scheduled = |c: &&CellBeat| c.token > 0 && c.cell != *cell.0;
    let other_cells = beat.cells.iter().filter(is_other_scheduled).count();
    Heartbeat {
        token: cell_beat.and_then(|c| token(c.token)),
        has_store: beat.has_store,
        is_ineligible: beat.is_barred,
        successor: cell_beat.and_then(|c| (c.successor > 0).then(|| vm_from_address(c.successor))),
        follows: cell_beat.and_then(|c| token(c.follows)),
        knows_departed: beat.knows_departed,
        usable_workers: cell_beat.map_or(0, |c| c.usable_workers),
        lag: Duration::from_micros(beat.lag_us.into()),
        fitness: Fitness {
            is_local: is_local(cell, &beat.data_centre),
            cpu_tenths: beat.cpu_tenths,
            other_cells: u32::try_from(other_cells).unwrap_or(u32::MAX),
        },
    }
}

/// Whether a VM of `data_centre` is in the data centre of the cell's workers; true for a cell that
/// is not bound to one.
pub(super) fn is_local(cell: &CellName, data_centre: &str) -> bool {
    cell.data_centre().is_none_or(|own| own == data_centre)
}

/// The configuration row received from another entry VM; its version is not sent and is 0.
pub(super) fn configuration_change(row: Vec<u8>) -> Change {
    Change {
        key: CONFIGURATION_KEY.to_owned(),
        value: Some(row),
        version: 0,
    }
}

pub(super) fn part_request_to_wire(request: PartRequest) -> FetchConfiguration {
    FetchConfiguration {
        version: request.version,
        offset: request.offset as u64,
        known: request.known,
    }
}

/// A request to the VM `to`.
pub(super) fn part_request_from_wire(fetch: &FetchConfiguration, to: EntryVm) -> PartRequest {
    PartRequest {
        to,
        version: fetch.version,
        offset: to_usize(fetch.offset),
        known: fetch.known,
    }
}

pub(super) fn part_to_wire(part: Part) -> ConfigurationPart {
    ConfigurationPart {
        version: part.version,
        total: part.total as u64,
        offset: part.offset as u64,
        data: part.data,
    }
}

pub(super) fn part_from_wire(part: ConfigurationPart) -> Part {
    Part {
        version: part.version,
        total: to_usize(part.total),
        offset: to_usize(part.offset),
        data: part.data,
    }
}

/// A size or offset in memory; one that is out of range matches no row.
fn to_usize(value: u64) -> usize {
    usize::try_from(value).unwrap_or(usize::MAX)
}

pub(super) fn submission_to_wire(submission: &Submission, cell: &CellName) -> Submit {
    let spec = &submission.spec;
    Submit {
        id: spec.id.0,
        queue: spec.queue.to_string(),
        service: spec.service.to_string(),
        priority: spec.priority.into(),
        max_attempts: spec.max_attempts,
        stretch: spec.stretch,
        target_latency_us: micros(spec.target_latency),
        payload: spec.payload.to_string(),
        steps: spec.steps.iter().map(step_to).collect(),
        waited_us: micros(submission.waited),
        patience_us: micros(submission.remaining_wait),
        may_have_started: submission.may_have_started,
        cell: cell.to_string(),
        is_kept: spec.is_durable,
        enforces_capacity: spec.enforces_capacity,
        former_tokens: submission.former_tokens.iter().map(|t| t.0).collect(),
        has_alternative: submission.has_alternative,
        losses: losses_to(&submission.losses),
        as_of_ms: 0,
        attempt: submission.name.map_or(0, |n| n.attempt.0),
        copy: submission.name.map_or(0, |n| n.copy),
    }
}

/// Name of a copy; `None` if the peer's version does not tell it.
fn submission_id(attempt: u64, copy: u32) -> Option<SubmissionId> {
    let attempt = AttemptId(attempt);
    (attempt.0 > 0).then_some(SubmissionId { attempt, copy })
}

/// Reads a submission; its `as_of` is left to the host, which knows the clock.
pub(super) fn submission_from_wire(submit: Submit, origin: EntryVm) -> Submission {
    let losses = losses_from(JobId(submit.id), &submit.losses);
    Submission {
        losses,
        name: submission_id(submit.attempt, submit.copy),
        spec: JobSpec {
            id: JobId(submit.id),
            queue: submit.queue.into(),
            service: submit.service.into(),
            priority: u8::try_from(submit.priority).unwrap_or(u8::MAX),
            max_attempts: submit.max_attempts,
            stretch: submit.stretch,
            target_latency: Duration::from_micros(submit.target_latency_us),
            payload: submit.payload.into(),
            enforces_capacity: submit.enforces_capacity,
            is_durable: submit.is_kept,
            steps: submit.steps.into_iter().map(step_from).collect(),
        },
        origin,
        waited: Duration::from_micros(submit.waited_us),
        remaining_wait: Duration::from_micros(submit.patience_us),
        as_of: None,
        may_have_started: submit.may_have_started,
        former_tokens: submit.former_tokens.into_iter().map(FencingToken).collect(),
        has_alternative: submit.has_alternative,
    }
}

/// Stored form of a record. Origin, waiting times and the time of the end are left empty.
pub(super) fn record_to_stored(record: &JobRecord) -> StoredRecord {
    let submission = Submission {
        spec: record.spec.clone(),
        origin: vm_from_address(0),
        name: None,
        waited: Duration::ZERO,
        remaining_wait: Duration::ZERO,
        as_of: None,
        may_have_started: false,
        former_tokens: Vec::new(),
        has_alternative: false,
        losses: Vec::new(),
    };
    let state = match record.state {
        RecordState::Open => StoredState::Open,
        RecordState::Completed => StoredState::Completed,
        RecordState::Failed => StoredState::Failed,
        RecordState::Cancelled => StoredState::Cancelled,
    };
    StoredRecord {
        job: Some(submission_to_wire(&submission, &record.cell)),
        done: record.done.clone(),
        state: state.into(),
        progress: record.progress.iter().map(progress_to).collect(),
        ended_unix_ms: 0,
    }
}

/// Reads a stored record; `None` if it has no job.
pub(super) fn record_from_stored(stored: StoredRecord) -> Option<JobRecord> {
    let state = match stored.state() {
        StoredState::Open => RecordState::Open,
        StoredState::Completed => RecordState::Completed,
        StoredState::Failed => RecordState::Failed,
        StoredState::Cancelled => RecordState::Cancelled,
    };
    let job = stored.job?;
    let cell = CellName(job.cell.as_str().into());
    Some(JobRecord {
        spec: submission_from_wire(job, vm_from_address(0)).spec,
        cell,
        done: stored.done,
        progress: stored.progress.iter().map(progress_from).collect(),
        state,
    })
}

fn progress_to(progress: &TaskProgress) -> StoredProgress {
    StoredProgress {
        position: progress.position,
        failed_runs: progress.failed_runs.clone(),
        first_valid_run: progress.first_valid_run,
        lost_runs: progress
            .lost_runs
            .iter()
            .copied()
            .map(lost_run_to)
            .collect(),
    }
}

fn progress_from(stored: &StoredProgress) -> TaskProgress {
    TaskProgress {
        position: stored.position,
        failed_runs: stored.failed_runs.clone(),
        first_valid_run: stored.first_valid_run,
        lost_runs: stored
            .lost_runs
            .iter()
            .copied()
            .map(lost_run_from)
            .collect(),
    }
}

fn lost_run_to(lost: LostRun) -> WireLostRun {
    WireLostRun {
        run: lost.run,
        was_alone: lost.was_alone,
        is_crash: lost.is_crash,
    }
}

fn lost_run_from(lost: WireLostRun) -> LostRun {
    LostRun {
        run: lost.run,
        was_alone: lost.was_alone,
        is_crash: lost.is_crash,
    }
}

fn losses_to(losses: &[(TaskName, Vec<LostRun>)]) -> Vec<TaskLosses> {
    let tasks = losses.iter().map(|(task, runs)| TaskLosses {
        step: task.step.into(),
        index: task.index.into(),
        runs: runs.iter().copied().map(lost_run_to).collect(),
    });
    tasks.collect()
}

/// Lost runs of a job's tasks; those of tasks that no job has are left out.
pub(super) fn losses_from(id: JobId, tasks: &[TaskLosses]) -> Vec<(TaskName, Vec<LostRun>)> {
    let named = tasks.iter().filter_map(|t| {
        let task = TaskName {
            job: id,
            occurrence: 0,
            step: u16::try_from(t.step).ok()?,
            index: u16::try_from(t.index).ok()?,
        };
        Some((task, t.runs.iter().copied().map(lost_run_from).collect()))
    });
    named.collect()
}

pub(super) fn losses_to_wire(id: JobId, losses: &[(TaskName, Vec<LostRun>)]) -> Losses {
    Losses {
        id: id.0,
        tasks: losses_to(losses),
    }
}

fn step_to(step: &StepSpec) -> Step {
    let text = |t: &Option<Arc<str>>| t.as_deref().unwrap_or_default().to_owned();
    Step {
        count: step.count.into(),
        cpu_milli: step.size.cpu_milli,
        memory_mb: step.size.memory_mb,
        gpus: step.size.gpus,
        estimate_us: micros(step.estimate),
        after: step.after.iter().map(|&s| s.into()).collect(),
        required_label: text(&step.required_label),
        preferred_rack: text(&step.preferred_rack),
        max_per_worker: step.max_per_worker.unwrap_or(0).into(),
    }
}

fn step_from(step: Step) -> StepSpec {
    let text = |t: String| (!t.is_empty()).then(|| t.into());
    let small = |n: u32| u16::try_from(n).unwrap_or(u16::MAX);
    StepSpec {
        count: small(step.count),
        size: Resources {
            cpu_milli: step.cpu_milli,
            memory_mb: step.memory_mb,
            gpus: step.gpus,
        },
        estimate: Duration::from_micros(step.estimate_us),
        after: step.after.into_iter().map(small).collect(),
        required_label: text(step.required_label),
        preferred_rack: text(step.preferred_rack),
        max_per_worker: (step.max_per_worker > 0).then(|| small(step.max_per_worker)),
    }
}

pub(super) fn answer_to_wire(
    (id, submission): (JobId, Option<SubmissionId>),
    outcome: JobOutcome,
    cell: &CellName,
    token: FencingToken,
) -> Answer {
    let (kind, refusal) = match outcome {
        JobOutcome::TimedOut => (Outcome::TimedOut, None),
        JobOutcome::Completed => (Outcome::Completed, None),
        JobOutcome::Failed => (Outcome::Failed, None),
        JobOutcome::Cancelled => (Outcome::Cancelled, None),
        JobOutcome::Accepted => (Outcome::Accepted, None),
        JobOutcome::Refused {
            reason,
            retry_after,
        } => (Outcome::Refused, Some((reason, retry_after))),
    };
    Answer {
        id: id.0,
        outcome: kind.into(),
        reason: refusal.map_or(String::new(), |(reason, _)| reason.to_string()),
        retry_after_ms: refusal.map_or(0, |(_, after)| micros(after) / 1_000),
        token: token.0,
        cell: cell.to_string(),
        attempt: submission.map_or(0, |s| s.attempt.0),
        copy: submission.map_or(0, |s| s.copy),
    }
}

/// The job, the copy of its submission that is answered, and the outcome.
pub(super) fn answer_from_wire(answer: &Answer) -> (JobId, Option<SubmissionId>, JobOutcome) {
    let outcome = match answer.outcome() {
        Outcome::TimedOut => JobOutcome::TimedOut,
        Outcome::Completed => JobOutcome::Completed,
        Outcome::Failed => JobOutcome::Failed,
        Outcome::Cancelled => JobOutcome::Cancelled,
        Outcome::Accepted => JobOutcome::Accepted,
        Outcome::Refused => JobOutcome::Refused {
            reason: reason_from(&answer.reason),
            retry_after: Duration::from_millis(answer.retry_after_ms),
        },
    };
    let submission = submission_id(answer.attempt, answer.copy);
    (JobId(answer.id), submission, outcome)
}

/// Reads a reason; a reason added by a newer version is read as the most general one.
fn reason_from(text: &str) -> RefusalReason {
    let known = REASONS.into_iter().find(|r| r.to_string() == text);
    known.unwrap_or(RefusalReason::NoScheduler)
}

fn micros(d: Duration) -> u64 {
    u64::try_from(d.as_micros()).unwrap_or(u64::MAX)
}

pub(super) fn confirmation_to_wire(found: Confirmation) -> cancel_reply::Found {
    match found {
        Confirmation::NotFound | Confirmation::Missing => cancel_reply::Found::None,
        Confirmation::Ended => cancel_reply::Found::Ended,
        Confirmation::Durable => cancel_reply::Found::Durable,
    }
}

pub(super) fn confirmation_from_wire(reply: &CancelReply) -> Confirmation {
    match reply.found() {
        cancel_reply::Found::None => Confirmation::NotFound,
        cancel_reply::Found::Ended => Confirmation::Ended,
        cancel_reply::Found::Durable => Confirmation::Durable,
    }
}
