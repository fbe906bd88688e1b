//! Slots borrowed from peers and slots lent to peers.
//!
//! A loan takes one request and one reply. The loan ends when the slots are returned, or at the
//! end of its term if a message was lost. If both sides use a slot, the target refuses the second
//! start.

use std::net::SocketAddr;
use std::time::Instant;

use slotmap::{SlotMap, new_key_type};

use crate::collections::Map;
use crate::configs::loans::LoansConfig;
use crate::modules::targets::TargetKey;
use crate::names::{ServiceName, VmName};
use crate::ticket::Incarnation;

new_key_type! {
    /// Key of a loan in which this VM is the borrower.
    pub struct LoanKey;
}

/// Number of a loan, unique among the loans of all processes that a lender has had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId(pub u64);

/// Request of one VM for slots of another VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BorrowRequest {
    /// Service of the requested slots.
    pub service: ServiceName,
    /// Maximum number of slots that the borrower can use.
    pub slots: u32,
    /// Whether the slots are for urgent tasks.
    pub is_urgent: bool,
}

/// Number of slots on one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetSlots {
    /// VM on which the target runs.
    pub vm: VmName,
    /// Number of slots on the target.
    pub slots: u32,
}

/// Reply to a request for slots; an empty list of slots is a refusal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Number of the loan at the lender.
    pub loan: LoanId,
    /// Slots granted.
    pub slots: Vec<TargetSlots>,
    /// Slots that the lender can still lend after this loan.
    pub left: u32,
}

/// Slots of one service that a peer can lend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spare {
    /// Service of the slots.
    pub service: ServiceName,
    /// Number of lendable slots.
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
    /// Number of the loan at the lender.
    pub loan: LoanId,
    /// Slots returned.
    pub slots: Vec<TargetSlots>,
}

/// Loans of this VM, as borrower and as lender.
#[derive(Debug, Default)]
pub struct Loans {
    borrowed: SlotMap<LoanKey, BorrowedLoan>,
    by_target: Map<TargetKey, Vec<LoanKey>>,
    lent: Map<LoanId, LentLoan>,
    last_id: u64,
    /// Lendable slots by service and peer, from the latest heartbeats and grants.
    spare: Map<(ServiceName, SocketAddr), u32>,
    requested_at: Map<ServiceName, Instant>,
}

impl Loans {
    /// Creates the loans of a process. The incarnation, which is random, is the number before its
    /// first loan: slots may be returned to the address of a process that has ended.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            last_id: incarnation.0,
            ..Self::default()
        }
    }

    /// Records the lendable slots that the heartbeat of a peer reports.
    pub fn on_heartbeat(&mut self, peer: SocketAddr, spare: &[Spare]) {
        for entry in spare {
            self.spare.insert((entry.service, peer), entry.slots);
        }
    }

    /// The peer with the most lendable slots; records the request as sent.
    ///
    /// `None` while a request for the service waits for its reply, or if no peer has enough slots.
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

    /// Records the reply of a lender; a `grant` of `None` means that no reply arrived.
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

    /// Whether a target has borrowed slots whose loan has expired.
    pub fn is_over(&self, now: Instant, target: TargetKey) -> bool {
        let mut loans = self.by_target.get(&target).into_iter().flatten();
        loans.any(|key| self.borrowed[*key].expires_at <= now)
    }

    /// Targets on which this VM has borrowed slots.
    pub fn targets(&self) -> impl Iterator<Item = TargetKey> {
        self.by_target.keys().copied()
    }

    /// Returns up to `slots` borrowed slots of a target, the oldest loan first.
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

    /// Records lent slots; an empty `slots` still consumes a loan number.
    pub fn lend(&mut self, now: Instant, cfg: &LoansConfig, slots: Map<TargetKey, u32>) -> LoanId {
        self.last_id = self.last_id.wrapping_add(1);
        let id = LoanId(self.last_id);
        if !slots.is_empty() {
            let reclaim_at = now + cfg.reclaim_after;
            self.lent.insert(id, LentLoan { reclaim_at, slots });
        }
        id
    }

    /// Takes back slots of a loan; the result is the number of slots that were still lent.
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

    /// Reclaims the loans whose reclaim time has passed and returns their slots.
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
