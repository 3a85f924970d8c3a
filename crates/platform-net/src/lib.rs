//! The platform's sockets: one readiness loop over non-blocking sockets around the pure node of
//! `bitternlatch-platform`. It decides nothing on requests.

mod accept;
mod commands;
mod connections;
mod descriptors;
mod dial;
mod event_loop;
mod lingering;
mod listen;
mod reload;
mod signals;
mod socket;
mod startup;
mod transient_errors;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::Path;

use bitternlatch_core::Micros;
use bitternlatch_net::clock::Clock;
use bitternlatch_platform::config::Config;
use bitternlatch_platform::node::Node;
use bitternlatch_platform::types::{Command, ConnId};
use mio::net::UdpSocket;
use mio::{Poll, Token};

use accept::Acceptor;
use dial::ConnectRetries;
use reload::ConfigReloads;
use signals::Signals;
use socket::Socket;
use transient_errors::retry_transient;

/// Tokens above those of connections, which count up from 1.
const LISTENER: Token = Token(usize::MAX);
const PEERS: Token = Token(usize::MAX - 1);
const SIGNALS: Token = Token(usize::MAX - 2);
/// Bytes read at once, and of one connection in one turn of the loop.
const READ_BYTES: usize = 32 * 1024;
/// `BITTERNLATCH_LOG=info,explain=debug` says why requests were refused, failed, tried again or late.
const ACCESS_LOG_TARGET: &str = "explain";

/// Reads a configuration at the start, where a file that cannot be opened for a moment is waited for.
///
/// # Errors
/// One line that names the file, the field and the cause.
pub fn read_config(path: &Path) -> Result<Config, String> {
    parsed(path, retry_transient(|| std::fs::read_to_string(path)))
}

fn parsed(path: &Path, text: io::Result<String>) -> Result<Config, String> {
    let shown = path.display();
    let text = text.map_err(|e| format!("{shown}: {e}"))?;
    Config::parse(&text).map_err(|e| format!("{shown}: {e}"))
}

/// Serves until a signal says stop and what is in hand is answered.
///
/// # Errors
/// What kept it from starting, in one line; a poll that fails.
pub fn serve(path: &Path, config: Config) -> Result<(), String> {
    let mut driver = Driver::start(path, config)?;
    driver
        .run()
        .map_err(|e| format!("waiting for sockets failed: {e}"))
}

/// The event loop with what it owns: sockets, listener, signals and the node. Its concerns are in a module each.
struct Driver {
    poll: Poll,
    clock: Clock,
    /// What the system had to tell by then is known; the node's time. Were it later, timers would act before the ends
    /// of clients that came while this process was held up.
    observed_at: Micros,
    node: Node,
    /// Commands of the node that are not carried out yet.
    commands: Vec<Command>,
    /// What the sockets have told and the node has not been given yet.
    socket_events: VecDeque<SocketEvent>,
    acceptor: Acceptor,
    connect_retries: ConnectRetries,
    peers: Option<UdpSocket>,
    signals: Signals,
    reloads: ConfigReloads,
    sockets: BTreeMap<ConnId, Socket>,
    /// Connections that may be read on without a new event.
    ready_again: BTreeSet<ConnId>,
    /// Connections that end in order, the oldest first.
    lingering: VecDeque<ConnId>,
    buffer: Vec<u8>,
    stopped: bool,
}

/// What has become of a connection while commands were carried out.
#[derive(Clone, Copy, Debug)]
enum SocketEvent {
    /// Bytes have gone to the system.
    Wrote { conn: ConnId, count: usize },
    /// It never came up, or broke.
    Ended { conn: ConnId },
    /// It was to be used again, and had ended or brought something.
    Stale { conn: ConnId },
}
