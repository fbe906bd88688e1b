//! Suitability of a VM as the scheduler of a cell.
//!
//! Load pattern: small and large VMs, more cells than large VMs, and a burst right after a takeover. A
//! VM that schedules several cells has to serve the replies of all their workers.

use std::cmp::Reverse;
use std::time::Duration;

use super::election::Heartbeat;
use super::names::EntryVm;

/// Suitability of a VM as the scheduler of a cell.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fitness {
    /// Whether the VM is in the cell's data centre; `true` for a cell without one.
    pub is_local: bool,
    /// Processor of the VM, in tenths of a core.
    pub cpu_tenths: u32,
    /// Number of other cells that the VM schedules.
    pub other_cells: u32,
}

impl Fitness {
    /// Processor for each cell if the VM schedules this one, in thousandths of a core.
    pub fn share(self) -> u32 {
        self.cpu_tenths * 100 / (self.other_cells + 1)
    }
}

/// Reasons not to schedule, the most important one first: the store does not answer the VM, it lags,
/// it does not know the departed workers, it is in another data centre.
type Weaknesses = (bool, bool, bool, bool);

impl Heartbeat {
    fn weaknesses(&self, lag_limit: Duration) -> Weaknesses {
        (
            !self.has_store,
            self.lag >= lag_limit,
            !self.knows_departed,
            !self.fitness.is_local,
        )
    }

    /// Whether the sender has more reasons not to schedule than `other`, whatever their processors.
    pub(super) fn is_weaker_than(&self, other: &Self, lag_limit: Duration) -> bool {
        self.weaknesses(lag_limit) > other.weaknesses(lag_limit)
    }
}

/// Sort key of entry VMs for a takeover, the preferred one first: by their weaknesses, then by the
/// processor that they have for the cell.
pub(super) fn preference(
    vm: EntryVm,
    heartbeat: &Heartbeat,
    lag_limit: Duration,
) -> impl Ord + use<> {
    let Fitness { other_cells, .. } = heartbeat.fitness;
    let share = Reverse(heartbeat.fitness.share());
    (heartbeat.weaknesses(lag_limit), share, other_cells, vm)
}
