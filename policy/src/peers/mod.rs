//! Membership of daemons: failure detection by probes, and dissemination of member, drain and
//! quarantine notes by datagrams.

mod contact_book;
mod datagram_codec;
mod member_state;
mod member_table;
mod note_queue;
mod note_rules;
mod peer_core;
mod peer_counts;
mod peer_event;
mod peer_member;
mod peer_settings;
mod peer_sync;
mod probe_round;

pub use contact_book::{
    ContactBook,
    ContactRole, //
};
pub use datagram_codec::{
    open_datagram,
    open_stream,
    seal_datagram,
    seal_stream,
    CodecError,
    DATAGRAM_BYTES_MAX, //
};
pub use member_state::MemberState;
pub use peer_core::PeerCore;
pub use peer_counts::PeerCounts;
pub use peer_event::{
    PeerAction,
    PeerEvent, //
};
pub use peer_member::PeerMember;
pub use peer_settings::PeerSettings;
