//! Collection aliases that fix the hasher for the whole crate.

use rustc_hash::FxBuildHasher;

/// Hash map with a fast, non-cryptographic hasher. Keys must not be chosen by callers, who could
/// force collisions.
pub type Map<K, V> = std::collections::HashMap<K, V, FxBuildHasher>;

/// Hash set with a fast, non-cryptographic hasher. Keys must not be chosen by callers, who could
/// force collisions.
pub type Set<K> = std::collections::HashSet<K, FxBuildHasher>;
