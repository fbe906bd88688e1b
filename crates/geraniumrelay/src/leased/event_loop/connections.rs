//! Connections from other entry VMs: which one of a VM counts, and what follows when one is lost or established.

use std::time::Instant;

use geraniumrelay_core::leased::{Command, EntryVm};

use super::EventLoop;
use crate::leased::input::IncomingConnection;

/// What a message on a connection from another entry VM is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// It is on the peer's present connection.
    Present,
    /// The same process has another connection since.
    Former,
    /// The process has ended.
    Ended,
}

impl EventLoop {
    /// Records a new connection, and tells what a message on it is worth. A new connection ends the one
    /// before, whose own end may be noticed only by a time-out.
    pub(super) fn admit_connection(
        &mut self,
        from: EntryVm,
        connection: IncomingConnection,
    ) -> Admission {
        let Some(&known) = self.connections.get(&from) else {
            self.connections.insert(from, connection);
            return Admission::Present;
        };
        if connection.number < known.number {
            return if connection.incarnation == known.incarnation {
                Admission::Former
            } else {
                Admission::Ended
            };
        }
        if connection.number > known.number {
            self.connections.insert(from, connection);
            if connection.incarnation == known.incarnation {
                self.on_connection_lost(from);
            } else {
                self.on_link_lost(from);
            }
        }
        Admission::Present
    }

    /// Handles the loss of messages from an entry VM whose process goes on.
    pub(super) fn on_connection_lost(&mut self, from: EntryVm) {
        self.config_download.remove_peer(from);
        for name in self.cell_names() {
            self.handle_command(&name, Command::EntryLost(from));
        }
    }

    /// Handles the loss of the only connection from an entry VM, or of its process.
    pub(super) fn on_link_lost(&mut self, from: EntryVm) {
        self.heartbeat_clock.forget(from);
        for name in self.cell_names() {
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            let transition = cell.election.link_lost(from, Instant::now());
            self.apply_transition(&name, transition);
        }
        self.on_connection_lost(from);
        // This VM may be the next candidate of the election, so the tick is run at once.
        self.next_tick = Instant::now();
    }

    /// Sends the jobs assigned to the peer again, because messages on the former connection may be
    /// lost.
    pub(super) fn on_link_up(&mut self, to: EntryVm) {
        for cell in self.cells.values() {
            if cell.election.current().is_some_and(|(vm, _)| vm == to) {
                self.pending_jobs.mark_unsent(&cell.name);
            }
        }
        self.send_unsent_jobs();
        self.next_confirmation = Instant::now();
        // A peer that has just started learns from the heartbeat whether there is a scheduler.
        self.next_heartbeat = Instant::now();
    }
}
