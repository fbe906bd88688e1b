//! What the tests ask the simulation, and its trace.

use geraniumrelay_core::leased::{JobId, JobOutcome, LogEvent, StopCause, TaskName};

use super::{Simulation, TestJob};

impl Simulation {
    /// Number of the jobs matching `filter` that were completed within their objective.
    pub(crate) fn count_in_time(&self, filter: impl Fn(&TestJob) -> bool) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|j| filter(j) && self.is_in_time(j)).count()
    }

    /// Whether a job was completed within its objective.
    pub(crate) fn is_in_time(&self, job: &TestJob) -> bool {
        let answer = self.answers.get(&job.spec.id);
        answer.is_some_and(|&(outcome, at)| {
            outcome == JobOutcome::Completed && at <= job.submitted_at + job.objective()
        })
    }

    /// Number of the jobs matching `filter`.
    pub(crate) fn count_jobs(&self, filter: impl Fn(&TestJob) -> bool) -> usize {
        self.jobs.values().filter(|j| filter(j)).count()
    }

    pub(crate) fn outcome(&self, id: u64) -> Option<JobOutcome> {
        self.answers.get(&JobId(id)).map(|a| a.0)
    }

    /// The lines of the trace that name a job, an instance of a worker, or a disruption.
    pub(crate) fn trace_of(&self, id: JobId) -> String {
        let id = id.to_string();
        let is_relevant =
            |l: &&String| l.contains(&id) || l.contains("instance") || l.contains("disruption");
        let lines = self.trace.iter().filter(is_relevant);
        lines.cloned().collect::<Vec<_>>().join("\n")
    }

    /// Jobs that were refused although at least one of their tasks had started.
    pub(crate) fn false_refusals(&self) -> Vec<JobId> {
        let refused = self
            .answers
            .iter()
            .filter(|(_, (outcome, _))| matches!(outcome, JobOutcome::Refused { .. }));
        let ids = refused.map(|(&id, _)| id);
        ids.filter(|&id| self.start_counts.keys().any(|name| name.job == id))
            .collect()
    }

    /// Jobs whose callers were refused each time, although at least one task had started or started later.
    pub(crate) fn refused_jobs_that_ran(&self) -> Vec<JobId> {
        let answers = self.entry_vms.answers.iter();
        let refused = answers.filter(|(_, a)| matches!(a, JobOutcome::Refused { .. }));
        let refused = refused.map(|(&id, _)| id);
        let refused = refused.filter(|id| !self.entry_vms.unanswered_jobs.contains(id));
        let has_run = |id: &JobId| self.start_counts.keys().any(|name| name.job == *id);
        refused.filter(has_run).collect()
    }

    /// Tasks of durable jobs that were started again after an acknowledged end as done. Ends that
    /// were acknowledged only after the lease of their worker had lapsed don't count.
    pub(crate) fn tasks_restarted_after_ack(&self) -> Vec<TaskName> {
        let former = self.former_instances.iter().map(|f| &f.instance);
        let instances = self.workers.iter().chain(former);
        let ends = instances.flat_map(|w| w.acknowledged_ends.iter());
        let ends = ends.filter(|(task, _)| self.jobs[&task.job].spec.is_durable);
        let restarted = ends.filter(|(task, ended_at)| {
            let starts = self.start_times.iter();
            starts
                .into_iter()
                .any(|(t, started_at)| t == task && started_at > ended_at)
        });
        restarted.map(|(task, _)| *task).collect()
    }

    /// Adds a line to the trace.
    pub(super) fn log(&mut self, text: &str) {
        let ms = (self.now - self.started_at).as_millis();
        self.trace.push(format!("{ms} ms: {text}"));
    }

    pub(super) fn log_event(&mut self, host: usize, event: &LogEvent) {
        match event {
            LogEvent::RunEnded {
                task,
                run,
                worker,
                kind,
                evidence,
                ..
            } => self.log(&format!(
                "host {host} ends {task} run {run} on {worker}: {kind:?}, {evidence:?}"
            )),
            LogEvent::InstanceChanged { worker, source, .. } => self.log(&format!(
                "host {host} learns of another instance of {worker}: {source:?}"
            )),
            LogEvent::JobEnded { id, outcome, .. } => {
                self.log(&format!("host {host} ends job {id}: {outcome:?}"));
            }
            LogEvent::RunUnclaimed { task, run, worker } => {
                self.log(&format!(
                    "host {host} finds unclaimed run {run} of {task} on {worker}"
                ));
            }
            LogEvent::RunStopped { cause, .. } => {
                self.slow_worker_stops += u32::from(*cause == StopCause::SlowWorker);
            }
            LogEvent::StopUnanswered {
                task,
                run,
                worker,
                unanswered_for,
            } => self.log(&format!(
                "host {host} has no answer to the stop of {task} run {run} on {worker} for {unanswered_for:?}"
            )),
            LogEvent::EntryJobsDropped {
                vm,
                jobs,
                cause,
                lost_for,
            } => self.log(&format!(
                "host {host} drops {jobs} jobs of {vm}: {cause:?} for {lost_for:?}"
            )),
            LogEvent::LabelSpeedChanged { .. } | LogEvent::WorkerSpeedsChanged { .. } => {
                self.speed_events.push(event.clone());
            }
            LogEvent::TasksStarted { near, far, .. } => {
                self.preferred_starts.0 += near;
                self.preferred_starts.1 += far;
            }
            LogEvent::NearWaitBegun { id, .. } => self.near_waits.0.push(*id),
            LogEvent::NearWaitEnded { id, .. } => self.near_waits.1.push(*id),
            LogEvent::ShareChanged(change) => {
                self.share_changes.push((self.now, change.clone()));
                self.log(&format!("host {host} sees a change of shares: {change:?}"));
            }
            LogEvent::EvacuationInForce { data_centre, .. } => {
                self.evacuations_in_force
                    .push((data_centre.to_string(), self.now));
            }
            LogEvent::QueueConfined { queue } => {
                self.confined_queues.push(queue.to_string());
                self.log(&format!("host {host} confines {queue}"));
            }
            _ => {}
        }
    }
}
