//! Reloads the configuration after SIGHUP.

use std::path::{Path, PathBuf};

use bitternlatch_core::Micros;
use bitternlatch_platform::config::Config;

use crate::{parsed, Driver};

/// A configuration that cannot be read is read again until it can be, as it may be half written and names where
/// discovery is: so many times after the first pause, then after the second.
const FAST_RELOAD_RETRIES: u32 = 10;
/// First pause, seconds.
const FAST_RETRY_SECS: f64 = 0.1;
/// Second pause, seconds.
const SLOW_RETRY_SECS: f64 = 0.5;

/// The configuration file, and when it is read again.
pub(crate) struct ConfigReloads {
    path: PathBuf,
    due: Option<DueReload>,
}

#[derive(Clone, Copy)]
struct DueReload {
    at: Micros,
    /// Failed tries since the signal.
    failures: u32,
}

impl ConfigReloads {
    pub(crate) fn new(path: &Path) -> ConfigReloads {
        ConfigReloads {
            path: path.to_path_buf(),
            due: None,
        }
    }

    /// The file is to be read at once.
    pub(crate) fn request(&mut self, now: Micros) {
        self.due = Some(DueReload {
            at: now,
            failures: 0,
        });
    }

    /// When the file is read next.
    pub(crate) fn next(&self) -> Option<Micros> {
        self.due.map(|due| due.at)
    }

    /// Reads the file where that is due. One that cannot be opened is not waited for, as the loop would stand still: it
    /// is read again after a pause.
    pub(crate) fn read_due(&mut self, now: Micros) -> Option<Config> {
        let due = self.due.filter(|due| due.at <= now)?;
        self.due = None;
        match parsed(&self.path, std::fs::read_to_string(&self.path)) {
            Ok(config) => Some(config),
            Err(why) => {
                if due.failures == 0 {
                    tracing::warn!("nothing is changed: {why}");
                }
                self.retry(now, due.failures);
                None
            }
        }
    }

    fn retry(&mut self, now: Micros, failures: u32) {
        let pause_s = if failures < FAST_RELOAD_RETRIES {
            FAST_RETRY_SECS
        } else {
            SLOW_RETRY_SECS
        };
        self.due = Some(DueReload {
            at: now.after(pause_s),
            failures: failures.saturating_add(1),
        });
    }
}

impl Driver {
    /// Gives a configuration that is to be read, and can be, to the node.
    pub(crate) fn reload(&mut self) {
        let now = self.clock.now();
        if let Some(config) = self.reloads.read_due(now) {
            self.node.reload(now, config, &mut self.commands);
            self.run_commands();
        }
    }
}
