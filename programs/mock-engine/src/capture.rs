//! Frames as they passed on a socket, one JSON object a line.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

use crossbeam_channel::{unbounded, Sender};
use serde::{Deserialize, Serialize};

/// One line of a capture.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Unix time, microseconds.
    pub t: u64,
    /// Whose socket: a host's name, or a client's.
    pub who: String,
    /// The other end: a number of the connection.
    pub peer: String,
    /// `in`, `out`, `open`, `close`; for a host also `up` and `down`.
    pub dir: String,
    pub text: String,
}

/// Where lines go; without one they are dropped. Lines wait in memory for the writing thread, which a test or day
/// bounds by its own length.
#[derive(Clone)]
pub struct Capture {
    lines: Option<Sender<Line>>,
}

pub fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as u64
}

impl Capture {
    pub fn none() -> Capture {
        Capture { lines: None }
    }

    /// Into memory, for tests.
    pub fn channel() -> (Capture, crossbeam_channel::Receiver<Line>) {
        let (lines, rest) = unbounded();
        (Capture { lines: Some(lines) }, rest)
    }

    /// Into a file, from a thread of its own; [`Capture::settle`] waits for what has been put.
    ///
    /// # Errors
    /// Where the file cannot be made.
    pub fn file(path: &Path) -> io::Result<Capture> {
        let mut file = BufWriter::new(File::create(path)?);
        let (capture, lines) = Capture::channel();
        let write = move || -> io::Result<()> {
            while let Ok(line) = lines.recv() {
                serde_json::to_writer(&mut file, &line)?;
                file.write_all(b"\n")?;
                if lines.is_empty() {
                    file.flush()?;
                }
            }
            file.flush()
        };
        std::thread::Builder::new()
            .name("capture".into())
            .spawn(write)?;
        Ok(capture)
    }

    /// Waits until what has been put is written, up to five seconds.
    pub fn settle(&self) {
        let empty = |c: &Capture| c.lines.as_ref().is_none_or(Sender::is_empty);
        for _ in 0..500 {
            std::thread::sleep(std::time::Duration::from_millis(10));
            if empty(self) {
                // The last line taken may still be on its way to the file.
                return std::thread::sleep(std::time::Duration::from_millis(50));
            }
        }
    }

    pub fn put(&self, who: &str, peer: impl ToString, dir: &str, text: &str) {
        if let Some(lines) = &self.lines {
            let (who, dir, text) = (who.to_string(), dir.to_string(), text.to_string());
            let _ = lines.send(Line {
                t: unix_us(),
                who,
                peer: peer.to_string(),
                dir,
                text,
            });
        }
    }
}
