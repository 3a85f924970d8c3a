//! Looks at the inventory file again and again and tells the loop when a new list counts.

use std::path::PathBuf;
use std::time::Duration;

use bitternlatch_core::Input;
use bitternlatch_inventory::{LastValidList, UpdateOutcome};
use crossbeam_channel::Sender;

use crate::driver::Event;

/// Longest file that is read, bytes.
const FILE_BYTES: u64 = 16 << 20;

/// Reads a list file whole.
///
/// # Errors
/// Why not, as text: no such file, too long, not UTF-8.
pub fn read_list(path: &PathBuf) -> Result<String, String> {
    let shown = path.display();
    let size = std::fs::metadata(path)
        .map_err(|e| format!("{shown}: {e}"))?
        .len();
    if size > FILE_BYTES {
        return Err(format!("{shown}: {size} bytes, more than {FILE_BYTES}"));
    }
    std::fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))
}

/// Watches from a thread of its own, which ends with the process. A file that cannot be read keeps the last good list
/// and is logged once.
///
/// # Errors
/// Where the system gives no thread.
pub fn watch(
    path: PathBuf,
    every: Duration,
    mut good: LastValidList,
    to: Sender<Event>,
) -> std::io::Result<()> {
    let look = move || {
        let name = path.display().to_string();
        let mut told = String::new();
        let mut lost = false;
        loop {
            std::thread::sleep(every);
            let mut inputs = Vec::new();
            match read_list(&path) {
                Ok(text) => {
                    told.clear();
                    inputs.extend(offer(&mut good, &name, &text));
                }
                Err(why) => {
                    if told != why {
                        tracing::error!(error = %why, "the host list cannot be read; the last good one stays");
                        told = why;
                    }
                }
            }
            let now_lost = !told.is_empty() || good.is_invalid();
            if now_lost != lost {
                lost = now_lost;
                inputs.push(Input::ServerListUnreadable(lost));
            }
            for input in inputs {
                if to.send(Event::Input(input)).is_err() {
                    return;
                }
            }
        }
    };
    std::thread::Builder::new()
        .name("inventory".into())
        .spawn(look)
        .map(|_| ())
}

/// The list that counts from now on, if this text changes it.
fn offer(good: &mut LastValidList, name: &str, text: &str) -> Option<Input> {
    match good.update(name, text) {
        UpdateOutcome::Unchanged => None,
        UpdateOutcome::Invalid(e) => {
            tracing::error!(error = %e, "the host list is broken; the last good one stays");
            None
        }
        UpdateOutcome::Applied(change) => {
            tracing::info!(added = ?change.added, removed = ?change.removed, changed = ?change.changed,
                "a new host list counts");
            Some(Input::ServerList(
                good.servers().values().cloned().collect(),
            ))
        }
    }
}
