//! The dispatcher: takes commands, decides, and pushes effects.

mod admit;
mod answer;
mod cancel;
mod handover;
mod lending;
mod listing;
mod peers;
mod report;
mod run;
mod sheets;
mod submit;

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Instant;

use crate::collections::Map;
use crate::command::Command;
use crate::context::Context;
use crate::effect::{Effect, Reply};
use crate::modules::books::ClaimTables;
use crate::modules::claims::Decision;
use crate::modules::jobs::{JobKey, Jobs};
use crate::modules::learnt::RunTimes;
use crate::modules::loans::{Loans, Spare};
use crate::modules::membership::Membership;
use crate::modules::policy::{Policy, Standard};
use crate::modules::queue::Queue;
use crate::modules::retry::RetryBudget;
use crate::modules::running::RunningTasks;
use crate::modules::service_load::ServiceLoad;
use crate::modules::sheet::SheetRules;
use crate::modules::sheet_fetch::SheetFetch;
use crate::modules::target_fetch::TargetFetch;
use crate::modules::targets::Targets;
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
pub struct Dispatcher<P: Policy = Standard> {
    identity: Identity,
    mint: TicketMint,
    claims: ClaimTables,
    jobs: Jobs,
    running: RunningTasks,
    run_times: RunTimes,
    queues: Map<ServiceName, Queue<P::Order>>,
    loads: Map<ServiceName, ServiceLoad>,
    targets: Targets<P::Slots>,
    loans: Loans,
    /// What peers are told of the slots that could be lent.
    spare: Vec<Spare>,
    /// Members among which the targets were shared out.
    home_members: Vec<VmName>,
    /// Peer addresses of the other members.
    home_peers: Vec<SocketAddr>,
    retries: RetryBudget,
    rules: SheetRules,
    sheet_fetch: SheetFetch,
    target_fetch: TargetFetch,
    membership: Membership,
    deadlines: BTreeSet<(Instant, JobKey)>,
    /// Requests that wait until the heir has acknowledged.
    parked: VecDeque<handover::Parked>,
    /// Start of the process.
    epoch: Instant,
    is_draining: bool,
    is_drained: bool,
}

impl Dispatcher {
    /// Makes the dispatcher of a process that has just started.
    pub fn new(cx: &Context<'_>, identity: Identity, mint: TicketMint) -> Self {
        Self::with_policy(cx, identity, mint)
    }
}

impl<P: Policy> Dispatcher<P> {
    /// Makes the dispatcher of a process that has just started, with other policies.
    pub fn with_policy(cx: &Context<'_>, identity: Identity, mint: TicketMint) -> Self {
        Self {
            identity,
            claims: ClaimTables::new(identity.incarnation, mint.key()),
            mint,
            jobs: Jobs::default(),
            running: RunningTasks::default(),
            run_times: RunTimes::default(),
            queues: Map::default(),
            loads: Map::default(),
            targets: Targets::default(),
            loans: Loans::default(),
            spare: Vec::new(),
            home_members: Vec::new(),
            home_peers: Vec::new(),
            retries: RetryBudget::new(&cx.cfg.retry),
            rules: SheetRules::default(),
            sheet_fetch: SheetFetch::default(),
            target_fetch: TargetFetch::default(),
            membership: Membership::new(identity.data_centre, identity.incarnation),
            deadlines: BTreeSet::new(),
            parked: VecDeque::new(),
            epoch: cx.now,
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
            Command::DropWaiters(gone) => self.jobs.drop_waiters(&gone),
            Command::EndTask { task, outcome } => self.end_task(cx, task, outcome, out),
            Command::ApplySheet(sheet) => self.put_sheet(cx, &sheet, out),
            Command::ApplyPeerSheet { sheet, from } => self.put_peer_sheet(cx, &sheet, from, out),
            Command::UpdateTargets(infos) => self.list_targets(cx, &infos, out),
            Command::UpdateTargetsFromPeer(infos) => self.list_peer_targets(cx, &infos, out),
            Command::UpdatePeers(listed) => {
                self.membership.list(cx, listed);
                self.settle_homes(cx);
                self.start_all(cx, out);
            }
            Command::LendSlots { req, waiter } => self.lend(cx, req, waiter, out),
            Command::ReceiveGrant {
                service,
                lender,
                grant,
            } => self.take_loan(cx, service, lender, grant, out),
            Command::AcceptReturn { loan, slots } => self.take_back(cx, loan, &slots, out),
            Command::RecordHeartbeat(news) => self.hear_peer(cx, news, out),
            Command::RecordPeerDigest {
                data_centre,
                digest,
            } => self.membership.hear_digest(cx, data_centre, digest),
            Command::ReceiveHandOver { message, waiter } => {
                self.take_hand_over(cx, &message, waiter, out);
            }
            Command::ReceiveHandOverReply {
                owner,
                number,
                reply,
            } => self.hear_heir(cx, owner, number, reply, out),
            Command::Drain => self.drain(cx, out),
            Command::Tick => self.tick(cx, out),
        }
        self.report_drained(cx, out);
    }

    /// Answers a question without changing anything.
    pub fn query(&self, query: Query) -> Option<Reply> {
        let Query::Job(ticket) = query;
        match self.claims.look_up(ticket) {
            Decision::Join(job) => self.jobs.progress(job).map(Reply::Progress),
            Decision::Answered(answer) => Some(Reply::Answer { ticket, answer }),
            _ => None,
        }
    }

    /// Time of the next [`Command::Tick`] that has something to do.
    pub fn next_wake(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let resume = self.targets.next_resume();
        let check = self.running.next_check();
        [deadline, resume, check].into_iter().flatten().min()
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
    pub fn live_peers(&self, cx: &Context<'_>) -> usize {
        self.membership.heard(cx)
    }

    /// Whether every known peer has been heard, or has had the time to be.
    pub fn is_settled(&self, cx: &Context<'_>) -> bool {
        self.membership.is_settled(cx)
    }

    /// Number of targets known.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    fn tick(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        self.claims.advance(cx, self.mint.next_seq());
        self.targets.resume(cx.now);
        self.check_running(cx, out);
        self.expire(cx, out);
        self.settle_homes(cx);
        self.tend_loans(cx, out);
        self.start_all(cx, out);
        self.fetch_sheet(cx, out);
        self.fetch_targets(cx, out);
        self.spare = self.spare_now(cx);
        self.hand_over(cx, out);
        self.beat(cx, out);
        self.note_peers(cx, out);
    }

    /// Shares the targets out anew where the members or the targets have changed.
    fn settle_homes(&mut self, cx: &Context<'_>) {
        let peers = self.membership.working(cx, self.identity.data_centre);
        let mut members: Vec<VmName> = peers.iter().map(|(vm, _)| *vm).collect();
        members.push(self.identity.vm);
        members.sort_unstable();
        members.dedup();
        let has_changed = self.targets.take_changed();
        if !has_changed && members == self.home_members {
            return;
        }
        self.targets.assign_homes(self.identity.vm, &members);
        self.home_members = members;
        self.home_peers = peers.into_iter().map(|(_, address)| address).collect();
    }

    fn report_drained(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let is_idle = self.jobs.is_empty() && self.running.is_empty();
        let is_due = self.is_draining && !self.is_drained;
        if is_due && is_idle && self.is_handed_over(cx) {
            self.is_drained = true;
            out.push(Effect::Drained);
        }
    }
}
