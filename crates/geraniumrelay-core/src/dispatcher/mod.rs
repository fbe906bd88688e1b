//! The dispatcher: processes commands and pushes the effects that the host carries out.

mod admit;
mod answer;
mod cancel;
mod handover;
mod listing;
mod loans;
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
use crate::modules::claim_table::Decision;
use crate::modules::claim_tables::ClaimTables;
use crate::modules::jobs::{JobKey, Jobs};
use crate::modules::loans::{Loans, Spare};
use crate::modules::membership::Membership;
use crate::modules::policy::{Policy, Standard};
use crate::modules::queue::Queue;
use crate::modules::retry::RetryBudget;
use crate::modules::run_time_estimates::RunTimeEstimates;
use crate::modules::running::RunningTasks;
use crate::modules::service_load::ServiceLoad;
use crate::modules::sheet::SheetRules;
use crate::modules::sheet_fetch::SheetFetch;
use crate::modules::target_fetch::TargetFetch;
use crate::modules::targets::Targets;
use crate::names::{DataCentre, ServiceName, VmName};
use crate::query::Query;
use crate::ticket::{Incarnation, TicketMint};

/// Identity of this entry process.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    /// VM that the process runs on.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address for requests of other entry VMs.
    pub peer_address: SocketAddr,
    /// Id of this run of the process.
    pub incarnation: Incarnation,
}

/// State and decision logic of one entry process.
#[derive(Debug)]
pub struct Dispatcher<P: Policy = Standard> {
    identity: Identity,
    mint: TicketMint,
    claim_tables: ClaimTables,
    jobs: Jobs,
    running: RunningTasks,
    run_times: RunTimeEstimates,
    queues: Map<ServiceName, Queue<P::Order>>,
    loads: Map<ServiceName, ServiceLoad>,
    targets: Targets<P::Slots>,
    loans: Loans,
    /// Slots that could be lent, as sent to peers with heartbeats; updated at each tick.
    spare: Vec<Spare>,
    /// Entry VMs among which the targets are assigned, sorted; this VM is one of them.
    assignment_members: Vec<VmName>,
    /// Peer addresses of the other entry VMs in `assignment_members`.
    member_addresses: Vec<SocketAddr>,
    retries: RetryBudget,
    rules: SheetRules,
    sheet_fetch: SheetFetch,
    target_fetch: TargetFetch,
    membership: Membership,
    deadlines: BTreeSet<(Instant, JobKey)>,
    /// Requests that wait until the successor has acknowledged the hand-over, oldest first.
    deferred_requests: VecDeque<handover::DeferredRequest>,
    /// Start of the process; arrival times in the queue are relative to it.
    started_at: Instant,
    is_draining: bool,
    is_drained: bool,
}

impl Dispatcher {
    /// Creates the dispatcher of a new process, with the standard policies.
    pub fn new(cx: &Context<'_>, identity: Identity, mint: TicketMint) -> Self {
        Self::with_policy(cx, identity, mint)
    }
}

impl<P: Policy> Dispatcher<P> {
    /// Creates the dispatcher of a new process, with the policies of `P`.
    pub fn with_policy(cx: &Context<'_>, identity: Identity, mint: TicketMint) -> Self {
        Self {
            identity,
            claim_tables: ClaimTables::new(identity.incarnation, mint.key()),
            mint,
            jobs: Jobs::default(),
            running: RunningTasks::default(),
            run_times: RunTimeEstimates::default(),
            queues: Map::default(),
            loads: Map::default(),
            targets: Targets::default(),
            loans: Loans::new(identity.incarnation),
            spare: Vec::new(),
            assignment_members: Vec::new(),
            member_addresses: Vec::new(),
            retries: RetryBudget::new(&cx.cfg.retry),
            rules: SheetRules::default(),
            sheet_fetch: SheetFetch::default(),
            target_fetch: TargetFetch::default(),
            membership: Membership::new(identity.data_centre, identity.incarnation),
            deadlines: BTreeSet::new(),
            deferred_requests: VecDeque::new(),
            started_at: cx.now,
            is_draining: false,
            is_drained: false,
        }
    }

    /// Processes one command and pushes the effects for the host to `out`.
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
                    body_digest: digest,
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
            Command::ApplySheet(sheet) => self.apply_sheet(cx, &sheet, out),
            Command::ApplyPeerSheet { sheet, from } => self.apply_peer_sheet(cx, &sheet, from, out),
            Command::UpdateTargets(infos) => self.update_targets(cx, &infos, out),
            Command::UpdateTargetsFromPeer(infos) => self.update_targets_from_peer(cx, &infos, out),
            Command::UpdatePeers(listed) => {
                self.membership.apply_platform_list(cx, listed);
                self.update_assignment(cx);
                self.start_all(cx, out);
            }
            Command::LendSlots { req, waiter } => self.lend_slots(cx, req, waiter, out),
            Command::ReceiveGrant {
                service,
                lender,
                grant,
            } => self.receive_grant(cx, service, lender, grant, out),
            Command::AcceptReturn { loan, slots } => self.accept_return(cx, loan, &slots, out),
            Command::RecordHeartbeat(status) => self.record_heartbeat(cx, status, out),
            Command::RecordPeerDigest {
                data_centre,
                digest,
            } => self.membership.on_peer_digest(cx, data_centre, digest),
            Command::ReceiveHandOver { message, waiter } => {
                self.receive_hand_over(cx, &message, waiter, out);
            }
            Command::ReceiveHandOverReply {
                owner,
                number,
                reply,
            } => self.receive_hand_over_reply(cx, owner, number, reply, out),
            Command::Drain => self.drain(cx, out),
            Command::Tick => self.tick(cx, out),
        }
        self.report_drained(cx, out);
    }

    /// Answers a query without side effects; `None` if neither a job nor an answer is known here.
    pub fn query(&self, query: Query) -> Option<Reply> {
        let Query::Job(ticket) = query;
        match self.claim_tables.look_up(ticket) {
            Decision::Join(job) => self.jobs.progress(job).map(Reply::Progress),
            Decision::Answered(answer) => Some(Reply::Answer { ticket, answer }),
            _ => None,
        }
    }

    /// Time of the next deadline, end of a pause or check of a running task, by which the host
    /// sends [`Command::Tick`]; `None` if nothing is due.
    pub fn next_wake(&self) -> Option<Instant> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let resume = self.targets.next_resume();
        let check = self.running.next_check();
        [deadline, resume, check].into_iter().flatten().min()
    }

    /// Revision of the sheet in force; 0 if none is.
    pub fn revision(&self) -> u64 {
        self.rules.revision
    }

    /// Number of jobs that were accepted here and have not ended.
    pub fn jobs_in_flight(&self) -> usize {
        self.jobs.len()
    }

    /// Number of peers that are live: their last heartbeat is within the heartbeat time-out.
    pub fn live_peers(&self, cx: &Context<'_>) -> usize {
        self.membership.live_count(cx)
    }

    /// Whether the membership is stable: every known peer is live or has been known for longer than
    /// the heartbeat time-out.
    pub fn is_membership_stable(&self, cx: &Context<'_>) -> bool {
        self.membership.is_stable(cx)
    }

    /// Number of known targets, over all services.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    fn tick(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        self.claim_tables.advance(cx, self.mint.next_seq());
        self.targets.resume(cx.now);
        self.check_running(cx, out);
        self.expire_jobs(cx, out);
        self.update_assignment(cx);
        self.refresh_loans(cx, out);
        self.start_all(cx, out);
        self.fetch_sheet(cx, out);
        self.fetch_targets(cx, out);
        self.spare = self.spare_by_service(cx);
        self.advance_hand_over(cx, out);
        self.send_heartbeats(cx, out);
        self.report_peer_changes(cx, out);
    }

    /// Reassigns the targets to entry VMs if the members or the targets have changed.
    fn update_assignment(&mut self, cx: &Context<'_>) {
        let peers = self
            .membership
            .working_members(cx, self.identity.data_centre);
        let mut members: Vec<VmName> = peers.iter().map(|(vm, _)| *vm).collect();
        members.push(self.identity.vm);
        members.sort_unstable();
        members.dedup();
        let has_changed = self.targets.take_changed();
        if !has_changed && members == self.assignment_members {
            return;
        }
        self.targets.assign_targets(self.identity.vm, &members);
        self.assignment_members = members;
        self.member_addresses = peers.into_iter().map(|(_, address)| address).collect();
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
