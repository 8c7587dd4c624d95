//! Finds other daemons by the record of contacts in the platform's store, and keeps it.

use std::net::SocketAddr;

use http::StatusCode;
use platform::{
    put_contacts,
    read_contacts,
    StoreCall, //
};
use policy::peers::{
    MemberState,
    PeerEvent, //
};
use schema::{
    ContactRecord,
    TimePoint, //
};
use tokio::task::spawn_local;

use super::{
    forward_loop::ForwardLoop,
    inbox_event::InboxEvent,
    store_reader::{
        ReadError,
        StoreReader,
        ANSWER_TIMEOUT, //
    },
};
use crate::{
    events,
    log_event, //
};

impl ForwardLoop {
    /// Reads the record of contacts in a task of its own, if that is due.
    pub(super) fn read_contacts_if_due(&mut self, now: TimePoint) {
        let is_due = self.contacts.next_check() <= now;
        if !is_due || !self.contacts.is_read_due(now, self.peers.contact_role()) {
            return;
        }
        let (store, events) = (self.reader.clone(), self.events.clone());
        spawn_local(async move {
            let result = read(&store).await;
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::ContactsRead(result));
        });
    }

    /// Contacts the daemons of the record, and writes it if it has to change.
    pub(super) fn end_contacts_read(
        &mut self,
        now: TimePoint,
        result: Result<(ContactRecord, u64), ReadError>,
    ) {
        let (record, revision) = match result {
            Ok(found) => found,
            Err(error) => {
                self.log_contacts(now, "read_failed", &error.to_string());
                return;
            }
        };
        let members = self.peers.members();
        let live = members.filter(|member| member.state == MemberState::Alive);
        let live: Vec<SocketAddr> = live.map(|member| member.address).collect();
        let unmet = self.contacts.unmet_daemons();
        let daemons = self.known_daemons();
        let changed = self.contacts.apply_record(now, &record, &live, daemons);
        if self.contacts.unmet_daemons() != unmet {
            self.apply_members(now);
        }
        if live.is_empty() {
            self.log_contacts(now, "alone", &addresses_text(&record.addresses));
        }
        let addresses = record.addresses;
        self.update_peers(now, PeerEvent::ContactsRead { addresses });
        let Some(record) = changed else {
            return;
        };
        let (store, events) = (self.reader.clone(), self.events.clone());
        spawn_local(async move {
            let result = write(&store, &record, revision).await;
            // The channel is closed only when the process ends.
            let _ = events.send(InboxEvent::ContactsWritten(record, result));
        });
    }

    /// Logs the end of a write. What another daemon has written meanwhile is read with the next one.
    pub(super) fn end_contacts_write(
        &mut self,
        now: TimePoint,
        record: &ContactRecord,
        result: &Result<bool, ReadError>,
    ) {
        match result {
            Ok(true) => self.log_contacts(now, "written", &addresses_text(&record.addresses)),
            Ok(false) => {}
            Err(error) => self.log_contacts(now, "write_failed", &error.to_string()),
        }
    }

    fn log_contacts(&mut self, now: TimePoint, outcome: &str, detail: &str) {
        if self.log.take_permit(now, true) {
            log_event!(
                self.log.logger, events::CONTACTS_USED,
                "outcome" => outcome, "detail" => detail,
            );
        }
    }
}

/// The addresses as one text for the log.
pub(super) fn addresses_text(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    texts.join(",")
}

/// The record and its revision; an empty one and 0 if there is none.
async fn read(store: &StoreReader) -> Result<(ContactRecord, u64), ReadError> {
    match store.get(&StoreCall::Contacts, ANSWER_TIMEOUT).await {
        Ok((_, answer)) => Ok(read_contacts(&answer)?),
        Err(ReadError::Refused(StatusCode::NOT_FOUND)) => Ok((ContactRecord::default(), 0)),
        Err(error) => Err(error),
    }
}

async fn write(
    store: &StoreReader,
    record: &ContactRecord,
    expected: u64,
) -> Result<bool, ReadError> {
    store.change(put_contacts(record, expected)?).await
}
