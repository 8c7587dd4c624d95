//! Pool of connections to all upstreams, with a limit for each.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    net::SocketAddr,
    time::Duration, //
};

use policy::engine::SendOrder;
use schema::{
    AttemptId,
    TimePoint,
    VmName, //
};

use crate::upstream_link::UpstreamLink;

/// An idle connection is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// When an upstream has not replied for this long while exchanges are in flight, its connections
/// may have been dropped by a device in between without notice.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(20);

/// A connection that has not carried an exchange counts as new for this long.
const NEW_MAX_AGE: Duration = Duration::from_millis(100);

/// A connection that became idle less than this ago is expected to work still.
const RECENT_MAX_IDLE: Duration = Duration::from_secs(1);

/// Next action for an upstream, which the main loop executes.
#[derive(Debug)]
pub(crate) enum PoolStep {
    /// Run the exchange of the order on the connection.
    Start(Box<SendOrder>, UpstreamLink),
    /// Open a connection to the address.
    Open(SocketAddr),
}

/// Connections and waiting orders of one upstream. `open` counts each connection from its first
/// packet until its socket is closed, and never exceeds `limit`.
#[derive(Debug)]
struct UpstreamPool {
    address: SocketAddr,
    limit: u32,
    open: u32,
    opening: u32,
    idle: Vec<UpstreamLink>,
    waiting: VecDeque<Box<SendOrder>>,
    /// Start of the first exchange since the last reply.
    unanswered_since: Option<TimePoint>,
    /// Whether an exchange was cancelled since the last reply.
    cancelled_since_reply: bool,
}

/// Which connections an order may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkRule {
    /// Any connection, the most recently used first.
    Any,
    /// A new connection or, where the limit allows no further one, a recently used one.
    NewOrRecent,
    /// A new connection; where the limit allows no further one, an idle one is closed for it.
    NewOnly,
}

/// Connections to all upstreams.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    pools: BTreeMap<VmName, UpstreamPool>,
}

impl ConnectionPool {
    /// Queues an order; [`Self::next_step`] returns what to do for it.
    pub(crate) fn push(&mut self, order: SendOrder) {
        let pool = self
            .pools
            .entry(order.vm.clone())
            .or_insert_with(|| UpstreamPool::new(order.address));
        pool.limit = order.connections.max(1);
        if pool.address != order.address {
            pool.address = order.address;
            pool.idle.clear();
        }
        pool.waiting.push_back(Box::new(order));
    }

    /// Returns the next action for an upstream, or `None` where there is nothing to do.
    pub(crate) fn next_step(&mut self, now: TimePoint, vm: &VmName) -> Option<PoolStep> {
        self.pools.get_mut(vm)?.next_step(now)
    }

    /// Removes an order from the queue. Returns `false` where it was not queued.
    pub(crate) fn remove_waiting(&mut self, vm: &VmName, attempt: AttemptId) -> bool {
        let Some(pool) = self.pools.get_mut(vm) else {
            return false;
        };
        let count_before = pool.waiting.len();
        pool.waiting.retain(|order| order.attempt != attempt);
        pool.waiting.len() < count_before
    }

    /// Adds a connection that was opened or has finished an exchange to the idle ones.
    pub(crate) fn put_idle(&mut self, vm: &VmName, mut link: UpstreamLink, now: TimePoint) {
        let Some(pool) = self.pools.get_mut(vm) else {
            return;
        };
        if !link.used {
            pool.opening = pool.opening.saturating_sub(1);
        }
        link.idle_since = now;
        if pool.open <= pool.limit {
            pool.idle.push(link);
        }
    }

    /// Records that an upstream replied.
    pub(crate) fn reply_received(&mut self, vm: &VmName) {
        if let Some(pool) = self.pools.get_mut(vm) {
            pool.unanswered_since = None;
            pool.cancelled_since_reply = false;
        }
    }

    /// Records that an exchange in flight was cancelled. Where the upstream has not replied since
    /// the exchange started, connections that were idle before that may be dead too and are closed.
    pub(crate) fn exchange_cancelled(&mut self, vm: &VmName) {
        let Some(pool) = self.pools.get_mut(vm) else {
            return;
        };
        let Some(since) = pool.unanswered_since else {
            return;
        };
        pool.cancelled_since_reply = true;
        pool.idle.retain(|link| link.idle_since > since);
    }

    /// Records that a connection could not be opened. Returns the attempt that fails with it.
    pub(crate) fn connect_failed(&mut self, vm: &VmName) -> Option<AttemptId> {
        let pool = self.pools.get_mut(vm)?;
        pool.open = pool.open.saturating_sub(1);
        pool.opening = pool.opening.saturating_sub(1);
        pool.waiting.pop_front().map(|order| order.attempt)
    }

    /// Records that a connection was closed.
    pub(crate) fn connection_closed(&mut self, vm: &VmName) {
        let Some(pool) = self.pools.get_mut(vm) else {
            return;
        };
        pool.open = pool.open.saturating_sub(1);
        pool.idle.retain(|link| !link.sender.is_closed());
    }

    /// Closes the idle connections to an upstream.
    pub(crate) fn close_idle(&mut self, vm: &VmName) {
        if let Some(pool) = self.pools.get_mut(vm) {
            pool.idle.clear();
        }
    }

    /// Closes connections that exceed the idle timeout and removes upstreams without connections
    /// and orders.
    pub(crate) fn close_expired(&mut self, now: TimePoint) {
        for pool in self.pools.values_mut() {
            pool.idle
                .retain(|link| now.since(link.idle_since) < IDLE_TIMEOUT);
        }
        self.pools
            .retain(|_, pool| pool.open > 0 || !pool.waiting.is_empty());
    }

    /// Returns the number of connections to all upstreams, including those that are opening or
    /// closing.
    pub(crate) fn open_count(&self) -> u32 {
        self.pools.values().map(|pool| pool.open).sum()
    }
}

impl UpstreamPool {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            limit: 1,
            open: 0,
            opening: 0,
            idle: Vec::new(),
            waiting: VecDeque::new(),
            unanswered_since: None,
            cancelled_since_reply: false,
        }
    }

    fn next_step(&mut self, now: TimePoint) -> Option<PoolStep> {
        let rule = self.rule(now)?;
        if let Some(link) = self.take_idle(now, rule) {
            let order = self.waiting.pop_front()?;
            self.unanswered_since.get_or_insert(now);
            return Some(PoolStep::Start(order, link));
        }
        if self.opening as usize >= self.waiting.len() {
            return None;
        }
        if self.open < self.limit {
            self.open += 1;
            self.opening += 1;
            return Some(PoolStep::Open(self.address));
        }
        if rule != LinkRule::Any && !self.idle.is_empty() {
            // Dropping the link closes its socket, which makes room for a new connection.
            self.idle.remove(0);
        }
        None
    }

    /// Chooses the rule for the first queued order. An order with an idempotency key gets a new
    /// connection, and so does any order after an exchange was cancelled without a reply, as other
    /// connections may be dead too. A hedge is sent because a reply is late, so it avoids
    /// connections that may be the cause.
    fn rule(&self, now: TimePoint) -> Option<LinkRule> {
        let order = self.waiting.front()?;
        if order.once_key.is_some() || self.cancelled_since_reply {
            return Some(LinkRule::NewOnly);
        }
        if !order.extra {
            return Some(LinkRule::Any);
        }
        let overdue = |since: TimePoint| now.since(since) >= UNANSWERED_LIMIT;
        if self.unanswered_since.is_some_and(overdue) {
            return Some(LinkRule::NewOnly);
        }
        Some(LinkRule::NewOrRecent)
    }

    fn take_idle(&mut self, now: TimePoint, rule: LinkRule) -> Option<UpstreamLink> {
        self.idle.retain(UpstreamLink::is_usable);
        let can_open = self.open < self.limit || self.opening > 0;
        let is_new = |link: &UpstreamLink| !link.used && now.since(link.idle_since) < NEW_MAX_AGE;
        let is_recent =
            |link: &UpstreamLink| link.used && now.since(link.idle_since) < RECENT_MAX_IDLE;
        let allowed = |link: &UpstreamLink| match rule {
            LinkRule::Any => true,
            LinkRule::NewOrRecent => is_new(link) || (!can_open && is_recent(link)),
            LinkRule::NewOnly => is_new(link),
        };
        let index = self.idle.iter().rposition(allowed)?;
        Some(self.idle.remove(index))
    }
}
