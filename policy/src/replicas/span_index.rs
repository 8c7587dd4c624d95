//! Index of the replicas by the keys they serve.

use schema::{
    SpanSet,
    VmName,
    KEY_SPACE, //
};

/// Number of equal ranges into which the key space is divided.
const BUCKET_COUNT: u32 = 2048;
/// Number of keys in one range.
const BUCKET_KEYS: u32 = KEY_SPACE / BUCKET_COUNT;

/// For each range of keys, the replicas that may serve a part of it, in the order of their names.
#[derive(Debug, Default)]
pub(crate) struct SpanIndex {
    buckets: Vec<Vec<VmName>>,
}

impl SpanIndex {
    /// Removes all replicas.
    pub(crate) fn clear(&mut self) {
        self.buckets.clear();
        self.buckets.resize(BUCKET_COUNT as usize, Vec::new());
    }

    /// Adds `vm` to the ranges of `keys`; it also stays in those that it was added to before.
    pub(crate) fn insert(&mut self, vm: &VmName, keys: &SpanSet) {
        if self.buckets.is_empty() {
            self.clear();
        }
        for span in keys.spans() {
            let first = span.start() / BUCKET_KEYS;
            let last = (span.end() - 1) / BUCKET_KEYS;
            for bucket in first..=last {
                let names = &mut self.buckets[bucket as usize];
                if let Err(index) = names.binary_search(vm) {
                    names.insert(index, vm.clone());
                }
            }
        }
    }

    /// The replicas that may serve `key`.
    pub(crate) fn replicas_at(&self, key: u32) -> &[VmName] {
        let bucket = self.buckets.get((key / BUCKET_KEYS) as usize);
        bucket.map_or(&[], Vec::as_slice)
    }
}
