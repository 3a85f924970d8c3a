//! Reloads the configuration after SIGHUP.

use std::path::{Path, PathBuf};

use bitternlatch_core::Micros;
use bitternlatch_platform::config::Config;

use crate::{parse_config, Driver};

/// Retries at the short interval after a failed reload, before the longer one applies. A failed reload is retried until
/// it succeeds, because the file may be half written and it holds the address of discovery.
const FAST_RELOAD_RETRIES: u32 = 10;
/// Delay before each of the first `FAST_RELOAD_RETRIES` retries, in seconds.
const FAST_RETRY_SECS: f64 = 0.1;
/// Delay before each later retry, in seconds.
const SLOW_RETRY_SECS: f64 = 0.5;

/// The configuration file and its next scheduled read.
pub(crate) struct ConfigReloads {
    path: PathBuf,
    due: Option<DueReload>,
}

/// A scheduled read of the configuration file.
#[derive(Clone, Copy)]
struct DueReload {
    at: Micros,
    /// Failed reads since the signal.
    failures: u32,
}

impl ConfigReloads {
    pub(crate) fn new(path: &Path) -> ConfigReloads {
        ConfigReloads {
            path: path.to_path_buf(),
            due: None,
        }
    }

    /// Schedules an immediate read of the file.
    pub(crate) fn request(&mut self, now: Micros) {
        self.due = Some(DueReload {
            at: now,
            failures: 0,
        });
    }

    /// Time of the next scheduled read; `None` if none is scheduled.
    pub(crate) fn next_read_at(&self) -> Option<Micros> {
        self.due.map(|due| due.at)
    }

    /// Reads the file if a read is due. A failed read is scheduled again after a delay instead of being retried here,
    /// which would block the event loop.
    pub(crate) fn read_due(&mut self, now: Micros) -> Option<Config> {
        let due = self.due.filter(|due| due.at <= now)?;
        self.due = None;
        match parse_config(&self.path, std::fs::read_to_string(&self.path)) {
            Ok(config) => Some(config),
            Err(error) => {
                if due.failures == 0 {
                    tracing::warn!("nothing is changed: {error}");
                }
                self.schedule_retry(now, due.failures);
                None
            }
        }
    }

    fn schedule_retry(&mut self, now: Micros, failures: u32) {
        let delay_secs = if failures < FAST_RELOAD_RETRIES {
            FAST_RETRY_SECS
        } else {
            SLOW_RETRY_SECS
        };
        self.due = Some(DueReload {
            at: now.after(delay_secs),
            failures: failures.saturating_add(1),
        });
    }
}

impl Driver {
    /// Passes the configuration to the node if a read is due and succeeds.
    pub(crate) fn reload(&mut self) {
        let now = self.clock.now();
        if let Some(config) = self.reloads.read_due(now) {
            self.node.reload(now, config, &mut self.commands);
            self.run_commands();
        }
    }
}
