//! Leased jobs on simulated workers in virtual time.

mod capacity;
mod cell_choice;
mod cell_moves;
mod config_transfer;
mod confirmations;
mod contention;
mod deadly_tasks;
mod durable;
mod election;
mod evacuation;
mod faults;
mod goodput;
mod jobs;
mod late_confirmations;
mod load;
mod locality;
mod queue_scan;
mod resends;
mod restarts;
mod speeds;
mod stops;
mod superseded;
mod takeover;
mod two_schedulers;
mod worker;
mod world;
