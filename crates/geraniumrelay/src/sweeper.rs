//! Deletes expired rows of the platform's table, in sweeps of a bounded number of batches.

use std::thread;
use std::time::Duration;

use geraniumrelay_core::Clock;
use geraniumrelay_platform::{ExpiryStore, PlatformClient};
use log::{info, warn};
use rand::Rng;

use crate::metrics::Metrics;

/// Maximum number of batches deleted in one sweep.
const MAX_BATCHES: u32 = 16;

/// Minimum pause between two sweeps.
const MIN_PAUSE_MS: u64 = 5_000;

/// Maximum pause between two sweeps.
const MAX_PAUSE_MS: u64 = 15_000;

/// Sweeps in an endless loop. Every entry VM runs a sweeper: random pauses make collisions rare, and
/// when two sweeps collide on a batch, one deletes it and the transaction of the other has no effect.
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
