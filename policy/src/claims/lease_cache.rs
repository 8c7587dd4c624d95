//! Leases that claims are attached to.

use std::collections::BTreeMap;

use schema::TimePoint;

/// A lease that ends at a given time or later.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseSlot {
    /// Number of the lease in the store, once granted.
    pub(super) lease: Option<u64>,
    /// Open call that asks the store for the lease.
    pub(super) call: Option<u64>,
    /// Sequence numbers of the claims that wait for the lease.
    pub(super) waiting: Vec<u64>,
}

/// The leases of this daemon. Claims whose lease may end at the same time share one.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseCache {
    slots: BTreeMap<TimePoint, LeaseSlot>,
}

impl LeaseCache {
    /// The lease for claims that may end at `end`. Leases that ended before `now` are removed,
    /// unless a call for them is open.
    pub(super) fn slot(&mut self, now: TimePoint, end: TimePoint) -> &mut LeaseSlot {
        self.slots
            .retain(|slot_end, slot| *slot_end > now || slot.call.is_some());
        self.slots.entry(end).or_default()
    }

    /// Records the reply to a call for a lease and returns the claims that waited for it; `None` if
    /// the call was for something else.
    pub(super) fn complete_call(&mut self, call: u64, lease: Option<u64>) -> Option<Vec<u64>> {
        let slot = self
            .slots
            .values_mut()
            .find(|slot| slot.call == Some(call))?;
        slot.call = None;
        slot.lease = lease;
        Some(std::mem::take(&mut slot.waiting))
    }

    /// Removes a lease that no longer exists in the store.
    pub(super) fn drop_lease(&mut self, end: TimePoint, lease: u64) {
        if let Some(slot) = self.slots.get_mut(&end) {
            if slot.lease == Some(lease) {
                slot.lease = None;
            }
        }
    }
}
