//! A queue that is fair between end users.
//!
//! Start-time fair queueing: each end user has a start tag, which rises by one with every request
//! of the user that is taken; the user with the smallest tag is served next. A user without recent
//! requests starts at the current virtual time and so goes before users that have been served
//! since. All requests of a group have the same cost.

use std::collections::{
    BTreeMap,
    BTreeSet,
    VecDeque, //
};

use schema::{
    QueryId,
    UserName, //
};

#[derive(Clone, Debug, Default)]
struct UserQueue {
    tag: u64,
    waiting: VecDeque<QueryId>,
}

/// Waiting requests, by end user.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    virtual_time: u64,
    arrival_count: u64,
    len: usize,
    users: BTreeMap<UserName, UserQueue>,
    /// Users with a waiting request, by tag and then by the arrival of their first request.
    schedule: BTreeSet<(u64, u64, UserName)>,
    /// Arrival number and user of each waiting request.
    queued: BTreeMap<QueryId, (u64, UserName)>,
}

impl FairQueue {
    /// Number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Whether no request waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of waiting requests of `user`.
    pub(crate) fn count(&self, user: &UserName) -> usize {
        self.users.get(user).map_or(0, |queue| queue.waiting.len())
    }

    /// Number of requests that would be taken before a new one of `user`, counted up to `max`.
    pub(crate) fn count_ahead(&self, user: &UserName, max: u64) -> u64 {
        let user_queue = self.users.get(user);
        let tag = user_queue.map_or(self.virtual_time, |queue| queue.tag.max(self.virtual_time));
        let tag = tag + user_queue.map_or(0, |queue| queue.waiting.len() as u64);
        let mut ahead = 0;
        for (other_tag, _, name) in self.schedule.range(..(tag + 1, 0, user.clone())) {
            let requests_before = tag + 1 - other_tag;
            ahead += requests_before.min(self.count(name) as u64);
            if ahead >= max {
                return max;
            }
        }
        ahead
    }

    /// Adds a request of `user`.
    pub(crate) fn push(&mut self, user: &UserName, query: QueryId) {
        self.arrival_count += 1;
        let queue = self.users.entry(user.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.tag = queue.tag.max(self.virtual_time);
            self.schedule
                .insert((queue.tag, self.arrival_count, user.clone()));
        }
        queue.waiting.push_back(query);
        self.queued
            .insert(query, (self.arrival_count, user.clone()));
        self.len += 1;
    }

    /// Takes the next request.
    pub(crate) fn pop(&mut self) -> Option<QueryId> {
        let (tag, _, user) = self.schedule.pop_first()?;
        self.virtual_time = tag;
        let queue = self.users.get_mut(&user)?;
        let query = queue.waiting.pop_front()?;
        queue.tag = tag + 1;
        self.queued.remove(&query);
        self.len -= 1;
        self.reschedule(&user);
        self.prune_users();
        Some(query)
    }

    /// Removes a request; false if it does not wait.
    pub(crate) fn remove(&mut self, query: QueryId) -> bool {
        let Some((_, user)) = self.queued.get(&query).cloned() else {
            return false;
        };
        if let Some(entry) = self.schedule_entry(&user) {
            self.schedule.remove(&entry);
        }
        if let Some(queue) = self.users.get_mut(&user) {
            queue.waiting.retain(|other| *other != query);
            self.len -= 1;
        }
        self.queued.remove(&query);
        self.reschedule(&user);
        true
    }

    /// Removes the last request of the user with the most waiting requests.
    pub(crate) fn evict_longest(&mut self) -> Option<QueryId> {
        let longest = self
            .users
            .values()
            .max_by_key(|queue| queue.waiting.len())?;
        let query = *longest.waiting.back()?;
        self.remove(query).then_some(query)
    }

    /// Puts a user back into the schedule after the user's first request has changed.
    fn reschedule(&mut self, user: &UserName) {
        if let Some(entry) = self.schedule_entry(user) {
            self.schedule.insert(entry);
        }
    }

    /// The schedule entry of a user with a waiting request.
    fn schedule_entry(&self, user: &UserName) -> Option<(u64, u64, UserName)> {
        let queue = self.users.get(user)?;
        let first = queue.waiting.front()?;
        let (arrival, _) = self.queued.get(first)?;
        Some((queue.tag, *arrival, user.clone()))
    }

    /// Removes idle users whose tag the virtual time has reached, once there are many users.
    fn prune_users(&mut self) {
        if self.users.len() < 2 * self.schedule.len() + 16 {
            return;
        }
        let virtual_time = self.virtual_time;
        self.users
            .retain(|_, queue| queue.tag > virtual_time || !queue.waiting.is_empty());
        if self.schedule.is_empty() {
            self.users.clear();
        }
    }
}
