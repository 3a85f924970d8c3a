//! Tests over real processes and the machine that runs them: how far it kept them from running (shown beside a test's
//! figures, judged by no rule), and how many load it at a time.

use std::fmt;
use std::sync::mpsc::{channel, RecvTimeoutError, Sender};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub mod slots;

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// A thread that wakes so much too late was stalled.
const MIN_STALL: Duration = Duration::from_millis(100);
/// `USER_HZ`, the unit of the times in `/proc/stat`.
const TICKS_PER_S: u64 = 100;
/// Field of stolen time in the first line of `/proc/stat`, the name of the line included.
const STOLEN_FIELD: usize = 8;

/// What the machine did during a test.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MachineLoad {
    /// Late wake-ups of a thread that only sleeps.
    pub stalls: u32,
    /// The latest of these wake-ups.
    pub longest_stall: Duration,
    /// Time of all processors that the hypervisor gave to others.
    pub stolen: Duration,
    /// Time in which some task waited for a processor; none where the kernel does not tell.
    pub tasks_waited: Option<Duration>,
    /// How long it was measured.
    pub lasted: Duration,
}

impl fmt::Display for MachineLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let waited = match self.tasks_waited {
            Some(waited) => format!(
                "tasks waited for a processor in {:.1} s",
                waited.as_secs_f64()
            ),
            None => "the kernel does not tell how long tasks waited".to_string(),
        };
        write!(
            f,
            "machine: {} stalls, the longest {:.0} ms; {:.1} s stolen; {waited}, of {:.1} s",
            self.stalls,
            self.longest_stall.as_secs_f64() * 1e3,
            self.stolen.as_secs_f64(),
            self.lasted.as_secs_f64(),
        )
    }
}

/// Stolen time in the text of `/proc/stat`.
pub fn stolen_time(stat: &str) -> Option<Duration> {
    let ticks = stat.lines().next()?.split_whitespace().nth(STOLEN_FIELD)?;
    let ticks: u64 = ticks.parse().ok()?;
    Some(Duration::from_millis(
        ticks.saturating_mul(1000 / TICKS_PER_S),
    ))
}

/// The total of the line `some` in the text of `/proc/pressure/cpu`.
pub fn waited_time(pressure: &str) -> Option<Duration> {
    let line = pressure.lines().find(|line| line.starts_with("some "))?;
    let total = line
        .split_whitespace()
        .find_map(|field| field.strip_prefix("total="))?;
    total.parse().ok().map(Duration::from_micros)
}

fn stolen_now() -> Option<Duration> {
    stolen_time(&std::fs::read_to_string("/proc/stat").ok()?)
}

fn waited_now() -> Option<Duration> {
    waited_time(&std::fs::read_to_string("/proc/pressure/cpu").ok()?)
}

/// Measures the machine until it is asked for the result.
pub struct Monitor {
    began: Instant,
    stolen: Option<Duration>,
    waited: Option<Duration>,
    stop: Sender<()>,
    sampler: JoinHandle<(u32, Duration)>,
}

impl Monitor {
    /// Begins to measure, in a thread of its own.
    pub fn start() -> Monitor {
        let (stop, stopped) = channel();
        let sample = move || {
            let (mut stalls, mut longest) = (0, Duration::ZERO);
            loop {
                let slept = Instant::now();
                if stopped.recv_timeout(SAMPLE_INTERVAL) != Err(RecvTimeoutError::Timeout) {
                    return (stalls, longest);
                }
                let late = slept.elapsed().saturating_sub(SAMPLE_INTERVAL);
                stalls += u32::from(late >= MIN_STALL);
                longest = longest.max(late);
            }
        };
        Monitor {
            began: Instant::now(),
            stolen: stolen_now(),
            waited: waited_now(),
            stop,
            sampler: std::thread::spawn(sample),
        }
    }

    /// Ends the measurement.
    pub fn finish(self) -> MachineLoad {
        drop(self.stop);
        let (stalls, longest_stall) = self.sampler.join().unwrap_or_default();
        let since =
            |now: Option<Duration>, then: Option<Duration>| Some(now?.saturating_sub(then?));
        MachineLoad {
            stalls,
            longest_stall,
            stolen: since(stolen_now(), self.stolen).unwrap_or_default(),
            tasks_waited: since(waited_now(), self.waited),
            lasted: self.began.elapsed(),
        }
    }
}
