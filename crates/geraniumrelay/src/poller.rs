//! Platform poller: the sheet and the VM list, once a second.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use geraniumrelay_core::modules::membership::PeerNews;
use geraniumrelay_core::modules::sheet::parse_sheet;
use geraniumrelay_core::modules::targets::TargetInfo;
use geraniumrelay_core::{Command, Identity};
use geraniumrelay_platform::{PlatformClient, PlatformError, SheetStore};
use geraniumrelay_wire::{Vm, VmList};
use log::warn;

use crate::requests::DecisionTx;

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Role of a target in the platform's list.
const TARGET_ROLE: &str = "target";

/// Role of an entry VM in the platform's list.
const ENTRY_ROLE: &str = "entry";

/// Polls the platform for one entry process.
#[derive(Debug)]
pub struct Poller {
    client: PlatformClient,
    identity: Identity,
    decision: DecisionTx,
    revision: u64,
}

impl Poller {
    /// Makes the poller of a process that has nothing in force yet.
    pub fn new(client: PlatformClient, identity: Identity, decision: DecisionTx) -> Self {
        Self {
            client,
            identity,
            decision,
            revision: 0,
        }
    }

    /// Polls for ever; what the platform can't give stays as it was.
    pub fn run(mut self) {
        loop {
            if let Err(e) = self.poll() {
                warn!(error = e.to_string().as_str(); "platform_poll_failed");
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn poll(&mut self) -> Result<(), PlatformError> {
        self.poll_sheet()?;
        let list = self.client.vms()?;
        self.take_list(&list);
        Ok(())
    }

    fn poll_sheet(&mut self) -> Result<(), PlatformError> {
        let record = SheetStore::new(&self.client).current()?;
        if record.revision <= self.revision {
            return Ok(());
        }
        match parse_sheet(record.revision, &record.sheet) {
            Ok(sheet) => {
                self.revision = record.revision;
                self.decision.tell(Command::PutSheet(Arc::new(sheet)));
            }
            Err(e) => {
                let error = e.to_string();
                warn!(revision = record.revision, error = error.as_str(); "sheet_unreadable");
            }
        }
        Ok(())
    }

    fn take_list(&self, list: &VmList) {
        let own_dc = self.identity.data_centre.as_str();
        let targets = list.vms.iter().filter(|vm| vm.role == TARGET_ROLE);
        let targets = targets
            .filter(|vm| vm.data_centre == own_dc)
            .filter_map(target_info);
        let peers = list.vms.iter().filter(|vm| vm.role == ENTRY_ROLE);
        let peers = peers
            .filter(|vm| vm.name != self.identity.vm.as_str())
            .filter_map(peer_news);
        self.decision.tell(Command::ListTargets(targets.collect()));
        self.decision.tell(Command::ListPeers(peers.collect()));
    }
}

fn target_info(vm: &Vm) -> Option<TargetInfo> {
    Some(TargetInfo {
        vm: vm.name.parse().ok()?,
        service: vm.service.parse().ok()?,
        address: parse_address(&vm.address)?,
        is_leaving: vm.leaving,
    })
}

fn peer_news(vm: &Vm) -> Option<PeerNews> {
    Some(PeerNews {
        vm: vm.name.parse().ok()?,
        data_centre: vm.data_centre.parse().ok()?,
        address: parse_address(&vm.peer_address)?,
        incarnation: None,
        revision: 0,
        is_leaving: vm.leaving,
        held: Vec::new(),
    })
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}
