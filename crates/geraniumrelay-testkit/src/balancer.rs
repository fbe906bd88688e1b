//! Stand-in for the platform's balancer: a random entry VM for each connection.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

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

    /// The entry VM of the next connection.
    pub fn pick(&self) -> SocketAddr {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        self.entries[rng.random_range(0..self.entries.len())]
    }
}
