//! Watches the settings file, which may change with or without SIGHUP.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::Duration, //
};

use platform::BootFile;
use policy::peers::PeerEvent;
use schema::TimePoint;
use tokio::{
    sync::{
        mpsc::UnboundedSender,
        Notify, //
    },
    time::timeout, //
};

use super::{
    contact_store::addresses_text,
    forward_loop::ForwardLoop,
    inbox_event::InboxEvent, //
};
use crate::{
    daemon_error::DaemonError,
    events,
    log_event, //
};

/// Pause between two looks at the file.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// What a change of the settings file means to a daemon that runs.
#[derive(Debug)]
pub(super) struct SettingsChange {
    /// Peer addresses of the seeds.
    pub(super) seeds: Vec<SocketAddr>,
    /// Names of the fields that differ from the settings in force and take effect only at a start.
    pub(super) fixed: Vec<&'static str>,
}

/// Reads the settings file again and again, and reports what has changed.
pub(super) struct SettingsWatch {
    path: PathBuf,
    /// The settings at the start, in force but for the seeds.
    boot: BootFile,
    /// The seeds in force.
    seeds: Vec<SocketAddr>,
    /// What was read last; `None` before the first read.
    text: Option<Vec<u8>>,
    /// Whether the file could not be read last.
    unreadable: bool,
}

impl SettingsWatch {
    /// A watch of the file at `path`, from which `boot` was read.
    pub(super) fn new(path: PathBuf, boot: BootFile) -> Self {
        Self {
            text: None,
            unreadable: false,
            seeds: boot.seeds.clone(),
            path,
            boot,
        }
    }

    /// Reports changes to `events` until the channel is closed. `reload` asks for a look at once.
    pub(super) async fn run(mut self, reload: Arc<Notify>, events: UnboundedSender<InboxEvent>) {
        loop {
            let asked = timeout(CHECK_INTERVAL, reload.notified()).await.is_ok();
            let event = match self.check(asked) {
                Ok(None) => continue,
                Ok(Some(change)) => InboxEvent::SettingsChanged(change),
                Err(error) => InboxEvent::SettingsUnusable(error),
            };
            if events.send(event).is_err() {
                return;
            }
        }
    }

    /// Reads the file. Returns what has changed since the last look, or at least the state if it was `asked`
    /// for. A file that can't be used is reported once, and read again.
    fn check(&mut self, asked: bool) -> Result<Option<SettingsChange>, DaemonError> {
        let text = match fs::read(&self.path) {
            Ok(text) => text,
            Err(_) if self.unreadable && !asked => return Ok(None),
            Err(error) => {
                self.unreadable = true;
                let path = self.path.clone();
                return Err(DaemonError::SettingsUnreadable { path, error });
            }
        };
        self.unreadable = false;
        if self.text.as_ref() == Some(&text) && !asked {
            return Ok(None);
        }
        let boot = BootFile::parse(&self.path.display().to_string(), &text);
        self.text = Some(text);
        let boot = boot?;
        let fixed = self.boot.fixed_differences(&boot);
        if boot.seeds == self.seeds && fixed.is_empty() && !asked {
            return Ok(None);
        }
        self.seeds.clone_from(&boot.seeds);
        let seeds = boot.seeds;
        Ok(Some(SettingsChange { seeds, fixed }))
    }
}

impl ForwardLoop {
    /// Applies the seeds of a changed settings file; the other settings stay as at the start.
    pub(super) fn apply_settings(&mut self, now: TimePoint, change: SettingsChange) {
        log_event!(
            self.log.logger, events::SETTINGS_CHANGED,
            "seeds" => addresses_text(&change.seeds), "not_applied" => change.fixed.join(","),
        );
        let addresses = change.seeds;
        self.update_peers(now, PeerEvent::SeedsChanged { addresses });
    }

    /// Logs that the settings file can't be used.
    pub(super) fn reject_settings(&self, error: &DaemonError) {
        log_event!(
            self.log.logger, events::SETTINGS_UNUSABLE,
            "problem" => %error,
        );
    }
}
