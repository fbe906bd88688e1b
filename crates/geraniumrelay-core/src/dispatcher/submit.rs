//! Submissions: claim, join, keep or refuse.

use std::time::{Duration, Instant};

use crate::command::{JobSpec, Origin, Waiter};
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::{Effect, PeerCall, Rejection, Reply};
use crate::modules::claims::Decision;
use crate::modules::jobs::Job;
use crate::modules::journal::{Intent, JournalEntry};
use crate::modules::queue::Queue;
use crate::modules::sheet::{KindRule, ServiceState};
use crate::reason::Reason;
use crate::ticket::Ticket;

/// Wait before asking again where waiting may help.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One submission as it arrives.
#[derive(Debug)]
pub(super) struct Submission {
    pub(super) ticket: Ticket,
    pub(super) digest: u128,
    pub(super) job: JobSpec,
    pub(super) waiter: Waiter,
    pub(super) origin: Origin,
}

impl Dispatcher {
    pub(super) fn submit(&mut self, cx: &Context<'_>, req: Submission, out: &mut Vec<Effect>) {
        if !self.claims.holds(req.ticket.incarnation) {
            let call = PeerCall::Submit {
                ticket: req.ticket,
                job: req.job,
            };
            self.forward(cx, call, req.waiter, req.origin, out);
            return;
        }
        match self.claims.decide(req.ticket, req.digest) {
            Decision::Fresh => self.start_fresh(cx, req, out),
            known if known.is_elsewhere() => self.pass_along(cx, &known, req.into(), out),
            known => self.reply_known(req.ticket, known, req.waiter, out),
        }
    }

    /// Replies from what the claim table knows, or joins the job in flight.
    pub(super) fn reply_known(
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
                Rejection::may_have_run(Reason::TooManyWaiters).with_retry_after(RETRY_AFTER)
            }
            Decision::Kept(answer) => {
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
            Decision::Spent(reason) => Rejection::not_run(reason),
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

    fn start_fresh(&mut self, cx: &Context<'_>, req: Submission, out: &mut Vec<Effect>) {
        let rule = match self.admit(cx, &req.job) {
            Ok(rule) => rule,
            Err(rejection) => {
                self.claims.spend(req.ticket, rejection.reason);
                reject(req.waiter, rejection, out);
                return;
            }
        };
        let service = req.job.service;
        let deadline = deadline_of(cx, &req.job, rule);
        let intent = (!rule.is_idempotent).then(|| intent_of(cx, &req));
        if let Some(intent) = intent {
            let answer = None;
            out.push(Effect::Journal(JournalEntry { intent, answer }));
        }
        let job = Job {
            ticket: req.ticket,
            service,
            urgency: rule.urgency,
            intent,
            deadline,
            tasks: Vec::new(),
            open: 0,
            waiters: vec![req.waiter],
        };
        let payloads = req.job.tasks.into_iter().map(|task| task.payload).collect();
        let key = self.jobs.insert(job, payloads);
        self.claims.claim(req.ticket, req.digest, key);
        self.deadlines.insert((deadline, key));
        let Some(job) = self.jobs.job(key) else {
            return;
        };
        let queue = self.queues.entry(service).or_default();
        for task in &job.tasks {
            queue.push(rule.urgency, *task);
        }
        self.start_service(cx, service, out);
    }

    /// Refuses what is not to be started; every refusal is final.
    fn admit(&self, cx: &Context<'_>, job: &JobSpec) -> Result<KindRule, Rejection> {
        let refuse = |reason| Err(Rejection::not_run(reason));
        let cfg = &cx.cfg.admission;
        if self.is_draining {
            return Err(Rejection::not_run(Reason::VmLeaving).with_retry_after(RETRY_AFTER));
        }
        if self.rules.revision == 0 {
            return Err(Rejection::not_run(Reason::NoSheet).with_retry_after(RETRY_AFTER));
        }
        let Some(service) = self.rules.services.get(&job.service) else {
            return refuse(Reason::UnknownService);
        };
        let Some(rule) = service.kinds.get(&job.kind) else {
            return refuse(Reason::UnknownKind);
        };
        if service.states.get(&self.identity.data_centre) != Some(&ServiceState::Active) {
            return refuse(Reason::ServiceLeaving);
        }
        if job.tasks.is_empty() {
            return refuse(Reason::NoTasks);
        }
        if job.tasks.len() > cfg.max_tasks_per_job {
            return refuse(Reason::TooManyTasks);
        }
        if !self.targets.has_capacity(job.service) {
            return Err(Rejection::not_run(Reason::NoCapacity).with_retry_after(RETRY_AFTER));
        }
        let queued = self.queues.get(&job.service).map_or(0, Queue::len);
        if queued + job.tasks.len() > cfg.max_queued_tasks {
            return Err(Rejection::not_run(Reason::QueueFull).with_retry_after(RETRY_AFTER));
        }
        Ok(*rule)
    }
}

fn intent_of(cx: &Context<'_>, req: &Submission) -> Intent {
    Intent {
        ticket: req.ticket,
        digest: req.digest,
        service: req.job.service,
        kind: req.job.kind,
        team: req.job.team,
        tasks: u32::try_from(req.job.tasks.len()).unwrap_or(u32::MAX),
        taken_in: cx.now,
    }
}

fn deadline_of(cx: &Context<'_>, job: &JobSpec, rule: KindRule) -> Instant {
    let own = job.deadline_ms.map(Duration::from_millis);
    cx.now + own.map_or(rule.deadline, |own| own.min(rule.deadline))
}

/// Pushes the refusal of one waiter.
pub(super) fn reject(waiter: Waiter, rejection: Rejection, out: &mut Vec<Effect>) {
    out.push(Effect::Reply {
        waiter,
        reply: Reply::Rejected(rejection),
    });
}
