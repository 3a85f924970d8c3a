//! A planned stop: when its steps are taken, counted from the signal, and how far it has come.

use bitternlatch_core::Micros;

/// New connections are taken, and kept ones kept, for this long, seconds: they keep coming, and the next dispatcher may
/// not be there yet. What comes later than 0.7 s after the signal may not be answered in time.
const ACCEPTING_SECS: f64 = 0.55;
/// The kill comes no sooner than this after the longest deadline, which counts as the second at the most, seconds.
const KILL_AFTER_DEADLINE_SECS: f64 = 0.7;
const LONGEST_DEADLINE_SECS: f64 = 3.0;
/// Before the kill, what came whole after the signal has its answer: seconds that a busy machine may take for it.
const ANSWERED_BEFORE_KILL_SECS: f64 = 0.3;
/// Before the kill, running streams end: in a rolling restart the next dispatcher may be stopping by then, and a client
/// whose stream ends while the others still take requests gets the rest from them, seconds.
const STREAMS_END_BEFORE_KILL_SECS: f64 = 0.8;

/// The times of a planned stop, seconds after the signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShutdownSchedule {
    /// From then on nothing new is taken.
    pub stop_accepting_s: f64,
    /// What comes whole while stopping, as half a request may, is answered by then: the kill would lose it.
    pub response_deadline_s: f64,
    /// Streams that still run are ended then. Not where clients do not ask for the rest of a stream: a stream that is cut
    /// while its events come is a lost request there.
    pub streams_end_s: Option<f64>,
}

impl ShutdownSchedule {
    /// For the longest deadline of all classes, and whether clients ask for the rest of a stream that broke.
    pub fn new(longest_deadline_s: f64, resumes: bool) -> ShutdownSchedule {
        let kill_s =
            longest_deadline_s.clamp(0.0, LONGEST_DEADLINE_SECS) + KILL_AFTER_DEADLINE_SECS;
        let before_kill = |seconds: f64| (kill_s - seconds).max(ACCEPTING_SECS);
        ShutdownSchedule {
            stop_accepting_s: ACCEPTING_SECS,
            response_deadline_s: before_kill(ANSWERED_BEFORE_KILL_SECS),
            streams_end_s: resumes.then(|| before_kill(STREAMS_END_BEFORE_KILL_SECS)),
        }
    }
}

/// At a stop, releases that begin with the last answers have this long to be confirmed, seconds: the kill comes 0.3 s
/// after those.
const LAST_RELEASES_SECS: f64 = 0.22;

/// When the steps of a stop that has begun are due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopTimes {
    pub(crate) releases_end: Micros,
    pub(crate) stop_accepting: Micros,
    pub(crate) streams_end: Option<Micros>,
}

/// How far a planned stop has come.
#[derive(Debug)]
pub(crate) struct Shutdown {
    schedule: ShutdownSchedule,
    /// Set while stopping: until then what still comes must have its answer.
    answer_deadline: Option<Micros>,
    accepting: bool,
    stopped: bool,
}

impl Shutdown {
    pub(crate) fn new(schedule: ShutdownSchedule) -> Shutdown {
        Shutdown {
            schedule,
            answer_deadline: None,
            accepting: true,
            stopped: false,
        }
    }

    /// Begins the stop; `None` where it has begun already.
    pub(crate) fn begin(&mut self, now: Micros) -> Option<StopTimes> {
        if self.is_requested() {
            return None;
        }
        let answer_deadline = now.after(self.schedule.response_deadline_s);
        self.answer_deadline = Some(answer_deadline);
        Some(StopTimes {
            releases_end: answer_deadline.after(LAST_RELEASES_SECS),
            stop_accepting: now.after(self.schedule.stop_accepting_s),
            streams_end: self.schedule.streams_end_s.map(|s| now.after(s)),
        })
    }

    pub(crate) fn is_requested(&self) -> bool {
        self.answer_deadline.is_some()
    }

    /// While stopping, the time by which a request has its answer.
    pub(crate) fn answer_deadline(&self) -> Option<Micros> {
        self.answer_deadline
    }

    /// Whether new connections and requests are taken.
    pub(crate) fn is_accepting(&self) -> bool {
        self.accepting
    }

    pub(crate) fn stop_accepting(&mut self) {
        self.accepting = false;
    }

    /// Whether releases are waited for no longer.
    pub(crate) fn gives_up_releases(&self, now: Micros) -> bool {
        self.answer_deadline
            .is_some_and(|deadline| now >= deadline.after(LAST_RELEASES_SECS))
    }

    /// True once, when nothing is accepted any more and the node is idle.
    pub(crate) fn finish(&mut self, is_idle: bool) -> bool {
        if self.accepting || !is_idle {
            return false;
        }
        !std::mem::replace(&mut self.stopped, true)
    }
}
