//! Compact map for sequences that mostly arrive in order.
//!
//! A B-tree leaves its nodes half empty when keys arrive in order. Each page of neighbouring
//! sequences is therefore stored as a pair of dense arrays.

use std::collections::BTreeMap;

/// Number of sequences per page.
const PAGE_SEQS: u64 = 1_024;

/// Ordered map from a sequence to a value.
#[derive(Debug, Clone)]
pub struct SeqMap<V> {
    pages: BTreeMap<u64, Page<V>>,
    len: usize,
}

/// Values of one page, sorted by the offset of their sequence in the page.
#[derive(Debug, Clone)]
struct Page<V> {
    offsets: Vec<u16>,
    values: Vec<V>,
}

impl<V> Default for SeqMap<V> {
    fn default() -> Self {
        Self {
            pages: BTreeMap::new(),
            len: 0,
        }
    }
}

impl<V> SeqMap<V> {
    /// Number of stored values.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the map has no value.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Value of a sequence, if any.
    pub fn get(&self, seq: u64) -> Option<&V> {
        let page = self.pages.get(&page_of(seq))?;
        let i = page.offsets.binary_search(&offset_of(seq)).ok()?;
        page.values.get(i)
    }

    /// Sets the value of a sequence and returns the previous value.
    pub fn insert(&mut self, seq: u64, value: V) -> Option<V> {
        let before = self.pages.entry(page_of(seq)).or_default();
        let before = before.insert(offset_of(seq), value);
        self.len += usize::from(before.is_none());
        before
    }

    /// Values at and above a sequence, in order.
    pub fn range_from(&self, seq: u64) -> impl Iterator<Item = (u64, &V)> {
        self.pages
            .range(page_of(seq)..)
            .flat_map(|(page, values)| values.iter(*page))
            .skip_while(move |(found, _)| *found < seq)
    }

    /// Sequence of the value at position `index` in order, from 0.
    pub fn nth(&self, index: usize) -> Option<u64> {
        let mut before = 0;
        for (number, page) in &self.pages {
            if let Some(offset) = page.offsets.get(index - before) {
                return Some(number * PAGE_SEQS + u64::from(*offset));
            }
            before += page.offsets.len();
        }
        None
    }

    /// Removes and returns the values below a sequence, in order.
    pub fn take_below(&mut self, seq: u64) -> Vec<(u64, V)> {
        let mut above = self.pages.split_off(&page_of(seq));
        let mut below = std::mem::take(&mut self.pages);
        if let Some(page) = above.get_mut(&page_of(seq)) {
            let rest = page.split_off(offset_of(seq));
            below.insert(page_of(seq), std::mem::replace(page, rest));
        }
        above.retain(|_, page| !page.offsets.is_empty());
        self.pages = above;
        let taken: Vec<(u64, V)> = below
            .into_iter()
            .flat_map(|(number, page)| page.into_iter(number))
            .collect();
        self.len -= taken.len();
        taken
    }
}

impl<V> Default for Page<V> {
    fn default() -> Self {
        Self {
            offsets: Vec::new(),
            values: Vec::new(),
        }
    }
}

impl<V> Page<V> {
    fn insert(&mut self, offset: u16, value: V) -> Option<V> {
        match self.offsets.binary_search(&offset) {
            Ok(i) => Some(std::mem::replace(&mut self.values[i], value)),
            Err(i) => {
                self.offsets.insert(i, offset);
                self.values.insert(i, value);
                None
            }
        }
    }

    fn split_off(&mut self, offset: u16) -> Self {
        let at = self.offsets.partition_point(|found| *found < offset);
        Self {
            offsets: self.offsets.split_off(at),
            values: self.values.split_off(at),
        }
    }

    fn iter(&self, number: u64) -> impl Iterator<Item = (u64, &V)> {
        let seqs = self
            .offsets
            .iter()
            .map(move |offset| seq_of(number, *offset));
        seqs.zip(&self.values)
    }

    fn into_iter(self, number: u64) -> impl Iterator<Item = (u64, V)> {
        let offsets = self.offsets.into_iter();
        offsets
            .map(move |offset| seq_of(number, offset))
            .zip(self.values)
    }
}

fn page_of(seq: u64) -> u64 {
    seq / PAGE_SEQS
}

fn offset_of(seq: u64) -> u16 {
    // The remainder is below `PAGE_SEQS`, which fits into 16 bits.
    u16::try_from(seq % PAGE_SEQS).unwrap_or(u16::MAX)
}

fn seq_of(page: u64, offset: u16) -> u64 {
    page * PAGE_SEQS + u64::from(offset)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn the_map_matches_an_ordered_map(
            steps in prop::collection::vec((0_u64..5_000, any::<u8>()), 0..400),
            cut in 0_u64..6_000,
        ) {
            let (mut map, mut model) = (SeqMap::default(), BTreeMap::new());
            for (seq, value) in steps {
                prop_assert_eq!(map.insert(seq, value), model.insert(seq, value));
            }
            prop_assert_eq!(map.len(), model.len());
            let at = model.len() / 2;
            prop_assert_eq!(map.nth(at), model.keys().nth(at).copied());
            let from: Vec<_> = map.range_from(cut).map(|(seq, v)| (seq, *v)).collect();
            let above = model.split_off(&cut);
            prop_assert_eq!(from, above.clone().into_iter().collect::<Vec<_>>());
            prop_assert_eq!(map.take_below(cut), model.into_iter().collect::<Vec<_>>());
            prop_assert_eq!(map.len(), above.len());
            for (seq, value) in above {
                prop_assert_eq!(map.get(seq), Some(&value));
            }
        }
    }
}
