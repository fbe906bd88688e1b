//! Leased jobs on simulated workers in virtual time.

mod election;
mod faults;
mod jobs;
mod kept;
mod load;
mod takeover;
mod worker;
mod world;
