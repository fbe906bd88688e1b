//! What one VM says of all entry VMs of its data centre, to contacts in other data centres.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use crate::modules::membership::PeerStatus;

/// The entry VMs of a data centre, as one of them hears them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDigest {
    /// Hash of the content; equal where nothing has changed.
    pub hash: u64,
    /// Lowest revision that any of the VMs has in force.
    pub lowest_revision: u64,
    /// The VMs; empty where the receiver has this content already.
    pub peers: Vec<PeerStatus>,
}

impl PeerDigest {
    /// Makes the digest of some VMs, without them where the receiver knows this content.
    pub fn new(mut peers: Vec<PeerStatus>, known_hash: u64) -> Self {
        peers.sort_by_key(|status| status.vm);
        let hash = hash_of(&peers);
        let lowest = peers.iter().map(|status| status.revision).min();
        if hash == known_hash {
            peers.clear();
        }
        Self {
            hash,
            lowest_revision: lowest.unwrap_or_default(),
            peers,
        }
    }
}

/// Revisions change too often to count; the lowest stands beside.
fn hash_of(peers: &[PeerStatus]) -> u64 {
    let mut hasher = FxHasher::default();
    for status in peers {
        status.vm.hash(&mut hasher);
        status.address.hash(&mut hasher);
        status.incarnation.hash(&mut hasher);
        status.is_leaving.hash(&mut hasher);
        status.held.hash(&mut hasher);
    }
    hasher.finish()
}
