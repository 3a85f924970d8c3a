//! When the steps of a planned stop are taken, counted from the signal that asks for it.

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
    pub answer_by_s: f64,
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
            answer_by_s: before_kill(ANSWERED_BEFORE_KILL_SECS),
            streams_end_s: resumes.then(|| before_kill(STREAMS_END_BEFORE_KILL_SECS)),
        }
    }
}
