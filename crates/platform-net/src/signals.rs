//! Signals as readiness: a handler writes one byte to a socket pair that the loop waits for.

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
    Stop,
    Reload,
}

pub(crate) struct Signals {
    wake: UnixStream,
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Takes over SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    /// As the system's.
    pub(crate) fn start(registry: &Registry, token: Token) -> io::Result<Signals> {
        let (reader, writer) = std::os::unix::net::UnixStream::pair()?;
        reader.set_nonblocking(true)?;
        writer.set_nonblocking(true)?;
        let (stop, reload) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        for (signal, flag) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
            // The flag first: the loop must find it set once it wakes.
            signal_hook::flag::register(signal, Arc::clone(flag))?;
            signal_hook::low_level::pipe::register(signal, writer.try_clone()?)?;
        }
        let mut wake = UnixStream::from_std(reader);
        registry.register(&mut wake, token, Interest::READABLE)?;
        Ok(Signals { wake, stop, reload })
    }

    /// What has come since the last call.
    pub(crate) fn take(&mut self) -> Vec<Signal> {
        let mut drop = [0; 64];
        while matches!(self.wake.read(&mut drop), Ok(n) if n > 0) {}
        let asked =
            |flag: &AtomicBool, signal| flag.swap(false, Ordering::SeqCst).then_some(signal);
        [
            asked(&self.stop, Signal::Stop),
            asked(&self.reload, Signal::Reload),
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
                Signal::Stop => self.input(Input::Stop),
                Signal::Reload => self.reloads.request(self.clock.now()),
            }
        }
    }
}
