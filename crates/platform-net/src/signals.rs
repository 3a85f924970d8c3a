//! Turns signals into readiness events: the signal handler writes one byte to a socket pair that the event loop polls.

use std::io::{self, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use bitternlatch_platform::types::Input;
use mio::net::UnixStream;
use mio::{Interest, Registry, Token};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::Driver;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// SIGTERM or SIGINT: stop gracefully.
    Stop,
    /// SIGHUP: reload the configuration.
    Reload,
}

pub(crate) struct Signals {
    wake: UnixStream,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Installs handlers for SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// The error of the system call that failed.
    pub(crate) fn start(registry: &Registry, token: Token) -> io::Result<Signals> {
        let (reader, writer) = std::os::unix::net::UnixStream::pair()?;
        reader.set_nonblocking(true)?;
        writer.set_nonblocking(true)?;
        let (stop, reload) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        for (signal, flag) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
            // The flag is registered before the pipe, so that it is set when the event loop wakes up.
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
        }
        let mut wake = UnixStream::from_std(reader);
        registry.register(&mut wake, token, Interest::READABLE)?;
        Ok(Signals { wake, stop, reload })
    }

    /// Returns the signals received since the last call.
    pub(crate) fn take(&mut self) -> Vec<Signal> {
        let mut discarded = [0; 64];
        while matches!(self.wake.read(&mut discarded), Ok(n) if n > 0) {}
        let received =
            |flag: &AtomicBool, signal| flag.swap(false, Ordering::SeqCst).then_some(signal);
        [
            received(&self.stop, Signal::Stop),
            received(&self.reload, Signal::Reload),
        ]
        .into_iter()
        .flatten()
        .collect()
    }
}

impl Driver {
    pub(crate) fn handle_signals(&mut self) {
        for signal in self.signals.take() {
            match signal {
                Signal::Stop => self.step_node(Input::Stop),
                Signal::Reload => self.reloads.request(self.clock.now()),
            }
        }
    }
}
