//! Loans of slots between entry VMs: requests, grants and returns.

use std::net::SocketAddr;

use crate::collections::Map;
use crate::command::Waiter;
use crate::context::Context;
use crate::dispatcher::Dispatcher;
use crate::effect::{Effect, Reply};
use crate::modules::loans::{BorrowRequest, Grant, LoanId, SlotReturn, Spare, TargetSlots};
use crate::modules::policy::Policy;
use crate::modules::queue::CLASSES;
use crate::modules::sheet::Urgency;
use crate::modules::slots::{SlotPool, Tier};
use crate::modules::targets::TargetKey;
use crate::names::{ServiceName, VmName};

impl<P: Policy> Dispatcher<P> {
    /// Requests slots from one peer if tasks wait and a peer has reported spare slots.
    pub(super) fn request_slots(
        &mut self,
        cx: &Context<'_>,
        service: ServiceName,
        out: &mut Vec<Effect>,
    ) {
        if !P::Slots::ASSIGNS_TARGETS {
            return;
        }
        let Some(req) = self.borrow_request(cx, service) else {
            return;
        };
        let lender = self
            .loans
            .choose_lender(cx.now, &cx.cfg.loans, req, &self.member_addresses);
        if let Some(address) = lender {
            out.push(Effect::Borrow { address, req });
        }
    }

    fn borrow_request(&self, cx: &Context<'_>, service: ServiceName) -> Option<BorrowRequest> {
        let queue = self
            .queues
            .get(&service)
            .filter(|queue| !queue.is_empty())?;
        let urgency = CLASSES
            .into_iter()
            .find(|urgency| queue.fair_tasks(*urgency) > 0)?;
        let tasks = u32::try_from(queue.fair_tasks(urgency)).unwrap_or(u32::MAX);
        Some(BorrowRequest {
            service,
            slots: tasks.min(cx.cfg.loans.max_slots),
            is_urgent: urgency == Urgency::Urgent,
        })
    }

    /// Whether tasks wait whose teams are not limited to their share.
    fn has_work_within_share(&self, service: ServiceName) -> bool {
        let queue = self.queues.get(&service);
        queue.is_some_and(|queue| CLASSES.iter().any(|urgency| queue.fair_tasks(*urgency) > 0))
    }

    /// Number of slots that this VM could lend now.
    fn spare_slots(&self, cx: &Context<'_>, service: ServiceName, is_urgent: bool) -> u32 {
        if self.has_work_within_share(service) && !is_urgent {
            return 0;
        }
        let reserved = self.targets.usable(service) * cx.cfg.loans.reserve_percent / 100;
        let headroom = if is_urgent {
            0
        } else {
            self.headroom(cx, service)
        };
        let free = self.targets.free(service, Tier::Healthy);
        free.saturating_sub(reserved + headroom)
    }

    /// Slots that could be lent, by service, as sent to peers with heartbeats.
    pub(super) fn spare_by_service(&self, cx: &Context<'_>) -> Vec<Spare> {
        if !P::Slots::ASSIGNS_TARGETS {
            return Vec::new();
        }
        let services = self.targets.services_with_capacity();
        services
            .map(|service| Spare {
                service,
                slots: self.spare_slots(cx, service, false),
            })
            .collect()
    }

    /// Lends the requested slots as far as they are spare, in one grant.
    pub(super) fn lend_slots(
        &mut self,
        cx: &Context<'_>,
        req: BorrowRequest,
        waiter: Waiter,
        out: &mut Vec<Effect>,
    ) {
        let count = req
            .slots
            .min(self.spare_slots(cx, req.service, req.is_urgent));
        let mut lent: Map<TargetKey, u32> = Map::default();
        for _ in 0..count {
            let Some(key) = self.targets.lend_slot(req.service) else {
                break;
            };
            *lent.entry(key).or_default() += 1;
        }
        let target_slots = |(key, slots): (&TargetKey, &u32)| {
            let vm = self.targets.get(*key)?.info.vm;
            Some(TargetSlots { vm, slots: *slots })
        };
        let slots = lent.iter().filter_map(target_slots).collect();
        let grant = Grant {
            loan: self.loans.lend(cx.now, &cx.cfg.loans, lent),
            slots,
            left: self.spare_slots(cx, req.service, false),
        };
        let reply = Reply::Lent(grant);
        out.push(Effect::Reply { waiter, reply });
    }

    /// Records a lender's reply, starts waiting tasks on the borrowed slots and returns the others.
    pub(super) fn receive_grant(
        &mut self,
        cx: &Context<'_>,
        service: ServiceName,
        lender: SocketAddr,
        grant: Option<Grant>,
        out: &mut Vec<Effect>,
    ) {
        let Some(grant) = grant else {
            self.loans
                .record_reply(cx.now, &cx.cfg.loans, service, lender, None);
            return;
        };
        let known = grant.slots.iter().filter_map(|entry| self.resolve(*entry));
        let slots: Map<TargetKey, u32> = known.collect();
        let unknown = grant.slots.iter().copied();
        let unknown = unknown.filter(|entry| self.targets.key_of(entry.vm).is_none());
        let unknown: Vec<TargetSlots> = unknown.collect();
        for (key, count) in &slots {
            self.targets.borrow_slots(*key, *count);
        }
        let targets: Vec<TargetKey> = slots.keys().copied().collect();
        let granted = Some((grant.loan, grant.left, slots));
        self.loans
            .record_reply(cx.now, &cx.cfg.loans, service, lender, granted);
        if !unknown.is_empty() {
            out.push(Effect::Return(SlotReturn {
                lender,
                loan: grant.loan,
                slots: unknown,
            }));
        }
        self.start_service(cx, service, out);
        for target in targets {
            self.return_idle_slots(cx, target, out);
        }
    }

    /// Key of the target and number of slots; `None` if the target is unknown here.
    fn resolve(&self, entry: TargetSlots) -> Option<(TargetKey, u32)> {
        Some((self.targets.key_of(entry.vm)?, entry.slots))
    }

    /// Takes back slots that a borrower returns.
    pub(super) fn accept_return(
        &mut self,
        cx: &Context<'_>,
        loan: LoanId,
        slots: &[TargetSlots],
        out: &mut Vec<Effect>,
    ) {
        for entry in slots {
            if let Some((key, count)) = self.resolve(*entry) {
                let count = self.loans.take_back(loan, key, count);
                self.targets.take_back(key, count);
            }
        }
        self.start_all(cx, out);
    }

    /// Returns the free borrowed slots of a target if the loan has expired or no tasks within their
    /// team's share wait.
    pub(super) fn return_idle_slots(
        &mut self,
        cx: &Context<'_>,
        key: TargetKey,
        out: &mut Vec<Effect>,
    ) {
        let Some(target) = self.targets.get(key).filter(|target| target.borrowed > 0) else {
            return;
        };
        let (vm, service): (VmName, ServiceName) = (target.info.vm, target.info.service);
        if self.has_work_within_share(service) && !self.loans.is_over(cx.now, key) {
            return;
        }
        let free = (target.borrowed).min(target.idle_slots(self.targets.slots(service)));
        let returns = self.loans.return_slots(key, vm, free);
        let returned = returns.iter().flat_map(|entry| &entry.slots);
        let returned = returned.map(|entry| entry.slots).sum();
        self.targets.return_borrowed(key, returned);
        out.extend(returns.into_iter().map(Effect::Return));
    }

    /// Returns the idle slots of all loans, and reclaims lent slots that were not returned in time.
    pub(super) fn refresh_loans(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let targets: Vec<TargetKey> = self.loans.targets().collect();
        for target in targets {
            self.return_idle_slots(cx, target, out);
        }
        for (key, slots) in self.loans.reclaim(cx.now) {
            self.targets.take_back(key, slots);
        }
    }
}
