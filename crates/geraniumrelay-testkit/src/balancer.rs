//! Stand-in for the platform's load balancer: a random entry VM for each connection.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::caller::Caller;

/// Maximum number of readiness probes for one connection.
const MAX_PROBES: usize = 100;

/// Chooses an entry VM for each connection that a caller opens.
#[derive(Debug, Clone)]
pub struct Balancer {
    entries: Vec<SocketAddr>,
    rng: Arc<Mutex<StdRng>>,
}

impl Balancer {
    /// Makes a balancer over `entries` whose choices are determined by `seed`.
    pub fn new(entries: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            entries,
            rng: Arc::new(Mutex::new(StdRng::seed_from_u64(seed))),
        }
    }

    /// Picks entry VMs until one answers its readiness probe with 200; `None` if none does within
    /// the maximum number of probes.
    pub fn pick_ready(&self, prober: &Caller) -> Option<SocketAddr> {
        (0..MAX_PROBES)
            .map(|_| self.pick())
            .find(|entry| prober.get(*entry, "/readyz").0 == 200)
    }

    /// Picks an entry VM at random, without a readiness probe.
    pub fn pick(&self) -> SocketAddr {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        self.entries[rng.random_range(0..self.entries.len())]
    }
}
