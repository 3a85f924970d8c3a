//! System calls that fail for a moment: the next try may well succeed, and whoever was to be reached has done nothing.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// At the start a call is tried for so long.
const RETRY_FOR: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(20);

/// What the system has too little of just now, or cannot do just now.
const TRANSIENT: [Errno; 9] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::AGAIN,
    Errno::INTR,
];

/// An error of the machine's own that may have passed at the next try.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| TRANSIENT.iter().any(|known| known.raw_os_error() == code))
}

/// Makes a call, again and again while it fails with an error that `is_retryable` and for no longer than `limit`.
///
/// # Errors
/// As the call's: one that is not retried, or has not passed in time.
pub(crate) fn retry_while<T>(
    limit: Duration,
    mut is_retryable: impl FnMut(&io::Error) -> bool,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match call() {
            Err(e) if began.elapsed() < limit && is_retryable(&e) => thread::sleep(PAUSE),
            other => return other,
        }
    }
}

/// Makes a call at the start, again and again while it fails for a moment.
///
/// # Errors
/// As the call's: one that does not pass, or has not passed in time.
pub(crate) fn retry_transient<T>(call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    retry_while(RETRY_FOR, is_transient, call)
}
