//! Specification of one ticket: submissions, cancellation, starts, crashes and hand-over.
//!
//! Callers may send any request to any process at any time and any number of times, so late and
//! duplicated requests are not modelled as messages. Messages between processes are never removed
//! from their set: each may be delivered late, repeatedly or never.

use std::collections::BTreeSet;

use crate::explore::Spec;

/// Number of tasks of the job.
const TASK_COUNT: usize = 2;

/// Number of processes: the owner and two possible successors.
const PROCESS_COUNT: usize = 3;

/// Index of the process that minted the ticket.
const OWNER: usize = 0;

/// Most restarts of each process in the exploration.
const MAX_RESTARTS: u8 = 1;

/// Request body of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Body {
    /// Body that the caller of the ticket sends.
    Own,
    /// Another body that is sent under the same ticket by mistake.
    Other,
}

/// State of one task at the process that runs its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Task {
    /// Queued, not started.
    Queued,
    /// Accepted by a target.
    Running,
    /// Completed with a result.
    Done,
}

/// State of the ticket in the claim table of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Claim {
    /// The table has no claim on the ticket.
    Unknown,
    /// The job is queued or runs in this process.
    Active {
        body: Body,
        tasks: [Task; TASK_COUNT],
    },
    /// The job runs at the owner that handed the table over.
    AtOwner,
    /// The job has ended and may have run.
    Ended { body: Body, is_complete: bool },
    /// The submission was refused or cancelled before anything started; permanent.
    NotRun,
}

/// Decision of a claim table on a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The ticket is unknown: claim it and start the job.
    Fresh,
    /// The job is in flight: wait for its answer.
    Join,
    /// The job has ended: reply with the stored answer.
    Answered {
        claimed_body: Body,
        is_complete: bool,
    },
    /// The job did not run and never will.
    NotRun,
    /// The job may have run, or its state is at another process.
    MayHaveRun,
}

impl Claim {
    /// Decides on a submission with `body`; with `is_body_ignored`, any body counts as the same.
    pub fn decide(
        self,
        is_below_low_watermark: bool,
        body: Body,
        is_body_ignored: bool,
    ) -> Decision {
        let is_same_body = |claimed_body| is_body_ignored || claimed_body == body;
        match self {
            Self::Unknown if is_below_low_watermark => Decision::MayHaveRun,
            Self::Unknown => Decision::Fresh,
            Self::Active {
                body: claimed_body, ..
            } if is_same_body(claimed_body) => Decision::Join,
            Self::Ended { body, is_complete } if is_same_body(body) => Decision::Answered {
                claimed_body: body,
                is_complete,
            },
            Self::Active { .. } | Self::Ended { .. } | Self::AtOwner => Decision::MayHaveRun,
            Self::NotRun => Decision::NotRun,
        }
    }
}

/// Role of a process in the decisions on the ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Role {
    /// Forwards requests.
    Forwarder,
    /// Only this process decides on submissions and may claim the ticket.
    Authority,
    /// Has handed the authority over to `successor`; finishes the job that runs here.
    Former { successor: usize, incarnation: u8 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Process {
    is_up: bool,
    incarnation: u8,
    role: Role,
    claim: Claim,
    is_below_low_watermark: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// Authority over the ticket, with the state of its claim.
    HandOver {
        to: usize,
        incarnation: u8,
        claim: Claim,
        is_below_low_watermark: bool,
    },
    /// End of a job that was in flight at the hand-over.
    JobEnd { to: usize, claim: Claim },
}

/// State of the processes, the messages between them, and what targets and callers observed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    processes: [Process; PROCESS_COUNT],
    messages: BTreeSet<Message>,
    starts: [u8; TASK_COUNT],
    was_reported_not_run: bool,
    has_answer_for_other_body: bool,
    has_partial_answer: bool,
}

/// Properties that hold in every reachable state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// No task starts twice.
    SingleStart,
    /// A submission that was reported as not run never runs.
    NotRunIsTrue,
    /// A caller receives an answer only for the body that it sent.
    MatchingAnswer,
    /// A complete answer has the result of every task.
    CompleteAnswer,
    /// At most one process holds the authority.
    SingleAuthority,
}

/// A deliberate fault of the specification that violates an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// After a lost acknowledgement a second successor is named.
    TwoSuccessors,
    /// A successor is identified by its address, so a restarted one accepts a late hand-over.
    SuccessorByAddress,
    /// A successor applies a duplicated hand-over again.
    RepeatedHandOver,
    /// The owner still claims tickets after it handed over.
    RetainedAuthority,
    /// A refusal is not recorded, so the ticket stays fresh.
    UnrecordedRefusal,
    /// The cancellation of an unknown ticket is not recorded, so the ticket stays fresh.
    UnrecordedCancellation,
    /// Old claims are evicted without raising the low watermark.
    MissingLowWatermark,
    /// A task that may have run is started again.
    RetryAfterMayHaveRun,
    /// A process without authority reports a submission as not run.
    NotRunByForwarder,
    /// The bodies of submissions under one ticket are not compared.
    IgnoredBody,
    /// A job is answered as complete when its first task completes.
    PartialAnswer,
}

/// The specification, or a variant of it with a mutation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tickets {
    /// Mutation to apply; `None` for the specification itself.
    pub mutation: Option<Mutation>,
}

impl Tickets {
    fn has_mutation(self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn submit(self, state: &State, p: usize, body: Body) -> State {
        let mut next = state.clone();
        let process = &mut next.processes[p];
        if process.role == Role::Forwarder {
            next.was_reported_not_run |= self.has_mutation(Mutation::NotRunByForwarder);
            return next;
        }
        let is_body_ignored = self.has_mutation(Mutation::IgnoredBody);
        match process
            .claim
            .decide(process.is_below_low_watermark, body, is_body_ignored)
        {
            Decision::Fresh if self.may_claim(process.role) => {
                let tasks = [Task::Queued; TASK_COUNT];
                process.claim = Claim::Active { body, tasks };
            }
            Decision::Answered { claimed_body, .. } => {
                next.has_answer_for_other_body |= claimed_body != body;
            }
            Decision::NotRun => next.was_reported_not_run = true,
            Decision::Fresh | Decision::Join | Decision::MayHaveRun => {}
        }
        next
    }

    fn may_claim(self, role: Role) -> bool {
        role == Role::Authority || self.has_mutation(Mutation::RetainedAuthority)
    }

    /// Refuses a fresh submission; the refusal is permanent.
    fn refuse(self, state: &State, p: usize) -> State {
        Self::mark_fresh_not_run(state, p, self.has_mutation(Mutation::UnrecordedRefusal))
    }

    fn cancel(self, state: &State, p: usize) -> State {
        let Claim::Active { .. } = state.processes[p].claim else {
            return Self::mark_fresh_not_run(
                state,
                p,
                self.has_mutation(Mutation::UnrecordedCancellation),
            );
        };
        Self::end_early(state, p)
    }

    fn mark_fresh_not_run(state: &State, p: usize, is_unrecorded: bool) -> State {
        let mut next = state.clone();
        let process = &mut next.processes[p];
        let is_fresh = process.claim == Claim::Unknown && !process.is_below_low_watermark;
        if !is_fresh || process.role != Role::Authority {
            return next;
        }
        if !is_unrecorded {
            process.claim = Claim::NotRun;
        }
        next.was_reported_not_run = true;
        next
    }

    /// Ends a job early: deadline, cancellation, a failed task or exhausted retries.
    fn end_early(state: &State, p: usize) -> State {
        let mut next = state.clone();
        let Claim::Active { body, tasks } = next.processes[p].claim else {
            return next;
        };
        let has_started = tasks.iter().any(|task| *task != Task::Queued);
        next.was_reported_not_run |= !has_started;
        let is_complete = false;
        let claim = if has_started {
            Claim::Ended { body, is_complete }
        } else {
            Claim::NotRun
        };
        Self::record_end(&mut next, p, claim);
        next
    }

    /// Records the end of a job and sends it to the successor, if there is one.
    fn record_end(next: &mut State, p: usize, claim: Claim) {
        next.processes[p].claim = claim;
        if let Role::Former { successor: to, .. } = next.processes[p].role {
            next.messages.insert(Message::JobEnd { to, claim });
        }
    }

    fn step_job(self, state: &State, p: usize, out: &mut Vec<State>) {
        let Claim::Active { body, tasks } = state.processes[p].claim else {
            return;
        };
        for (index, task) in tasks.into_iter().enumerate() {
            match task {
                Task::Queued => self.start(state, p, index, out),
                Task::Running => out.push(self.complete(state, p, body, index)),
                Task::Done => {}
            }
        }
        out.push(Self::end_early(state, p));
    }

    /// Starts a task: the target accepts the start, or the connection breaks before or after the
    /// start. A refusal by the target changes nothing: the task stays queued.
    fn start(self, state: &State, p: usize, index: usize, out: &mut Vec<State>) {
        let mut accepted = state.clone();
        accepted.starts[index] += 1;
        if let Claim::Active { tasks, .. } = &mut accepted.processes[p].claim {
            tasks[index] = Task::Running;
        }
        if self.has_mutation(Mutation::RetryAfterMayHaveRun) {
            let mut unknown = state.clone();
            unknown.starts[index] += 1;
            out.push(unknown);
        }
        let mut start_lost = Self::end_early(&accepted, p);
        start_lost.starts[index] -= 1;
        out.push(start_lost);
        out.push(accepted);
    }

    fn complete(self, state: &State, p: usize, body: Body, index: usize) -> State {
        let mut next = state.clone();
        let Claim::Active { tasks, .. } = &mut next.processes[p].claim else {
            return next;
        };
        tasks[index] = Task::Done;
        let are_all_done = tasks.iter().all(|task| *task == Task::Done);
        if are_all_done || self.has_mutation(Mutation::PartialAnswer) {
            next.has_partial_answer |= !are_all_done;
            let is_complete = true;
            Self::record_end(&mut next, p, Claim::Ended { body, is_complete });
        }
        next
    }

    /// Evicts an old claim; the low watermark then covers its ticket.
    fn evict_claim(self, state: &State, p: usize) -> State {
        let mut next = state.clone();
        let process = &mut next.processes[p];
        let is_in_flight = matches!(process.claim, Claim::Active { .. } | Claim::AtOwner);
        if process.role == Role::Authority && !is_in_flight {
            process.claim = Claim::Unknown;
            process.is_below_low_watermark = !self.has_mutation(Mutation::MissingLowWatermark);
        }
        next
    }

    fn hand_over(self, state: &State, successor: usize) -> Option<State> {
        let owner = state.processes[OWNER];
        let may_name = match owner.role {
            Role::Authority => true,
            Role::Former {
                successor: named, ..
            } => self.has_mutation(Mutation::TwoSuccessors) && named != successor,
            Role::Forwarder => false,
        };
        if !may_name || !state.processes[successor].is_up {
            return None;
        }
        let mut next = state.clone();
        let incarnation = state.processes[successor].incarnation;
        let claim = match owner.claim {
            Claim::Active { .. } => Claim::AtOwner,
            other => other,
        };
        next.processes[OWNER].role = Role::Former {
            successor,
            incarnation,
        };
        next.messages.insert(Message::HandOver {
            to: successor,
            incarnation,
            claim,
            is_below_low_watermark: owner.is_below_low_watermark,
        });
        Some(next)
    }

    fn deliver(self, state: &State, message: Message) -> State {
        let mut next = state.clone();
        match message {
            Message::HandOver {
                to,
                incarnation,
                claim,
                is_below_low_watermark,
            } => {
                let successor = &mut next.processes[to];
                let is_named = successor.incarnation == incarnation
                    || self.has_mutation(Mutation::SuccessorByAddress);
                let is_first = successor.role == Role::Forwarder
                    || self.has_mutation(Mutation::RepeatedHandOver);
                if successor.is_up && is_named && is_first {
                    successor.role = Role::Authority;
                    successor.claim = claim;
                    successor.is_below_low_watermark = is_below_low_watermark;
                }
            }
            Message::JobEnd { to, claim } => {
                let successor = &mut next.processes[to];
                if successor.is_up && successor.claim == Claim::AtOwner {
                    successor.claim = claim;
                }
            }
        }
        next
    }

    fn crash(state: &State, p: usize) -> State {
        let mut next = state.clone();
        let process = &mut next.processes[p];
        process.is_up = false;
        process.role = Role::Forwarder;
        process.claim = Claim::Unknown;
        process.is_below_low_watermark = false;
        next
    }

    fn restart(state: &State, p: usize) -> State {
        let mut next = state.clone();
        next.processes[p].is_up = true;
        next.processes[p].incarnation += 1;
        next
    }
}

impl Spec for Tickets {
    type State = State;
    type Invariant = Invariant;

    fn initial(&self) -> State {
        let mut processes = [Process {
            is_up: true,
            incarnation: 0,
            role: Role::Forwarder,
            claim: Claim::Unknown,
            is_below_low_watermark: false,
        }; PROCESS_COUNT];
        processes[OWNER].role = Role::Authority;
        State {
            processes,
            messages: BTreeSet::new(),
            starts: [0; TASK_COUNT],
            was_reported_not_run: false,
            has_answer_for_other_body: false,
            has_partial_answer: false,
        }
    }

    fn next_states(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        for (p, process) in state.processes.iter().enumerate() {
            if !process.is_up {
                if process.incarnation < MAX_RESTARTS {
                    out.push(Self::restart(state, p));
                }
                continue;
            }
            out.push(self.submit(state, p, Body::Own));
            out.push(self.submit(state, p, Body::Other));
            out.push(self.refuse(state, p));
            out.push(self.cancel(state, p));
            self.step_job(state, p, &mut out);
            out.push(self.evict_claim(state, p));
            out.push(Self::crash(state, p));
        }
        if state.processes[OWNER].is_up {
            out.extend((1..PROCESS_COUNT).filter_map(|successor| self.hand_over(state, successor)));
        }
        for message in &state.messages {
            out.push(self.deliver(state, *message));
        }
        out
    }

    fn violated_invariants(&self, state: &State) -> Vec<Invariant> {
        let is_authority = |process: &&Process| process.role == Role::Authority;
        let authorities = state.processes.iter().filter(is_authority).count();
        let has_started = state.starts.iter().any(|n| *n > 0);
        let is_violated = |invariant: &Invariant| match invariant {
            Invariant::SingleStart => state.starts.iter().any(|n| *n > 1),
            Invariant::NotRunIsTrue => state.was_reported_not_run && has_started,
            Invariant::MatchingAnswer => state.has_answer_for_other_body,
            Invariant::CompleteAnswer => state.has_partial_answer,
            Invariant::SingleAuthority => authorities > 1,
        };
        let all = [
            Invariant::SingleStart,
            Invariant::NotRunIsTrue,
            Invariant::MatchingAnswer,
            Invariant::CompleteAnswer,
            Invariant::SingleAuthority,
        ];
        all.into_iter().filter(is_violated).collect()
    }
}

#[test]
fn specification_keeps_its_invariants() {
    crate::explore::explore("tickets", &Tickets::default());
}

#[test]
fn every_mutation_violates_its_invariant() {
    let expected = [
        (Mutation::TwoSuccessors, Invariant::SingleAuthority),
        (Mutation::TwoSuccessors, Invariant::SingleStart),
        (Mutation::SuccessorByAddress, Invariant::SingleStart),
        (Mutation::RepeatedHandOver, Invariant::SingleStart),
        (Mutation::RetainedAuthority, Invariant::SingleStart),
        (Mutation::UnrecordedRefusal, Invariant::NotRunIsTrue),
        (Mutation::UnrecordedCancellation, Invariant::NotRunIsTrue),
        (Mutation::MissingLowWatermark, Invariant::SingleStart),
        (Mutation::RetryAfterMayHaveRun, Invariant::SingleStart),
        (Mutation::NotRunByForwarder, Invariant::NotRunIsTrue),
        (Mutation::IgnoredBody, Invariant::MatchingAnswer),
        (Mutation::PartialAnswer, Invariant::CompleteAnswer),
    ];
    for (mutation, invariant) in expected {
        let spec = Tickets {
            mutation: Some(mutation),
        };
        assert!(
            crate::explore::can_violate(&spec, invariant),
            "{mutation:?}"
        );
    }
}
