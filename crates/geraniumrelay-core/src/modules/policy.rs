//! Choice of policies, fixed when the program is built.

use std::fmt::Debug;

use crate::modules::order::{EstimatedSize, Order};
use crate::modules::slots::{FreeSlots, SlotPool};

/// One set of policies.
pub trait Policy: Debug + 'static {
    /// Which targets a VM uses, and which free slot is next.
    type Slots: SlotPool;
    /// Which job is next within its class and team.
    type Order: Order;
}

/// The policies of the entry process: homes with borrowing, shortest remaining job by learnt run
/// time.
#[derive(Debug, Clone, Copy)]
pub struct Standard;

impl Policy for Standard {
    type Slots = FreeSlots;
    type Order = EstimatedSize;
}
