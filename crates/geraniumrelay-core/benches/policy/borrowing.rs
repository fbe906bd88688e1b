//! Messages by which slots are borrowed.

use geraniumrelay_core::Command;
use geraniumrelay_core::modules::loans::{BorrowRequest, Grant};
use geraniumrelay_core::modules::policy::Policy;

use crate::calls::Purpose;
use crate::workload;
use crate::world::{BETWEEN_VMS, CONNECT_TIMEOUT, Event, World, vm_address};

impl<P: Policy> World<P> {
    /// Sends a wish for slots to its lender.
    pub(super) fn borrow(&mut self, vm: usize, lender: usize, req: BorrowRequest) {
        self.tally.loans += 2;
        if !self.vms[lender].is_alive {
            self.tally.wasted += 1;
            let cmd = Command::ReceiveGrant {
                service: req.service,
                lender: vm_address(lender),
                grant: None,
            };
            let at = self.now + CONNECT_TIMEOUT;
            self.events.push(at, Event::Command(vm, cmd));
            return;
        }
        let purpose = Purpose::Loan {
            borrower: vm,
            lender,
        };
        let waiter = self.waiter(0, purpose);
        let at = self.now + BETWEEN_VMS;
        let cmd = Command::LendSlots { req, waiter };
        self.events.push(at, Event::Command(lender, cmd));
    }

    /// Sends a lender's reply to the borrower.
    pub(super) fn send_grant(&mut self, borrower: usize, lender: usize, grant: Grant) {
        if grant.slots.is_empty() {
            // Request and refusal.
            self.tally.wasted += 2;
        }
        let cmd = Command::ReceiveGrant {
            service: workload::service(),
            lender: vm_address(lender),
            grant: Some(grant),
        };
        let at = self.now + BETWEEN_VMS;
        self.events.push(at, Event::Command(borrower, cmd));
    }
}
