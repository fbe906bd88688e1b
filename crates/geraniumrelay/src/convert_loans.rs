//! Conversions of loans between the generated wire types and the types of the dispatcher.

use geraniumrelay_core::modules::loans::{
    BorrowRequest, Grant, LoanId, SlotReturn, Spare, TargetSlots,
};
use geraniumrelay_wire::{BorrowSlots, ReturnSlots, SlotGrant, SpareSlots};

/// Writes the lendable slots of a VM, by service.
pub fn spare_slots(spare: &[Spare]) -> Vec<SpareSlots> {
    let entries = spare.iter().map(|entry| SpareSlots {
        service: entry.service.to_string(),
        slots: entry.slots,
    });
    entries.collect()
}

/// Reads the lendable slots of a VM; malformed entries are skipped.
pub fn read_spare_slots(entries: &[SpareSlots]) -> Vec<Spare> {
    let spare = entries.iter().filter_map(|entry| {
        Some(Spare {
            service: entry.service.parse().ok()?,
            slots: entry.slots,
        })
    });
    spare.collect()
}

/// Writes a borrow request.
pub fn borrow_slots(req: BorrowRequest) -> BorrowSlots {
    BorrowSlots {
        service: req.service.to_string(),
        slots: req.slots,
        urgent: req.is_urgent,
    }
}

/// Reads a borrow request; `None` if the service is not a valid name.
pub fn borrow_request(req: &BorrowSlots) -> Option<BorrowRequest> {
    Some(BorrowRequest {
        service: req.service.parse().ok()?,
        slots: req.slots,
        is_urgent: req.urgent,
    })
}

/// Writes the slots granted for a borrow request, with the number of their loan.
pub fn slot_grant(grant: &Grant) -> SlotGrant {
    SlotGrant {
        loan: grant.loan.0,
        slots: write_slots(&grant.slots),
        left: grant.left,
    }
}

/// Reads the slots granted for a borrow request; malformed entries are skipped.
pub fn grant(grant: &SlotGrant) -> Grant {
    Grant {
        loan: LoanId(grant.loan),
        slots: target_slots(&grant.slots),
        left: grant.left,
    }
}

/// Writes the return of borrowed slots to their lender.
pub fn return_slots(slot_return: &SlotReturn) -> ReturnSlots {
    ReturnSlots {
        loan: slot_return.loan.0,
        slots: write_slots(&slot_return.slots),
    }
}

/// Reads the slots of a grant or a return, by target; malformed entries are skipped.
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
