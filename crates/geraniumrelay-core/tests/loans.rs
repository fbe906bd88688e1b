//! Loans of slots between entry VMs whose processes restart.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use geraniumrelay_core::modules::loans::{BorrowRequest, Grant};
use geraniumrelay_core::modules::sheet::parse_sheet;
use geraniumrelay_core::modules::targets::TargetInfo;
use geraniumrelay_core::{
    Command, Config, Context, Dispatcher, Effect, Identity, Incarnation, Reply, TicketKey,
    TicketMint, Waiter,
};

const SHEET: &str = "service,data_centre,workers,slots,connections,request_kind,urgency,\
                     idempotent,deadline_ms,state,team,team_share\n\
                     till,szeged,2,8,64,hold,urgent,no,60000,active,,\n";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A lender with one target, whose slots it can all lend.
struct Lender {
    cfg: Config,
    now: Instant,
    dispatcher: Dispatcher,
}

impl Lender {
    /// Starts the process of the VM with this incarnation.
    fn start(incarnation: u64) -> Self {
        let mut cfg = Config::default();
        cfg.loans.reserve_percent = 0;
        let now = Instant::now();
        let identity = Identity {
            vm: "e0".parse().unwrap(),
            data_centre: "szeged".parse().unwrap(),
            peer_address: address(1_000),
            incarnation: Incarnation(incarnation),
        };
        let key = TicketKey([7; 16]);
        let mint = TicketMint::new(identity.data_centre, identity.incarnation, key);
        let dispatcher = Dispatcher::new(&Context::new(now, &cfg), identity, mint);
        let mut lender = Self {
            cfg,
            now,
            dispatcher,
        };
        let sheet = parse_sheet(1, SHEET).unwrap();
        lender.handle(Command::ApplySheet(Arc::new(sheet)));
        lender.handle(Command::UpdateTargets(vec![TargetInfo {
            vm: "t0".parse().unwrap(),
            service: "till".parse().unwrap(),
            address: address(2_000),
            is_leaving: false,
        }]));
        lender
    }

    fn handle(&mut self, cmd: Command) -> Vec<Effect> {
        let mut out = Vec::new();
        let cx = Context::new(self.now, &self.cfg);
        self.dispatcher.handle(&cx, cmd, &mut out);
        out
    }

    /// Lends up to `slots` slots.
    fn lend(&mut self, slots: u32) -> Grant {
        let req = BorrowRequest {
            service: "till".parse().unwrap(),
            slots,
            is_urgent: true,
        };
        let waiter = Waiter(0);
        let mut effects = self.handle(Command::LendSlots { req, waiter }).into_iter();
        let grant = effects.find_map(|effect| match effect {
            Effect::Reply {
                reply: Reply::Lent(grant),
                ..
            } => Some(grant),
            _ => None,
        });
        grant.unwrap()
    }
}

fn slots(grant: &Grant) -> u32 {
    grant.slots.iter().map(|entry| entry.slots).sum()
}

/// A returned slot that another borrower still uses would be lent twice.
#[test]
fn a_return_to_the_former_process_of_a_lender_takes_nothing_back_at_the_next_one() {
    let mut former = Lender::start(0x5c5a_1f2e_9d00_7b31);
    let returned = former.lend(8);
    assert_eq!(slots(&returned), 8);
    let mut next = Lender::start(0x17e0_43c8_2ab6_f905);
    let lent = next.lend(8);
    assert_eq!(slots(&lent), 8);
    next.handle(Command::AcceptReturn {
        loan: returned.loan,
        slots: returned.slots,
    });
    assert_eq!(slots(&next.lend(8)), 0, "all slots are still lent");
    next.handle(Command::AcceptReturn {
        loan: lent.loan,
        slots: lent.slots,
    });
    assert_eq!(slots(&next.lend(8)), 8);
}
