//! Logs the scheduler's decisions.

use std::fmt::Write;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{EntryVm, LogEvent, SubmissionId, TaskName, WorkerName};
use log::info;

/// Logs an event of the scheduler of `cell`.
pub(super) fn write(cell: &CellName, event: &LogEvent) {
    match event {
        LogEvent::JobEnded {
            id,
            submissions,
            outcome,
            admission,
            slack,
            waited,
            took,
            objective,
            reruns,
        } => {
            let (backlog, wait) = admission.unzip();
            let backlog_cpu = |f: fn(&geraniumrelay_core::leased::admission::Backlog) -> u64| {
                backlog.as_ref().map_or(0, f)
            };
            info!(
                cell:% = cell, id:% = id, submissions = submission_list(submissions).as_str(), outcome:? = outcome,
                is_late = took > objective, took_ms = ms(*took), objective_ms = ms(*objective),
                slack_ms = ms(*slack), first_start_ms:? = waited.map(ms),
                expected_wait_ms:? = wait.flatten().map(ms), free_cpu = backlog_cpu(|b| b.free),
                ahead_cpu = backlog_cpu(|b| b.ahead), own_cpu = backlog_cpu(|b| b.own), reruns;
                "job_over"
            );
        }
        LogEvent::WorkerConditionChanged {
            worker,
            belief,
            misses,
            pause,
            runs,
        } => info!(
            cell:% = cell, worker:% = worker, belief:% = belief, misses, pause_ms = ms(*pause),
            runs;
            "worker_believed"
        ),
        LogEvent::RunsLost { .. }
        | LogEvent::SilenceExplained { .. }
        | LogEvent::TaskGivenUp { .. }
        | LogEvent::QueueConfined { .. }
        | LogEvent::QueueReleased { .. } => write_crash_event(cell, event),
        LogEvent::EvacuationInForce { .. }
        | LogEvent::JobsEvacuated { .. }
        | LogEvent::ShareChanged(_)
        | LogEvent::LabelSpeedChanged { .. }
        | LogEvent::WorkerSpeedsChanged { .. }
        | LogEvent::NearWaitBegun { .. }
        | LogEvent::NearWaitEnded { .. } => write_load_event(cell, event),
        LogEvent::EntryJobsDropped { .. } | LogEvent::CopyReceived { .. } => {
            write_entry_event(cell, event);
        }
        LogEvent::TasksStarted {
            id,
            starts,
            near,
            far,
        } => info!(
            cell:% = cell, id:% = id, starts = start_list(starts).as_str(), near, far;
            "tasks_started"
        ),
        LogEvent::RunUnclaimed { task, run, worker } => info!(
            cell:% = cell, id:% = task.job, task:% = task, run, worker:% = worker;
            "run_unclaimed"
        ),
        LogEvent::PollReplyIgnored { worker, age } => info!(
            cell:% = cell, worker:% = worker, age_ms = ms(*age);
            "poll_reply_ignored"
        ),
        LogEvent::InstanceChanged {
            worker,
            source,
            known_unix_ms,
            seen_unix_ms,
            runs,
        } => info!(
            cell:% = cell, worker:% = worker, source:% = source,
            known_born = known_unix_ms.unwrap_or(0), seen_born = seen_unix_ms.unwrap_or(0), runs;
            "worker_instance_changed"
        ),
        LogEvent::EarlierRunsExcluded { .. } | LogEvent::WorkerDropped { .. } => {
            write_earlier_runs_event(cell, event);
        }
        LogEvent::RunEnded { .. }
        | LogEvent::RunStopped { .. }
        | LogEvent::StopUnanswered { .. } => write_run_event(cell, event),
    }
}

/// Logs an event about runs that other schedulers may have started.
fn write_earlier_runs_event(cell: &CellName, event: &LogEvent) {
    match event {
        LogEvent::EarlierRunsExcluded {
            id,
            evidence,
            former,
            waited,
            workers,
            unreported,
            absent,
        } => info!(
            cell:% = cell, id:% = id, evidence:% = evidence, former:% = former,
            waited_ms = ms(*waited), workers, unreported, absent;
            "earlier_runs_excluded"
        ),
        LogEvent::WorkerDropped {
            worker,
            departed_for,
            has_reported,
        } => info!(
            cell:% = cell, worker:% = worker, departed_ms = ms(*departed_for), has_reported;
            "worker_dropped"
        ),
        _ => {}
    }
}

/// Logs the end of a run, or an order to stop it.
fn write_run_event(cell: &CellName, event: &LogEvent) {
    match event {
        LogEvent::RunEnded {
            task,
            run,
            worker,
            kind,
            evidence,
            took,
            expected,
            percent,
        } => info!(
            cell:% = cell, id:% = task.job, task:% = task, run, worker:% = worker, kind:% = kind,
            evidence:% = evidence, took_ms = ms(*took), expected_ms = ms(*expected), percent;
            "run_over"
        ),
        LogEvent::RunStopped {
            task,
            run,
            worker,
            cause,
        } => info!(
            cell:% = cell, id:% = task.job, task:% = task, run, worker:% = worker, cause:% = cause;
            "run_stopped"
        ),
        LogEvent::StopUnanswered {
            task,
            run,
            worker,
            unanswered_for,
        } => info!(
            cell:% = cell, id:% = task.job, task:% = task, run, worker:% = worker,
            for_ms = ms(*unanswered_for);
            "stop_unanswered"
        ),
        _ => {}
    }
}

/// Logs an event about workers that crash, or may have crashed.
fn write_crash_event(cell: &CellName, event: &LogEvent) {
    match event {
        LogEvent::RunsLost {
            worker,
            evidence,
            runs,
            unclaimed,
        } => info!(
            cell:% = cell, worker:% = worker, evidence:% = evidence,
            runs = run_list(runs).as_str(), unclaimed;
            "runs_lost"
        ),
        LogEvent::SilenceExplained {
            worker,
            cause,
            runs,
        } => info!(
            cell:% = cell, worker:% = worker, cause:% = cause, runs = run_list(runs).as_str();
            "silence_explained"
        ),
        LogEvent::TaskGivenUp {
            task,
            lost_runs,
            crashes,
        } => info!(
            cell:% = cell, id:% = task.job, task:% = task, lost_runs, crashes; "task_given_up"
        ),
        LogEvent::QueueConfined { queue } => info!(
            cell:% = cell, queue = &**queue; "queue_confined"
        ),
        LogEvent::QueueReleased { queue } => info!(
            cell:% = cell, queue = &**queue; "queue_released"
        ),
        _ => {}
    }
}

/// Logs an event about placement or load.
fn write_load_event(cell: &CellName, event: &LogEvent) {
    match event {
        LogEvent::EvacuationInForce {
            data_centre,
            known_for,
            runs,
        } => info!(
            cell:% = cell, data_centre = &**data_centre, known_ms = ms(*known_for), runs;
            "evacuation_in_force"
        ),
        LogEvent::JobsEvacuated { jobs, data_centres } => {
            let data_centres = data_centres.join(",");
            info!(cell:% = cell, jobs, data_centres = data_centres.as_str(); "jobs_evacuated");
        }
        LogEvent::LabelSpeedChanged { .. } | LogEvent::WorkerSpeedsChanged { .. } => {
            write_speed_event(cell, event);
        }
        LogEvent::ShareChanged(change) => info!(
            cell:% = cell, service = &*change.service, queue = &*change.queue,
            exceeds = change.exceeds, demand_cpu = whole(change.standing.demand),
            share_cpu = whole(change.standing.share),
            capacity_cpu = whole(change.standing.capacity);
            "queue_share"
        ),
        LogEvent::NearWaitBegun { .. } | LogEvent::NearWaitEnded { .. } => {
            write_near_wait(cell, event);
        }
        _ => {}
    }
}

/// Logs an event about learnt speeds of workers.
fn write_speed_event(cell: &CellName, event: &LogEvent) {
    match event {
        LogEvent::LabelSpeedChanged {
            label,
            factor,
            deviation,
            workers,
            is_certain,
        } => info!(
            cell:% = cell, label = &**label, factor, deviation, workers, is_certain;
            "label_speed_changed"
        ),
        LogEvent::WorkerSpeedsChanged {
            workers,
            others,
            is_certain,
        } => info!(
            cell:% = cell, workers = speed_list(workers).as_str(), others, is_certain;
            "worker_speeds_changed"
        ),
        _ => {}
    }
}

/// Logs the begin or the end of a job's wait for a place near its data.
fn write_near_wait(cell: &CellName, event: &LogEvent) {
    match event {
        LogEvent::NearWaitBegun {
            id,
            rack,
            inputs,
            until,
        } => {
            let after = |at: Instant| ms(at.saturating_duration_since(inputs.now));
            info!(
                cell:% = cell, id:% = id, rack = &**rack, near_after_ms:? = inputs.near_at.map(after),
                ahead = inputs.ahead, near_run_ms = ms(inputs.run_near),
                far_run_ms = ms(inputs.run_far), slack_ms = after(inputs.latest_end),
                is_contended = inputs.is_contended, max_wait_ms = after(*until);
                "near_wait_begun"
            );
        }
        LogEvent::NearWaitEnded {
            id,
            waited,
            near,
            far,
            slack,
        } => info!(
            cell:% = cell, id:% = id, waited_ms = ms(*waited), near, far, slack_ms = ms(*slack);
            "near_wait_ended"
        ),
        _ => {}
    }
}

/// Workers, each as `NAME:FACTOR`, separated by commas.
fn speed_list(workers: &[(WorkerName, f64)]) -> String {
    let workers: Vec<String> = workers
        .iter()
        .map(|(name, factor)| format!("{name}:{factor:.3}"))
        .collect();
    workers.join(",")
}

/// Logs what an entry VM has sent again, or has not.
fn write_entry_event(cell: &CellName, event: &LogEvent) {
    match event {
        LogEvent::EntryJobsDropped {
            vm,
            jobs,
            cause,
            lost_for,
        } => info!(
            cell:% = cell, vm:% = vm, jobs, cause:% = cause, for_ms = ms(*lost_for);
            "entry_jobs_dropped"
        ),
        LogEvent::CopyReceived {
            id,
            origin,
            submission,
            handling,
        } => info!(
            cell:% = cell, id:% = id, from:% = origin, submission:% = submission, handling:% = handling;
            "copy_received"
        ),
        _ => {}
    }
}

/// Starts of one job, each as `STEP.INDEX:RUN@WORKER`, separated by commas.
fn start_list(starts: &[(TaskName, u32, WorkerName)]) -> String {
    let mut list = String::new();
    for (task, run, worker) in starts {
        let separator = if list.is_empty() { "" } else { "," };
        // Writing to a string does not fail.
        let _ = write!(
            list,
            "{separator}{}.{}:{run}@{worker}",
            task.step, task.index
        );
    }
    list
}

/// Last copies of a job's submissions, each as `ATTEMPT/COPY@VM`, separated by commas.
fn submission_list(submissions: &[(EntryVm, SubmissionId)]) -> String {
    let submissions = submissions.iter().map(|(vm, name)| format!("{name}@{vm}"));
    submissions.collect::<Vec<_>>().join(",")
}

/// Runs, each as `TASK:RUN`, separated by commas.
fn run_list(runs: &[(TaskName, u32)]) -> String {
    let runs: Vec<String> = runs
        .iter()
        .map(|(task, run)| format!("{task}:{run}"))
        .collect();
    runs.join(",")
}

/// Thousandths of a core, without the fraction.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a figure for the log"
)]
fn whole(cpu_milli: f64) -> u64 {
    cpu_milli.round() as u64
}

fn ms(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
