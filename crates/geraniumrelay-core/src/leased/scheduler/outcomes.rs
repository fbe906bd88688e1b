//! Outcomes of ended jobs, which are answered to further copies of their submissions.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::collections::Map;
use crate::leased::effect::JobOutcome;
use crate::leased::job::Origin;
use crate::leased::names::{AttemptId, EntryVm, JobId, SubmissionId};

/// A job that has ended.
#[derive(Debug)]
pub(super) struct EndedJob {
    pub(super) at: Instant,
    pub(super) outcome: JobOutcome,
    /// Entry VMs that were answered, and the copies that the answers named.
    answered: Vec<(EntryVm, Option<SubmissionId>)>,
}

impl EndedJob {
    /// What an entry VM that has got no answer is told: the outcome, and the copy that it belongs to. An entry VM that was
    /// not answered before has another attempt, to which only the end and the acceptance of the job apply.
    pub(super) fn answer_to(&self, origin: EntryVm) -> (Option<SubmissionId>, JobOutcome) {
        let answered = self.answered.iter().find(|(vm, _)| *vm == origin);
        match (answered, self.outcome) {
            (Some(&(_, submission)), outcome) => (submission, outcome),
            (None, JobOutcome::Refused { .. } | JobOutcome::Cancelled) => {
                (None, JobOutcome::TimedOut)
            }
            (None, outcome) => (None, outcome),
        }
    }
}

/// Jobs that have ended within `outcome_ttl`, and refused attempts.
///
/// A refusal says of one attempt that it has not run, so all its copies are refused, also if the job has come from
/// another entry VM meanwhile. The same caller's next request is another attempt, and is judged anew.
#[derive(Debug, Default)]
pub(super) struct Outcomes {
    /// Ordered map, as callers choose the ids.
    jobs: BTreeMap<JobId, EndedJob>,
    /// Keys of `jobs`, oldest first.
    job_ages: VecDeque<(Instant, JobId)>,
    refusals: Map<(EntryVm, AttemptId), JobOutcome>,
    /// Keys of `refusals`, oldest first.
    refusal_ages: VecDeque<(Instant, (EntryVm, AttemptId))>,
}

impl Outcomes {
    /// Records that a job has ended, and which entry VMs are answered.
    pub(super) fn add(&mut self, id: JobId, outcome: JobOutcome, origins: &[Origin], now: Instant) {
        let answered = origins.iter().map(|o| (o.vm, o.submission)).collect();
        let ended = EndedJob {
            at: now,
            outcome,
            answered,
        };
        self.jobs.insert(id, ended);
        self.job_ages.push_back((now, id));
    }

    /// Records that the outcome of a job was repeated to a further copy.
    pub(super) fn repeated(
        &mut self,
        id: JobId,
        outcome: JobOutcome,
        origin: EntryVm,
        submission: Option<SubmissionId>,
    ) {
        let ended = self.jobs.get_mut(&id).filter(|e| e.outcome == outcome);
        if let Some(ended) = ended {
            ended.answered.retain(|(vm, _)| *vm != origin);
            ended.answered.push((origin, submission));
        }
    }

    /// Records that the attempts of a job are refused.
    pub(super) fn add_refusal(&mut self, refusal: JobOutcome, origins: &[Origin], now: Instant) {
        for origin in origins {
            let Some(submission) = origin.submission else {
                continue;
            };
            let key = (origin.vm, submission.attempt);
            self.refusals.insert(key, refusal);
            self.refusal_ages.push_back((now, key));
        }
    }

    /// A job that has ended here.
    pub(super) fn job(&self, id: JobId) -> Option<&EndedJob> {
        self.jobs.get(&id)
    }

    /// The refusal of a copy's attempt.
    pub(super) fn refusal_of(
        &self,
        origin: EntryVm,
        submission: Option<SubmissionId>,
    ) -> Option<JobOutcome> {
        self.refusals.get(&(origin, submission?.attempt)).copied()
    }

    /// Forgets what is older than `ttl`.
    pub(super) fn expire(&mut self, now: Instant, ttl: Duration) {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= ttl;
        while let Some(&(at, id)) = self.job_ages.front().filter(|(at, _)| is_old(*at)) {
            self.job_ages.pop_front();
            if self.jobs.get(&id).is_some_and(|ended| ended.at == at) {
                self.jobs.remove(&id);
            }
        }
        while let Some(&(_, key)) = self.refusal_ages.front().filter(|(at, _)| is_old(*at)) {
            self.refusal_ages.pop_front();
            self.refusals.remove(&key);
        }
    }
}
