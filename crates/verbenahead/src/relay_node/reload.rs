//! Reads the settings again while the node runs.
//!
//! The settings are read again on SIGHUP, and when their file has changed. Invalid settings are logged
//! and ignored. For valid ones the names of the changed sections are logged; the changes take effect
//! with the next start.

use std::{fs, path::PathBuf, time::Duration, time::SystemTime};

use anyhow::Context;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::mpsc,
};
use verbenahead_core::timer::TimerService;

use crate::settings::{RelaySettings, SettingsSource};

/// Time between two checks of the file's modification time.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// `SettingsWatch` is the handle of the task that reads changed settings. Dropping it ends the task.
pub struct SettingsWatch {
    _closed: mpsc::Sender<()>,
}

impl SettingsWatch {
    /// Spawns the task. `settings` are those in force.
    ///
    /// # Errors
    ///
    /// When SIGHUP cannot be watched for.
    pub fn spawn(source: SettingsSource, settings: RelaySettings) -> anyhow::Result<Self> {
        let hang_up = signal(SignalKind::hangup()).context("cannot watch for SIGHUP")?;
        let (tx, rx) = mpsc::channel(1);
        let task = WatchTask {
            file: match &source {
                SettingsSource::File(path) => Some(path.clone()),
                SettingsSource::StandardInput | SettingsSource::Env(_) => None,
            },
            modified: None,
            source,
            settings,
        };
        tokio::spawn(task.run(hang_up, rx));
        Ok(Self { _closed: tx })
    }
}

struct WatchTask {
    source: SettingsSource,
    file: Option<PathBuf>,
    modified: Option<SystemTime>,
    settings: RelaySettings,
}

impl WatchTask {
    async fn run(mut self, mut hang_up: Signal, mut closed: mpsc::Receiver<()>) {
        self.modified = self.modification_time();
        let mut ticks = TimerService.subscribe(POLL_INTERVAL, POLL_INTERVAL);
        loop {
            tokio::select! {
                _ = closed.recv() => return,
                received = hang_up.recv() => {
                    if received.is_none() {
                        return;
                    }
                    self.modified = self.modification_time();
                    self.reload("signal");
                }
                tick = ticks.recv() => {
                    if tick.is_none() {
                        return;
                    }
                    let modified = self.modification_time();
                    if modified != self.modified {
                        self.modified = modified;
                        self.reload("file changed");
                    }
                }
            }
        }
    }

    fn modification_time(&self) -> Option<SystemTime> {
        let file = self.file.as_ref()?;
        fs::metadata(file).and_then(|data| data.modified()).ok()
    }

    fn reload(&mut self, cause: &str) {
        let text = match self.source.load() {
            Ok(text) => text,
            Err(error) => {
                tracing::error!(cause, %error, "settings cannot be read; the previous settings stay in force");
                return;
            }
        };
        match RelaySettings::parse(&self.source.to_string(), &text) {
            Ok(settings) => self.log_changes(settings, cause),
            Err(findings) => {
                tracing::error!(cause, %findings, "settings are invalid; the previous settings stay in force");
            }
        }
    }

    fn log_changes(&mut self, settings: RelaySettings, cause: &str) {
        let changed = changed_sections(&self.settings, &settings);
        tracing::info!(
            cause,
            changed = changed.join(","),
            takes_effect = "with the next start",
            "settings read again",
        );
        self.settings = settings;
    }
}

/// Returns the names of the settings sections that differ.
fn changed_sections(old: &RelaySettings, new: &RelaySettings) -> Vec<&'static str> {
    let sections = [
        ("node", old.node != new.node),
        ("availability_zone", old.zone != new.zone),
        ("listeners", old.listeners != new.listeners),
        ("platform", old.platform != new.platform),
        ("promises", old.promises != new.promises),
        ("retries", old.retries != new.retries),
        ("quotas", old.quotas != new.quotas),
        ("usage", old.usage != new.usage),
        ("limits", old.limits != new.limits),
        ("log", old.log != new.log),
    ];
    let changed = sections.into_iter().filter(|(_, is_changed)| *is_changed);
    changed.map(|(name, _)| name).collect()
}
