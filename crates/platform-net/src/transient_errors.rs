//! Transient errors of system calls: a retry may succeed, and the error is not a failure of the other side.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// How long a failing call is retried at startup.
const STARTUP_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two tries of a call.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Errors for a resource that this machine lacks, or an operation that it cannot perform, for the moment.
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

/// Whether an error has a local cause that may be resolved by the next try.
pub(crate) fn is_transient(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| TRANSIENT.iter().any(|known| known.raw_os_error() == code))
}

/// Makes a call and retries it while its error satisfies `is_retryable`, for no longer than `limit`. Blocks between
/// tries.
///
/// # Errors
/// The first error that is not retryable, or the last one when the time is up.
pub(crate) fn retry_while<T>(
    limit: Duration,
    mut is_retryable: impl FnMut(&io::Error) -> bool,
    mut call: impl FnMut() -> io::Result<T>,
) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match call() {
            Err(e) if began.elapsed() < limit && is_retryable(&e) => thread::sleep(RETRY_INTERVAL),
            other => return other,
        }
    }
}

/// Makes a call at startup and retries it while it fails with a transient error, for up to `STARTUP_RETRY_TIMEOUT`.
///
/// # Errors
/// The first error that is not transient, or the last one when the time is up.
pub(crate) fn retry_transient<T>(call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    retry_while(STARTUP_RETRY_TIMEOUT, is_transient, call)
}
