//! Submissions: starts a new job, joins the job in flight, or replies from the claim table.

use std::time::Duration;

use crate::command::{JobSpec, Origin, Waiter};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::dispatcher::admit::MIN_RETRY_AFTER;
use crate::effect::{Effect, PeerCall, Rejection, Reply};
use crate::modules::claim_table::Decision;
use crate::modules::jobs::{Job, JobKey};
use crate::modules::journal::{Intent, JournalEntry};
use crate::modules::order::JobFacts;
use crate::modules::policy::Policy;
use crate::modules::queue::WaitingJob;
use crate::modules::service_load::ServiceLoad;
use crate::modules::sheet::Urgency;
use crate::names::ServiceName;
use crate::reason::Reason;
use crate::ticket::Ticket;

/// Arguments of [`Command::Submit`](crate::Command::Submit).
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) ticket: Ticket,
    pub(super) body_digest: u128,
    pub(super) job: JobSpec,
    pub(super) waiter: Waiter,
    pub(super) origin: Origin,
}

impl<P: Policy> Dispatcher<P> {
    pub(super) fn submit(&mut self, cx: &Context<'_>, req: Submission, out: &mut Vec<Effect>) {
        if !self.claim_tables.holds(req.ticket.incarnation) {
            let call = PeerCall::Submit {
                ticket: req.ticket,
                job: req.job,
            };
            self.forward(cx, call, req.waiter, req.origin, out);
            return;
        }
        match self.claim_tables.decide(req.ticket, req.body_digest) {
            Decision::Fresh => self.start_job(cx, req, out),
            known if known.is_elsewhere() => self.forward_to_authority(cx, &known, req.into(), out),
            known => self.reply_from_claim(req.ticket, known, req.waiter, out),
        }
    }

    /// Replies from the claim table, or adds the waiter to the job in flight.
    pub(super) fn reply_from_claim(
        &mut self,
        ticket: Ticket,
        known: Decision,
        waiter: Waiter,
        out: &mut Vec<Effect>,
    ) {
        let rejection = match known {
            Decision::Join(key) => {
                let has_joined = self.jobs.job_mut(key).is_none_or(|job| job.join(waiter));
                if has_joined {
                    return;
                }
                Rejection::may_have_run(Reason::TooManyWaiters).with_retry_after(MIN_RETRY_AFTER)
            }
            Decision::Answered(answer) => {
                out.push(Effect::Reply {
                    waiter,
                    reply: Reply::Answer { ticket, answer },
                });
                return;
            }
            Decision::Dropped(verdict) => Rejection {
                verdict,
                reason: Reason::AnswerDropped,
                retry_after: None,
            },
            Decision::NotRun(reason) => Rejection::not_run(reason),
            Decision::OtherBody => Rejection::may_have_run(Reason::OtherBody),
            Decision::Expired | Decision::Fresh => Rejection::may_have_run(Reason::TicketExpired),
            Decision::Elsewhere
            | Decision::HandingOver
            | Decision::HandedOver(_)
            | Decision::AuthorityLost => Rejection::may_have_run(Reason::OwnerGone),
            Decision::Forged => Rejection::may_have_run(Reason::BadTicket),
        };
        reject(waiter, rejection, out);
    }

    fn start_job(&mut self, cx: &Context<'_>, req: Submission, out: &mut Vec<Effect>) {
        let admitted = match self.admit(cx, &req.job, out) {
            Ok(admitted) => admitted,
            Err(rejection) => {
                self.claim_tables.mark_not_run(req.ticket, rejection.reason);
                reject(req.waiter, rejection, out);
                return;
            }
        };
        let service = req.job.service;
        let intent = (!admitted.rule.is_idempotent).then(|| intent_of(cx, &req));
        if let Some(intent) = intent {
            let answer = None;
            out.push(Effect::Journal(JournalEntry { intent, answer }));
        }
        let job = Job {
            ticket: req.ticket,
            service,
            kind: req.job.kind,
            team: req.job.team,
            urgency: admitted.rule.urgency,
            intent,
            arrived: cx.now,
            deadline: admitted.deadline,
            timer: admitted.last_start,
            declared: admitted.declared,
            expected: admitted.expected,
            has_started: false,
            tasks: Vec::new(),
            waiting: Vec::new(),
            open: 0,
            waiters: vec![req.waiter],
        };
        let payloads: Vec<_> = req.job.tasks.into_iter().map(|task| task.payload).collect();
        let tasks = u32::try_from(payloads.len()).unwrap_or(u32::MAX);
        let key = self.jobs.insert(job, payloads);
        self.claim_tables.claim(req.ticket, req.body_digest, key);
        self.deadlines.insert((admitted.last_start, key));
        let load = self.load_mut(cx, service);
        if admitted.rule.urgency == Urgency::Urgent {
            load.headroom.add_arrival(cx.now, admitted.expected * tasks);
        }
        self.requeue(key);
        self.start_service(cx, service, out);
    }

    fn load_mut(&mut self, cx: &Context<'_>, service: ServiceName) -> &mut ServiceLoad {
        self.loads
            .entry(service)
            .or_insert_with(|| ServiceLoad::new(cx.now, cx.cfg))
    }

    /// Updates the position of a job in the queue of its service after a change of its waiting
    /// tasks.
    pub(super) fn requeue(&mut self, key: JobKey) {
        let Some(job) = self.jobs.job(key) else {
            return;
        };
        let arrived = job.arrived.saturating_duration_since(self.started_at);
        let facts = JobFacts {
            arrived_ms: millis(arrived),
            tasks: u32::try_from(job.waiting.len()).unwrap_or(u32::MAX),
            declared_ms: millis(job.declared.unwrap_or(job.expected)),
            estimated_ms: millis(job.expected),
        };
        let waiting = WaitingJob {
            urgency: job.urgency,
            team: job.team,
            facts,
        };
        let queue = self.queues.entry(job.service).or_default();
        queue.upsert(key, waiting);
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn intent_of(cx: &Context<'_>, req: &Submission) -> Intent {
    Intent {
        ticket: req.ticket,
        digest: req.body_digest,
        service: req.job.service,
        kind: req.job.kind,
        team: req.job.team,
        tasks: u32::try_from(req.job.tasks.len()).unwrap_or(u32::MAX),
        taken_in: cx.now,
    }
}

/// Sends a refusal to one waiter.
pub(super) fn reject(waiter: Waiter, rejection: Rejection, out: &mut Vec<Effect>) {
    out.push(Effect::Reply {
        waiter,
        reply: Reply::Rejected(rejection),
    });
}
