//! How long a process was ready to run while the machine ran others, as the kernel counts it.

use std::thread;
use std::time::Duration;

use crate::record::{Record, Seen};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Shorter waits between two samples are not recorded.
const MIN_RECORDED: Duration = Duration::from_millis(1);

/// Time that the main thread of a process has waited for a processor since its start; none once the process has ended, or
/// where the kernel does not count it. A wait is counted when it ends.
fn total_wait(pid: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).ok()?;
    // The second field: nanoseconds on a run queue.
    let wait = text.split_whitespace().nth(1)?;
    wait.parse().ok().map(Duration::from_nanos)
}

/// Records the waits of a process, in a thread of its own, until the process has ended.
pub fn record_waits(process: usize, pid: u32, record: Record) {
    let sample = move || {
        let mut recorded = Duration::ZERO;
        while let Some(total) = total_wait(pid) {
            let waited = total.saturating_sub(recorded);
            if waited >= MIN_RECORDED {
                record.note(Seen::WaitedForProcessor {
                    process,
                    seconds: waited.as_secs_f64(),
                });
                recorded = total;
            }
            thread::sleep(SAMPLE_INTERVAL);
        }
    };
    thread::spawn(sample);
}
