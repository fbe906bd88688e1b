//! Conversions of loans between the generated types of the border and the dispatcher's own.

use geraniumrelay_core::modules::loans::{
    BorrowRequest, Grant, LoanId, SlotReturn, Spare, TargetSlots,
};
use geraniumrelay_wire::{BorrowSlots, ReturnSlots, SlotGrant, SpareSlots};

/// Writes what a VM could lend.
pub fn spare_slots(spare: &[Spare]) -> Vec<SpareSlots> {
    let entries = spare.iter().map(|entry| SpareSlots {
        service: entry.service.to_string(),
        slots: entry.slots,
    });
    entries.collect()
}

/// Reads what a VM could lend; entries that are malformed are left out.
pub fn spare(entries: &[SpareSlots]) -> Vec<Spare> {
    let spare = entries.iter().filter_map(|entry| {
        Some(Spare {
            service: entry.service.parse().ok()?,
            slots: entry.slots,
        })
    });
    spare.collect()
}

/// Writes a wish for slots.
pub fn borrow_slots(req: BorrowRequest) -> BorrowSlots {
    BorrowSlots {
        service: req.service.to_string(),
        slots: req.slots,
        urgent: req.is_urgent,
    }
}

/// Reads a wish for slots; `None` where the service is no name.
pub fn borrow_request(req: &BorrowSlots) -> Option<BorrowRequest> {
    Some(BorrowRequest {
        service: req.service.parse().ok()?,
        slots: req.slots,
        is_urgent: req.urgent,
    })
}

/// Writes a grant.
pub fn slot_grant(grant: &Grant) -> SlotGrant {
    SlotGrant {
        loan: grant.loan.0,
        slots: write_slots(&grant.slots),
        left: grant.left,
    }
}

/// Reads a grant.
pub fn grant(grant: &SlotGrant) -> Grant {
    Grant {
        loan: LoanId(grant.loan),
        slots: target_slots(&grant.slots),
        left: grant.left,
    }
}

/// Writes a return of slots.
pub fn return_slots(back: &SlotReturn) -> ReturnSlots {
    ReturnSlots {
        loan: back.loan.0,
        slots: write_slots(&back.slots),
    }
}

/// Reads the slots of a grant or a return; entries that are malformed are left out.
pub fn target_slots(slots: &[geraniumrelay_wire::TargetSlots]) -> Vec<TargetSlots> {
    let entries = slots.iter().filter_map(|entry| {
        Some(TargetSlots {
            vm: entry.vm.parse().ok()?,
            slots: entry.slots,
        })
    });
    entries.collect()
}

fn write_slots(slots: &[TargetSlots]) -> Vec<geraniumrelay_wire::TargetSlots> {
    let entries = slots.iter().map(|entry| geraniumrelay_wire::TargetSlots {
        vm: entry.vm.to_string(),
        slots: entry.slots,
    });
    entries.collect()
}
