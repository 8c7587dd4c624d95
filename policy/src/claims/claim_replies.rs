//! How the claim manager handles the store's replies.

use schema::TimePoint;

use super::{
    claim_state::{
        decode_value,
        ClaimGoal,
        StoredClaim, //
    },
    restore_answer,
    ClaimAction,
    ClaimManager, //
};
use crate::{
    engine::ClaimVerdict,
    store::StoreReply, //
};

impl ClaimManager {
    pub(super) fn on_reply(
        &mut self,
        now: TimePoint,
        call: u64,
        reply: StoreReply,
        actions: &mut Vec<ClaimAction>,
    ) {
        if !reply.is_outage() {
            self.retry_delay.reset();
        }
        let lease = match reply {
            StoreReply::Granted { lease } => Some(lease),
            _ => None,
        };
        if let Some(waiting) = self.leases.complete_call(call, lease) {
            self.on_lease_reply(now, lease, &waiting, actions);
            return;
        }
        let Some(sequence) = self.call_sequences.remove(&call) else {
            return;
        };
        let Some(state) = self.claims.get_mut(&sequence) else {
            return;
        };
        state.call = None;
        match (state.is_write, reply) {
            (true, StoreReply::Written { revision }) => {
                self.on_written(sequence, revision, actions);
            }
            (true, StoreReply::Conflict { revision }) => {
                self.on_conflict(now, sequence, revision, actions);
            }
            (false, StoreReply::Found { value, revision }) => {
                self.on_found(now, sequence, &value, revision, actions);
            }
            (false, StoreReply::Missing) => self.on_missing(now, sequence, actions),
            (_, StoreReply::Refused) if state.goal != ClaimGoal::Take => {
                self.counts.dropped += 1;
                self.remove(sequence);
            }
            (is_write, reply) => {
                let write_unsure = is_write && reply == StoreReply::Indeterminate;
                state.write_unsure |= write_unsure;
                self.on_failed(now, sequence, write_unsure, actions);
            }
        }
    }

    fn on_lease_reply(
        &mut self,
        now: TimePoint,
        lease: Option<u64>,
        waiting: &[u64],
        actions: &mut Vec<ClaimAction>,
    ) {
        for sequence in waiting {
            match lease {
                Some(lease) => self.write_with_lease(*sequence, lease, actions),
                None => self.on_failed(now, *sequence, false, actions),
            }
        }
    }

    fn on_written(&mut self, sequence: u64, revision: u64, actions: &mut Vec<ClaimAction>) {
        let Some(state) = self.claims.get_mut(&sequence) else {
            return;
        };
        state.revision = Some(revision);
        state.expected_revision = revision;
        if state.goal == ClaimGoal::Take {
            self.resolve(sequence, ClaimVerdict::Granted, actions);
            return;
        }
        if state.goal == ClaimGoal::Release {
            self.counts.released += 1;
        }
        self.remove(sequence);
    }

    fn on_conflict(
        &mut self,
        now: TimePoint,
        sequence: u64,
        revision: u64,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(state) = self.claims.get_mut(&sequence) else {
            return;
        };
        let lease_gone = revision == state.expected_revision && state.lease != 0;
        if let (true, Some(end)) = (lease_gone, state.lease_end) {
            let lease = state.lease;
            self.leases.drop_lease(end, lease);
            self.retry_write(now, sequence, actions);
            return;
        }
        self.start_read(sequence, actions);
    }

    fn on_found(
        &mut self,
        now: TimePoint,
        sequence: u64,
        value: &[u8],
        revision: u64,
        actions: &mut Vec<ClaimAction>,
    ) {
        let holder = self.holder(sequence);
        let Some(state) = self.claims.get_mut(&sequence) else {
            return;
        };
        let taking = state.goal == ClaimGoal::Take;
        match decode_value(&holder, value) {
            StoredClaim::Own => {
                self.counts.read_back += 1;
                state.revision = Some(revision);
                state.expected_revision = revision;
                if taking {
                    self.resolve(sequence, ClaimVerdict::Granted, actions);
                } else {
                    self.retry_write(now, sequence, actions);
                }
            }
            StoredClaim::Released if taking => {
                state.expected_revision = revision;
                self.retry_write(now, sequence, actions);
            }
            StoredClaim::Recorded(record) if taking => {
                let verdict = match restore_answer(&record) {
                    Some(answer) => ClaimVerdict::Recorded(Box::new(answer)),
                    None => ClaimVerdict::Taken,
                };
                self.resolve(sequence, verdict, actions);
            }
            StoredClaim::Taken if taking => self.resolve(sequence, ClaimVerdict::Taken, actions),
            StoredClaim::OwnFinished => {
                self.counts.read_back += 1;
                self.remove(sequence);
            }
            _ => self.remove(sequence),
        }
    }

    /// The key does not exist, but a write without a reply may still create it. Therefore the goal
    /// of the claim is written in its place.
    fn on_missing(&mut self, now: TimePoint, sequence: u64, actions: &mut Vec<ClaimAction>) {
        if let Some(state) = self.claims.get_mut(&sequence) {
            state.expected_revision = 0;
            state.revision = None;
        }
        self.retry_write(now, sequence, actions);
    }

    /// Writes again, unless the claim has used up its store calls.
    fn retry_write(&mut self, now: TimePoint, sequence: u64, actions: &mut Vec<ClaimAction>) {
        let Some(state) = self.claims.get(&sequence) else {
            return;
        };
        if state.goal == ClaimGoal::Take && state.store_calls >= self.settings.max_store_calls {
            self.refuse_unavailable(now, sequence, actions);
            return;
        }
        self.start_write(now, sequence, actions);
    }

    fn on_failed(
        &mut self,
        now: TimePoint,
        sequence: u64,
        write_unsure: bool,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(state) = self.claims.get(&sequence) else {
            return;
        };
        if state.goal != ClaimGoal::Take {
            self.schedule_retry(now, sequence);
            return;
        }
        if write_unsure && state.store_calls < self.settings.max_store_calls {
            self.start_read(sequence, actions);
            return;
        }
        self.refuse_unavailable(now, sequence, actions);
    }

    /// Refuses a claim because the store is unavailable. If a write may have taken effect, the
    /// claim is released in the background.
    fn refuse_unavailable(
        &mut self,
        now: TimePoint,
        sequence: u64,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(state) = self.claims.get_mut(&sequence) else {
            return;
        };
        let write_unsure = state.write_unsure;
        let query = state.query;
        state.goal = ClaimGoal::Release;
        self.counts.store_down += 1;
        let verdict = ClaimVerdict::StoreDown;
        actions.push(ClaimAction::Resolved { query, verdict });
        self.query_sequences.remove(&query);
        if write_unsure {
            self.schedule_retry(now, sequence);
        } else {
            self.remove(sequence);
        }
    }
}
