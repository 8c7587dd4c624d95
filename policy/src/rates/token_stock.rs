//! Tokens that a daemon has got for later requests.

use std::collections::VecDeque;

use schema::TimePoint;

/// Largest number of used tokens that are remembered for requests that did not run.
const USED_MAX: usize = 256;

/// A token.
#[derive(Clone, Copy, Debug)]
struct HeldToken {
    /// When it is no longer valid.
    expires_at: TimePoint,
    /// Run of the process that issued it.
    issuer: u64,
}

/// Tokens that a daemon has got, and those that it has used of late.
#[derive(Clone, Debug, Default)]
pub(super) struct TokenStock {
    /// The first to expire comes first.
    held: VecDeque<HeldToken>,
    used: VecDeque<HeldToken>,
}

impl TokenStock {
    /// Number of tokens that are valid.
    pub(super) fn count(&mut self, now: TimePoint) -> usize {
        self.expire(now);
        self.held.len()
    }

    /// Number of tokens, including some that may have expired.
    pub(super) fn len(&self) -> usize {
        self.held.len()
    }

    /// Adds tokens.
    pub(super) fn add(&mut self, tokens: u32, expires_at: TimePoint, issuer: u64) {
        for _ in 0..tokens {
            self.insert(HeldToken { expires_at, issuer });
        }
    }

    /// Uses a token; returns whether there was one.
    pub(super) fn take(&mut self, now: TimePoint) -> bool {
        self.expire(now);
        let Some(token) = self.held.pop_front() else {
            return false;
        };
        self.note_used(token);
        true
    }

    /// Remembers a token that was used without having been in the stock.
    pub(super) fn record_use(&mut self, expires_at: TimePoint, issuer: u64) {
        self.note_used(HeldToken { expires_at, issuer });
    }

    /// Takes a token back whose request did not run. It is valid no longer than the oldest one that is still
    /// valid, since it is not known which one it is.
    pub(super) fn give_back(&mut self, now: TimePoint) {
        while let Some(token) = self.used.pop_front() {
            if token.expires_at > now {
                self.insert(token);
                return;
            }
        }
    }

    /// Removes the tokens of `issuer` that expire until `until`, and returns their number.
    pub(super) fn return_expiring(&mut self, now: TimePoint, until: TimePoint, issuer: u64) -> u32 {
        self.expire(now);
        let before = self.held.len();
        self.held
            .retain(|token| token.issuer != issuer || token.expires_at > until);
        u32::try_from(before - self.held.len()).unwrap_or(u32::MAX)
    }

    /// Drops all tokens.
    pub(super) fn clear(&mut self) {
        self.held.clear();
        self.used.clear();
    }

    fn insert(&mut self, token: HeldToken) {
        let later = |held: &HeldToken| held.expires_at > token.expires_at;
        let position = self.held.iter().position(later).unwrap_or(self.held.len());
        self.held.insert(position, token);
    }

    fn note_used(&mut self, token: HeldToken) {
        if self.used.len() == USED_MAX {
            self.used.pop_front();
        }
        self.used.push_back(token);
    }

    fn expire(&mut self, now: TimePoint) {
        while self
            .held
            .front()
            .is_some_and(|token| token.expires_at <= now)
        {
            self.held.pop_front();
        }
    }
}
