//! Converts rows of the platform's VM list to targets and peers, and targets to rows.

use std::net::SocketAddr;

use geraniumrelay_core::modules::membership::PeerStatus;
use geraniumrelay_core::modules::targets::TargetInfo;
use geraniumrelay_wire::Vm;

/// Value of [`Vm::role`] for a target.
pub const TARGET_ROLE: &str = "target";

/// Value of [`Vm::role`] for an entry VM.
pub const ENTRY_ROLE: &str = "entry";

/// Converts a target to its row.
pub fn target_row(info: &TargetInfo) -> Vm {
    Vm {
        name: info.vm.to_string(),
        role: TARGET_ROLE.to_owned(),
        service: info.service.to_string(),
        address: info.address.to_string(),
        leaving: info.is_leaving,
        ..Vm::default()
    }
}

/// Converts the row of a target; `None` if a field is malformed.
pub fn target_info(vm: &Vm) -> Option<TargetInfo> {
    Some(TargetInfo {
        vm: vm.name.parse().ok()?,
        service: vm.service.parse().ok()?,
        address: parse_address(&vm.address)?,
        is_leaving: vm.leaving,
    })
}

/// Converts the row of an entry VM; `None` if a field is malformed. Fields that only a heartbeat
/// carries get their empty values.
pub fn peer_status(vm: &Vm) -> Option<PeerStatus> {
    Some(PeerStatus {
        vm: vm.name.parse().ok()?,
        data_centre: vm.data_centre.parse().ok()?,
        address: parse_address(&vm.peer_address)?,
        incarnation: None,
        revision: 0,
        is_leaving: vm.leaving,
        held: Vec::new(),
        spare: Vec::new(),
    })
}

fn parse_address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}
