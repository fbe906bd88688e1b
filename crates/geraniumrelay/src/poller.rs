//! Platform poller: the sheet and the VM list, once a second; of both only what has changed.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use geraniumrelay_core::{Clock, Command, Identity};
use geraniumrelay_platform::{PlatformClient, PlatformError, SheetStore, VmListing};
use geraniumrelay_wire::{SheetUpdate, Vm};
use log::warn;

use crate::platform_contact::PlatformContact;
use crate::requests::DecisionTx;
use crate::sheet_cache::{SheetCache, UpdateError};
use crate::vm_rows::{ENTRY_ROLE, TARGET_ROLE, peer_status, target_info};

/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls the platform for one entry process.
#[derive(Debug)]
pub struct Poller<C> {
    clock: C,
    client: PlatformClient,
    identity: Identity,
    decision: DecisionTx,
    sheets: Arc<SheetCache>,
    contact: Arc<PlatformContact>,
    listing: VmListing,
}

impl<C: Clock> Poller<C> {
    /// Makes the poller of a process that has nothing in force yet.
    pub fn new(
        clock: C,
        client: PlatformClient,
        identity: Identity,
        decision: DecisionTx,
        sheets: Arc<SheetCache>,
        contact: Arc<PlatformContact>,
    ) -> Self {
        Self {
            clock,
            client,
            identity,
            decision,
            sheets,
            contact,
            listing: VmListing::default(),
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
        self.poll_list()?;
        self.contact.record_answer(&self.clock);
        Ok(())
    }

    /// Takes over the list; what is known of entry VMs also changes with time, so these are told
    /// each time.
    fn poll_list(&mut self) -> Result<(), PlatformError> {
        let data_centre = self.identity.data_centre.as_str();
        let listing = self.client.vms(data_centre, self.listing.tag.as_deref())?;
        match listing {
            // A list without any VM, not even this one, tells of the platform and not of the VMs.
            Some(listing) if listing.list.vms.is_empty() => warn!("vm_list_empty"),
            Some(listing) => {
                self.listing = listing;
                self.tell_targets();
            }
            None => {}
        }
        self.tell_peers();
        Ok(())
    }

    /// Takes a newer sheet by its differences, or whole where these don't lead to it.
    fn poll_sheet(&self) -> Result<(), PlatformError> {
        let store = SheetStore::new(&self.client);
        let (head, have) = (store.head()?, self.sheets.revision());
        if head.revision <= have {
            return Ok(());
        }
        if let Some(deltas) = store.deltas(have, head.revision)? {
            let update = SheetUpdate {
                revision: head.revision,
                deltas,
                ..SheetUpdate::default()
            };
            if self.take_sheet(update).is_ok() {
                return Ok(());
            }
        }
        let record = store.current()?;
        let update = SheetUpdate {
            revision: record.revision,
            sheet: record.sheet,
            ..SheetUpdate::default()
        };
        // The cache has logged why it can't take the sheet, and keeps the one before.
        let _ = self.take_sheet(update);
        Ok(())
    }

    fn take_sheet(&self, update: SheetUpdate) -> Result<(), UpdateError> {
        if let Some(sheet) = self.sheets.take(update)? {
            self.decision.send(Command::ApplySheet(sheet));
        }
        Ok(())
    }

    fn tell_targets(&self) {
        let own_dc = self.identity.data_centre.as_str();
        let targets = self.rows(TARGET_ROLE).filter(|vm| vm.data_centre == own_dc);
        let infos = targets.filter_map(target_info).collect();
        self.decision.send(Command::UpdateTargets(infos));
    }

    fn tell_peers(&self) {
        let own = self.identity.vm.as_str();
        let peers = self.rows(ENTRY_ROLE).filter(|vm| vm.name != own);
        let status = peers.filter_map(peer_status).collect();
        self.decision.send(Command::UpdatePeers(status));
    }

    fn rows(&self, role: &'static str) -> impl Iterator<Item = &Vm> {
        self.listing
            .list
            .vms
            .iter()
            .filter(move |vm| vm.role == role)
    }
}
