//! Scheduling policies, chosen at compile time.

use std::fmt::Debug;

use crate::modules::order::{EstimatedSize, Order};
use crate::modules::slots::{FreeSlots, SlotPool};

/// A set of scheduling policies.
pub trait Policy: Debug + 'static {
    /// Selects the targets that a VM uses and the next free slot.
    type Slots: SlotPool;
    /// Orders jobs within one urgency class and team.
    type Order: Order;
}

/// Policies of the entry process: targets assigned to entry VMs, with slot loans, and the shortest
/// remaining job first by estimated run time.
#[derive(Debug, Clone, Copy)]
pub struct Standard;

impl Policy for Standard {
    type Slots = FreeSlots;
    type Order = EstimatedSize;
}
