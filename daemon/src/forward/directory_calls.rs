//! Reads of the directory from other daemons, and answers to those that read it from this one.

use std::{
    future::Future,
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    }, //
};

use policy::directory::{
    FeedAnswer,
    FeedPage,
    FeedPosition,
    PageExtension, //
};
use schema::{
    peer::{
        stream_body::Body,
        DirectoryCall,
        DirectoryReply,
        SharedCall,
        SharedReply, //
    },
    DaemonName,
    MemberBuild,
    TimePoint, //
};
use tokio::{
    sync::oneshot,
    task::spawn_local,
    time::timeout, //
};

use super::{
    forward_log::millis,
    forward_loop::ForwardLoop,
    inbox_event::{
        DirectoryUpdate,
        InboxEvent,
        PeerPage, //
    },
    relay_messages::micros,
};
use crate::{
    events,
    log_event, //
};

/// Age that a page of a daemon which names none may have: the pause between two reads of the store, and the
/// time that a call may take.
const UNKNOWN_AGE: Duration = Duration::from_millis(1_600);

/// A long poll of another daemon that waits for changes of the directory.
#[derive(Debug)]
pub(super) struct LongPoll {
    /// How far the daemon has read, where `None` asks for all entries, and whether it knows what the age of
    /// a page is.
    wanted: (Option<FeedPosition>, bool),
    asked_at: TimePoint,
    /// When it is answered even if nothing has changed.
    due: TimePoint,
    reply_sender: oneshot::Sender<Body>,
}

impl ForwardLoop {
    /// Answers the long polls for which there are changes or whose time is over.
    pub(super) fn answer_polls(&mut self, now: TimePoint) {
        for poll in std::mem::take(&mut self.polls) {
            self.answer_poll(now, poll.wanted, poll.asked_at, poll.reply_sender);
        }
    }

    /// When [`Self::answer_polls`] is due.
    pub(super) fn next_poll_due(&self) -> TimePoint {
        let times = self.polls.iter().map(|poll| poll.due);
        times.min().unwrap_or(TimePoint::NEVER)
    }

    /// Answers a call for the directory, or keeps it open.
    pub(super) fn answer_poll(
        &mut self,
        now: TimePoint,
        wanted: (Option<FeedPosition>, bool),
        asked_at: TimePoint,
        reply_sender: oneshot::Sender<Body>,
    ) {
        if reply_sender.is_closed() {
            return;
        }
        let (after, shared) = wanted;
        let reply = match self.feed.answer(now, after, asked_at) {
            FeedAnswer::Page(mut page) => {
                let age = micros(page.age);
                let held = micros(now.since(asked_at));
                let extension = page.take_extension();
                let page = postcard::to_allocvec(&(page, held, extension)).unwrap_or_default();
                match self.page_budget.try_take(now, page.len()) {
                    true => SharedReply {
                        reply: Some(DirectoryReply { page }),
                        age_us: age,
                        busy: false,
                    },
                    false => SharedReply {
                        busy: true,
                        ..SharedReply::default()
                    },
                }
            }
            FeedAnswer::Stale => SharedReply {
                reply: Some(DirectoryReply::default()),
                ..SharedReply::default()
            },
            FeedAnswer::Wait(due) => {
                self.polls.push(LongPoll {
                    wanted,
                    asked_at,
                    due,
                    reply_sender,
                });
                return;
            }
        };
        // The peer may have closed the connection meanwhile.
        let _ = reply_sender.send(match shared {
            true => Body::SharedReply(reply),
            false => Body::DirectoryReply(reply.reply.unwrap_or_default()),
        });
    }

    /// Asks another daemon for the changes since `after`, or for all entries.
    pub(super) fn request_page(
        &self,
        daemon: &DaemonName,
        to: SocketAddr,
        after: Option<FeedPosition>,
    ) -> impl Future<Output = Option<PeerPage>> + 'static {
        let call = DirectoryCall {
            after: after.unwrap_or_default().revision,
            whole: after.is_none(),
            era: after.unwrap_or_default().era,
        };
        let call = match self.is_current(daemon) {
            true => Body::SharedCall(SharedCall { call: Some(call) }),
            false => Body::DirectoryCall(call),
        };
        let reply = self.peer_link.call(to, call);
        let start = Instant::now();
        async move {
            let (reply, age) = match reply.await {
                Ok(Body::SharedReply(SharedReply { busy: true, .. })) => {
                    return Some(PeerPage::Busy)
                }
                Ok(Body::SharedReply(shared)) => {
                    (shared.reply?, Duration::from_micros(shared.age_us))
                }
                Ok(Body::DirectoryReply(reply)) => (reply, UNKNOWN_AGE),
                _ => return None,
            };
            // A daemon whose directory is out of date sends an empty page, which fails to decode.
            let Ok((mut page, rest)) = postcard::take_from_bytes::<FeedPage>(&reply.page) else {
                return Some(PeerPage::Stale);
            };
            // A page of an older build lacks accounts and evacuations, without which no table may be used.
            let Ok((held, extension)) = postcard::from_bytes::<(u64, PageExtension)>(rest) else {
                return Some(PeerPage::Stale);
            };
            page.apply_extension(extension);
            // The time on the way is what the other daemon has not held the call for.
            let held = Duration::from_micros(held);
            let on_the_way = start.elapsed().saturating_sub(held);
            Some(PeerPage::Read(FeedPage {
                age: age + on_the_way,
                ..page
            }))
        }
    }

    /// Whether a daemon understands the messages that came with the capacity.
    fn is_current(&self, daemon: &DaemonName) -> bool {
        let member = self.peers.member(daemon);
        member.is_some_and(|member| member.build() >= MemberBuild::Gathers)
    }

    /// Applies the answer of another daemon that reads the store.
    pub(super) fn finish_peer_read(
        &mut self,
        now: TimePoint,
        daemon: &DaemonName,
        page: Option<PeerPage>,
    ) {
        match page {
            Some(PeerPage::Read(page)) => {
                self.record_source(now, Some(daemon));
                self.feed.peer_reached(daemon);
                let (changes, recovered) = self.feed.peer_answered(now, page);
                if recovered {
                    log_event!(self.log.logger, events::STORE_RECOVERED);
                }
                self.apply_changes(now, changes);
            }
            failure => {
                let cause = match failure {
                    None => {
                        self.feed.peer_failed(now, daemon);
                        "silent"
                    }
                    Some(PeerPage::Busy) => {
                        self.feed.peer_busy(now, daemon);
                        "busy"
                    }
                    Some(_) => {
                        if self.feed.peer_stale(now, daemon) {
                            self.metrics.store_lost.inc();
                            let problem = "the daemon that reads it has lost it";
                            log_event!(self.log.logger, events::STORE_FAILED, "problem" => problem);
                        }
                        "stale"
                    }
                };
                self.source_log.note_trouble(cause);
                if self.log.take_permit(now, true) {
                    log_event!(
                        self.log.logger, events::READER_FAILED,
                        "name" => %daemon, "cause" => cause,
                        "age_ms" => self.feed.age(now).map(millis),
                    );
                }
            }
        }
    }

    /// Asks another daemon for changes in a task of its own, which reports the answer to the loop.
    pub(super) fn spawn_peer_read(
        &self,
        to: SocketAddr,
        daemon: DaemonName,
        after: Option<FeedPosition>,
        max_wait: Duration,
    ) {
        let request = self.request_page(&daemon, to, after);
        let events = self.events.clone();
        spawn_local(async move {
            let page = timeout(max_wait, request).await.ok().flatten();
            let update = DirectoryUpdate::PeerRead { daemon, page };
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::Directory(update));
        });
    }
}
