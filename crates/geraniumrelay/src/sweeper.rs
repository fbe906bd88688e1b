//! Deletes expired rows of the platform's table, a bounded number at a time.

use std::thread;
use std::time::Duration;

use geraniumrelay_core::Clock;
use geraniumrelay_platform::{ExpiryStore, PlatformClient};
use log::{info, warn};
use rand::Rng;

use crate::metrics::Metrics;

/// Most batches deleted in one sweep.
const MAX_BATCHES: u32 = 16;

/// Shortest pause between two sweeps, in milliseconds.
const MIN_PAUSE_MS: u64 = 5_000;

/// Longest pause between two sweeps, in milliseconds.
const MAX_PAUSE_MS: u64 = 15_000;

/// Sweeps for ever. Every entry VM does; random pauses keep them apart, and where two meet, one of
/// them deletes and the other's transaction has no effect.
pub fn run(clock: &impl Clock, client: &PlatformClient, metrics: &Metrics) {
    loop {
        let pause = rand::rng().random_range(MIN_PAUSE_MS..=MAX_PAUSE_MS);
        thread::sleep(Duration::from_millis(pause));
        match ExpiryStore::new(client).sweep(clock.wall(), MAX_BATCHES) {
            Ok(0) => {}
            Ok(rows) => {
                metrics.durable.count_deleted(rows);
                info!(rows; "expired_rows_deleted");
            }
            Err(e) => warn!(error = e.to_string().as_str(); "sweep_failed"),
        }
    }
}
