//! Borrowing slots from peers, and lending them.

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
    /// Asks one peer for slots, where tasks wait and a peer is likely to have some free.
    pub(super) fn ask_for_slots(
        &mut self,
        cx: &Context<'_>,
        service: ServiceName,
        out: &mut Vec<Effect>,
    ) {
        if !P::Slots::ASSIGNS_TARGETS {
            return;
        }
        let Some(req) = self.wish(cx, service) else {
            return;
        };
        let lender = self
            .loans
            .choose_lender(cx.now, &cx.cfg.loans, req, &self.home_peers);
        if let Some(address) = lender {
            out.push(Effect::Borrow { address, req });
        }
    }

    fn wish(&self, cx: &Context<'_>, service: ServiceName) -> Option<BorrowRequest> {
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

    /// Whether tasks wait whose teams are not kept to their share.
    fn has_fair_work(&self, service: ServiceName) -> bool {
        let queue = self.queues.get(&service);
        queue.is_some_and(|queue| CLASSES.iter().any(|urgency| queue.fair_tasks(*urgency) > 0))
    }

    /// Slots that this VM can do without now.
    fn spare_slots(&self, cx: &Context<'_>, service: ServiceName, is_urgent: bool) -> u32 {
        if self.has_fair_work(service) && !is_urgent {
            return 0;
        }
        let keep = self.targets.usable(service) * cx.cfg.loans.reserve_percent / 100;
        let headroom = if is_urgent {
            0
        } else {
            self.headroom(cx, service)
        };
        let free = self.targets.free(service, Tier::Healthy);
        free.saturating_sub(keep + headroom)
    }

    /// What peers are told of the slots that could be lent.
    pub(super) fn spare_now(&self, cx: &Context<'_>) -> Vec<Spare> {
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

    /// Lends what can be spared, in one reply.
    pub(super) fn lend(
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
        let named = |(key, slots): (&TargetKey, &u32)| {
            let vm = self.targets.get(*key)?.info.vm;
            Some(TargetSlots { vm, slots: *slots })
        };
        let slots = lent.iter().filter_map(named).collect();
        let grant = Grant {
            loan: self.loans.lend(cx.now, &cx.cfg.loans, lent),
            slots,
            left: self.spare_slots(cx, req.service, false),
        };
        let reply = Reply::Lent(grant);
        out.push(Effect::Reply { waiter, reply });
    }

    /// Takes over a lender's reply and starts what it makes room for.
    pub(super) fn take_loan(
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
        let keyed = grant.slots.iter().filter_map(|entry| self.keyed(*entry));
        let slots: Map<TargetKey, u32> = keyed.collect();
        let unknown = grant.slots.iter().copied();
        let unknown = unknown.filter(|entry| self.targets.key_of(entry.vm).is_none());
        let unknown: Vec<TargetSlots> = unknown.collect();
        for (key, count) in &slots {
            self.targets.borrow_slots(*key, *count);
        }
        let targets: Vec<TargetKey> = slots.keys().copied().collect();
        let taken = Some((grant.loan, grant.left, slots));
        self.loans
            .record_reply(cx.now, &cx.cfg.loans, service, lender, taken);
        if !unknown.is_empty() {
            out.push(Effect::Return(SlotReturn {
                lender,
                loan: grant.loan,
                slots: unknown,
            }));
        }
        self.start_service(cx, service, out);
        for target in targets {
            self.return_idle(cx, target, out);
        }
    }

    fn keyed(&self, entry: TargetSlots) -> Option<(TargetKey, u32)> {
        Some((self.targets.key_of(entry.vm)?, entry.slots))
    }

    /// Takes lent slots back.
    pub(super) fn take_back(
        &mut self,
        cx: &Context<'_>,
        loan: LoanId,
        slots: &[TargetSlots],
        out: &mut Vec<Effect>,
    ) {
        for entry in slots {
            if let Some((key, count)) = self.keyed(*entry) {
                let count = self.loans.take_back(loan, key, count);
                self.targets.take_back(key, count);
            }
        }
        self.start_all(cx, out);
    }

    /// Returns borrowed slots of a target that are free and of no use here.
    pub(super) fn return_idle(&mut self, cx: &Context<'_>, key: TargetKey, out: &mut Vec<Effect>) {
        let Some(target) = self.targets.get(key).filter(|target| target.borrowed > 0) else {
            return;
        };
        let (vm, service): (VmName, ServiceName) = (target.info.vm, target.info.service);
        if self.has_fair_work(service) && !self.loans.is_over(cx.now, key) {
            return;
        }
        let free = (target.borrowed).min(target.idle_slots(self.targets.slots(service)));
        let returns = self.loans.return_slots(key, vm, free);
        let given = returns.iter().flat_map(|entry| &entry.slots);
        let given = given.map(|entry| entry.slots).sum();
        self.targets.return_borrowed(key, given);
        out.extend(returns.into_iter().map(Effect::Return));
    }

    /// Returns what is idle of all loans, and takes back what others have not returned.
    pub(super) fn tend_loans(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let targets: Vec<TargetKey> = self.loans.targets().collect();
        for target in targets {
            self.return_idle(cx, target, out);
        }
        for (key, slots) in self.loans.reclaim(cx.now) {
            self.targets.take_back(key, slots);
        }
    }
}
