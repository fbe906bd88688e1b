//! What one VM says of all entry VMs of its data centre, to contacts in other data centres.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use crate::modules::membership::PeerNews;

/// The entry VMs of a data centre, as one of them hears them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDigest {
    /// Hash of the content; equal where nothing has changed.
    pub hash: u64,
    /// Lowest revision that any of the VMs has in force.
    pub lowest_revision: u64,
    /// The VMs; empty where the receiver has this content already.
    pub peers: Vec<PeerNews>,
}

impl PeerDigest {
    /// Makes the digest of some VMs, without them where the receiver knows this content.
    pub fn new(mut peers: Vec<PeerNews>, known_hash: u64) -> Self {
        peers.sort_by_key(|news| news.vm);
        let hash = hash_of(&peers);
        let lowest = peers.iter().map(|news| news.revision).min();
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
fn hash_of(peers: &[PeerNews]) -> u64 {
    let mut hasher = FxHasher::default();
    for news in peers {
        news.vm.hash(&mut hasher);
        news.address.hash(&mut hasher);
        news.incarnation.hash(&mut hasher);
        news.is_leaving.hash(&mut hasher);
        news.held.hash(&mut hasher);
    }
    hasher.finish()
}
