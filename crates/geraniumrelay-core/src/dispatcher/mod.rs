//! The dispatcher: takes commands, decides, and pushes effects.

mod answer;
mod cancel;
mod peers;
mod run;
mod submit;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::collections::Map;
use crate::command::Command;
use crate::context::Context;
use crate::effect::{Effect, Reply};
use crate::modules::claims::{ClaimBook, Decision};
use crate::modules::jobs::{JobKey, Jobs};
use crate::modules::membership::Membership;
use crate::modules::queue::Queue;
use crate::modules::retry::RetryBudget;
use crate::modules::sheet::{Sheet, SheetRules};
use crate::modules::targets::{TargetKey, Targets, TaskKey};
use crate::names::{DataCentre, ServiceName, VmName};
use crate::query::Query;
use crate::ticket::{Incarnation, TicketMint};

/// Who this entry process is.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// Its VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it takes requests of other entry VMs.
    pub peer_address: SocketAddr,
    /// This run of it.
    pub incarnation: Incarnation,
}

/// Everything that one entry process decides.
#[derive(Debug)]
pub struct Dispatcher {
    identity: Identity,
    mint: TicketMint,
    claims: ClaimBook,
    jobs: Jobs,
    /// Slots in use, by task; outlives a job that was answered early.
    running: Map<TaskKey, TargetKey>,
    queues: Map<ServiceName, Queue>,
    targets: Targets,
    retries: RetryBudget,
    rules: SheetRules,
    sheet: Option<Arc<Sheet>>,
    membership: Membership,
    deadlines: BTreeSet<(Instant, JobKey)>,
    is_draining: bool,
    is_drained: bool,
}

impl Dispatcher {
    /// Makes the dispatcher of a process that has just started.
    pub fn new(cx: &Context<'_>, identity: Identity, mint: TicketMint) -> Self {
        Self {
            identity,
            claims: ClaimBook::new(identity.incarnation, mint.key()),
            mint,
            jobs: Jobs::default(),
            running: Map::default(),
            queues: Map::default(),
            targets: Targets::default(),
            retries: RetryBudget::new(&cx.cfg.retry),
            rules: SheetRules::default(),
            sheet: None,
            membership: Membership::default(),
            deadlines: BTreeSet::new(),
            is_draining: false,
            is_drained: false,
        }
    }

    /// Carries out one command; what the host has to do is pushed to `out`.
    pub fn handle(&mut self, cx: &Context<'_>, cmd: Command, out: &mut Vec<Effect>) {
        match cmd {
            Command::Submit {
                ticket,
                digest,
                job,
                waiter,
                origin,
            } => {
                let request = submit::Submission {
                    ticket,
                    digest,
                    job,
                    waiter,
                    origin,
                };
                self.submit(cx, request, out);
            }
            Command::Watch {
                ticket,
                wait_ms,
                waiter,
                origin,
            } => {
                self.watch(
                    cx,
                    peers::Watch {
                        ticket,
                        wait_ms,
                        waiter,
                        origin,
                    },
                    out,
                );
            }
            Command::Cancel {
                ticket,
                waiter,
                origin,
            } => {
                self.cancel(cx, ticket, waiter, origin, out);
            }
            Command::Leave(gone) => self.jobs.leave(&gone),
            Command::EndTask { task, outcome } => self.end_task(cx, task, outcome, out),
            Command::PutSheet(sheet) => self.put_sheet(cx, sheet, out),
            Command::ListTargets(infos) => {
                self.targets.list(&infos);
                self.start_all(cx, out);
            }
            Command::ListPeers(listed) => self.membership.list(cx, listed),
            Command::HearPeer(news) => self.hear_peer(cx, news, out),
            Command::Drain => {
                self.mint.close();
                self.is_draining = true;
            }
            Command::Tick => self.tick(cx, out),
        }
        self.report_drained(out);
    }

    /// Answers a question without changing anything.
    pub fn query(&self, query: Query) -> Option<Reply> {
        let Query::Job(ticket) = query;
        match self.claims.look_up(ticket) {
            Decision::Join(job) => self.jobs.progress(job).map(Reply::Progress),
            Decision::Kept(answer) => Some(Reply::Answer { ticket, answer }),
            _ => None,
        }
    }

    /// Time of the next [`Command::Tick`] that has something to do.
    pub fn next_wake(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let resume = self.targets.next_resume();
        [deadline, resume].into_iter().flatten().min()
    }

    /// Revision of the sheet in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.rules.revision
    }

    /// Number of jobs in flight here.
    pub fn jobs_in_flight(&self) -> usize {
        self.jobs.len()
    }

    /// Number of entry VMs heard within the silence.
    pub fn peers_heard(&self, cx: &Context<'_>) -> usize {
        self.membership.heard(cx)
    }

    /// Number of targets known.
    pub fn targets_known(&self) -> usize {
        self.targets.len()
    }

    fn tick(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        self.claims.advance(cx, self.mint.next_seq());
        self.targets.resume(cx.now);
        self.expire(cx, out);
        self.start_all(cx, out);
        self.beat(cx, out);
    }

    fn put_sheet(&mut self, cx: &Context<'_>, sheet: Arc<Sheet>, out: &mut Vec<Effect>) {
        if sheet.revision <= self.rules.revision {
            return;
        }
        self.rules = SheetRules::new(&sheet);
        self.sheet = Some(sheet);
        for (name, rule) in &self.rules.services {
            let slots = rule
                .slots
                .get(&self.identity.data_centre)
                .copied()
                .unwrap_or(0);
            self.targets.set_slots(*name, slots);
        }
        out.push(Effect::SheetInForce {
            revision: self.rules.revision,
        });
        self.push_sheet_to_all(out);
        self.start_all(cx, out);
    }

    fn report_drained(&mut self, out: &mut Vec<Effect>) {
        if self.is_draining && !self.is_drained && self.jobs.is_empty() && self.running.is_empty() {
            self.is_drained = true;
            out.push(Effect::Drained);
        }
    }
}
