//! Status of all entry VMs of a data centre, sent to representatives in other data centres.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;

use crate::modules::membership::PeerStatus;

/// The entry VMs of a data centre, as observed by one of them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerDigest {
    /// Hash of the peers without their revisions; equal where the content is unchanged.
    pub hash: u64,
    /// Lowest sheet revision in force at any of the VMs; 0 without VMs.
    pub lowest_revision: u64,
    /// The VMs by name; empty where the receiver already has this content.
    pub peers: Vec<PeerStatus>,
}

impl PeerDigest {
    /// Creates a digest of `peers`, left out where `known_hash` shows that the receiver has them.
    pub fn new(mut peers: Vec<PeerStatus>, known_hash: u64) -> Self {
        peers.sort_by_key(|peer| peer.vm);
        let hash = content_hash(&peers);
        let lowest = peers.iter().map(|peer| peer.revision).min();
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

/// Hashes all but the revisions, which change too often; the digest has the lowest separately.
fn content_hash(peers: &[PeerStatus]) -> u64 {
    let mut hasher = FxHasher::default();
    for peer in peers {
        peer.vm.hash(&mut hasher);
        peer.address.hash(&mut hasher);
        peer.incarnation.hash(&mut hasher);
        peer.is_leaving.hash(&mut hasher);
        peer.held.hash(&mut hasher);
    }
    hasher.finish()
}
