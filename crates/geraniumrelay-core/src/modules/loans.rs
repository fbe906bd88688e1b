//! Slots borrowed from peers and lent to them.
//!
//! A loan is made in one exchange and ends by a return, or by its term where a message was lost.
//! Where both sides use a slot, the target's refusal is the backstop.

use std::net::SocketAddr;
use std::time::Instant;

use slotmap::{SlotMap, new_key_type};

use crate::collections::Map;
use crate::configs::loans::LoansConfig;
use crate::modules::targets::TargetKey;
use crate::names::{ServiceName, VmName};

new_key_type! {
    /// Key of a loan that this VM took.
    pub struct LoanKey;
}

/// Number of a loan at its lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId(pub u64);

/// Wish of one VM for slots of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowRequest {
    /// Service whose slots are wanted.
    pub service: ServiceName,
    /// Most slots that are of use.
    pub slots: u32,
    /// Whether they are for urgent tasks.
    pub is_urgent: bool,
}

/// A number of slots of one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetSlots {
    /// VM of the target.
    pub vm: VmName,
    /// Number of slots.
    pub slots: u32,
}

/// Reply to a wish for slots; without any slots it is a refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The loan.
    pub loan: LoanId,
    /// Its slots.
    pub slots: Vec<TargetSlots>,
    /// Slots that the lender could still lend.
    pub left: u32,
}

/// Slots that a peer could lend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spare {
    /// Service of the slots.
    pub service: ServiceName,
    /// Number of slots.
    pub slots: u32,
}

#[derive(Debug)]
struct BorrowedLoan {
    lender: SocketAddr,
    id: LoanId,
    expires_at: Instant,
    slots: Map<TargetKey, u32>,
}

#[derive(Debug)]
struct LentLoan {
    reclaim_at: Instant,
    slots: Map<TargetKey, u32>,
}

/// Return of slots to a lender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotReturn {
    /// Peer address of the lender.
    pub lender: SocketAddr,
    /// The loan.
    pub loan: LoanId,
    /// Slots that go back.
    pub slots: Vec<TargetSlots>,
}

/// Loans of one VM, on both sides.
#[derive(Debug, Default)]
pub struct Loans {
    borrowed: SlotMap<LoanKey, BorrowedLoan>,
    by_target: Map<TargetKey, Vec<LoanKey>>,
    lent: Map<LoanId, LentLoan>,
    last_id: u64,
    /// What peers could lend, as last heard.
    spare: Map<(ServiceName, SocketAddr), u32>,
    requested_at: Map<ServiceName, Instant>,
}

impl Loans {
    /// Notes what a peer could lend.
    pub fn on_heartbeat(&mut self, peer: SocketAddr, spare: &[Spare]) {
        for entry in spare {
            self.spare.insert((entry.service, peer), entry.slots);
        }
    }

    /// The peer to ask for slots, where one is likely to have any; it counts as asked.
    pub fn choose_lender(
        &mut self,
        now: Instant,
        cfg: &LoansConfig,
        req: BorrowRequest,
        peers: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let is_waiting = self
            .requested_at
            .get(&req.service)
            .is_some_and(|at| now < *at + cfg.reply_timeout);
        if is_waiting {
            return None;
        }
        let spare = |peer: &SocketAddr| self.spare.get(&(req.service, *peer)).copied();
        let (slots, lender) = peers
            .iter()
            .filter_map(|peer| Some((spare(peer)?, *peer)))
            .max()?;
        let min_slots = if req.is_urgent { 1 } else { cfg.min_free };
        if slots < min_slots {
            return None;
        }
        self.requested_at.insert(req.service, now);
        Some(lender)
    }

    /// Takes over the reply of a lender, `None` where there was none; returns the slots gained.
    pub fn record_reply(
        &mut self,
        now: Instant,
        cfg: &LoansConfig,
        service: ServiceName,
        lender: SocketAddr,
        grant: Option<(LoanId, u32, Map<TargetKey, u32>)>,
    ) {
        self.requested_at.remove(&service);
        let Some((id, left, slots)) = grant else {
            self.spare.insert((service, lender), 0);
            return;
        };
        self.spare.insert((service, lender), left);
        if slots.is_empty() {
            return;
        }
        let targets: Vec<_> = slots.keys().copied().collect();
        let key = self.borrowed.insert(BorrowedLoan {
            lender,
            id,
            expires_at: now + cfg.term,
            slots,
        });
        for target in targets {
            self.by_target.entry(target).or_default().push(key);
        }
    }

    /// Whether a target has slots whose loan is over.
    pub fn is_over(&self, now: Instant, target: TargetKey) -> bool {
        let mut loans = self.by_target.get(&target).into_iter().flatten();
        loans.any(|key| self.borrowed[*key].expires_at <= now)
    }

    /// Targets with borrowed slots.
    pub fn targets(&self) -> impl Iterator<Item = TargetKey> {
        self.by_target.keys().copied()
    }

    /// Gives up to `slots` borrowed slots of a target back, those of the oldest loan first.
    pub fn return_slots(
        &mut self,
        target: TargetKey,
        vm: VmName,
        mut slots: u32,
    ) -> Vec<SlotReturn> {
        let mut returns = Vec::new();
        while slots > 0 {
            let Some(key) = self
                .by_target
                .get(&target)
                .and_then(|keys| keys.first().copied())
            else {
                break;
            };
            let loan = &mut self.borrowed[key];
            let left = loan.slots.get(&target).copied().unwrap_or(0);
            let count = left.min(slots);
            returns.push(SlotReturn {
                lender: loan.lender,
                loan: loan.id,
                slots: vec![TargetSlots { vm, slots: count }],
            });
            slots -= count;
            self.reduce(key, target, count);
        }
        returns
    }

    fn reduce(&mut self, key: LoanKey, target: TargetKey, count: u32) {
        let loan = &mut self.borrowed[key];
        let left = loan.slots.get(&target).copied().unwrap_or(0) - count;
        if left > 0 {
            loan.slots.insert(target, left);
            return;
        }
        loan.slots.remove(&target);
        if loan.slots.is_empty() {
            self.borrowed.remove(key);
        }
        if let Some(keys) = self.by_target.get_mut(&target) {
            keys.retain(|other| *other != key);
            if keys.is_empty() {
                self.by_target.remove(&target);
            }
        }
    }

    /// Notes slots that were lent.
    pub fn lend(&mut self, now: Instant, cfg: &LoansConfig, slots: Map<TargetKey, u32>) -> LoanId {
        self.last_id += 1;
        let id = LoanId(self.last_id);
        if !slots.is_empty() {
            let reclaim_at = now + cfg.reclaim;
            self.lent.insert(id, LentLoan { reclaim_at, slots });
        }
        id
    }

    /// Takes slots of a loan back; returns how many of them were still out.
    pub fn take_back(&mut self, id: LoanId, target: TargetKey, slots: u32) -> u32 {
        let Some(loan) = self.lent.get_mut(&id) else {
            return 0;
        };
        let Some(out) = loan.slots.get_mut(&target) else {
            return 0;
        };
        let count = slots.min(*out);
        *out -= count;
        if *out == 0 {
            loan.slots.remove(&target);
        }
        if loan.slots.is_empty() {
            self.lent.remove(&id);
        }
        count
    }

    /// Takes back the loans whose borrower has returned nothing for too long.
    pub fn reclaim(&mut self, now: Instant) -> Vec<(TargetKey, u32)> {
        let is_over = |loan: &LentLoan| loan.reclaim_at <= now;
        let over: Vec<LoanId> = self
            .lent
            .iter()
            .filter(|(_, loan)| is_over(loan))
            .map(|(id, _)| *id)
            .collect();
        let loans = over.iter().filter_map(|id| self.lent.remove(id));
        loans.flat_map(|loan| loan.slots).collect()
    }
}
