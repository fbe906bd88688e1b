//! Collection aliases, so that the hasher is chosen in one place.

use rustc_hash::FxBuildHasher;

/// Hash map with a fast, non-cryptographic hasher. Keys must not be chosen by callers.
pub type Map<K, V> = std::collections::HashMap<K, V, FxBuildHasher>;

/// Hash set with a fast, non-cryptographic hasher. Keys must not be chosen by callers.
pub type Set<K> = std::collections::HashSet<K, FxBuildHasher>;
