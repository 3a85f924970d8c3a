//! Planned shutdown: the schedule of its steps, counted from the signal, and its progress.

use bitternlatch_core::Micros;

/// Time after the signal during which new connections are accepted and idle ones kept, seconds. Clients keep
/// connecting, and the replacement dispatcher may not be running yet. What arrives later than 0.7 s after the signal
/// may not be answered in time.
const ACCEPT_PERIOD_SECS: f64 = 0.55;
/// Shortest time from the longest request deadline to the kill of the process, seconds.
const KILL_AFTER_DEADLINE_SECS: f64 = 0.7;
/// Longest request deadline that the shutdown schedule takes into account, seconds.
const MAX_DEADLINE_SECS: f64 = 3.0;
/// Responses to requests that completed after the signal are due this long before the kill, seconds, to leave time on a
/// busy machine.
const RESPONSE_MARGIN_SECS: f64 = 0.3;
/// Running streams are ended this long before the kill, seconds. In a rolling restart the next dispatcher may be
/// stopping by then; ending streams while the others still accept requests lets clients get the rest from those.
const STREAMS_END_MARGIN_SECS: f64 = 0.8;

/// Times of the steps of a planned shutdown, seconds after the signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// Time from which no new connections or requests are accepted.
    pub stop_accepting_s: f64,
    /// Time by which a request that completes during shutdown must be answered, because the kill would lose it.
    pub response_deadline_s: f64,
    /// Time at which streams still running are ended. `None` if clients do not request the rest of a broken stream, as
    /// cutting a running stream would then lose the request.
    pub streams_end_s: Option<f64>,
}

impl ShutdownSchedule {
    /// Computes the schedule from the longest deadline of all request classes and from whether clients request the rest
    /// of a broken stream.
    pub fn new(longest_deadline_s: f64, resumes: bool) -> ShutdownSchedule {
        let kill_s = longest_deadline_s.clamp(0.0, MAX_DEADLINE_SECS) + KILL_AFTER_DEADLINE_SECS;
        let before_kill = |seconds: f64| (kill_s - seconds).max(ACCEPT_PERIOD_SECS);
        ShutdownSchedule {
            stop_accepting_s: ACCEPT_PERIOD_SECS,
            response_deadline_s: before_kill(RESPONSE_MARGIN_SECS),
            streams_end_s: resumes.then(|| before_kill(STREAMS_END_MARGIN_SECS)),
        }
    }
}

/// Time that releases started with the last responses have to be confirmed, seconds. The process is killed 0.3 s after
/// those responses.
const FINAL_RELEASES_SECS: f64 = 0.22;

/// Times at which the steps of a started shutdown are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopTimes {
    pub(crate) releases_end: Micros,
    pub(crate) stop_accepting: Micros,
    pub(crate) streams_end: Option<Micros>,
}

/// Progress of a planned shutdown.
#[derive(Debug)]
pub(crate) struct Shutdown {
    schedule: ShutdownSchedule,
    /// Time by which open requests must be answered; set once the shutdown has started.
    response_deadline: Option<Micros>,
    accepting: bool,
    stopped: bool,
}

impl Shutdown {
    pub(crate) fn new(schedule: ShutdownSchedule) -> Shutdown {
        Shutdown {
            schedule,
            response_deadline: None,
            accepting: true,
            stopped: false,
        }
    }

    /// Starts the shutdown; returns `None` if it was started before.
    pub(crate) fn begin(&mut self, now: Micros) -> Option<StopTimes> {
        if self.is_requested() {
            return None;
        }
        let response_deadline = now.after(self.schedule.response_deadline_s);
        self.response_deadline = Some(response_deadline);
        Some(StopTimes {
            releases_end: response_deadline.after(FINAL_RELEASES_SECS),
            stop_accepting: now.after(self.schedule.stop_accepting_s),
            streams_end: self.schedule.streams_end_s.map(|s| now.after(s)),
        })
    }

    pub(crate) fn is_requested(&self) -> bool {
        self.response_deadline.is_some()
    }

    /// Time by which requests must be answered during shutdown; `None` while not shutting down.
    pub(crate) fn response_deadline(&self) -> Option<Micros> {
        self.response_deadline
    }

    /// Whether new connections and requests are accepted.
    pub(crate) fn is_accepting(&self) -> bool {
        self.accepting
    }

    pub(crate) fn stop_accepting(&mut self) {
        self.accepting = false;
    }

    /// Whether the time to wait for unconfirmed releases has passed.
    pub(crate) fn releases_timed_out(&self, now: Micros) -> bool {
        self.response_deadline
            .is_some_and(|deadline| now >= deadline.after(FINAL_RELEASES_SECS))
    }

    /// Returns true once, when nothing is accepted any more and the node is idle.
    pub(crate) fn finish(&mut self, is_idle: bool) -> bool {
        if self.accepting || !is_idle {
            return false;
        }
        !std::mem::replace(&mut self.stopped, true)
    }
}
