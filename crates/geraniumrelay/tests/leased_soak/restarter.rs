//! Restarts workers under their names, in series.

use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::sleep;

use crate::platform::Platform;

/// Maximum number of restarts in a series.
const MAX_SERIES: usize = 4;

/// Maximum time between two restarts of a series, in milliseconds.
const MAX_SERIES_PAUSE_MS: u64 = 150;

/// Maximum time between two series, in milliseconds.
const MAX_PAUSE_MS: u64 = 900;

/// A running task that restarts workers.
pub(crate) struct Restarter {
    is_stopping: Rc<Cell<bool>>,
    restarting: JoinHandle<usize>,
}

impl Restarter {
    pub(crate) fn start(platform: &Rc<Platform>, workers: usize, seed: u64) -> Self {
        let is_stopping = Rc::new(Cell::new(false));
        let rng = StdRng::seed_from_u64(seed + 900_000);
        let restarting = restart(Rc::clone(platform), workers, rng, Rc::clone(&is_stopping));
        Self {
            is_stopping,
            restarting: spawn_local(restarting),
        }
    }

    /// Stops after the restarts that have begun, and returns their number.
    pub(crate) async fn stop(self) -> usize {
        self.is_stopping.set(true);
        self.restarting.await.unwrap()
    }
}

async fn restart(
    platform: Rc<Platform>,
    workers: usize,
    mut rng: StdRng,
    is_stopping: Rc<Cell<bool>>,
) -> usize {
    let mut restarts = JoinSet::new();
    let mut busy = BTreeSet::new();
    let mut count = 0;
    while !is_stopping.get() {
        sleep(Duration::from_millis(rng.random_range(50..MAX_PAUSE_MS))).await;
        let first = rng.random_range(0..workers);
        let series = rng.random_range(1..=MAX_SERIES);
        for worker in (first..).take(series).map(|w| w % workers) {
            let (platform, seed) = (Rc::clone(&platform), rng.random());
            if busy.insert(worker) {
                count += 1;
                restarts.spawn_local(async move {
                    platform.restart_worker(worker, seed).await;
                    worker
                });
            }
            let pause = rng.random_range(0..MAX_SERIES_PAUSE_MS);
            sleep(Duration::from_millis(pause)).await;
            while let Some(restarted) = restarts.try_join_next() {
                busy.remove(&restarted.unwrap());
            }
        }
    }
    while let Some(restarted) = restarts.join_next().await {
        restarted.unwrap();
    }
    count
}
