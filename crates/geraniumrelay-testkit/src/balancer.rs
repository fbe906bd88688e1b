//! Stand-in for the platform's balancer: a random entry VM for each connection.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::caller::Caller;

/// Entry VMs that are probed for one connection.
const PROBES: usize = 100;

/// Picks an entry VM for each connection that a caller opens.
#[derive(Debug, Clone)]
pub struct Balancer {
    entries: Vec<SocketAddr>,
    rng: Arc<Mutex<StdRng>>,
}

impl Balancer {
    /// Balances over `entries`, with choices that follow from `seed`.
    pub fn new(entries: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            entries,
            rng: Arc::new(Mutex::new(StdRng::seed_from_u64(seed))),
        }
    }

    /// An entry VM that says that it is ready, for the next connection; `None` where none does.
    pub fn pick_ready(&self, prober: &Caller) -> Option<SocketAddr> {
        (0..PROBES)
            .map(|_| self.pick())
            .find(|entry| prober.get(*entry, "/readyz").0 == 200)
    }

    /// The entry VM of the next connection.
    pub fn pick(&self) -> SocketAddr {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        self.entries[rng.random_range(0..self.entries.len())]
    }
}
