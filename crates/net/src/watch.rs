//! Polls the inventory file and sends each new valid server list to the event loop.

use std::path::PathBuf;
use std::time::Duration;

use bitternlatch_core::Input;
use bitternlatch_inventory::{LastValidList, UpdateOutcome};
use crossbeam_channel::Sender;

use crate::driver::Event;

/// Largest accepted inventory file, bytes.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// Reads an inventory file.
///
/// # Errors
/// A message with the path, if the file cannot be read, is too large or is not UTF-8.
pub fn read_list(path: &PathBuf) -> Result<String, String> {
    let shown = path.display();
    let size = std::fs::metadata(path)
        .map_err(|e| format!("{shown}: {e}"))?
        .len();
    if size > MAX_FILE_BYTES {
        return Err(format!(
            "{shown}: {size} bytes, the limit is {MAX_FILE_BYTES}"
        ));
    }
    std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))
}

/// Starts a thread that polls the file every `interval` until the event loop has ended. If the file cannot be read, the
/// last good list stays in force; each new cause is logged once.
///
/// # Errors
/// If the thread cannot be started.
pub fn watch(
    path: PathBuf,
    interval: Duration,
    mut last_good: LastValidList,
    events: Sender<Event>,
) -> std::io::Result<()> {
    let poll = move || {
        let name = path.display().to_string();
        let mut logged_error = String::new();
        let mut unreadable = false;
        loop {
            std::thread::sleep(interval);
            let mut inputs = Vec::new();
            match read_list(&path) {
                Ok(text) => {
                    logged_error.clear();
                    inputs.extend(offer(&mut last_good, &name, &text));
                }
                Err(error) => {
                    if logged_error != error {
                        tracing::error!(
                            error,
                            "the server list cannot be read; the last good list stays in force"
                        );
                        logged_error = error;
                    }
                }
            }
            let now_unreadable = !logged_error.is_empty() || last_good.is_invalid();
            if now_unreadable != unreadable {
                unreadable = now_unreadable;
                inputs.push(Input::ServerListUnreadable(unreadable));
            }
            for input in inputs {
                if events.send(Event::Input(input)).is_err() {
                    return;
                }
            }
        }
    };
    std::thread::Builder::new()
        .name("inventory".into())
        .spawn(poll)
        .map(|_| ())
}

/// Offers the file's text as the new list. Returns the list as an input if the list in force changes.
fn offer(last_good: &mut LastValidList, name: &str, text: &str) -> Option<Input> {
    match last_good.update(name, text) {
        UpdateOutcome::Unchanged => None,
        UpdateOutcome::Invalid(e) => {
            tracing::error!(error = %e, "the server list is invalid; the last good list stays in force");
            None
        }
        UpdateOutcome::Applied(change) => {
            tracing::info!(added = ?change.added, removed = ?change.removed, changed = ?change.changed,
                "a new server list is in force");
            Some(Input::ServerList(
                last_good.servers().values().cloned().collect(),
            ))
        }
    }
}
