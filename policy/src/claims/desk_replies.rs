//! What the claim desk makes of the store's replies.

use schema::TimePoint;

use super::{
    claim_run::{
        read_value,
        ClaimGoal,
        ClaimSight, //
    },
    restore_answer,
    ClaimAction,
    ClaimDesk, //
};
use crate::{
    engine::ClaimVerdict,
    store::StoreReply, //
};

impl ClaimDesk {
    pub(super) fn replied(
        &mut self,
        now: TimePoint,
        call: u64,
        reply: StoreReply,
        actions: &mut Vec<ClaimAction>,
    ) {
        if !reply.is_outage() {
            self.delay.reset();
        }
        let lease = match reply {
            StoreReply::Granted { lease } => Some(lease),
            _ => None,
        };
        if let Some(waiting) = self.leases.settle(call, lease) {
            self.lease_settled(now, lease, &waiting, actions);
            return;
        }
        let Some(sequence) = self.calls.remove(&call) else {
            return;
        };
        let Some(run) = self.runs.get_mut(&sequence) else {
            return;
        };
        run.call = None;
        match (run.writing, reply) {
            (true, StoreReply::Written { revision }) => {
                self.written(sequence, revision, actions);
            }
            (true, StoreReply::Conflict { revision }) => {
                self.conflict(now, sequence, revision, actions);
            }
            (false, StoreReply::Found { value, revision }) => {
                self.found(now, sequence, &value, revision, actions);
            }
            (false, StoreReply::Missing) => self.missing(now, sequence, actions),
            (_, StoreReply::Refused) if run.goal != ClaimGoal::Take => {
                self.counts.dropped += 1;
                self.end(sequence);
            }
            (writing, reply) => {
                let unsure = writing && reply == StoreReply::Indeterminate;
                run.unsure |= unsure;
                self.failed(now, sequence, unsure, actions);
            }
        }
    }

    fn lease_settled(
        &mut self,
        now: TimePoint,
        lease: Option<u64>,
        waiting: &[u64],
        actions: &mut Vec<ClaimAction>,
    ) {
        for sequence in waiting {
            match lease {
                Some(lease) => self.write_under(*sequence, lease, actions),
                None => self.failed(now, *sequence, false, actions),
            }
        }
    }

    fn written(&mut self, sequence: u64, revision: u64, actions: &mut Vec<ClaimAction>) {
        let Some(run) = self.runs.get_mut(&sequence) else {
            return;
        };
        run.revision = Some(revision);
        run.expect = revision;
        if run.goal == ClaimGoal::Take {
            self.settle(sequence, ClaimVerdict::Granted, actions);
            return;
        }
        if run.goal == ClaimGoal::Release {
            self.counts.released += 1;
        }
        self.end(sequence);
    }

    fn conflict(
        &mut self,
        now: TimePoint,
        sequence: u64,
        revision: u64,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(run) = self.runs.get_mut(&sequence) else {
            return;
        };
        let lease_gone = revision == run.expect && run.lease != 0;
        if let (true, Some(end)) = (lease_gone, run.lease_end) {
            let lease = run.lease;
            self.leases.drop_lease(end, lease);
            self.again(now, sequence, actions);
            return;
        }
        self.read(sequence, actions);
    }

    fn found(
        &mut self,
        now: TimePoint,
        sequence: u64,
        value: &[u8],
        revision: u64,
        actions: &mut Vec<ClaimAction>,
    ) {
        let holder = self.holder(sequence);
        let Some(run) = self.runs.get_mut(&sequence) else {
            return;
        };
        let taking = run.goal == ClaimGoal::Take;
        match read_value(&holder, value) {
            ClaimSight::Ours => {
                self.counts.read_back += 1;
                run.revision = Some(revision);
                run.expect = revision;
                if taking {
                    self.settle(sequence, ClaimVerdict::Granted, actions);
                } else {
                    self.again(now, sequence, actions);
                }
            }
            ClaimSight::Released if taking => {
                run.expect = revision;
                self.again(now, sequence, actions);
            }
            ClaimSight::Recorded(record) if taking => {
                let verdict = match restore_answer(&record) {
                    Some(answer) => ClaimVerdict::Recorded(Box::new(answer)),
                    None => ClaimVerdict::Taken,
                };
                self.settle(sequence, verdict, actions);
            }
            ClaimSight::Taken if taking => self.settle(sequence, ClaimVerdict::Taken, actions),
            ClaimSight::OursDone => {
                self.counts.read_back += 1;
                self.end(sequence);
            }
            _ => self.end(sequence),
        }
    }

    /// The key does not exist: a write that had no answer may still create it, so the claim's last
    /// goal is written in its place.
    fn missing(&mut self, now: TimePoint, sequence: u64, actions: &mut Vec<ClaimAction>) {
        if let Some(run) = self.runs.get_mut(&sequence) {
            run.expect = 0;
            run.revision = None;
        }
        self.again(now, sequence, actions);
    }

    /// Writes again, while the claim has tries left.
    fn again(&mut self, now: TimePoint, sequence: u64, actions: &mut Vec<ClaimAction>) {
        let Some(run) = self.runs.get(&sequence) else {
            return;
        };
        if run.goal == ClaimGoal::Take && run.tries >= self.settings.tries {
            self.refuse(now, sequence, actions);
            return;
        }
        self.write(now, sequence, actions);
    }

    fn failed(
        &mut self,
        now: TimePoint,
        sequence: u64,
        unsure: bool,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(run) = self.runs.get(&sequence) else {
            return;
        };
        if run.goal != ClaimGoal::Take {
            self.retry_later(now, sequence);
            return;
        }
        if unsure && run.tries < self.settings.tries {
            self.read(sequence, actions);
            return;
        }
        self.refuse(now, sequence, actions);
    }

    /// Refuses a claim for want of the store. Where a write of it may have taken effect, it is
    /// given back in the background.
    fn refuse(&mut self, now: TimePoint, sequence: u64, actions: &mut Vec<ClaimAction>) {
        let Some(run) = self.runs.get_mut(&sequence) else {
            return;
        };
        let unsure = run.unsure;
        let query = run.query;
        run.goal = ClaimGoal::Release;
        self.counts.store_down += 1;
        let verdict = ClaimVerdict::StoreDown;
        actions.push(ClaimAction::Settled { query, verdict });
        self.queries.remove(&query);
        if unsure {
            self.retry_later(now, sequence);
        } else {
            self.end(sequence);
        }
    }
}
