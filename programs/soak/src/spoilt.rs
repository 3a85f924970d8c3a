//! Answers that decode servers spoil, drag, or send more with than belongs to them.

use std::time::Duration;

use crate::draw::Chance;

/// Fractions of the answers on days of the class.
const SPOILT_FRACTION: f64 = 0.15;
const EXTRA_FRACTION: f64 = 0.1;
const SLOW_FRACTION: f64 = 0.1;
/// Pauses between two whole events of a slow answer, seconds. The platform cannot wait for longer ones.
const SLOW_PAUSE_S: (f64, f64) = (2.0, 4.8);
/// The same of an event whose bytes come one by one.
const SLOW_EVENT_S: (f64, f64) = (1.0, 4.4);
/// Between two pieces of what never ends.
const REPEAT_EVERY: Duration = Duration::from_millis(250);

/// How an answer differs from a plain one.
#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    Plain,
    /// It is spoilt at one of its events; the connection stays open.
    Spoilt(Spoil),
    /// Whole events come after these pauses, seconds.
    SlowEvents(f64),
    /// The bytes of each event come one by one, over so many seconds.
    SlowBytes(f64),
    /// An interim answer comes before it.
    Interim,
    /// A second answer follows it at once.
    SecondAnswer,
}

/// What comes in place of the next event: once, and then again and again.
#[derive(Clone, Debug, PartialEq)]
pub struct Spoil {
    pub before_head: bool,
    pub once: String,
    pub repeated: String,
    pub every: Duration,
}

/// Draws the shape of an answer.
pub fn draw(chance: &mut Chance, may_spoil: bool, may_drag: bool) -> Shape {
    if may_spoil && chance.happens(SPOILT_FRACTION) {
        return Shape::Spoilt(spoil(chance));
    }
    if may_spoil && chance.happens(EXTRA_FRACTION) {
        return match chance.below(2) {
            0 => Shape::Interim,
            _ => Shape::SecondAnswer,
        };
    }
    if may_drag && chance.happens(SLOW_FRACTION) {
        return match chance.below(2) {
            0 => Shape::SlowEvents(chance.between(SLOW_PAUSE_S.0, SLOW_PAUSE_S.1)),
            _ => Shape::SlowBytes(chance.between(SLOW_EVENT_S.0, SLOW_EVENT_S.1)),
        };
    }
    Shape::Plain
}

fn spoil(chance: &mut Chance) -> Spoil {
    const KINDS: [(&str, &str); 14] = [
        // Nothing more, and parts of an event or a chunk size.
        ("", ""),
        ("fff\r\ndata: half", ""),
        ("1", ""),
        // What goes on, and is no event.
        ("ffff\r\ndata: ", "x"),
        ("", "3\r\n: \n\r\n"),
        ("", "1\r\n\n\r\n"),
        ("", "d\r\nevent: ping\n\n\r\n"),
        ("1;", "extension"),
        ("", "0"),
        ("0\r\n", "X-Trailer: 1\r\n"),
        // Chunks whose size cannot be read, does not fit, or is huge.
        ("zz\r\n", ""),
        ("3\r\ndata: 3\n\n\r\n", ""),
        ("c0000000\r\n", "~"),
        ("20000\r\n", "#%\n\n"),
    ];
    const HEADS: [(&str, &str); 3] = [
        ("\u{7f}\u{1}noise", "noise"),
        ("HTTP/9.9 nothing\r\n\r\n", ""),
        ("HTTP/1.1 200 OK\r\nX-Head: ", "h"),
    ];
    let before_head = chance.below(KINDS.len() + HEADS.len()) >= KINDS.len();
    let (once, repeated) = if before_head {
        chance.one_of(&HEADS)
    } else {
        chance.one_of(&KINDS)
    };
    Spoil {
        before_head,
        once: once.to_string(),
        repeated: repeated.to_string(),
        every: REPEAT_EVERY,
    }
}
