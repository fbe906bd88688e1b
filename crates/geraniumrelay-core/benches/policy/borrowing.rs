//! Delivery of borrow requests and grants between entry VMs.

use geraniumrelay_core::Command;
use geraniumrelay_core::modules::loans::{BorrowRequest, Grant};
use geraniumrelay_core::modules::policy::Policy;

use crate::calls::Purpose;
use crate::workload;
use crate::world::{CONNECT_TIMEOUT, Event, Simulation, VM_DELAY, vm_address};

impl<P: Policy> Simulation<P> {
    /// Sends a borrow request to the lender; a crashed lender gives no grant after a time-out.
    pub(super) fn borrow(&mut self, vm: usize, lender: usize, req: BorrowRequest) {
        self.stats.loan_messages += 2;
        if !self.vms[lender].is_alive {
            self.stats.wasted_messages += 1;
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
        let waiter = self.add_waiter(0, purpose);
        let at = self.now + VM_DELAY;
        let cmd = Command::LendSlots { req, waiter };
        self.events.push(at, Event::Command(lender, cmd));
    }

    /// Sends the grant of a lender to the borrower.
    pub(super) fn send_grant(&mut self, borrower: usize, lender: usize, grant: Grant) {
        if grant.slots.is_empty() {
            // The request and the empty grant.
            self.stats.wasted_messages += 2;
        }
        let cmd = Command::ReceiveGrant {
            service: workload::service(),
            lender: vm_address(lender),
            grant: Some(grant),
        };
        let at = self.now + VM_DELAY;
        self.events.push(at, Event::Command(borrower, cmd));
    }
}
