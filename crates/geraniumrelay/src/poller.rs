//! Polls the platform for the sheet and the VM list once a second, and reads only what has changed.
//!
//! The sheet is read as deltas, the list with its entity tag.

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

/// Pause between two polls.
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
    /// Creates the poller of a process that has neither a sheet nor a VM list yet.
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

    /// Polls in an endless loop. After a failed poll, the sheet and the list read before stay in force.
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
        self.poll_vm_list()?;
        self.contact.record_answer(&self.clock);
        Ok(())
    }

    /// Applies a changed list. The entry VMs are sent on every poll, also with an unchanged list,
    /// because the state of the membership changes with time as well.
    fn poll_vm_list(&mut self) -> Result<(), PlatformError> {
        let data_centre = self.identity.data_centre.as_str();
        let listing = self.client.vms(data_centre, self.listing.tag.as_deref())?;
        match listing {
            // An empty list lacks even this VM, so the fault is the platform's; the last list stays.
            Some(listing) if listing.list.vms.is_empty() => warn!("vm_list_empty"),
            Some(listing) => {
                self.listing = listing;
                self.send_targets();
            }
            None => {}
        }
        self.send_peers();
        Ok(())
    }

    /// Applies a newer sheet by its deltas, or the full sheet if deltas are missing or don't apply.
    fn poll_sheet(&self) -> Result<(), PlatformError> {
        let store = SheetStore::new(&self.client);
        let (head, known_revision) = (store.head()?, self.sheets.revision());
        if head.revision <= known_revision {
            return Ok(());
        }
        if let Some(deltas) = store.deltas(known_revision, head.revision)? {
            let update = SheetUpdate {
                revision: head.revision,
                deltas,
                ..SheetUpdate::default()
            };
            if self.apply_sheet(update).is_ok() {
                return Ok(());
            }
        }
        let record = store.current()?;
        let update = SheetUpdate {
            revision: record.revision,
            sheet: record.sheet,
            ..SheetUpdate::default()
        };
        // The cache logs the fault of an invalid sheet and keeps the sheet before.
        let _ = self.apply_sheet(update);
        Ok(())
    }

    fn apply_sheet(&self, update: SheetUpdate) -> Result<(), UpdateError> {
        if let Some(sheet) = self.sheets.apply(update)? {
            self.decision.send(Command::ApplySheet(sheet));
        }
        Ok(())
    }

    /// Sends the targets of the own data centre to the decision thread.
    fn send_targets(&self) {
        let own_data_centre = self.identity.data_centre.as_str();
        let targets = self
            .vms_with_role(TARGET_ROLE)
            .filter(|vm| vm.data_centre == own_data_centre);
        let infos = targets.filter_map(target_info).collect();
        self.decision.send(Command::UpdateTargets(infos));
    }

    /// Sends the entry VMs of all data centres but this VM to the decision thread.
    fn send_peers(&self) {
        let own_name = self.identity.vm.as_str();
        let peers = self
            .vms_with_role(ENTRY_ROLE)
            .filter(|vm| vm.name != own_name);
        let statuses = peers.filter_map(peer_status).collect();
        self.decision.send(Command::UpdatePeers(statuses));
    }

    fn vms_with_role(&self, role: &'static str) -> impl Iterator<Item = &Vm> {
        self.listing
            .list
            .vms
            .iter()
            .filter(move |vm| vm.role == role)
    }
}
